"""What this daemon knows of the upstreams of its failure domain."""

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
from .service import PlainService, ServiceReport
from .sighting import Poll, Report, Sighting, ask, part, says_leaving
from .stragglers import Stragglers
from .warmth import Warmth

LIST_INTERVAL_S = 1.0
"""Seconds between two readings of the platform's list."""
REPORT_INTERVAL_S = 0.5
"""Seconds between two polls of an upstream."""
TICK_S = 0.25
"""Seconds between two looks for polls that are due."""
GAP_S = 0.003
"""Longest gap between two polls that fall due together."""
REPORT_TIMEOUT_S = 1.0
"""Seconds that a poll may take."""
FRESH_S = 2.0
"""Age in seconds at which a report no longer shows presence."""
RELAY_GRACE_S = 1.0
"""Age in seconds at which a host is polled here, whoever else should do it."""
EJECTION_INTERVAL_S = 0.5
"""Seconds between two comparisons of an upstream with its peers."""

log = logger.bind(part="upstreams")


class Watcher:
    """Watches each upstream of one failure domain, one task for each.

    :param hosts: the platform's list
    :param connect_engine: makes the adapter of an engine from its list entry
    :param connect_service: makes the adapter of a plain service
    :param failure_domain: the failure domain whose upstreams are watched
    :param is_out: whether operators have taken a failure domain and host out
    :param polls: whether this daemon polls a host itself; reports of the others
        come through :meth:`adopt`
    :param interval_s: returns the seconds between two polls of a host
    :param relay_grace_s: age in seconds of the newest report from which a host is
        polled in any case
    """

    def __init__(
        self,
        hosts: HostList,
        connect_engine: Callable[[HostEntry], Engine],
        connect_service: Callable[[HostEntry], PlainService],
        *,
        failure_domain: str,
        is_out: Callable[[str, str], bool] = lambda domain, host: False,
        polls: Callable[[str], bool] = lambda host: True,
        interval_s: Callable[[], float] = lambda: REPORT_INTERVAL_S,
        relay_grace_s: float = RELAY_GRACE_S,
    ) -> None:
        self.failure_domain = failure_domain
        self.entries_by_host: dict[str, HostEntry] = {}
        self.listed_by_name: dict[str, HostEntry] = {}
        """The platform's whole list, all failure domains."""
        self.engines_by_host: dict[str, Engine] = {}
        self.services_by_host: dict[str, PlainService] = {}
        self.changes = Notifier()
        self.rounds = Notifier()
        """Sent after the polls that fell due together have been sent."""
        self.polled: Callable[[Poll], None] = lambda poll: None
        """Called with each poll of this daemon that has ended."""
        self._hosts = hosts
        self._connect_engine = connect_engine
        self._connect_service = connect_service
        self._is_out = is_out
        self._polls = polls
        self._interval_s = interval_s
        self._relay_grace_s = relay_grace_s
        self._due_by_host: dict[str, float] = {}
        self._turns_by_host: dict[str, asyncio.Event] = {}
        self._sightings_by_host: dict[str, Sighting] = {}
        self._barred_until_by_host: dict[str, float] = {}
        self._distrusted: set[str] = set()
        """Hosts whose closed connection was seen here; only own polls clear them."""
        self._warmth_by_host: dict[str, Warmth] = {}
        self._tasks_by_host: dict[str, asyncio.Task[None]] = {}
        self._stragglers = Stragglers()
        self._ejected: frozenset[str] = frozenset()
        self._compared_at = -EJECTION_INTERVAL_S

    async def run(self) -> None:
        """Watch until cancelled."""
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._follow_list())
                group.create_task(self._pace())
        finally:
            for host in list(self.entries_by_host):
                await self._remove(host)

    @property
    def domain_out(self) -> bool:
        """Return whether the whole failure domain is taken out."""
        return self._is_out(self.failure_domain, "")

    @property
    def ejected(self) -> frozenset[str]:
        """Return the hosts that are much slower than their peers."""
        now = loop_time()
        if now - self._compared_at >= EJECTION_INTERVAL_S:
            groups = {host: self._group(host) for host in self.entries_by_host}
            self._ejected = self._stragglers.ejected(groups, now)
            self._compared_at = now
        return self._ejected

    def report(self, host: str) -> EngineReport | None:
        """Return an engine's report if it is fresh."""
        report = self._fresh(host)
        return report if isinstance(report, EngineReport) else None

    def service_report(self, host: str) -> ServiceReport | None:
        """Return a plain service's report if it is fresh."""
        report = self._fresh(host)
        return report if isinstance(report, ServiceReport) else None

    def present(self, host: str) -> bool:
        """Return whether a host is listed and has shown itself of late."""
        return self._fresh(host) is not None

    def leaving(self, host: str) -> bool:
        """Return whether a host leaves, by the list or by its own report."""
        entry = self.entries_by_host.get(host)
        if entry is not None and entry.presence is Presence.LEAVING:
            return True
        sighting = self._sightings_by_host.get(host)
        return sighting is not None and says_leaving(sighting.report)

    def out(self, host: str) -> bool:
        """Return whether operators have taken a host or its domain out."""
        return self._is_out(self.failure_domain, host)

    def usable(self, host: str) -> bool:
        """Return whether a host may get new work."""
        return self.present(host) and not self.leaving(host) and not self.out(host)

    def limit(self, host: str) -> int:
        """Return the calls that an upstream bears at once, from all daemons.

        It is 0 until a fresh report shows which start of the upstream is there.
        """
        warmth = self._warmth_by_host.get(host)
        return warmth.limit if warmth and self.present(host) else 0

    def observe(self, host: str, observation: Observation) -> None:
        """Learn from a call that was sent to an upstream.

        After a closed connection the host counts as missing until a poll that
        this daemon sent later is answered.
        """
        warmth = self._warmth_by_host.get(host)
        if warmth is None:
            return
        warmth.see_call(observation, loop_time())
        if observation.result is Result.CLOSED:
            self._distrust(host)
        if observation.first_token_s is not None:
            self._stragglers.add(host, observation.first_token_s)

    def adopt(self, report: Report, *, age_s: float) -> None:
        """Take a report that a peer has polled.

        :param report: the report
        :param age_s: seconds since the peer asked for it, transit included
        """
        if self._takes(report.host):
            self._see(report, loop_time() - age_s)

    def own_reports(self) -> Mapping[str, tuple[Report, float]]:
        """Return the fresh reports of the hosts polled here, with ages in seconds."""
        now = loop_time()
        return {
            host: (sighting.report, now - sighting.asked_at)
            for host, sighting in self._sightings_by_host.items()
            if self._polls(host) and self._fresh(host)
        }

    def bar(self, host: str, *, age_s: float) -> None:
        """Count a host as missing whose connection a peer has found closed.

        :param host: the host
        :param age_s: least seconds since then; later reports lift the bar
        """
        known = self._sightings_by_host.get(host)
        closed_at = loop_time() - age_s
        if host in self.entries_by_host and (not known or known.asked_at <= closed_at):
            self._close(host, closed_at)

    def _group(self, host: str) -> str:
        report = self.report(host)
        if report is None or report.assignment is None:
            return self.entries_by_host[host].service
        return report.assignment.model

    def _fresh(self, host: str) -> Report | None:
        if host not in self.entries_by_host or not self._seen_within(host, FRESH_S):
            return None
        return self._sightings_by_host[host].report

    async def _follow_list(self) -> None:
        while True:
            await self._read_list()
            await asyncio.sleep(LIST_INTERVAL_S)

    async def _pace(self) -> None:
        """Give each host that this daemon polls its turn once in an interval."""
        while True:
            started = loop_time()
            due = [host for host in self.entries_by_host if self._is_due(host)]
            for host in due:
                if host in self._turns_by_host:
                    self._due_by_host[host] = started + self._interval_s()
                    self._turns_by_host[host].set()
                await asyncio.sleep(min(GAP_S, TICK_S / 2 / len(due)))
            if due:
                self.rounds.notify()
            await asyncio.sleep(max(0.0, started + TICK_S - loop_time()))

    def _is_due(self, host: str) -> bool:
        # Half a tick early is on time: the ticks are no exact parts of an interval.
        due = self._due_by_host.get(host, 0.0) - TICK_S / 2 <= loop_time()
        return due and (self._polls(host) or not self._is_relayed(host))

    def _is_relayed(self, host: str) -> bool:
        if host in self._distrusted:
            return False
        grace_s = self._relay_grace_s
        return grace_s == math.inf or self._seen_within(host, grace_s)

    async def _read_list(self) -> None:
        try:
            entries = await self._hosts.fetch()
        except PlatformError as error:
            log.warning("Host list not read: {}.", error)
            return
        self.listed_by_name = {e.name: e for e in entries}
        own = {e.name: e for e in entries if self._is_upstream(e)}
        for host in list(self.entries_by_host):
            if host not in own or own[host].address != self._address(host):
                await self._remove(host)
        for entry in own.values():
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
        log.info("Host {} is listed.", entry.name)
        self._warmth_by_host[entry.name] = Warmth(entry.cold_slots, entry.slots)
        if entry.kind is HostKind.ENGINE:
            self.engines_by_host[entry.name] = self._connect_engine(entry)
        else:
            self.services_by_host[entry.name] = self._connect_service(entry)
        self._turns_by_host[entry.name] = asyncio.Event()
        task = asyncio.create_task(self._watch(entry.name))
        self._tasks_by_host[entry.name] = task

    async def _remove(self, host: str) -> None:
        log.info("Host {} is no longer listed.", host)
        self._tasks_by_host.pop(host).cancel()
        del self._turns_by_host[host]
        self._due_by_host.pop(host, None)
        del self.entries_by_host[host], self._warmth_by_host[host]
        self._sightings_by_host.pop(host, None)
        self._barred_until_by_host.pop(host, None)
        self._distrusted.discard(host)
        self._stragglers.forget(host)
        engine = self.engines_by_host.pop(host, None)
        service = self.services_by_host.pop(host, None)
        self.changes.notify()
        for upstream in (engine, service):
            if upstream is not None:
                await upstream.close()

    async def _watch(self, host: str) -> None:
        upstream = self.engines_by_host.get(host) or self.services_by_host[host]
        turn = self._turns_by_host[host]
        while True:
            await turn.wait()
            turn.clear()
            self.polled(await self._poll(host, upstream))

    async def _poll(self, host: str, upstream: Engine | PlainService) -> Poll:
        asked_at = loop_time()
        try:
            async with asyncio.timeout(REPORT_TIMEOUT_S):
                report = await ask(upstream)
        except TimeoutError:
            return Poll(host, asked_at, None)
        except UpstreamError:
            self._distrust(host)
            return Poll(host, loop_time(), None, closed=True)
        except Exception as error:
            log.opt(exception=error).error("Poll of {} failed.", host)
            return Poll(host, asked_at, None)
        if report.host != host:
            log.warning("Host {} reports as {}.", host, report.host)
            return Poll(host, asked_at, None)
        if asked_at > self._barred_until_by_host.get(host, -1.0):
            self._distrusted.discard(host)
        self._see(report, asked_at)
        return Poll(host, asked_at, report)

    def _takes(self, host: str) -> bool:
        return host in self.entries_by_host and host not in self._distrusted

    def _seen_within(self, host: str, age_s: float) -> bool:
        sighting = self._sightings_by_host.get(host)
        return sighting is not None and loop_time() - sighting.asked_at < age_s

    def _see(self, report: Report, asked_at: float) -> None:
        host = report.host
        known = self._sightings_by_host.get(host)
        barred = self._barred_until_by_host.get(host, -1.0)
        if asked_at <= barred or (known and asked_at <= known.asked_at):
            return
        self._sightings_by_host[host] = Sighting(report, asked_at)
        self._warm(report, asked_at)
        if known is None or part(known.report) != part(report):
            self.changes.notify()

    def _warm(self, report: Report, now: float) -> None:
        warmth = self._warmth_by_host[report.host]
        if isinstance(report, ServiceReport):
            warmth.see_start(report.incarnation, None, ready=True)
            warmth.see_load(report.in_flight, 0, now)
            return
        ready = report.state in (EngineState.READY, EngineState.LEAVING)
        warmth.see_start(report.incarnation, report.assignment, ready=ready)
        if ready:
            warmth.see_load(report.in_flight, report.queued, now)

    def _distrust(self, host: str) -> None:
        self._distrusted.add(host)
        self._close(host, loop_time())

    def _close(self, host: str, closed_at: float) -> None:
        barred = self._barred_until_by_host.get(host, closed_at)
        self._barred_until_by_host[host] = max(barred, closed_at)
        if self._sightings_by_host.pop(host, None) is not None:
            log.info("Host {} does not answer.", host)
            self.changes.notify()
