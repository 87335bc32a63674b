"""What this daemon knows of the upstreams of its failure domain."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from typing import NamedTuple

from loguru import logger
from xxhash import xxh64_intdigest

from ..errors import PlatformError, Ran, UpstreamError
from ..platform import HostEntry, HostKind, HostList, Presence
from .engine import Engine, EngineReport, EngineState
from .observation import Observation, Result
from .pulse import Pulse
from .service import PlainService, ServiceReport
from .stragglers import Stragglers
from .warmth import Warmth

LIST_INTERVAL_S = 1.0
"""Seconds between two readings of the platform's list."""
REPORT_INTERVAL_S = 0.5
"""Seconds between two polls of an upstream."""
REPORT_TIMEOUT_S = 1.0
"""Seconds that a poll may take."""
FRESH_S = 2.0
"""Age in seconds at which a report no longer shows presence."""
RELAY_GRACE_S = 1.25
"""Age in seconds at which a host is polled here, whoever else should do it."""
EJECTION_INTERVAL_S = 0.5
"""Seconds between two comparisons of an upstream with its peers."""

log = logger.bind(part="upstreams")

Report = EngineReport | ServiceReport


def poll_key(host: str) -> str:
    """Return the key whose holder polls a host for its failure domain."""
    return f"poll/{host}"


class Sighting(NamedTuple):
    """A report and when it was asked for."""

    report: Report
    asked_at: float
    """The loop's time in seconds at which the poll was sent."""


class Watcher:
    """Watches each upstream of one failure domain, one task for each.

    :param hosts: the platform's list
    :param connect_engine: makes the adapter of an engine from its list entry
    :param connect_service: makes the adapter of a plain service
    :param failure_domain: the failure domain whose upstreams are watched
    :param is_out: whether operators have taken a failure domain and host out
    :param polls: whether this daemon polls a host itself; reports of the others
        come through :meth:`adopt`, and a host that none came from is polled too
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
    ) -> None:
        self.failure_domain = failure_domain
        self.entries_by_host: dict[str, HostEntry] = {}
        self.listed_by_name: dict[str, HostEntry] = {}
        """The platform's whole list, all failure domains."""
        self.engines_by_host: dict[str, Engine] = {}
        self.services_by_host: dict[str, PlainService] = {}
        self.changes = Pulse()
        self._hosts = hosts
        self._connect_engine = connect_engine
        self._connect_service = connect_service
        self._is_out = is_out
        self._polls = polls
        self._sightings_by_host: dict[str, Sighting] = {}
        self._barred_until_by_host: dict[str, float] = {}
        self._warmth_by_host: dict[str, Warmth] = {}
        self._tasks_by_host: dict[str, asyncio.Task[None]] = {}
        self._stragglers = Stragglers()
        self._ejected: frozenset[str] = frozenset()
        self._compared_at = -EJECTION_INTERVAL_S

    async def run(self) -> None:
        """Watch until cancelled."""
        try:
            while True:
                await self._read_list()
                await asyncio.sleep(LIST_INTERVAL_S)
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
        now = _now()
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
        return sighting is not None and _says_leaving(sighting.report)

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
        was sent later is answered.
        """
        warmth = self._warmth_by_host.get(host)
        if warmth is None:
            return
        warmth.see_call(observation, _now())
        if observation.result is Result.CLOSED:
            self._close(host)
        if observation.first_token_s is not None:
            self._stragglers.add(host, observation.first_token_s)

    def adopt(self, report: Report, *, age_s: float) -> None:
        """Take a report that a peer has polled.

        :param report: the report
        :param age_s: seconds since the peer asked for it, transit included
        """
        if report.host in self.entries_by_host:
            self._see(report, _now() - age_s)

    def own_reports(self) -> Mapping[str, tuple[Report, float]]:
        """Return the fresh reports of the hosts polled here, with ages in seconds."""
        now = _now()
        return {
            host: (sighting.report, now - sighting.asked_at)
            for host, sighting in self._sightings_by_host.items()
            if self._polls(host) and self._fresh(host)
        }

    def _group(self, host: str) -> str:
        report = self.report(host)
        if report is None or report.assignment is None:
            return self.entries_by_host[host].service
        return report.assignment.model

    def _fresh(self, host: str) -> Report | None:
        if host not in self.entries_by_host or not self._seen_within(host, FRESH_S):
            return None
        return self._sightings_by_host[host].report

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
        self.changes.send()

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
        task = asyncio.create_task(self._watch(entry.name))
        self._tasks_by_host[entry.name] = task

    async def _remove(self, host: str) -> None:
        log.info("Host {} is no longer listed.", host)
        self._tasks_by_host.pop(host).cancel()
        del self.entries_by_host[host], self._warmth_by_host[host]
        self._sightings_by_host.pop(host, None)
        self._barred_until_by_host.pop(host, None)
        self._stragglers.forget(host)
        engine = self.engines_by_host.pop(host, None)
        service = self.services_by_host.pop(host, None)
        self.changes.send()
        for upstream in (engine, service):
            if upstream is not None:
                await upstream.close()

    async def _watch(self, host: str) -> None:
        upstream = self.engines_by_host.get(host) or self.services_by_host[host]
        await asyncio.sleep(REPORT_INTERVAL_S * _phase(host))
        while True:
            started = _now()
            if self._polls(host) or not self._seen_within(host, RELAY_GRACE_S):
                await self._poll(host, upstream)
            await asyncio.sleep(max(0.0, started + REPORT_INTERVAL_S - _now()))

    async def _poll(self, host: str, upstream: Engine | PlainService) -> None:
        asked_at = _now()
        try:
            async with asyncio.timeout(REPORT_TIMEOUT_S):
                report = await _ask(upstream)
        except TimeoutError:
            return
        except UpstreamError:
            self._close(host)
        except Exception as error:
            log.opt(exception=error).error("Poll of {} failed.", host)
        else:
            self._see(report, asked_at)

    def _seen_within(self, host: str, age_s: float) -> bool:
        sighting = self._sightings_by_host.get(host)
        return sighting is not None and _now() - sighting.asked_at < age_s

    def _see(self, report: Report, asked_at: float) -> None:
        host = report.host
        known = self._sightings_by_host.get(host)
        barred = self._barred_until_by_host.get(host, -1.0)
        if asked_at <= barred or (known and asked_at <= known.asked_at):
            return
        self._sightings_by_host[host] = Sighting(report, asked_at)
        self._warm(report, asked_at)
        if known is None or _part(known.report) != _part(report):
            self.changes.send()

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

    def _close(self, host: str) -> None:
        self._barred_until_by_host[host] = _now()
        if self._sightings_by_host.pop(host, None) is not None:
            log.info("Host {} does not answer.", host)
            self.changes.send()


async def _ask(upstream: Engine | PlainService) -> Report:
    """Return a report; a connection that closed while idle gets a second try."""
    try:
        return await upstream.report()
    except UpstreamError as error:
        if error.ran is Ran.NO:
            raise
    return await upstream.report()


def _part(report: Report) -> tuple[object, ...]:
    """Return what a report says beside the load, which changes all the time."""
    if isinstance(report, ServiceReport):
        return report.incarnation, report.leaving
    return report.incarnation, report.state, report.assignment


def _says_leaving(report: Report) -> bool:
    if isinstance(report, ServiceReport):
        return report.leaving
    return report.state is EngineState.LEAVING


def _now() -> float:
    return asyncio.get_running_loop().time()


def _phase(host: str) -> float:
    return (xxh64_intdigest(host.encode()) % 1000) / 1000
