"""A daemon as its peers know it."""

from __future__ import annotations

from typing import NamedTuple


class Member(NamedTuple):
    """One start of one daemon."""

    name: str
    incarnation: str
    """Differs for every start; sorts by start time."""
    failure_domain: str
    peer_address: str
    """IP number and port of the listener for peers."""
    internal_address: str
    """IP number and port of the listener for forwarded calls and operators."""

    @property
    def id(self) -> str:
        """Return the name of this incarnation, unique for ever."""
        return f"{self.name}@{self.incarnation}"
