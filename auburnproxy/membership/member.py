"""Identity and addresses of a daemon in the membership."""

from __future__ import annotations

from typing import NamedTuple


class Member(NamedTuple):
    """One incarnation of a daemon."""

    name: str
    incarnation: str
    """Unique to each start of the daemon; sorts by start time."""
    failure_domain: str
    peer_address: str
    """IP address and port of the listener for peers."""
    internal_address: str
    """IP address and port of the listener for forwarded calls and operators."""

    @property
    def id(self) -> str:
        """Return the globally unique id of this incarnation."""
        return f"{self.name}@{self.incarnation}"
