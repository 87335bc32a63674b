"""Interfaces that serving requires of other packages."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Protocol

from ..membership import Member


class Peers(Protocol):
    """The other daemons."""

    @property
    def near_by_id(self) -> Mapping[str, Member]:
        """Return the connected daemons of this daemon's failure domain."""

    @property
    def far_by_domain(self) -> Mapping[str, Sequence[Member]]:
        """Return the daemons of each other failure domain that is in service."""

    def has_share(self, plan: str, target: str) -> bool:
        """Return whether this daemon holds quota shares of a plan and of a target."""

    def near_peers_with_share(self, plan: str, target: str) -> Sequence[Member]:
        """Return near peers that hold quota shares of a plan and of a target."""

    def free_slots(self, key: str) -> Mapping[str, int]:
        """Return the free slots that near peers last reported, by member id.

        :param key: ``plan/NAME``, ``model/NAME`` or ``service/NAME``
        """
