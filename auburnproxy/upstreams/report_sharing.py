"""Poll assignment and report sharing among the daemons of a failure domain."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Iterable
from typing import NamedTuple

from ..clock import loop_time
from ..membership import Member, Reports
from ._poller_ranking import PollerRanking
from ._prefixes import PrefixSelector, truncate_prefixes, with_new_prefixes
from ._report_frames import (
    CLOSED,
    MS_PER_S,
    NO_ANSWER,
    PrefixUpdate,
    ReportUpdate,
    SharedPoll,
    age_in_ms,
    decode_update,
    encode_update,
    host_digest,
    report_digest,
    with_load,
)
from .engine import EngineReport
from .one_way_delay import OneWayDelay
from .peers import Peers
from .polls import Poll, Report
from .service import ServiceReport
from .watcher import REPORT_INTERVAL_S, TICK_S, Watcher

SHARE_INTERVAL_PER_PEER_S = 0.1
"""Seconds that each peer adds to the interval between two share rounds."""
MAX_SHARE_INTERVAL_S = 1.0
"""Longest interval in seconds between two share rounds."""
PEER_POLL_GRACE_S = 0.5
"""Seconds after the share interval at which a peer's poll of a host expires."""
UNRESPONSIVE_POLLERS = 2
"""Number of daemons that keep polling a host that does not answer."""
UNRESPONSIVE_RETRY_S = 5.0
"""Seconds after which the other daemons retry a host that does not answer."""
POLL_ANSWER_WAIT_S = 0.05
"""Seconds to wait for answers after the polls of a round were started."""
URGENT_BATCH_S = 0.01
"""Seconds during which urgent updates of several hosts are batched."""
MAX_FULL_REPORTS = 32
"""Maximum number of full reports in one frame."""
MAX_PREFIXES_PER_ROUND = 64
"""Maximum number of prompt prefixes sent in one round, summed over all peers."""


class _OwnPoll(NamedTuple):
    at: float
    digest: int
    report: Report | None


class _PeerPoll(NamedTuple):
    at: float
    answered: bool


class ReportSharing:
    """Divides polls of a watcher's hosts among the daemons and shares the reports.

    :param peers: the other daemons
    :param clock: a monotonic clock with the same origin as the event loop's, which
        also advances while the loop is blocked
    """

    def __init__(
        self, peers: Peers, *, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self._peers = peers
        self._clock = clock
        self._watcher: Watcher | None = None
        self._own_polls_by_host: dict[str, _OwnPoll] = {}
        self._full_reports_by_host: dict[str, tuple[int, Report]] = {}
        self._peer_polls_by_host: dict[str, dict[str, _PeerPoll]] = {}
        self._delays_by_peer: dict[str, OneWayDelay] = {}
        self._host_by_digest: dict[int, str] = {}
        self._interval_s = REPORT_INTERVAL_S
        self._urgent: set[str] = set()
        self._prefix_selector = PrefixSelector()
        self._ranking = PollerRanking(peers)

    def attach(self, watcher: Watcher) -> None:
        """Share a watcher's own polls, and pass reports of peers to it.

        :param watcher: a watcher that calls :meth:`should_poll` to decide what to poll
        """
        self._watcher = watcher
        watcher.on_poll = self._record_own_poll

    def should_poll(self, host: str) -> bool:
        """Return whether this daemon polls a host itself.

        It does unless a peer that ranks higher for the host has recently shared a
        poll of it. A host that does not answer is polled by a second daemon as
        well, and periodically by all, because one of them may still reach it.

        :param host: the host
        """
        unanswered = 0
        max_age_s = self._interval_s + PEER_POLL_GRACE_S
        peer_polls = self._peer_polls_by_host.get(host, {})
        for member in self._ranking.ranked(host):
            if member == self._peers.me:
                break
            poll = peer_polls.get(member.id)
            if poll is None or loop_time() - poll.at > max_age_s:
                continue
            if poll.answered:
                return False
            unanswered += 1
        return unanswered < UNRESPONSIVE_POLLERS or self._should_retry(host)

    def _should_retry(self, host: str) -> bool:
        own = self._own_polls_by_host.get(host)
        if own is None or own.report is not None:
            return True
        return loop_time() - own.at > UNRESPONSIVE_RETRY_S

    async def run(self) -> None:
        """Send own polls to the peers once per share interval, until cancelled."""
        due = 0.0
        while True:
            if self._watcher is not None:
                await self._watcher.poll_rounds.wait(REPORT_INTERVAL_S)
            await asyncio.sleep(POLL_ANSWER_WAIT_S)
            self._refresh()
            if loop_time() >= due:
                due = loop_time() + self._interval_s - TICK_S / 2
                self._send_round()

    def receive(self, peer: Member, reports: Reports) -> None:
        """Process a frame from a peer.

        :param peer: the authenticated sender
        :param reports: the frame
        :raises PeerError: if the frame is malformed
        """
        update = decode_update(reports.data)
        delay = self._delays_by_peer.setdefault(peer.id, OneWayDelay())
        delay_s = delay.receive(
            sent_at=reports.sent_at,
            received_at=self._clock(),
            peer_min_difference_s=reports.min_difference_s,
        )
        full: tuple[Report, ...] = (*update.engines, *update.services)
        for report in full:
            self._full_reports_by_host[report.host] = (report_digest(report), report)
        for prefixes in update.prefixes:
            self._record_prefixes(prefixes)
        missing: list[int] = []
        if delay_s is not None:
            missing = [
                p.host
                for p in update.polled
                if self._record_peer_poll(peer, p, delay_s)
            ]
        if missing or reports.min_difference_s is None:
            self._send(peer, ReportUpdate(requested=tuple(missing)))
        if update.requested:
            requested = [
                self._host_by_digest.get(digest, "") for digest in update.requested
            ]
            self._send(peer, self._own_update(requested, full=True))

    def _record_peer_poll(
        self, peer: Member, polled: SharedPoll, delay_s: float
    ) -> bool:
        """Record a peer's poll; return whether its full report must be requested."""
        host = self._host_by_digest.get(polled.host)
        if host is None or self._watcher is None:
            return False
        age_s = polled.age_ms / MS_PER_S + delay_s
        if polled.digest == CLOSED:
            self._watcher.mark_closed(host, age_s=(polled.age_ms - 1) / MS_PER_S)
        answered = polled.digest not in (NO_ANSWER, CLOSED)
        if answered:
            digest, report = self._full_reports_by_host.get(host, (NO_ANSWER, None))
            if report is None or digest != polled.digest:
                return True
            report = with_load(report, polled.in_flight, polled.queued)
            self._watcher.accept_peer_report(report, age_s=age_s)
        peer_polls = self._peer_polls_by_host.setdefault(host, {})
        peer_polls[peer.id] = _PeerPoll(loop_time() - age_s, answered)
        return False

    def _record_prefixes(self, prefixes: PrefixUpdate) -> None:
        host = self._host_by_digest.get(prefixes.host, "")
        digest, report = self._full_reports_by_host.get(host, (NO_ANSWER, None))
        if isinstance(report, EngineReport):
            self._full_reports_by_host[host] = (
                digest,
                with_new_prefixes(report, prefixes.added),
            )

    def _record_own_poll(self, poll: Poll) -> None:
        host, report = poll.host, poll.report
        digest = CLOSED if poll.closed else NO_ANSWER
        if report is not None:
            digest = report_digest(report)
            self._full_reports_by_host[host] = (digest, report)
        previous = self._own_polls_by_host.get(host)
        self._own_polls_by_host[host] = _OwnPoll(poll.at, digest, report)
        if digest != NO_ANSWER and (previous is None or previous.digest != digest):
            self._schedule_urgent(host)

    def _schedule_urgent(self, host: str) -> None:
        if not self._urgent:
            asyncio.get_running_loop().call_later(URGENT_BATCH_S, self._send_urgent)
        self._urgent.add(host)

    def _send_urgent(self) -> None:
        hosts, self._urgent = self._urgent, set()
        update = self._own_update(sorted(hosts), full=True)
        for report in update.engines:
            self._prefix_selector.mark_sent(report)
        self._send_all(update)

    def _send_round(self) -> None:
        engines = [
            own.report
            for own in self._own_polls_by_host.values()
            if isinstance(own.report, EngineReport) and self._is_recent(own)
        ]
        max_count = MAX_PREFIXES_PER_ROUND // max(1, len(self._peers.connected))
        prefixes = self._prefix_selector.next_updates(engines, max_count=max_count)
        update = self._own_update(self._own_polls_by_host)._replace(prefixes=prefixes)
        self._send_all(update)

    def _refresh(self) -> None:
        """Drop state of hosts and peers that are gone; update the share interval."""
        hosts = self._watcher.entries_by_host if self._watcher else {}
        self._host_by_digest = {host_digest(host): host for host in hosts}
        connected_ids = {peer.id for peer in self._peers.connected}
        scaled_s = SHARE_INTERVAL_PER_PEER_S * len(connected_ids)
        self._interval_s = min(MAX_SHARE_INTERVAL_S, max(REPORT_INTERVAL_S, scaled_s))
        for by_host in (
            self._own_polls_by_host,
            self._full_reports_by_host,
            self._peer_polls_by_host,
        ):
            for host in by_host.keys() - hosts.keys():
                by_host.pop(host, None)
        for peer_id in self._delays_by_peer.keys() - connected_ids:
            del self._delays_by_peer[peer_id]
        for peer_polls in self._peer_polls_by_host.values():
            for peer_id in peer_polls.keys() - connected_ids:
                del peer_polls[peer_id]

    def _is_recent(self, own: _OwnPoll) -> bool:
        return loop_time() - own.at < self._interval_s + PEER_POLL_GRACE_S

    def _own_update(self, hosts: Iterable[str], *, full: bool = False) -> ReportUpdate:
        """Return an update with this daemon's newest polls of hosts.

        :param full: whether to include the full reports; limits the update to the
            first ``MAX_FULL_REPORTS`` hosts
        """
        now = loop_time()
        recent = [
            (host, own)
            for host in hosts
            if (own := self._own_polls_by_host.get(host)) and self._is_recent(own)
        ]
        if not full:
            return ReportUpdate(
                tuple(_shared_poll(host, own, now) for host, own in recent)
            )
        recent = recent[:MAX_FULL_REPORTS]
        reports = [own.report for _, own in recent]
        return ReportUpdate(
            tuple(_shared_poll(host, own, now, urgent=True) for host, own in recent),
            engines=tuple(
                truncate_prefixes(r) for r in reports if isinstance(r, EngineReport)
            ),
            services=tuple(r for r in reports if isinstance(r, ServiceReport)),
        )

    def _send_all(self, update: ReportUpdate) -> None:
        data = encode_update(update)
        for peer in self._peers.connected:
            self._send_frame(peer, data)

    def _send(self, peer: Member, update: ReportUpdate) -> None:
        self._send_frame(peer, encode_update(update))

    def _send_frame(self, peer: Member, data: bytes) -> None:
        delay = self._delays_by_peer.get(peer.id)
        min_difference_s = delay.min_difference_s(self._clock()) if delay else None
        self._peers.send(peer, Reports(loop_time(), min_difference_s, data))


def _shared_poll(
    host: str, own: _OwnPoll, now: float, *, urgent: bool = False
) -> SharedPoll:
    digest = own.digest
    if digest == CLOSED and not urgent:
        digest = NO_ANSWER
    return SharedPoll(
        host_digest(host),
        age_in_ms(now - own.at),
        digest,
        own.report.in_flight if own.report else 0,
        own.report.queued if isinstance(own.report, EngineReport) else 0,
    )
