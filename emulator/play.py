"""Simulates one day of an installation on virtual time."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine, Sequence
from typing import Any

import numpy
from numpy.random import Generator

from auburnproxy.clock import loop_time
from auburnproxy.gateway.host import Host
from auburnproxy.gateway.route import (
    Configuration,
    RequestLimits,
    Route,
    RouteKind,
    ServiceSpec,
    Target,
)
from auburnproxy.store import Change
from features.fakes.store import FakeStore, FakeTopics, null_decisions

from .callers import Caller, Outcome
from .daemons import (
    CONFIGURATION,
    OPERATORS,
    OUT_PREFIX,
    DaemonGroup,
    EmulatedDaemon,
    settings_of,
)
from .day import Day, Fault, RequestKind
from .fleet import DEADLY_PROMPT_PART, SHARED_PROMPT_PART, Fleet, PlainHost
from .network import Location, Network, VirtualLoop
from .registrations import Registrations
from .upstreams import EmulatedSender

STARTUP_S = 12.0
"""Time between the start of engines and daemons and the first request."""
DRAIN_S = 10.0
"""Time after the last arrival in which open requests may still finish."""
ENGINES, PLAIN = "engines", "plain"
VERSION = b"1"
RETRANSMISSION_DELAY_S = 0.2
"""Delay of a block whose packet was lost and is sent again."""
PLAIN_WORK_SIGMA = 0.5
"""Sigma of the log-normal service time of plain engines."""
DaemonPatch = Callable[[EmulatedDaemon], None]
"""Modifies a daemon before it starts, to disable a mechanism in an experiment."""


def play(
    day: Day, seed: int, daemon_patches: Sequence[DaemonPatch] = ()
) -> list[Outcome]:
    """Simulate a day and return the outcome of each request.

    :param seed: seed of all random draws
    :param daemon_patches: modifications applied to each daemon before it starts
    """
    links = Network()
    loop = VirtualLoop(links)
    asyncio.set_event_loop(loop)
    try:
        outcomes: list[Outcome] = loop.run_until_complete(
            _DayRun(day, seed, links, daemon_patches).run()
        )
        return outcomes
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0))
        loop.close()


class _DayRun:
    def __init__(
        self, day: Day, seed: int, links: Network, daemon_patches: Sequence[DaemonPatch]
    ) -> None:
        self._day = day
        self._installation = day.installation
        self._seed = seed
        self._links = links
        self._daemon_patches = daemon_patches
        self._random = numpy.random.default_rng(seed)
        self._topics = FakeTopics()
        self._store_by_daemon: dict[str, FakeStore] = {}
        self._outcomes: list[Outcome] = []
        self._arrival_rate_factor = 1.0
        self._deadly_fraction = 0.0
        self._lost_packets = self._installation.lost_packets
        links.retransmission_delay_s = self._retransmission_delay_s
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> list[Outcome]:
        self._start_installation()
        await asyncio.sleep(STARTUP_S)
        self._started_at = loop_time()
        for fault in self._day.faults:
            self._start_task(self._inject_fault(fault))
        arrivals = [
            asyncio.create_task(self._generate_arrivals(kind, domain))
            for kind in self._installation.kinds
            for domain in self._domains()
        ]
        await asyncio.sleep(self._day.seconds + DRAIN_S)
        for task in arrivals:
            task.cancel()
        for name in list(self.group.daemon_by_name):
            await self.group.kill(name)
        return self._outcomes

    def _domains(self) -> list[str]:
        return [f"fd{number}" for number in range(self._installation.failure_domains)]

    def _start_installation(self) -> None:
        self._topics.append(OPERATORS, [Change(CONFIGURATION, VERSION)])
        self.fleet = Fleet(
            Registrations(self._topics.append),
            self._installation.engine,
            self._installation.prefill,
            served=lambda: any(d.frontend.served for d in self.group.daemons),
        )
        self.group = DaemonGroup(
            self._links,
            self.fleet,
            {VERSION: _configuration(self._day)},
            open_store=self._open_store,
            open_decisions=lambda name: null_decisions(),
            open_sender=self._open_sender,
            seed=self._seed,
        )
        for number in range(self._installation.engines):
            domain = number % self._installation.failure_domains
            index = number // self._installation.failure_domains
            fabric = f"f{domain}-{index // self._installation.fabric_domain}"
            self.fleet.add(
                _host(
                    f"e{number}",
                    ENGINES,
                    f"fd{domain}",
                    fabric,
                    self._installation.engine.slots,
                )
            )
        for number in range(self._installation.plain_engines):
            domain = number % self._installation.failure_domains
            host = _host(
                f"p{number}", PLAIN, f"fd{domain}", "", self._installation.plain_slots
            )
            self.fleet.add_plain(
                host, PlainHost(self._installation.plain_slots, self._draw_plain_work_s)
            )
        self._start_task(self.fleet.renew_registrations())
        for number in range(self._installation.daemons):
            self._start_daemon(number, first_start=True)

    def _draw_plain_work_s(self) -> float:
        sigma = PLAIN_WORK_SIGMA
        drawn = self._random.lognormal(-sigma * sigma / 2, sigma)
        return float(drawn * self._installation.plain_work_s)

    def _open_store(self, location: Location) -> FakeStore:
        return self._store_by_daemon.setdefault(location.name, FakeStore(self._topics))

    def _open_sender(self, daemon: EmulatedDaemon) -> EmulatedSender:
        return EmulatedSender(
            daemon.location,
            self._links,
            self.fleet,
            header_codec=None,
            directory=daemon.directory,
            backoffs=daemon.backoffs,
            limits=daemon.limits,
            reachability=daemon.reachability,
        )

    def _start_daemon(self, number: int, *, first_start: bool) -> None:
        settings = settings_of(
            number,
            failure_domain=f"fd{number % self._installation.failure_domains}",
            first_start=first_start,
        )
        self.group.start(settings, self._daemon_patches)

    def _daemons_for(self, domain: str) -> list[EmulatedDaemon]:
        """Return the daemons that the external load balancer picks for a domain."""
        ready = [daemon for daemon in self.group.daemons if daemon.ready]
        near = [d for d in ready if d.settings.failure_domain == domain]
        return near or [
            d for d in ready if d.settings.failure_domain not in self._links.cut_domains
        ]

    async def _generate_arrivals(self, kind: RequestKind, domain: str) -> None:
        random = numpy.random.default_rng(
            [self._seed, *f"{kind.name} {domain}".encode()]
        )
        rate = kind.per_s / self._installation.failure_domains
        ends_at, number = self._started_at + self._day.seconds, 0
        while True:
            await asyncio.sleep(
                random.exponential(1 / (rate * self._arrival_rate_factor))
            )
            if loop_time() >= ends_at:
                return
            number += 1
            self._start_task(
                self._run_request(
                    kind, domain, f"{kind.name}-{domain}-{number}", random
                )
            )

    async def _run_request(
        self, kind: RequestKind, domain: str, id: str, random: Generator
    ) -> None:
        parts = self._shared_prompt_parts()
        caller = Caller(
            kind, domain, self._daemons_for, random, id=id, prompt_parts=parts
        )
        self._outcomes.append(await caller.run(self._started_at))

    def _start_task(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _inject_fault(self, fault: Fault) -> None:
        """Inject a fault, and end it after ``for-s`` if it has an end."""
        await asyncio.sleep(fault.at_s)
        begin = getattr(self, "_" + fault.kind.replace("-", "_"))
        end = begin(
            **{
                k.replace("-", "_"): v
                for k, v in fault.values.items()
                if k not in ("at-s", "for-s")
            }
        )
        if end is not None:
            await asyncio.sleep(fault.values["for-s"])
            end()

    def _running_engines(self) -> list[str]:
        hosts = self.fleet.hosts
        return [
            n
            for n in hosts
            if hosts[n].service == ENGINES and n not in self.fleet.stopped
        ]

    def _sample_names(self, names: Sequence[str], count: int) -> list[str]:
        """Draw up to ``count`` names without replacement."""
        drawn = self._random.choice(len(names), min(count, len(names)), replace=False)
        return [names[index] for index in drawn]

    def _restore_store(self) -> None:
        """Make the store reachable again for every daemon."""
        for store in self._store_by_daemon.values():
            store.rejecting = False

    def _lose_engines(self, count: int, dark: bool = False) -> None:
        self.fleet.lose(self._sample_names(self._running_engines(), count), dark=dark)

    def _lose_fabric_domain(self, index: int) -> Callable[[], None]:
        fabrics = sorted(
            {self.fleet.hosts[name].fabric_domain for name in self._running_engines()}
        )
        fabric = fabrics[index % len(fabrics)]
        lost = [
            n
            for n in self._running_engines()
            if self.fleet.hosts[n].fabric_domain == fabric
        ]
        self.fleet.lose(lost, dark=True)
        return lambda: self.fleet.restart(lost)

    def _cut_domain(self, index: int) -> Callable[[], None]:
        domain = f"fd{index}"
        self._links.cut_domains.add(domain)
        for daemon in self.group.daemons:
            if daemon.settings.failure_domain == domain:
                self._store_by_daemon[daemon.settings.name].rejecting = True

        def end() -> None:
            self._links.cut_domains.discard(domain)
            self._restore_store()

        return end

    def _take_domain_out(self, index: int) -> Callable[[], None]:
        key = f"{OUT_PREFIX}fd{index}"
        self._topics.append(OPERATORS, [Change(key, b"1")])

        def end() -> None:
            self._topics.append(OPERATORS, [Change(key, b"")])

        return end

    def _burst(self, times: float) -> Callable[[], None]:
        self._arrival_rate_factor *= times

        def end() -> None:
            self._arrival_rate_factor /= times

        return end

    def _store_away(self) -> Callable[[], None]:
        for store in self._store_by_daemon.values():
            store.rejecting = True
        return self._restore_store

    def _slow_engines(self, count: int, times: float) -> Callable[[], None]:
        names = self._sample_names(self._running_engines(), count)
        self.fleet.slowdown_by_id.update(dict.fromkeys(names, times))

        def end() -> None:
            for name in names:
                self.fleet.slowdown_by_id.pop(name, None)

        return end

    def _lose_packets(self, part: float) -> Callable[[], None]:
        self._lost_packets += part

        def end() -> None:
            self._lost_packets -= part

        return end

    def _limit_engines(self, count: int, per_s: float) -> Callable[[], None]:
        """Let engines name a limit of requests a second."""
        names = self._sample_names(self._running_engines(), count)
        self.fleet.limit_by_id.update(dict.fromkeys(names, per_s))

        def end() -> None:
            for name in names:
                self.fleet.limit_by_id.pop(name, None)

        return end

    def _deadly_part(self, part: float) -> Callable[[], None]:
        """Let a part of the streams' prompts end the engines that answer them."""
        self._deadly_fraction = part

        def end() -> None:
            self._deadly_fraction = 0.0

        return end

    def _shared_prompt_parts(self) -> list[str]:
        """Draw the shared prompt parts of the next request."""
        deadly = self._deadly_fraction and self._random.random() < self._deadly_fraction
        return (
            [SHARED_PROMPT_PART, DEADLY_PROMPT_PART] if deadly else [SHARED_PROMPT_PART]
        )

    def _retransmission_delay_s(self) -> float:
        return (
            RETRANSMISSION_DELAY_S
            if self._random.random() < self._lost_packets
            else 0.0
        )

    def _kill_daemons(self, count: int) -> Callable[[], None]:
        return self._kill_and_plan_restart(
            self._sample_names(sorted(self.group.daemon_by_name), count)
        )

    def _restart_everything(self) -> Callable[[], None]:
        engines = self._running_engines()
        self.fleet.lose(engines, dark=True)
        start = self._kill_and_plan_restart(sorted(self.group.daemon_by_name))

        def end() -> None:
            self.fleet.restart(engines)
            start()

        return end

    def _kill_and_plan_restart(self, names: list[str]) -> Callable[[], None]:
        for name in names:
            self._start_task(self.group.kill(name))

        def start() -> None:
            for name in names:
                self._start_daemon(int(name[1:]), first_start=False)

        return start


def _host(name: str, service: str, domain: str, fabric: str, slots: int) -> Host:
    return Host(
        id=name,
        service=service,
        address=f"{name}:1",
        failure_domain=domain,
        slots=slots,
        leaving=False,
        cold_s=0.0,
        born=1,
        fabric_domain=fabric,
    )


def _configuration(day: Day) -> Configuration:
    """Return the operator configuration, with one route per request kind."""
    routes = tuple(map(_route, day.installation.kinds))
    services = {
        ENGINES: ServiceSpec(ENGINES, 0.0, 0.0, day.installation.engine),
        PLAIN: ServiceSpec(PLAIN, 0.0, 0.0, None),
    }
    return Configuration(1, {"emulated": routes}, services, {}, False, RequestLimits())


def _route(kind: RequestKind) -> Route:
    route_kind = RouteKind.STREAM if kind.model else RouteKind.IDEMPOTENT
    if not kind.repeatable:
        route_kind = RouteKind.ONCE
    return Route(
        name=kind.name,
        host="emulated",
        prefix=f"/{kind.name}/",
        kind=route_kind,
        targets=(Target(ENGINES if kind.model else PLAIN, 100),),
        timeout_s=kind.limit_s,
        objective_s=kind.objective_s,
        pause_objective_s=kind.pause_s,
        attempts=2 if kind.repeatable else 1,
        priority=1,
        public=True,
        resumable=bool(kind.model),
    )
