"""Peers of the own failure domain that share reports of upstreams."""

from __future__ import annotations

from ..membership import Member, Membership, Reports
from ..upstreams.peers import Peers


class LinkedPeers(Peers):
    """The linked daemons of the own failure domain.

    :param membership: holds the links
    """

    def __init__(self, membership: Membership) -> None:
        self._membership = membership

    @property
    def me(self) -> Member:
        """Return this daemon."""
        return self._membership.me

    @property
    def connected(self) -> tuple[Member, ...]:
        """Return the linked daemons of the own failure domain, without this one."""
        return tuple(m for m in self._membership.live if m != self._membership.me)

    def send(self, peer: Member, reports: Reports) -> None:
        """Send reports to a peer; they are dropped if the link has just closed.

        :param peer: one of :attr:`connected`, or the sender of a message just received
        :param reports: the reports
        """
        self._membership.send_reports(peer, reports)
