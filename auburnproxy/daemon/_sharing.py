"""The links over which daemons of a failure domain share reports."""

from __future__ import annotations

from ..membership import Member, Membership, Reports
from ..upstreams.peers import Peers


class LinkedPeers(Peers):
    """The linked daemons of the own failure domain.

    :param membership: keeps the links
    """

    def __init__(self, membership: Membership) -> None:
        self._membership = membership

    @property
    def me(self) -> Member:
        """Return this daemon."""
        return self._membership.me

    @property
    def near(self) -> tuple[Member, ...]:
        """Return the linked daemons of the own failure domain, without this one."""
        return tuple(m for m in self._membership.live if m != self._membership.me)

    def send(self, peer: Member, reports: Reports) -> None:
        """Send to a peer; it is lost if the link has just ended.

        :param peer: one of :attr:`near`, or who has just sent
        :param reports: what it is told
        """
        self._membership.send_reports(peer, reports)
