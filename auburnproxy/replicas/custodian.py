"""Orders the hosts in this daemon's custody to play their recorded parts."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from loguru import logger

from ..errors import AuburnError, PlatformError
from ..platform import HostKind, WeightStore
from ..upstreams import Watcher
from ..upstreams.engine import EngineReport, Fence, Order
from .assignment import assignment, custody_key, settled
from .budget import Budget
from .replicas import Replicas

STEP_INTERVAL_S = 0.5
"""Longest time in seconds between two looks at the hosts."""
ORDER_TIMEOUT_S = 2.0
"""Seconds that an order may take."""
REPEAT_S = 3.0
"""Seconds until an order whose effect no report shows is repeated."""
RATE_INTERVAL_S = 30.0
"""Seconds between two readings of the weight store's rate."""

log = logger.bind(part="replicas")


class Custodian:
    """Orders hosts until their reports show what the journal records.

    :param replicas: the recorded replicas
    :param watcher: what is known of the hosts
    :param weights: the store that loads are served from
    :param holds: whether a custody key is held by this daemon
    :param fence_epoch: offset of the newest record that this custody rests on
    :param store_share: part of the weight store's rate that this daemon may use
    """

    def __init__(
        self,
        replicas: Replicas,
        watcher: Watcher,
        weights: WeightStore,
        *,
        holds: Callable[[str], bool],
        fence_epoch: Callable[[], int] = lambda: 0,
        store_share: Callable[[int], float] = float,
    ) -> None:
        self._replicas = replicas
        self._watcher = watcher
        self._weights = weights
        self._holds = holds
        self._fence_epoch = fence_epoch
        self._store_share = store_share
        self._budget = Budget()
        self._cost_by_model: dict[str, int] = {}
        self._loads_per_minute = 0
        self._read_rate_at = -RATE_INTERVAL_S
        self._fence = Fence(0, 0)
        self._orders_by_host: dict[str, asyncio.Task[None]] = {}
        self._repeat_at_by_host: dict[str, tuple[Order, float]] = {}

    @property
    def keys_under_way(self) -> frozenset[str]:
        """Return the custody keys of the hosts that have an order under way."""
        return frozenset(map(self._key, self._orders_by_host))

    async def run(self) -> None:
        """Order until cancelled."""
        try:
            while True:
                await self._read_rate()
                self.step()
                await self._watcher.changes.wait(STEP_INTERVAL_S)
        finally:
            for task in self._orders_by_host.values():
                task.cancel()

    def step(self) -> None:
        """Start the orders that are due; each runs in a task of its own."""
        self._budget.set_rate(self._store_share(self._loads_per_minute), _now())
        for host in self._due():
            report = self._watcher.report(host)
            if report is None:
                continue
            order = self._order(host, report)
            if order is not None and self._may_load(order, report):
                self._start(host, order)

    def _key(self, host: str) -> str:
        entry = self._watcher.entries_by_host.get(host)
        fabric = entry.fabric_domain if entry else ""
        return custody_key(self._watcher.failure_domain, fabric)

    def _due(self) -> list[str]:
        """Return the hosts to order, those of nearly complete replicas first."""
        unsettled = {
            entry.name: self._key(entry.name)
            for entry in self._watcher.entries_by_host.values()
            if entry.kind is HostKind.ENGINE and not self._settled(entry.name)
        }
        due = [
            host
            for host, key in unsettled.items()
            if host not in self._orders_by_host and self._holds(key)
        ]
        return sorted(due, key=lambda host: self._urgency(host, unsettled))

    def _settled(self, host: str) -> bool:
        report = self._watcher.report(host)
        if report is None:
            return True
        if not settled(self._replicas, host, report.assignment):
            return False
        self._repeat_at_by_host.pop(host, None)
        return True

    def _urgency(self, host: str, unsettled: dict[str, str]) -> tuple[int, str, int]:
        replica = self._replicas.by_host.get(host)
        if replica is None:
            return 0, "", 0
        left = sum(other in unsettled for other in replica.hosts)
        return left, replica.name, replica.hosts.index(host)

    def _order(self, host: str, report: EngineReport) -> Order | None:
        """Return the order that is due at a host, None if there is none yet."""
        replica = self._replicas.by_host.get(host)
        part = assignment(replica, host, self._watcher) if replica else None
        if replica is not None and part is None:
            return None
        epoch = max(self._replicas.version, self._fence_epoch())
        if report.fence.epoch > epoch:
            return None
        last, repeat_at = self._repeat_at_by_host.get(host, (None, 0.0))
        if last is not None and last.assignment == part and _now() < repeat_at:
            return None
        return Order(self._next_fence(epoch, report.fence), part)

    def _next_fence(self, epoch: int, seen: Fence) -> Fence:
        counter = 0 if epoch > self._fence.epoch else self._fence.counter + 1
        if seen.epoch == epoch:
            counter = max(counter, seen.counter + 1)
        self._fence = Fence(epoch, counter)
        return self._fence

    def _may_load(self, order: Order, report: EngineReport) -> bool:
        part = order.assignment
        if part is None or part.model in report.weights:
            return True
        return self._budget.try_spend(self._cost_by_model.get(part.model, 1), _now())

    def _start(self, host: str, order: Order) -> None:
        self._repeat_at_by_host[host] = (order, _now() + REPEAT_S)
        task = asyncio.create_task(self._send(host, order))
        self._orders_by_host[host] = task
        task.add_done_callback(lambda _: self._orders_by_host.pop(host, None))

    async def _send(self, host: str, order: Order) -> None:
        part = order.assignment
        log.info("Host {} is ordered to {}.", host, part.replica if part else "idle")
        engine = self._watcher.engines_by_host.get(host)
        if engine is None:
            return
        try:
            async with asyncio.timeout(ORDER_TIMEOUT_S):
                await engine.order(order)
        except (AuburnError, TimeoutError) as error:
            log.warning("Order to {} not taken: {!r}.", host, error)

    async def _read_rate(self) -> None:
        if _now() - self._read_rate_at < RATE_INTERVAL_S:
            return
        try:
            models = await self._weights.models()
            rate = await self._weights.loads_per_minute()
        except PlatformError as error:
            log.warning("Rate of the weight store not read: {}.", error)
            return
        self._cost_by_model = {model.name: model.load_cost for model in models}
        self._loads_per_minute = rate
        self._read_rate_at = _now()


def _now() -> float:
    return asyncio.get_running_loop().time()
