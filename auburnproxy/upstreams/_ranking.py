"""Who polls which host."""

from __future__ import annotations

import asyncio

from ..membership import Member
from ..membership.rendezvous import rank
from .peers import Peers


class Ranking:
    """Ranks the linked daemons for each host.

    :param peers: the other daemons
    """

    def __init__(self, peers: Peers) -> None:
        self._peers = peers
        self._members: tuple[Member, ...] = ()
        self._looked_at = -1.0
        self._order_by_host: dict[str, tuple[Member, ...]] = {}

    def order(self, host: str) -> tuple[Member, ...]:
        """Return this daemon and its peers, the one to poll a host first.

        :param host: the host
        """
        now = asyncio.get_running_loop().time()
        if now != self._looked_at:
            self._look()
            self._looked_at = now
        order = self._order_by_host.get(host)
        if order is None:
            order = rank(f"poll/{host}", self._members)
            self._order_by_host[host] = order
        return order

    def _look(self) -> None:
        members = (self._peers.me, *self._peers.near)
        if members != self._members:
            self._members = members
            self._order_by_host = {}
