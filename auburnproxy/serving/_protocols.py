"""What serving needs of the other slices."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Protocol

from ..membership import Member


class Peers(Protocol):
    """The other daemons."""

    @property
    def near_by_id(self) -> Mapping[str, Member]:
        """Return the linked daemons of the own failure domain."""

    @property
    def far_by_domain(self) -> Mapping[str, Sequence[Member]]:
        """Return the daemons of each other failure domain that is in service."""

    def has_share(self, plan: str, target: str) -> bool:
        """Return whether this daemon has shares of a plan and of a target."""

    def holders(self, plan: str, target: str) -> Sequence[Member]:
        """Return the near peers that have shares of a plan and of a target."""

    def free_slots(self, key: str) -> Mapping[str, int]:
        """Return the free slots by member id that near peers told of.

        :param key: ``plan/NAME``, ``model/NAME`` or ``service/NAME``
        """
