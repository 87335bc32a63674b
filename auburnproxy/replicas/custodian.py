"""Orders the hosts in this daemon's custody to play their recorded parts."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable, Mapping

from loguru import logger

from ..clock import loop_time
from ..errors import AuburnError, PlatformError
from ..external import WeightStore
from ..upstreams import Watcher
from ..upstreams.engine import Assignment, EngineReport, Fence, Order
from .assignment import assignments, custody_key
from .budget import Budget
from .repairs import Repairs
from .replicas import Replicas

STEP_INTERVAL_S = 0.5
"""Longest time in seconds between two looks at the hosts."""
START_S = 1.5
"""Seconds in which every host is seen before the first order."""
STEP_LEAST_S = 0.1
"""Shortest time in seconds between two looks at the hosts."""
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
    :param repairs: repairs that are not recorded yet
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
        repairs: Repairs | None = None,
        fence_epoch: Callable[[], int] = lambda: 0,
        store_share: Callable[[int], float] = float,
    ) -> None:
        self._replicas = replicas
        self._watcher = watcher
        self._weights = weights
        self._holds = holds
        self._repairs = repairs or Repairs(replicas)
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
            await asyncio.sleep(START_S)
            while True:
                await self._read_rate()
                self.step()
                await asyncio.sleep(STEP_LEAST_S)
                await self._watcher.changes.wait(STEP_INTERVAL_S)
        finally:
            for task in self._orders_by_host.values():
                task.cancel()

    def step(self) -> None:
        """Start the orders that are due; each runs in a task of its own."""
        self._budget.set_rate(self._store_share(self._loads_per_minute), loop_time())
        self._repairs.adopt(self._watcher, self._in_custody)
        for host, part in self._due():
            report = self._watcher.report(host)
            if report is None or self._is_repeat(host, part):
                continue
            epoch = max(self._replicas.version, self._fence_epoch())
            if report.fence.epoch <= epoch and self._may_load(part, report):
                self._start(host, Order(self._next_fence(epoch, report.fence), part))

    def _key(self, host: str) -> str:
        entry = self._watcher.entries_by_host.get(host)
        fabric = entry.fabric_domain if entry else ""
        return custody_key(self._watcher.failure_domain, fabric)

    def _in_custody(self, fabric_domain: str) -> bool:
        return self._holds(custody_key(self._watcher.failure_domain, fabric_domain))

    def _due(self) -> list[tuple[str, Assignment | None]]:
        """Return the hosts to order, those of nearly complete replicas first."""
        unsettled = {
            host: part
            for host, part in self._parts().items()
            if not self._settled(host, part)
        }
        left = Counter(part.replica for part in unsettled.values() if part)
        due = [
            (host, part)
            for host, part in unsettled.items()
            if host not in self._orders_by_host and self._holds(self._key(host))
        ]
        return sorted(due, key=lambda item: _urgency(item[1], left))

    def _parts(self) -> dict[str, Assignment | None]:
        """Return the part of each host, but for replicas with an unlisted host."""
        parts: dict[str, Assignment | None] = dict.fromkeys(
            self._watcher.engines_by_host
        )
        for replica in self._repairs.replicas():
            for host in replica.hosts:
                parts.pop(host, None)
            parts |= assignments(replica, self._watcher)
        return parts

    def _settled(self, host: str, part: Assignment | None) -> bool:
        report = self._watcher.report(host)
        if report is None:
            return True
        if report.assignment != part:
            return False
        self._repeat_at_by_host.pop(host, None)
        return True

    def _is_repeat(self, host: str, part: Assignment | None) -> bool:
        last, repeat_at = self._repeat_at_by_host.get(host, (None, 0.0))
        return last is not None and last.assignment == part and loop_time() < repeat_at

    def _next_fence(self, epoch: int, seen: Fence) -> Fence:
        counter = 0 if epoch > self._fence.epoch else self._fence.counter + 1
        if seen.epoch == epoch:
            counter = max(counter, seen.counter + 1)
        self._fence = Fence(epoch, counter)
        return self._fence

    def _may_load(self, part: Assignment | None, report: EngineReport) -> bool:
        if part is None or part.model in report.weights:
            return True
        return self._budget.try_spend(
            self._cost_by_model.get(part.model, 1), loop_time()
        )

    def _start(self, host: str, order: Order) -> None:
        self._repeat_at_by_host[host] = (order, loop_time() + REPEAT_S)
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
        if loop_time() - self._read_rate_at < RATE_INTERVAL_S:
            return
        try:
            models = await self._weights.models()
            rate = await self._weights.loads_per_minute()
        except PlatformError as error:
            log.warning("Rate of the weight store not read: {}.", error)
            return
        self._cost_by_model = {model.name: model.load_cost for model in models}
        self._loads_per_minute = rate
        self._read_rate_at = loop_time()


def _urgency(part: Assignment | None, left: Mapping[str, int]) -> tuple[int, str, int]:
    if part is None:
        return 0, "", 0
    return left[part.replica], part.replica, part.rank
