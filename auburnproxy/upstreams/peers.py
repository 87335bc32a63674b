"""Interface through which report sharing reaches the other daemons."""

from __future__ import annotations

from abc import ABC, abstractmethod

from ..membership import Member, Reports


class Peers(ABC):
    """Links to the other daemons of the failure domain."""

    @property
    @abstractmethod
    def me(self) -> Member:
        """Return this daemon."""

    @property
    @abstractmethod
    def connected(self) -> tuple[Member, ...]:
        """Return the connected daemons of this failure domain, except this one."""

    @abstractmethod
    def send(self, peer: Member, reports: Reports) -> None:
        """Send reports to a peer; they are lost if the link has just closed."""
