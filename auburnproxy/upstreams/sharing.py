"""The daemons of a failure domain poll each upstream once for all of them."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Iterable
from typing import NamedTuple

from ..clock import loop_time
from ..membership import Member, Reports
from ._prefixes import PrefixNews, merged, shortened
from ._ranking import Ranking
from ._shared import (
    CLOSED,
    MS_PER_S,
    SILENT,
    Bundle,
    Polled,
    Prefixes,
    age_ms,
    host_digest,
    pack,
    report_digest,
    unpack,
    with_load,
)
from .engine import EngineReport
from .peers import Peers
from .service import ServiceReport
from .sighting import Poll, Report
from .transit import Transit
from .watcher import REPORT_INTERVAL_S, TICK_S, Watcher

SHARE_PER_PEER_S = 0.1
"""Seconds between two rounds of sharing for each peer; more peers, fewer rounds."""
SHARE_MOST_S = 1.0
"""Longest time in seconds between two rounds of sharing."""
COVERED_S = 0.5
"""Seconds beyond that from which a peer's poll no longer spares this daemon its own."""
SILENT_POLLERS = 2
"""Daemons that go on polling a host that does not answer."""
SILENT_RETRY_S = 5.0
"""Seconds after which the other daemons try such a host too."""
SETTLE_S = 0.05
"""Seconds after a round of polls in which its answers are waited for."""
URGENT_S = 0.01
"""Seconds in which urgent news of several hosts is gathered."""
WHOLE_REPORTS = 32
"""Most whole reports in one frame."""
PREFIXES_TOLD = 64
"""Most prompt prefixes told in one round, over all peers."""


class _Own(NamedTuple):
    at: float
    digest: int
    report: Report | None


class _Cover(NamedTuple):
    at: float
    answered: bool


class Sharing:
    """Divides the polls of a watcher's hosts with peers, and shares their reports.

    :param peers: the other daemons
    :param clock: a monotonic clock with the origin of the loop's, which runs on
        while the loop is held up
    """

    def __init__(
        self, peers: Peers, *, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self._peers = peers
        self._clock = clock
        self._watcher: Watcher | None = None
        self._own_by_host: dict[str, _Own] = {}
        self._whole_by_host: dict[str, tuple[int, Report]] = {}
        self._covers_by_host: dict[str, dict[str, _Cover]] = {}
        self._transit_by_id: dict[str, Transit] = {}
        self._host_by_digest: dict[int, str] = {}
        self._interval_s = REPORT_INTERVAL_S
        self._urgent: set[str] = set()
        self._prefix_news = PrefixNews()
        self._ranking = Ranking(peers)

    def attach(self, watcher: Watcher) -> None:
        """Learn of a watcher's own polls, and give it the reports of peers.

        :param watcher: a watcher that asks :meth:`polls` whom to poll
        """
        self._watcher = watcher
        watcher.polled = self._take_poll

    def polls(self, host: str) -> bool:
        """Return whether this daemon polls a host itself.

        It does unless a peer that ranks before it has told of a poll of late. A
        host that does not answer is polled by a second daemon too, and now and
        then by all, one of which may still reach it.

        :param host: the host
        """
        silent = 0
        covered_s = self._interval_s + COVERED_S
        covers = self._covers_by_host.get(host, {})
        for member in self._ranking.order(host):
            if member == self._peers.me:
                break
            cover = covers.get(member.id)
            if cover is None or loop_time() - cover.at > covered_s:
                continue
            if cover.answered:
                return False
            silent += 1
        return silent < SILENT_POLLERS or self._may_reach(host)

    def _may_reach(self, host: str) -> bool:
        own = self._own_by_host.get(host)
        if own is None or own.report is not None:
            return True
        return loop_time() - own.at > SILENT_RETRY_S

    async def run(self) -> None:
        """Share after a round of polls, each time that it is due; until cancelled."""
        due = 0.0
        while True:
            if self._watcher is not None:
                await self._watcher.rounds.wait(REPORT_INTERVAL_S)
            await asyncio.sleep(SETTLE_S)
            self._renew()
            if loop_time() >= due:
                due = loop_time() + self._interval_s - TICK_S / 2
                self._tell_round()

    def take(self, peer: Member, reports: Reports) -> None:
        """Take what a peer has sent.

        :param peer: its authenticated sender
        :param reports: what arrived
        :raises PeerError: if it is malformed
        """
        bundle = unpack(reports.data)
        transit = self._transit_by_id.setdefault(peer.id, Transit())
        transit_s = transit.receive(
            sent_at=reports.sent_at,
            received_at=self._clock(),
            least_s=reports.min_difference_s,
        )
        whole: tuple[Report, ...] = (*bundle.engines, *bundle.services)
        for report in whole:
            self._whole_by_host[report.host] = (report_digest(report), report)
        for prefixes in bundle.prefixes:
            self._take_prefixes(prefixes)
        wanted: list[int] = []
        if transit_s is not None:
            wanted = [p.host for p in bundle.polled if self._lacks(peer, p, transit_s)]
        if wanted or reports.min_difference_s is None:
            self._send(peer, Bundle(wanted=tuple(wanted)))
        if bundle.wanted:
            asked = [self._host_by_digest.get(digest, "") for digest in bundle.wanted]
            self._send(peer, self._bundle(asked, whole=True))

    def _lacks(self, peer: Member, polled: Polled, transit_s: float) -> bool:
        """Take a peer's poll; return whether the whole report is needed for it."""
        host = self._host_by_digest.get(polled.host)
        if host is None or self._watcher is None:
            return False
        age_s = polled.age_ms / MS_PER_S + transit_s
        if polled.digest == CLOSED:
            self._watcher.bar(host, age_s=(polled.age_ms - 1) / MS_PER_S)
        answered = polled.digest not in (SILENT, CLOSED)
        if answered:
            digest, report = self._whole_by_host.get(host, (SILENT, None))
            if report is None or digest != polled.digest:
                return True
            report = with_load(report, polled.in_flight, polled.queued)
            self._watcher.adopt(report, age_s=age_s)
        covers = self._covers_by_host.setdefault(host, {})
        covers[peer.id] = _Cover(loop_time() - age_s, answered)
        return False

    def _take_prefixes(self, prefixes: Prefixes) -> None:
        host = self._host_by_digest.get(prefixes.host, "")
        digest, report = self._whole_by_host.get(host, (SILENT, None))
        if isinstance(report, EngineReport):
            self._whole_by_host[host] = (digest, merged(report, prefixes.added))

    def _take_poll(self, poll: Poll) -> None:
        host, report = poll.host, poll.report
        digest = CLOSED if poll.closed else SILENT
        if report is not None:
            digest = report_digest(report)
            self._whole_by_host[host] = (digest, report)
        before = self._own_by_host.get(host)
        self._own_by_host[host] = _Own(poll.at, digest, report)
        if digest != SILENT and (before is None or before.digest != digest):
            self._hurry(host)

    def _hurry(self, host: str) -> None:
        if not self._urgent:
            asyncio.get_running_loop().call_later(URGENT_S, self._tell_urgent)
        self._urgent.add(host)

    def _tell_urgent(self) -> None:
        hosts, self._urgent = self._urgent, set()
        bundle = self._bundle(sorted(hosts), whole=True)
        for report in bundle.engines:
            self._prefix_news.told(report)
        self._send_all(bundle)

    def _tell_round(self) -> None:
        engines = [
            own.report
            for own in self._own_by_host.values()
            if isinstance(own.report, EngineReport) and self._is_recent(own)
        ]
        most = PREFIXES_TOLD // max(1, len(self._peers.near))
        prefixes = self._prefix_news.choose(engines, most=most)
        bundle = self._bundle(self._own_by_host)._replace(prefixes=prefixes)
        self._send_all(bundle)

    def _renew(self) -> None:
        """Drop what is known of hosts and peers that are gone, and set the pace."""
        hosts = self._watcher.entries_by_host if self._watcher else {}
        self._host_by_digest = {host_digest(host): host for host in hosts}
        near = {peer.id for peer in self._peers.near}
        slowed_s = SHARE_PER_PEER_S * len(near)
        self._interval_s = min(SHARE_MOST_S, max(REPORT_INTERVAL_S, slowed_s))
        for by_host in (self._own_by_host, self._whole_by_host, self._covers_by_host):
            for host in by_host.keys() - hosts.keys():
                by_host.pop(host, None)
        for peer_id in self._transit_by_id.keys() - near:
            del self._transit_by_id[peer_id]
        for covers in self._covers_by_host.values():
            for peer_id in covers.keys() - near:
                del covers[peer_id]

    def _is_recent(self, own: _Own) -> bool:
        return loop_time() - own.at < self._interval_s + COVERED_S

    def _bundle(self, hosts: Iterable[str], *, whole: bool = False) -> Bundle:
        """Return this daemon's newest polls of hosts.

        :param whole: whether to add the whole reports, of the first hosts only
        """
        now = loop_time()
        told = [
            (host, own)
            for host in hosts
            if (own := self._own_by_host.get(host)) and self._is_recent(own)
        ]
        if not whole:
            return Bundle(tuple(_polled(host, own, now) for host, own in told))
        told = told[:WHOLE_REPORTS]
        reports = [own.report for _, own in told]
        return Bundle(
            tuple(_polled(host, own, now, news=True) for host, own in told),
            engines=tuple(shortened(r) for r in reports if isinstance(r, EngineReport)),
            services=tuple(r for r in reports if isinstance(r, ServiceReport)),
        )

    def _send_all(self, bundle: Bundle) -> None:
        data = pack(bundle)
        for peer in self._peers.near:
            self._send_data(peer, data)

    def _send(self, peer: Member, bundle: Bundle) -> None:
        self._send_data(peer, pack(bundle))

    def _send_data(self, peer: Member, data: bytes) -> None:
        transit = self._transit_by_id.get(peer.id)
        least_s = transit.least_s(self._clock()) if transit else None
        self._peers.send(peer, Reports(loop_time(), least_s, data))


def _polled(host: str, own: _Own, now: float, *, news: bool = False) -> Polled:
    digest = own.digest
    if digest == CLOSED and not news:
        digest = SILENT
    return Polled(
        host_digest(host),
        age_ms(now - own.at),
        digest,
        own.report.in_flight if own.report else 0,
        own.report.queued if isinstance(own.report, EngineReport) else 0,
    )
