"""What serving needs of the other slices."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Protocol

from ..membership import Member


class Peers(Protocol):
    """The other daemons, as their newest beats show them."""

    @property
    def members_by_id(self) -> Mapping[str, Member]:
        """Return the daemons that are connected."""

    def free_slots(self, key: str) -> Mapping[str, int]:
        """Return the free slots of a gate by member id."""
