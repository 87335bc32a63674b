"""Presence, load and health of the upstreams of one failure domain."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable, Mapping

from loguru import logger

from ..clock import loop_time
from ..errors import PlatformError, UpstreamError
from ..external import HostEntry, HostKind, HostList, Presence
from ..notifier import Notifier
from .engine import Engine, EngineReport, EngineState
from .observation import Observation, Result
from .polls import (
    Poll,
    Report,
    TimedReport,
    fetch_report,
    fields_without_load,
    reports_leaving,
)
from .service import PlainService, ServiceReport
from .slow_start import SlowStart
from .stragglers import StragglerEjection

HOST_LIST_INTERVAL_S = 1.0
"""Seconds between two fetches of the platform's host list."""
REPORT_INTERVAL_S = 0.5
"""Default time between two polls of an upstream, in seconds."""
TICK_S = 0.25
"""Seconds between two runs of the poll scheduler."""
POLL_SPACING_S = 0.003
"""Longest pause, in seconds, between two polls that are due in the same tick."""
REPORT_TIMEOUT_S = 1.0
"""Timeout of a poll in seconds."""
MAX_REPORT_AGE_S = 2.0
"""Age in seconds at which a report expires and its host counts as absent."""
RELAY_GRACE_S = 1.0
"""Age in seconds of a report at which this daemon polls a peer's host itself."""
EJECTION_INTERVAL_S = 0.5
"""Seconds between two evaluations of which upstreams are ejected."""

log = logger.bind(part="upstreams")


class Watcher:
    """Polls the upstreams of one failure domain, with one task per upstream.

    :param hosts: the platform's host list
    :param connect_engine: returns the adapter of an engine for its list entry
    :param connect_service: returns the adapter of a plain service
    :param failure_domain: the failure domain whose upstreams are polled
    :param is_out: returns whether operators have taken a host out of service; an
        empty host name stands for the whole failure domain
    :param should_poll: returns whether this daemon polls a host itself; reports of all
        other hosts arrive through :meth:`accept_peer_report`
    :param interval_s: returns the seconds between two polls of a host
    :param relay_grace_s: age in seconds of the newest report at which this daemon
        polls a host even if ``should_poll`` returns False for it
    """

    def __init__(
        self,
        hosts: HostList,
        connect_engine: Callable[[HostEntry], Engine],
        connect_service: Callable[[HostEntry], PlainService],
        *,
        failure_domain: str,
        is_out: Callable[[str, str], bool] = lambda domain, host: False,
        should_poll: Callable[[str], bool] = lambda host: True,
        interval_s: Callable[[], float] = lambda: REPORT_INTERVAL_S,
        relay_grace_s: float = RELAY_GRACE_S,
    ) -> None:
        self.failure_domain = failure_domain
        self.entries_by_host: dict[str, HostEntry] = {}
        self.all_entries_by_name: dict[str, HostEntry] = {}
        """Entries of the platform's host list for all failure domains."""
        self.engines_by_host: dict[str, Engine] = {}
        self.services_by_host: dict[str, PlainService] = {}
        self.changes = Notifier()
        self.poll_rounds = Notifier()
        """Notified when all polls due in one scheduler tick have been started."""
        self.on_poll: Callable[[Poll], None] = lambda poll: None
        """Called with the result of each poll that this daemon has made."""
        self._hosts = hosts
        self._connect_engine = connect_engine
        self._connect_service = connect_service
        self._is_out = is_out
        self._should_poll = should_poll
        self._interval_s = interval_s
        self._relay_grace_s = relay_grace_s
        self._next_poll_at_by_host: dict[str, float] = {}
        self._poll_starts_by_host: dict[str, asyncio.Event] = {}
        self._newest_by_host: dict[str, TimedReport] = {}
        self._closed_at_by_host: dict[str, float] = {}
        self._suspects: set[str] = set()
        """Hosts whose connection this daemon has found closed.

        Reports from peers are ignored for them until a poll by this daemon
        succeeds.
        """
        self._slow_start_by_host: dict[str, SlowStart] = {}
        self._tasks_by_host: dict[str, asyncio.Task[None]] = {}
        self._stragglers = StragglerEjection()
        self._ejected: frozenset[str] = frozenset()
        self._ejection_checked_at = -EJECTION_INTERVAL_S

    async def run(self) -> None:
        """Follow the host list and poll upstreams until cancelled."""
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._follow_list())
                group.create_task(self._schedule_polls())
        finally:
            for host in list(self.entries_by_host):
                await self._remove(host)

    @property
    def domain_out(self) -> bool:
        """Return whether the whole failure domain is taken out of service."""
        return self._is_out(self.failure_domain, "")

    @property
    def ejected(self) -> frozenset[str]:
        """Return the hosts ejected because they are much slower than their peers."""
        now = loop_time()
        if now - self._ejection_checked_at >= EJECTION_INTERVAL_S:
            group_by_host = {
                host: self._peer_group(host) for host in self.entries_by_host
            }
            self._ejected = self._stragglers.ejected(group_by_host, now)
            self._ejection_checked_at = now
        return self._ejected

    def report(self, host: str) -> EngineReport | None:
        """Return an engine's newest report, or None if it has expired."""
        report = self._fresh_report(host)
        return report if isinstance(report, EngineReport) else None

    def service_report(self, host: str) -> ServiceReport | None:
        """Return a plain service's newest report, or None if it has expired."""
        report = self._fresh_report(host)
        return report if isinstance(report, ServiceReport) else None

    def present(self, host: str) -> bool:
        """Return whether a host is listed and its newest report has not expired."""
        return self._fresh_report(host) is not None

    def leaving(self, host: str) -> bool:
        """Return whether the host list or the host's own report says it is leaving."""
        entry = self.entries_by_host.get(host)
        if entry is not None and entry.presence is Presence.LEAVING:
            return True
        newest = self._newest_by_host.get(host)
        return newest is not None and reports_leaving(newest.report)

    def out(self, host: str) -> bool:
        """Return whether operators have taken a host or its domain out of service."""
        return self._is_out(self.failure_domain, host)

    def usable(self, host: str) -> bool:
        """Return whether new requests may be routed to a host."""
        return self.present(host) and not self.leaving(host) and not self.out(host)

    def limit(self, host: str) -> int:
        """Return an upstream's concurrency limit, counting calls of all daemons.

        The limit is 0 while no unexpired report shows which incarnation is running.
        """
        slow_start = self._slow_start_by_host.get(host)
        return slow_start.limit if slow_start and self.present(host) else 0

    def observe(self, host: str, observation: Observation) -> None:
        """Record the outcome of a call that was sent to an upstream.

        After a closed connection the host counts as absent until it answers a
        poll that this daemon sends later.
        """
        slow_start = self._slow_start_by_host.get(host)
        if slow_start is None:
            return
        slow_start.record_call(observation, loop_time())
        if observation.result is Result.CLOSED:
            self._mark_suspect(host)
        if observation.first_token_s is not None:
            self._stragglers.add(host, observation.first_token_s)

    def accept_peer_report(self, report: Report, *, age_s: float) -> None:
        """Store a report that a peer obtained by polling the host.

        :param report: the report
        :param age_s: seconds since the peer sent the poll, including network delay
        """
        if self._accepts_peer_report(report.host):
            self._store_report(report, loop_time() - age_s)

    def own_reports(self) -> Mapping[str, tuple[Report, float]]:
        """Return the unexpired reports of hosts polled here, with ages in seconds."""
        now = loop_time()
        return {
            host: (newest.report, now - newest.requested_at)
            for host, newest in self._newest_by_host.items()
            if self._should_poll(host) and self._fresh_report(host)
        }

    def mark_closed(self, host: str, *, age_s: float) -> None:
        """Mark a host as absent after a peer has found its connection closed.

        A report requested after the connection closed makes the host present again.

        :param host: the host
        :param age_s: lower bound of the seconds since the peer found it closed
        """
        known = self._newest_by_host.get(host)
        closed_at = loop_time() - age_s
        if host in self.entries_by_host and (
            not known or known.requested_at <= closed_at
        ):
            self._record_close(host, closed_at)

    def _peer_group(self, host: str) -> str:
        report = self.report(host)
        if report is None or report.assignment is None:
            return self.entries_by_host[host].service
        return report.assignment.model

    def _fresh_report(self, host: str) -> Report | None:
        if host not in self.entries_by_host or not self._reported_within(
            host, MAX_REPORT_AGE_S
        ):
            return None
        return self._newest_by_host[host].report

    async def _follow_list(self) -> None:
        while True:
            await self._read_list()
            await asyncio.sleep(HOST_LIST_INTERVAL_S)

    async def _schedule_polls(self) -> None:
        """Start a poll of each host assigned to this daemon once per interval."""
        while True:
            started = loop_time()
            due = [host for host in self.entries_by_host if self._is_due(host)]
            for host in due:
                if host in self._poll_starts_by_host:
                    self._next_poll_at_by_host[host] = started + self._interval_s()
                    self._poll_starts_by_host[host].set()
                await asyncio.sleep(min(POLL_SPACING_S, TICK_S / 2 / len(due)))
            if due:
                self.poll_rounds.notify()
            await asyncio.sleep(max(0.0, started + TICK_S - loop_time()))

    def _is_due(self, host: str) -> bool:
        # A poll may start up to half a tick early, because the interval is not an
        # exact multiple of the tick.
        due = self._next_poll_at_by_host.get(host, 0.0) - TICK_S / 2 <= loop_time()
        return due and (self._should_poll(host) or not self._has_recent_report(host))

    def _has_recent_report(self, host: str) -> bool:
        if host in self._suspects:
            return False
        grace_s = self._relay_grace_s
        return grace_s == math.inf or self._reported_within(host, grace_s)

    async def _read_list(self) -> None:
        try:
            entries = await self._hosts.fetch()
        except PlatformError as error:
            log.warning("Failed to fetch the host list: {}.", error)
            return
        self.all_entries_by_name = {e.name: e for e in entries}
        own_entries = {e.name: e for e in entries if self._is_upstream(e)}
        for host in list(self.entries_by_host):
            if host not in own_entries or own_entries[host].address != self._address(
                host
            ):
                await self._remove(host)
        for entry in own_entries.values():
            self._add(entry)
        self.changes.notify()

    def _is_upstream(self, entry: HostEntry) -> bool:
        if entry.kind is HostKind.DAEMON:
            return False
        return entry.failure_domain == self.failure_domain

    def _address(self, host: str) -> str:
        return self.entries_by_host[host].address

    def _add(self, entry: HostEntry) -> None:
        known = entry.name in self.entries_by_host
        self.entries_by_host[entry.name] = entry
        if known:
            return
        log.info("Host {} was added to the host list.", entry.name)
        self._slow_start_by_host[entry.name] = SlowStart(entry.cold_slots, entry.slots)
        if entry.kind is HostKind.ENGINE:
            self.engines_by_host[entry.name] = self._connect_engine(entry)
        else:
            self.services_by_host[entry.name] = self._connect_service(entry)
        self._poll_starts_by_host[entry.name] = asyncio.Event()
        task = asyncio.create_task(self._watch(entry.name))
        self._tasks_by_host[entry.name] = task

    async def _remove(self, host: str) -> None:
        log.info("Host {} was removed from the host list.", host)
        self._tasks_by_host.pop(host).cancel()
        del self._poll_starts_by_host[host]
        self._next_poll_at_by_host.pop(host, None)
        del self.entries_by_host[host], self._slow_start_by_host[host]
        self._newest_by_host.pop(host, None)
        self._closed_at_by_host.pop(host, None)
        self._suspects.discard(host)
        self._stragglers.forget(host)
        engine = self.engines_by_host.pop(host, None)
        service = self.services_by_host.pop(host, None)
        self.changes.notify()
        for upstream in (engine, service):
            if upstream is not None:
                await upstream.close()

    async def _watch(self, host: str) -> None:
        upstream = self.engines_by_host.get(host) or self.services_by_host[host]
        start = self._poll_starts_by_host[host]
        while True:
            await start.wait()
            start.clear()
            self.on_poll(await self._poll(host, upstream))

    async def _poll(self, host: str, upstream: Engine | PlainService) -> Poll:
        requested_at = loop_time()
        try:
            async with asyncio.timeout(REPORT_TIMEOUT_S):
                report = await fetch_report(upstream)
        except TimeoutError:
            return Poll(host, requested_at, None)
        except UpstreamError:
            self._mark_suspect(host)
            return Poll(host, loop_time(), None, closed=True)
        except Exception as error:
            log.opt(exception=error).error("Poll of {} failed.", host)
            return Poll(host, requested_at, None)
        if report.host != host:
            log.warning(
                "Host {} sent a report in the name of host {}.", host, report.host
            )
            return Poll(host, requested_at, None)
        if requested_at > self._closed_at_by_host.get(host, -1.0):
            self._suspects.discard(host)
        self._store_report(report, requested_at)
        return Poll(host, requested_at, report)

    def _accepts_peer_report(self, host: str) -> bool:
        return host in self.entries_by_host and host not in self._suspects

    def _reported_within(self, host: str, age_s: float) -> bool:
        newest = self._newest_by_host.get(host)
        return newest is not None and loop_time() - newest.requested_at < age_s

    def _store_report(self, report: Report, requested_at: float) -> None:
        host = report.host
        known = self._newest_by_host.get(host)
        closed_at = self._closed_at_by_host.get(host, -1.0)
        if requested_at <= closed_at or (known and requested_at <= known.requested_at):
            return
        self._newest_by_host[host] = TimedReport(report, requested_at)
        self._update_slow_start(report, requested_at)
        if known is None or fields_without_load(known.report) != fields_without_load(
            report
        ):
            self.changes.notify()

    def _update_slow_start(self, report: Report, now: float) -> None:
        slow_start = self._slow_start_by_host[report.host]
        if isinstance(report, ServiceReport):
            slow_start.record_start(report.incarnation, None, ready=True)
            slow_start.record_load(report.in_flight, 0, now)
            return
        ready = report.state in (EngineState.READY, EngineState.LEAVING)
        slow_start.record_start(report.incarnation, report.assignment, ready=ready)
        if ready:
            slow_start.record_load(report.in_flight, report.queued, now)

    def _mark_suspect(self, host: str) -> None:
        self._suspects.add(host)
        self._record_close(host, loop_time())

    def _record_close(self, host: str, closed_at: float) -> None:
        known_at = self._closed_at_by_host.get(host, closed_at)
        self._closed_at_by_host[host] = max(known_at, closed_at)
        if self._newest_by_host.pop(host, None) is not None:
            log.info("Host {} does not answer.", host)
            self.changes.notify()
