"""Reconciles the engine hosts that this daemon owns with the recorded replicas."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable, Mapping

from loguru import logger

from ..clock import loop_time
from ..errors import AuburnError, PlatformError
from ..external import WeightStore
from ..upstreams import Watcher
from ..upstreams.engine import Assignment, EngineReport, FencingToken, Order
from .assignment import assignments, ownership_key
from .repairs import Repairs
from .replicas import Replicas
from .token_bucket import TokenBucket

MAX_STEP_INTERVAL_S = 0.5
"""Maximum time between two reconciliation steps."""
STARTUP_DELAY_S = 1.5
"""Time before the first order, in which every host is polled at least once."""
MIN_STEP_INTERVAL_S = 0.1
"""Minimum time between two reconciliation steps."""
ORDER_TIMEOUT_S = 2.0
ORDER_RETRY_S = 3.0
"""Time after which an order is sent again if no report shows its effect."""
RATE_REFRESH_INTERVAL_S = 30.0
"""Time between two reads of the weight store's load rate."""

log = logger.bind(part="replicas")


class Reconciler:
    """Sends orders to hosts until their reports match the recorded replicas.

    :param replicas: the recorded replicas
    :param watcher: observed state of the hosts
    :param weights: the store from which hosts load weights
    :param owns: whether this daemon owns a fabric domain, given its ownership key
    :param repairs: repairs that are not recorded yet
    :param fence_epoch: offset of the newest record on which the ownership is based
    :param store_share: this daemon's share of the weight store's rate, given the rate
    """

    def __init__(
        self,
        replicas: Replicas,
        watcher: Watcher,
        weights: WeightStore,
        *,
        owns: Callable[[str], bool],
        repairs: Repairs | None = None,
        fence_epoch: Callable[[], int] = lambda: 0,
        store_share: Callable[[int], float] = float,
    ) -> None:
        self._replicas = replicas
        self._watcher = watcher
        self._weights = weights
        self._owns = owns
        self._repairs = repairs or Repairs(replicas)
        self._fence_epoch = fence_epoch
        self._store_share = store_share
        self._load_bucket = TokenBucket()
        self._load_cost_by_model: dict[str, int] = {}
        self._loads_per_minute = 0
        self._rate_refreshed_at = -RATE_REFRESH_INTERVAL_S
        self._fence = FencingToken(0, 0)
        self._order_tasks_by_host: dict[str, asyncio.Task[None]] = {}
        self._sent_order_by_host: dict[str, tuple[Order, float]] = {}

    @property
    def keys_with_open_orders(self) -> frozenset[str]:
        """Return the ownership keys of the hosts with an order in progress."""
        return frozenset(map(self._ownership_key_of, self._order_tasks_by_host))

    async def run(self) -> None:
        """Reconcile until cancelled."""
        try:
            await asyncio.sleep(STARTUP_DELAY_S)
            while True:
                await self._refresh_rate()
                self.step()
                await asyncio.sleep(MIN_STEP_INTERVAL_S)
                await self._watcher.changes.wait(MAX_STEP_INTERVAL_S)
        finally:
            for task in self._order_tasks_by_host.values():
                task.cancel()

    def step(self) -> None:
        """Start the orders that are due, each in its own task."""
        self._load_bucket.set_rate(
            self._store_share(self._loads_per_minute), loop_time()
        )
        self._repairs.adopt(self._watcher, self._is_owner)
        for host, assignment in self._due_assignments():
            report = self._watcher.report(host)
            if report is None or self._awaits_effect(host, assignment):
                continue
            epoch = max(self._replicas.version, self._fence_epoch())
            if report.fence.epoch <= epoch and self._try_load(assignment, report):
                self._start_order(
                    host, Order(self._next_fence(epoch, report.fence), assignment)
                )

    def _ownership_key_of(self, host: str) -> str:
        entry = self._watcher.entries_by_host.get(host)
        fabric_domain = entry.fabric_domain if entry else ""
        return ownership_key(self._watcher.failure_domain, fabric_domain)

    def _is_owner(self, fabric_domain: str) -> bool:
        return self._owns(ownership_key(self._watcher.failure_domain, fabric_domain))

    def _due_assignments(self) -> list[tuple[str, Assignment | None]]:
        """Return the hosts to order, those of nearly complete replicas first."""
        mismatched = {
            host: assignment
            for host, assignment in self._desired_assignments().items()
            if not self._needs_no_order(host, assignment)
        }
        mismatched_by_replica = Counter(
            assignment.replica for assignment in mismatched.values() if assignment
        )
        due = [
            (host, assignment)
            for host, assignment in mismatched.items()
            if host not in self._order_tasks_by_host
            and self._owns(self._ownership_key_of(host))
        ]
        return sorted(
            due, key=lambda item: _order_priority(item[1], mismatched_by_replica)
        )

    def _desired_assignments(self) -> dict[str, Assignment | None]:
        """Return the desired assignment of each host, None for idle.

        Hosts of a replica are left out as long as one of them is not listed.
        """
        desired: dict[str, Assignment | None] = dict.fromkeys(
            self._watcher.engines_by_host
        )
        for replica in self._repairs.replicas():
            for host in replica.hosts:
                desired.pop(host, None)
            desired |= assignments(replica, self._watcher)
        return desired

    def _needs_no_order(self, host: str, assignment: Assignment | None) -> bool:
        """Return whether a host reports its assignment or has no fresh report."""
        report = self._watcher.report(host)
        if report is None:
            return True
        if report.assignment != assignment:
            return False
        self._sent_order_by_host.pop(host, None)
        return True

    def _awaits_effect(self, host: str, assignment: Assignment | None) -> bool:
        last, retry_at = self._sent_order_by_host.get(host, (None, 0.0))
        return (
            last is not None
            and last.assignment == assignment
            and loop_time() < retry_at
        )

    def _next_fence(self, epoch: int, reported: FencingToken) -> FencingToken:
        counter = 0 if epoch > self._fence.epoch else self._fence.counter + 1
        if reported.epoch == epoch:
            counter = max(counter, reported.counter + 1)
        self._fence = FencingToken(epoch, counter)
        return self._fence

    def _try_load(self, assignment: Assignment | None, report: EngineReport) -> bool:
        if assignment is None or assignment.model in report.weights:
            return True
        return self._load_bucket.try_take(
            self._load_cost_by_model.get(assignment.model, 1), loop_time()
        )

    def _start_order(self, host: str, order: Order) -> None:
        self._sent_order_by_host[host] = (order, loop_time() + ORDER_RETRY_S)
        task = asyncio.create_task(self._send_order(host, order))
        self._order_tasks_by_host[host] = task
        task.add_done_callback(lambda _: self._order_tasks_by_host.pop(host, None))

    async def _send_order(self, host: str, order: Order) -> None:
        assignment = order.assignment
        log.info(
            "Sending host {} an order for {}.",
            host,
            assignment.replica if assignment else "idle",
        )
        engine = self._watcher.engines_by_host.get(host)
        if engine is None:
            return
        try:
            async with asyncio.timeout(ORDER_TIMEOUT_S):
                await engine.order(order)
        except (AuburnError, TimeoutError) as error:
            log.warning("Host {} did not confirm its order: {!r}.", host, error)

    async def _refresh_rate(self) -> None:
        if loop_time() - self._rate_refreshed_at < RATE_REFRESH_INTERVAL_S:
            return
        try:
            models = await self._weights.models()
            rate = await self._weights.loads_per_minute()
        except PlatformError as error:
            log.warning("Could not read the weight store's load rate: {}.", error)
            return
        self._load_cost_by_model = {model.name: model.load_cost for model in models}
        self._loads_per_minute = rate
        self._rate_refreshed_at = loop_time()


def _order_priority(
    assignment: Assignment | None, mismatched_by_replica: Mapping[str, int]
) -> tuple[int, str, int]:
    if assignment is None:
        return 0, "", 0
    return (
        mismatched_by_replica[assignment.replica],
        assignment.replica,
        assignment.rank,
    )
