"""Authenticates callers, queues calls and dispatches them as slots become free."""

from __future__ import annotations

import asyncio
import math
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from hashlib import sha256
from typing import TypeVar

from loguru import logger

from ..configuration import Grant, Plan, TargetKind
from ..errors import CallTimeoutError, RefusalError
from ._protocols import Configuration, SlotLimiter, SlotLimiters, Targets
from .bulkhead import Bulkheads
from .queue import Queue, UpstreamSlot, Waiter
from .throughput import Throughput

TICK_S = 0.05
"""Seconds between checks for slots that were freed elsewhere."""
MAX_RETRY_AFTER_S = 30
"""Greatest ``Retry-After`` in seconds."""
STOP_RETRY_AFTER_S = 1.0
"""``Retry-After`` of a daemon that stops; another one takes the request."""

log = logger.bind(part="admission")
P = TypeVar("P", bound=UpstreamSlot)


class Admission:
    """Authorizes calls and assigns slots to them by weight and deadline.

    :param configuration: the operators' lists in force
    :param limiters: this daemon's shares of the limits; plans have keys ``plan/NAME``
    :param targets: availability and capacity of call targets at this daemon
    """

    def __init__(
        self, configuration: Configuration, limiters: SlotLimiters, targets: Targets
    ) -> None:
        self._configuration = configuration
        self._limiters = limiters
        self._queues_by_target: dict[str, Queue] = {}
        self._throughputs_by_target: dict[str, Throughput] = {}
        self._targets = targets
        self._bulkheads_by_plan = Bulkheads()
        self._bulkheads_by_target = Bulkheads()
        self._timer: asyncio.TimerHandle | None = None
        self._stops_at = math.inf

    def authenticate(self, bearer: str) -> Plan:
        """Return the plan of an API key.

        :raises RefusalError: 401 if the key is unknown
        """
        digest = sha256(bearer.encode()).hexdigest()
        plan = self._configuration.plan_by_digest.get(digest)
        if plan is None:
            raise RefusalError("unauthenticated", "The key is not known.", status=401)
        return plan

    def authorize(self, plan: Plan, kind: TargetKind, target: str) -> Grant:
        """Return the grant by which a plan may use a target.

        :raises RefusalError: 403 if there is none
        """
        grant = self._configuration.grant(plan.name, kind, target)
        if grant is None:
            message = f"The plan may not use the {kind} {target}."
            raise RefusalError("not_granted", message, status=403)
        return grant

    def refresh(self) -> None:
        """Update the limits of all plans' limiters, so that peers see free slots."""
        for plan in self._configuration.plans_by_name.values():
            self._plan_limiter(plan)

    def stop_by(self, at: float) -> None:
        """Refuse calls that can't be answered before a stop, also those that wait.

        :param at: the loop's time in seconds by which each call must be answered
        """
        self._stops_at = at
        for queue in self._queues_by_target.values():
            self._refuse_all(queue, _QueuedBeforeStopError())

    @asynccontextmanager
    async def reserve_slots(
        self,
        plan: Plan,
        target: str,
        deadline: float,
        acquire: Callable[[], P | None],
        *,
        wait: bool = True,
    ) -> AsyncIterator[P]:
        """Hold a slot of the plan and one of an upstream.

        :param plan: the caller's plan
        :param target: kind and name of the target, ``model/NAME``
        :param deadline: the loop's time in seconds by which the call must be answered
        :param acquire: takes a slot at an upstream, or returns None if none is
            free; the call is refused with any error that it raises
        :param wait: whether to queue if no slot is free
        :raises RefusalError: 429 or 503 if the call cannot be served in time
        """
        loop = asyncio.get_running_loop()
        slot: P = await self._obtain_slot(plan, target, deadline, acquire, wait=wait)
        started = loop.time()
        throughput = self._throughput(target)
        throughput.started(plan.name, now=started)
        try:
            yield slot
        except CallTimeoutError:
            self._bulkheads_by_plan.bulkhead(plan.name, target).failed(loop.time())
            raise
        else:
            self._bulkheads_by_plan.bulkhead(plan.name, target).answered()
        finally:
            slot.release()
            throughput.finished(plan.name, started, now=loop.time())
            self._release_slots(plan, target)

    def dispatch_waiting(self) -> None:
        """Dispatch the waiting calls that find a free slot; rotates among targets."""
        for target in list(self._queues_by_target):
            queue = self._queues_by_target[target]
            if self._dispatch_target(target, queue):
                self._queues_by_target[target] = self._queues_by_target.pop(target)
            if not queue:
                self._queues_by_target.pop(target, None)

    def retry_after_s(self, plan: Plan, target: str) -> float:
        """Return the expected seconds until a new call would get a slot."""
        calls_per_s = self._freed_per_s(plan, target)
        queue = self._queues_by_target.get(target)
        ahead = queue.ahead(plan, math.inf) if queue else 0.0
        wait_s = (ahead + 1) / calls_per_s if calls_per_s else 1.0
        return float(min(max(math.ceil(wait_s), 1), MAX_RETRY_AFTER_S))

    async def _obtain_slot(
        self,
        plan: Plan,
        target: str,
        deadline: float,
        acquire: Callable[[], P | None],
        *,
        wait: bool,
    ) -> P:
        loop = asyncio.get_running_loop()
        deadline = min(deadline, self._stops_at)
        if target not in self._queues_by_target:
            slot = self._try_acquire(plan, target, acquire)
            if slot is not None:
                return slot
        queue = self._queues_by_target.setdefault(target, Queue())
        length, ahead = queue.length(plan.name), queue.ahead(plan, deadline)
        waiter = Waiter(plan, deadline, acquire, loop.create_future())
        queue.push(waiter)
        self.dispatch_waiting()
        if not waiter.slot_future.done():
            refusal = self._early_refusal(plan, target, deadline, length, ahead, wait)
            if refusal:
                waiter.slot_future.cancel()
                raise refusal
        try:
            return await self._wait_for_slot(waiter, target)
        except _QueuedBeforeStopError:
            return await self._obtain_slot(plan, target, deadline, acquire, wait=wait)

    async def _wait_for_slot(self, waiter: Waiter, target: str) -> P:
        self._start_timer()
        try:
            async with asyncio.timeout_at(self._latest_start(waiter, target)):
                slot: P = await waiter.slot_future
        except TimeoutError:
            self._release_unused(waiter, target)
            raise self._deadline_refusal(waiter.plan, target, waiter.deadline) from None
        except asyncio.CancelledError:
            self._release_unused(waiter, target)
            raise
        return slot

    def _release_unused(self, waiter: Waiter, target: str) -> None:
        """Release slots that a call got in the loop iteration in which it gave up."""
        slot_future = waiter.slot_future
        if (
            slot_future.done()
            and not slot_future.cancelled()
            and not slot_future.exception()
        ):
            slot_future.result().release()
            self._release_slots(waiter.plan, target)

    def _latest_start(self, waiter: Waiter, target: str) -> float:
        if waiter.slot_future.done():
            return math.inf
        return waiter.deadline - self._throughput(target).mean_service_s(
            waiter.plan.name
        )

    def _early_refusal(
        self,
        plan: Plan,
        target: str,
        deadline: float,
        length: int,
        ahead: float,
        wait: bool,
    ) -> RefusalError | None:
        """Return the refusal of a call that found no slot, or None if it may wait."""
        retry_s = self.retry_after_s(plan, target)
        if not wait:
            return RefusalError(
                "no_slot", "No slot is free here.", status=429, retry_after_s=retry_s
            )
        if length >= plan.queue:
            message = "The plan's queue is full."
            return RefusalError(
                "queue_full", message, status=429, retry_after_s=retry_s
            )
        now = asyncio.get_running_loop().time()
        calls_per_s = self._freed_per_s(plan, target)
        wait_s = (ahead + 1) / calls_per_s if calls_per_s else 0.0
        if now + wait_s + self._throughput(target).mean_service_s(plan.name) > deadline:
            return self._deadline_refusal(plan, target, deadline)
        return None

    def _deadline_refusal(
        self, plan: Plan, target: str, deadline: float
    ) -> RefusalError:
        if deadline >= self._stops_at:
            message = "The request can't be answered before this daemon stops."
            return RefusalError("draining", message, retry_after_s=STOP_RETRY_AFTER_S)
        plan_is_busy = self._plan_limiter(plan).free == 0
        return RefusalError(
            "plan_busy" if plan_is_busy else "target_busy",
            "The request can't be answered by its deadline.",
            status=429 if plan_is_busy else 503,
            retry_after_s=self.retry_after_s(plan, target),
        )

    def _dispatch_target(self, target: str, queue: Queue) -> bool:
        try:
            self._targets.check_usable(target)
        except RefusalError as refusal:
            return self._refuse_all(queue, refusal)
        dequeued = False
        while any(
            self._try_dispatch(target, queue, waiter) for waiter in queue.heads()
        ):
            dequeued = True
        return dequeued

    def _refuse_all(self, queue: Queue, refusal: RefusalError) -> bool:
        """Refuse every waiting call, even if its plan has no free slot."""
        while heads := queue.heads():
            for waiter in heads:
                queue.pop(waiter.plan).slot_future.set_exception(refusal)
        return False

    def _try_dispatch(self, target: str, queue: Queue, waiter: Waiter) -> bool:
        """Dispatch or refuse a waiting call; return whether it left the queue."""
        try:
            slot = self._try_acquire(waiter.plan, target, waiter.acquire)
        except RefusalError as refusal:
            queue.pop(waiter.plan)
            waiter.slot_future.set_exception(refusal)
            return True
        if slot is None:
            return False
        queue.pop(waiter.plan)
        waiter.slot_future.set_result(slot)
        return True

    def _try_acquire(
        self, plan: Plan, target: str, acquire: Callable[[], P | None]
    ) -> P | None:
        """Take a slot of the plan and one of an upstream, or neither."""
        limiter = self._plan_limiter(plan)
        if (
            not self._within_bulkheads(limiter, plan, target)
            or not limiter.try_acquire()
        ):
            return None
        slot: P | None = None
        try:
            slot = acquire()
        finally:
            if slot is None:
                limiter.release()
        if slot is not None:
            now = asyncio.get_running_loop().time()
            self._bulkheads_by_plan.bulkhead(plan.name, target).start(now)
            self._bulkheads_by_target.bulkhead(target, plan.name).start(now)
        return slot

    def _within_bulkheads(self, limiter: SlotLimiter, plan: Plan, target: str) -> bool:
        """Return whether a call leaves enough slots to other targets and plans."""
        now = asyncio.get_running_loop().time()
        name, slots = plan.name, limiter.in_flight + limiter.free
        if not self._bulkheads_by_plan.admits(name, target, slots=slots, now=now):
            return False
        self._bulkheads_by_target.bulkhead(target, name).weight = plan.weight
        slots = self._targets.slots(target)
        return self._bulkheads_by_target.admits(target, name, slots=slots, now=now)

    def _release_slots(self, plan: Plan, target: str) -> None:
        self._plan_limiter(plan).release()
        self._bulkheads_by_plan.bulkhead(plan.name, target).in_flight -= 1
        self._bulkheads_by_target.bulkhead(target, plan.name).in_flight -= 1
        self.dispatch_waiting()

    def _plan_limiter(self, plan: Plan) -> SlotLimiter:
        limiter = self._limiters.limiter(f"plan/{plan.name}")
        current = self._configuration.plans_by_name.get(plan.name)
        limiter.limit = current.concurrent if current else 0
        return limiter

    def _throughput(self, target: str) -> Throughput:
        return self._throughputs_by_target.setdefault(target, Throughput())

    def _freed_per_s(self, plan: Plan, target: str) -> float:
        """Return the calls per second that free a slot for a new one, 0 if unknown."""
        throughput, now = self._throughput(target), asyncio.get_running_loop().time()
        if self._plan_limiter(plan).free:
            return throughput.calls_per_s(now)
        return throughput.plan_calls_per_s(plan.name, now)

    def _start_timer(self) -> None:
        if self._timer is None and self._queues_by_target:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(TICK_S, self._tick)

    def _tick(self) -> None:
        self._timer = None
        self.dispatch_waiting()
        self._start_timer()


class _QueuedBeforeStopError(RefusalError):
    """A call waited when the stop began; it must be decided anew whether it may."""

    def __init__(self) -> None:
        super().__init__("draining", "This daemon stops.")
