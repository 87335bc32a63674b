"""Small fakes of what the replicas slice meets, for tests and the bench."""

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
    Fence,
    ModelCall,
    Order,
)

LOG_DELAY_S = 0.05

for part in ("upstreams", "replicas"):
    logger.disable(f"auburnproxy.{part}")


class FakeEngine(Engine):
    """One host's engine; the fault switches are its public attributes."""

    def __init__(self, entry: HostEntry, *, load_s=20.0, start_s=2.0, lag_s=0.3):
        self.entry = entry
        self.load_s, self.start_s, self.lag_s = load_s, start_s, lag_s
        self.alive, self.leaving = True, False
        self.running, self.polled = asyncio.Event(), asyncio.Event()
        self.order_delay_s = 0.0
        self.duplicates = False
        self.starts = self.polls = 0
        self.weights: set[str] = set()
        self.loads = 0
        self.first_token_s, self.delay_s = 0.1, 0.005
        self.restart()

    def restart(self):
        """Start the process anew: no part, no memory of fencing tokens."""
        self.starts += 1
        self.alive, self.leaving = True, False
        self.running.set()
        self.fence, self.part, self.ready_at = Fence(0, 0), None, 0.0
        self.in_flight = self.calls = 0
        self.history = [(-1e9, self.now())]

    def lose_disk(self):
        self.weights.clear()

    @property
    def state(self):
        if self.leaving:
            return EngineState.LEAVING
        if self.part is None:
            return EngineState.IDLE
        return EngineState.READY if _now() >= self.ready_at else EngineState.LOADING

    def now(self) -> EngineReport:
        return EngineReport(
            host=self.entry.name,
            incarnation=f"{self.entry.name}#{self.starts}",
            state=self.state,
            fence=self.fence,
            assignment=self.part,
            in_flight=self.in_flight,
            queued=0,
            weights=tuple(sorted(self.weights)),
            prefixes=(),
            prefix_gaps=0,
        )

    def publish(self):
        """Publish what is true now; readers see it ``lag_s`` seconds late."""
        now = _now()
        self.history.append((now, self.now()))
        old = [at for at, _ in self.history if at <= now - self.lag_s]
        self.history = [h for h in self.history if h[0] >= max(old, default=-1e9)]
        return self.history[0][1]

    async def _reach(self):
        if not self.alive:
            raise UpstreamError("connection refused", ran=Ran.NO)
        await self.running.wait()

    async def report(self) -> EngineReport:
        await self._reach()
        self.polls += 1
        self.polled.set()
        seen = self.publish()
        await asyncio.sleep(self.delay_s)
        return seen

    async def order(self, order: Order) -> None:
        await self._reach()
        loop = asyncio.get_running_loop()
        taken = loop.create_future()
        for times in range(2 if self.duplicates else 1):
            delay_s = self.order_delay_s * (1 + 2 * times)
            loop.call_later(delay_s, self._arrive, order, taken)
        await taken

    def _arrive(self, order, taken):
        stale = self.entry.checks_fence and order.fence < self.fence
        if self.alive and not stale:
            self._carry_out(order)
        if taken.done():
            return
        if not self.alive:
            taken.set_exception(UpstreamError("connection closed"))
        elif stale:
            taken.set_exception(StaleFenceError("old fencing token"))
        else:
            taken.set_result(None)

    def _carry_out(self, order):
        self.publish()
        self.fence = order.fence
        if order.assignment == self.part:
            return
        self.part = order.assignment
        self.in_flight = 0
        if self.part is None:
            return
        wait_s = self.start_s
        if self.part.model not in self.weights:
            self.loads += 1
            self.weights.add(self.part.model)
            wait_s += self.load_s
        self.ready_at = _now() + wait_s

    def accept(self, incarnation: str, generation: int) -> bool:
        """Take a call if it is meant for this start and this part."""
        if not self.alive or self.part is None or self.state is EngineState.LOADING:
            return False
        meant = (incarnation, generation) == (
            self.now().incarnation,
            self.part.generation,
        )
        self.in_flight += meant
        self.calls += meant
        return meant

    async def generate(self, call: ModelCall) -> AsyncIterator[Chunk]:
        await self._reach()
        if call.incarnation not in ("", self.now().incarnation):
            raise UpstreamError("other incarnation", ran=Ran.NO)
        yield Chunk(call.request_id.encode(), 0, b"", "end")

    async def close(self) -> None:
        pass


class FakePlatform(HostList, WeightStore):
    """The list of hosts, the weight store and the log, all on a switch."""

    def __init__(self, models: tuple[ModelSpec, ...], *, loads_per_minute=600):
        self.entries_by_host: dict[str, HostEntry] = {}
        self.engines_by_host: dict[str, FakeEngine] = {}
        self.specs, self.rate = models, loads_per_minute
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

    def _check(self):
        if not self.up:
            raise PlatformError("platform away")

    async def fetch(self):
        self._check()
        return tuple(self.entries_by_host.values())

    async def models(self):
        self._check()
        return self.specs

    async def loads_per_minute(self):
        self._check()
        return self.rate


class FakeJournal:
    """One daemon's fold of the platform's log, as far as it has read it."""

    def __init__(self, platform: FakePlatform, replicas: Replicas):
        self.platform, self.replicas = platform, replicas
        self.offset = 0
        self.follows = self.ready = True
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
            if self.follows and self.up:
                self.fold()
            await asyncio.sleep(LOG_DELAY_S)

    async def propose(self, kind, body, *, expects, timeout_s, record_id=""):
        await asyncio.sleep(LOG_DELAY_S)
        if not self.up:
            raise PlatformError("log away")
        name = record_id or f"r{len(self.platform.records)}"
        self.platform.records.append(Record(name, "", kind, body, expects))
        await asyncio.sleep(LOG_DELAY_S)
        self.fold()
        return self.outcomes[name]


class FakeDaemon:
    """The real slices of one daemon over the fakes.

    :param marks: failure domains and hosts that are out, shared with the test
    :param keys: ownership keys of this daemon, None for all
    """

    def __init__(self, platform, domain, wanted, *, marks, keys=None, policy=None):
        self.keys, self.polls_all = keys, True
        self.store_part = 1.0
        self.replicas = Replicas()
        self.journal = FakeJournal(platform, self.replicas)
        self.watcher = Watcher(
            platform,
            lambda entry: platform.engines_by_host[entry.name],
            lambda entry: None,
            failure_domain=domain,
            is_out=lambda domain, host: bool({domain, host} & marks),
            polls=lambda host: self.polls_all or self.keeps(host),
        )
        self.readiness = Readiness(self.replicas, self.watcher)
        self.repairs = Repairs(self.replicas)
        self.planner = Planner(
            self.replicas,
            self.journal,
            self.watcher,
            platform,
            wanted=lambda: wanted,
            demand=lambda: wanted,
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
            store_share=lambda rate: rate * self.store_part,
        )
        self.downtime = Downtime(
            self.replicas, self.watcher, self.readiness, wanted=lambda: wanted
        )
        self.tasks = []

    def owns(self, key):
        return self.keys is None or key in self.keys

    def keeps(self, host):
        entry = self.watcher.entries_by_host[host]
        return self.owns(ownership_key(entry.failure_domain, entry.fabric_domain))

    def start(self):
        parts = [self.journal, self.watcher, self.planner, self.reconciler]
        parts.append(self.downtime)
        self.tasks = [asyncio.create_task(part.run()) for part in parts]

    async def pause(self):
        """End the tasks but for the watcher's, which keeps the reports fresh."""
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
