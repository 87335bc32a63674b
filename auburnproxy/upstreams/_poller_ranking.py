"""Ranking of daemons as pollers of each host."""

from __future__ import annotations

import asyncio

from ..membership import Member
from ..membership.rendezvous import rank
from .peers import Peers


class PollerRanking:
    """Ranks the connected daemons for each host by rendezvous hashing.

    :param peers: the other daemons
    """

    def __init__(self, peers: Peers) -> None:
        self._peers = peers
        self._members: tuple[Member, ...] = ()
        self._refreshed_at = -1.0
        self._ranked_by_host: dict[str, tuple[Member, ...]] = {}

    def ranked(self, host: str) -> tuple[Member, ...]:
        """Return this daemon and its peers, the preferred poller of a host first.

        :param host: the host
        """
        now = asyncio.get_running_loop().time()
        if now != self._refreshed_at:
            self._refresh_members()
            self._refreshed_at = now
        ranked = self._ranked_by_host.get(host)
        if ranked is None:
            ranked = rank(f"poll/{host}", self._members)
            self._ranked_by_host[host] = ranked
        return ranked

    def _refresh_members(self) -> None:
        members = (self._peers.me, *self._peers.connected)
        if members != self._members:
            self._members = members
            self._ranked_by_host = {}
