"""The other daemons of a failure domain, as the sharing of reports sees them."""

from __future__ import annotations

from abc import ABC, abstractmethod

from ..membership import Member, Reports


class Peers(ABC):
    """The other daemons of the failure domain."""

    @property
    @abstractmethod
    def me(self) -> Member:
        """Return this daemon."""

    @property
    @abstractmethod
    def near(self) -> tuple[Member, ...]:
        """Return the linked daemons of the own failure domain, without this one."""

    @abstractmethod
    def send(self, peer: Member, reports: Reports) -> None:
        """Send to a peer; it is lost if the link has just ended."""
