"""Fakes of everything around the replicas package, for tests and benchmarks."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

from loguru import logger

from auburnproxy.errors import PlatformError, Ran, StaleFenceError, UpstreamError
from auburnproxy.external import (
    HostEntry,
    HostKind,
    HostList,
    ModelSpec,
    Presence,
    WeightStore,
)
from auburnproxy.journal import Entry, Outcome, Record
from auburnproxy.replicas import (
    Downtime,
    Planner,
    Policy,
    Readiness,
    Reconciler,
    Repairs,
    Replicas,
    ownership_key,
)
from auburnproxy.upstreams import Watcher
from auburnproxy.upstreams.engine import (
    Chunk,
    Engine,
    EngineReport,
    EngineState,
    FencingToken,
    ModelCall,
    Order,
)

LOG_DELAY_S = 0.05

for package in ("upstreams", "replicas"):
    logger.disable(f"auburnproxy.{package}")


class FakeEngine(Engine):
    """The engine of one host; its public attributes inject faults."""

    def __init__(self, entry: HostEntry, *, load_s=20.0, start_s=2.0, lag_s=0.3):
        self.entry = entry
        self.load_s, self.start_s, self.lag_s = load_s, start_s, lag_s
        self.alive, self.leaving = True, False
        self.running, self.polled = asyncio.Event(), asyncio.Event()
        self.order_delay_s = 0.0
        self.duplicates_orders = False
        self.start_count = self.poll_count = 0
        self.weights: set[str] = set()
        self.load_count = 0
        self.first_token_s, self.report_delay_s = 0.1, 0.005
        self.restart()

    def restart(self):
        """Restart the process, without an assignment or a fencing token."""
        self.start_count += 1
        self.alive, self.leaving = True, False
        self.running.set()
        self.fence, self.assignment, self.ready_at = FencingToken(0, 0), None, 0.0
        self.in_flight = self.call_count = 0
        self.history = [(-1e9, self.current_report())]

    def lose_disk(self):
        self.weights.clear()

    @property
    def state(self):
        if self.leaving:
            return EngineState.LEAVING
        if self.assignment is None:
            return EngineState.IDLE
        return EngineState.READY if _now() >= self.ready_at else EngineState.LOADING

    def current_report(self) -> EngineReport:
        return EngineReport(
            host=self.entry.name,
            incarnation=f"{self.entry.name}#{self.start_count}",
            state=self.state,
            fence=self.fence,
            assignment=self.assignment,
            in_flight=self.in_flight,
            queued=0,
            weights=tuple(sorted(self.weights)),
            prefixes=(),
            prefix_gaps=0,
        )

    def publish(self):
        """Publish the current report; readers see it ``lag_s`` seconds late."""
        now = _now()
        self.history.append((now, self.current_report()))
        visible = [at for at, _ in self.history if at <= now - self.lag_s]
        self.history = [h for h in self.history if h[0] >= max(visible, default=-1e9)]
        return self.history[0][1]

    async def _check_reachable(self):
        if not self.alive:
            raise UpstreamError("connection refused", ran=Ran.NO)
        await self.running.wait()

    async def report(self) -> EngineReport:
        await self._check_reachable()
        self.poll_count += 1
        self.polled.set()
        published = self.publish()
        await asyncio.sleep(self.report_delay_s)
        return published

    async def order(self, order: Order) -> None:
        await self._check_reachable()
        loop = asyncio.get_running_loop()
        confirmed = loop.create_future()
        for copy in range(2 if self.duplicates_orders else 1):
            delay_s = self.order_delay_s * (1 + 2 * copy)
            loop.call_later(delay_s, self._receive_order, order, confirmed)
        await confirmed

    def _receive_order(self, order, confirmed):
        stale = self.entry.checks_fence and order.fence < self.fence
        if self.alive and not stale:
            self._apply_order(order)
        if confirmed.done():
            return
        if not self.alive:
            confirmed.set_exception(UpstreamError("connection closed"))
        elif stale:
            confirmed.set_exception(StaleFenceError("stale fencing token"))
        else:
            confirmed.set_result(None)

    def _apply_order(self, order):
        self.publish()
        self.fence = order.fence
        if order.assignment == self.assignment:
            return
        self.assignment = order.assignment
        self.in_flight = 0
        if self.assignment is None:
            return
        wait_s = self.start_s
        if self.assignment.model not in self.weights:
            self.load_count += 1
            self.weights.add(self.assignment.model)
            wait_s += self.load_s
        self.ready_at = _now() + wait_s

    def accept(self, incarnation: str, generation: int) -> bool:
        """Accept a call if it names this incarnation and this assignment."""
        if (
            not self.alive
            or self.assignment is None
            or self.state is EngineState.LOADING
        ):
            return False
        matches = (incarnation, generation) == (
            self.current_report().incarnation,
            self.assignment.generation,
        )
        self.in_flight += matches
        self.call_count += matches
        return matches

    async def generate(self, call: ModelCall) -> AsyncIterator[Chunk]:
        await self._check_reachable()
        if call.incarnation not in ("", self.current_report().incarnation):
            raise UpstreamError("other incarnation", ran=Ran.NO)
        yield Chunk(call.request_id.encode(), 0, b"", "end")

    async def close(self) -> None:
        pass


class FakePlatform(HostList, WeightStore):
    """The host list, the weight store and the log; each can be made unavailable."""

    def __init__(self, models: tuple[ModelSpec, ...], *, loads_per_minute=600):
        self.entries_by_host: dict[str, HostEntry] = {}
        self.engines_by_host: dict[str, FakeEngine] = {}
        self.model_specs, self.load_rate = models, loads_per_minute
        self.up, self.log_up = True, True
        self.records: list[Record] = []

    def add(self, domain, fabric, count, *, checks_fence=True, **options):
        """Add engine hosts to a fabric domain."""
        for _ in range(count):
            name = f"h{len(self.entries_by_host):03}"
            entry = HostEntry(
                name=name,
                address=f"127.0.0.1:{9000 + len(self.entries_by_host)}",
                failure_domain=domain,
                fabric_domain=fabric,
                kind=HostKind.ENGINE,
                presence=Presence.LIVE,
                checks_fence=checks_fence,
                slots=16,
                cold_slots=2,
            )
            self.entries_by_host[name] = entry
            self.engines_by_host[name] = FakeEngine(entry, **options)

    def mark_leaving(self, host):
        entry = self.entries_by_host[host]
        self.entries_by_host[host] = entry._replace(presence=Presence.LEAVING)

    def _check_up(self):
        if not self.up:
            raise PlatformError("platform unavailable")

    async def fetch(self):
        self._check_up()
        return tuple(self.entries_by_host.values())

    async def models(self):
        self._check_up()
        return self.model_specs

    async def loads_per_minute(self):
        self._check_up()
        return self.load_rate


class FakeJournal:
    """One daemon's state from the platform's log, as far as it has read it."""

    def __init__(self, platform: FakePlatform, replicas: Replicas):
        self.platform, self.replicas = platform, replicas
        self.offset = 0
        self.is_following = self.ready = True
        self.versions: dict[str, int] = {}
        self.outcomes: dict[str, Outcome] = {}

    @property
    def up(self):
        return self.platform.log_up

    def version(self, key):
        return self.versions.get(key, 0)

    def fold(self):
        while self.offset < len(self.platform.records):
            record = self.platform.records[self.offset]
            self.offset += 1
            entry = Entry(self.offset, record)
            stale = any(self.version(k) != v for k, v in record.expects.items())
            reason = "stale" if stale else self.replicas.check(entry)
            if not reason:
                self.replicas.apply(entry)
                self.versions |= dict.fromkeys(record.expects, self.offset)
            self.outcomes[record.id] = Outcome(
                record.id, self.offset, not reason, reason
            )

    async def run(self):
        while True:
            if self.is_following and self.up:
                self.fold()
            await asyncio.sleep(LOG_DELAY_S)

    async def propose(self, kind, body, *, expects, timeout_s, record_id=""):
        await asyncio.sleep(LOG_DELAY_S)
        if not self.up:
            raise PlatformError("log unavailable")
        name = record_id or f"r{len(self.platform.records)}"
        self.platform.records.append(Record(name, "", kind, body, expects))
        await asyncio.sleep(LOG_DELAY_S)
        self.fold()
        return self.outcomes[name]


class FakeDaemon:
    """The real components of one daemon over the fakes.

    :param taken_out: failure domains and hosts that are taken out, shared with the test
    :param owned_keys: ownership keys of this daemon, None for all
    """

    def __init__(
        self,
        platform,
        domain,
        desired_replicas,
        *,
        taken_out,
        owned_keys=None,
        policy=None,
    ):
        self.owned_keys, self.polls_all = owned_keys, True
        self.store_share = 1.0
        self.replicas = Replicas()
        self.journal = FakeJournal(platform, self.replicas)
        self.watcher = Watcher(
            platform,
            lambda entry: platform.engines_by_host[entry.name],
            lambda entry: None,
            failure_domain=domain,
            is_out=lambda domain, host: bool({domain, host} & taken_out),
            should_poll=lambda host: self.polls_all or self.owns_host(host),
        )
        self.readiness = Readiness(self.replicas, self.watcher)
        self.repairs = Repairs(self.replicas)
        self.planner = Planner(
            self.replicas,
            self.journal,
            self.watcher,
            platform,
            desired_replicas=lambda: desired_replicas,
            demand=lambda: desired_replicas,
            owns=self.owns,
            repairs=self.repairs,
            policy=policy or Policy(),
        )
        self.reconciler = Reconciler(
            self.replicas,
            self.watcher,
            platform,
            owns=self.owns,
            repairs=self.repairs,
            store_share=lambda rate: rate * self.store_share,
        )
        self.downtime = Downtime(
            self.replicas,
            self.watcher,
            self.readiness,
            desired_replicas=lambda: desired_replicas,
        )
        self.tasks = []

    def owns(self, key):
        return self.owned_keys is None or key in self.owned_keys

    def owns_host(self, host):
        entry = self.watcher.entries_by_host[host]
        return self.owns(ownership_key(entry.failure_domain, entry.fabric_domain))

    def start(self):
        components = [self.journal, self.watcher, self.planner, self.reconciler]
        components.append(self.downtime)
        self.tasks = [asyncio.create_task(component.run()) for component in components]

    async def pause(self):
        """Cancel all tasks but that of the watcher, which keeps the reports fresh."""
        for task in (*self.tasks[:1], *self.tasks[2:]):
            task.cancel()
        await asyncio.sleep(0)

    async def stop(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


def _now():
    try:
        return asyncio.get_running_loop().time()
    except RuntimeError:
        return 0.0
