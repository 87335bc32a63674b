"""Who may call, and which call is dispatched next."""

from __future__ import annotations

import asyncio
import math
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from hashlib import sha256
from typing import TypeVar

from loguru import logger

from ..configuration import Grant, Plan, TargetKind
from ..errors import RefusalError, SilenceError
from ._protocols import Configuration, Gate, Gates, Targets
from .bulkhead import Bulkheads
from .pace import Pace
from .queue import Placement, Queue, Waiter

TICK_S = 0.05
"""Seconds between two looks at slots that others may have freed."""
LONGEST_RETRY_S = 30
"""Greatest ``Retry-After`` in seconds."""

log = logger.bind(part="admission")
P = TypeVar("P", bound=Placement)


class Admission:
    """Checks callers and hands out slots, fairly and in time.

    :param configuration: the operators' lists in force
    :param gates: this daemon's shares; plans have the keys ``plan/NAME``
    :param targets: what the targets can bear at this daemon
    """

    def __init__(
        self, configuration: Configuration, gates: Gates, targets: Targets
    ) -> None:
        self._configuration = configuration
        self._gates = gates
        self._queues_by_target: dict[str, Queue] = {}
        self._paces_by_target: dict[str, Pace] = {}
        self._targets = targets
        self._of_plans = Bulkheads()
        self._of_targets = Bulkheads()
        self._timer: asyncio.TimerHandle | None = None

    def authenticate(self, bearer: str) -> Plan:
        """Return the plan that a bearer key belongs to.

        :raises RefusalError: 401 if there is none
        """
        digest = sha256(bearer.encode()).hexdigest()
        plan = self._configuration.plan_by_digest.get(digest)
        if plan is None:
            raise RefusalError("unauthenticated", "The key is not known.", status=401)
        return plan

    def allow(self, plan: Plan, kind: TargetKind, target: str) -> Grant:
        """Return what a plan may use of a target.

        :raises RefusalError: 403 if nothing
        """
        grant = self._configuration.grant(plan.name, kind, target)
        if grant is None:
            message = f"The plan may not use the {kind} {target}."
            raise RefusalError("not_granted", message, status=403)
        return grant

    def refresh(self) -> None:
        """Set the limit of every plan's gate, so that peers see free slots."""
        for plan in self._configuration.plans_by_name.values():
            self._plan_gate(plan)

    @asynccontextmanager
    async def ticket(
        self,
        plan: Plan,
        target: str,
        deadline: float,
        choose: Callable[[], P | None],
        *,
        wait: bool = True,
    ) -> AsyncIterator[P]:
        """Hold a slot of the plan and one of an upstream.

        :param plan: the caller's plan
        :param target: kind and name of the target, ``model/NAME``
        :param deadline: the loop's time in seconds by which to be answered
        :param choose: takes a slot at an upstream, or returns None if none is
            free; what it raises refuses the call
        :param wait: whether to queue if there is no slot at once
        :raises RefusalError: 429 or 503 if the call cannot be served in time
        """
        loop = asyncio.get_running_loop()
        placement: P = await self._place(plan, target, deadline, choose, wait=wait)
        started = loop.time()
        pace = self._pace(target)
        pace.started(plan.name, now=started)
        try:
            yield placement
        except SilenceError:
            self._of_plans.bulkhead(plan.name, target).failed(loop.time())
            raise
        else:
            self._of_plans.bulkhead(plan.name, target).answered()
        finally:
            placement.release()
            pace.finished(plan.name, started, now=loop.time())
            self._leave(plan, target)

    def pump(self) -> None:
        """Dispatch every waiting call that has a slot; rotates between targets."""
        for target in list(self._queues_by_target):
            queue = self._queues_by_target[target]
            if self._pump_target(target, queue):
                self._queues_by_target[target] = self._queues_by_target.pop(target)
            if not queue:
                self._queues_by_target.pop(target, None)

    def retry_after_s(self, plan: Plan, target: str) -> float:
        """Return the seconds in which the calls before a new one drain."""
        rate = self._rate(plan, target)
        queue = self._queues_by_target.get(target)
        ahead = queue.ahead(plan, math.inf) if queue else 0.0
        wait_s = (ahead + 1) / rate if rate else 1.0
        return float(min(max(math.ceil(wait_s), 1), LONGEST_RETRY_S))

    async def _place(
        self,
        plan: Plan,
        target: str,
        deadline: float,
        choose: Callable[[], P | None],
        *,
        wait: bool,
    ) -> P:
        loop = asyncio.get_running_loop()
        if target not in self._queues_by_target:
            placement = self._take(plan, target, choose)
            if placement is not None:
                return placement
        queue = self._queues_by_target.setdefault(target, Queue())
        length, ahead = queue.length(plan.name), queue.ahead(plan, deadline)
        waiter = Waiter(plan, deadline, choose, loop.create_future())
        queue.push(waiter)
        self.pump()
        if not waiter.placed.done():
            refusal = self._hopeless(plan, target, deadline, length, ahead, wait)
            if refusal:
                waiter.placed.cancel()
                raise refusal
        return await self._granted(waiter, target)

    async def _granted(self, waiter: Waiter, target: str) -> P:
        self._arm()
        try:
            async with asyncio.timeout_at(self._latest_start(waiter, target)):
                placement: P = await waiter.placed
        except TimeoutError:
            self._undo(waiter, target)
            raise self._late(waiter.plan, target) from None
        except asyncio.CancelledError:
            self._undo(waiter, target)
            raise
        return placement

    def _undo(self, waiter: Waiter, target: str) -> None:
        """Give back what a call got in the very turn in which it gave up."""
        placed = waiter.placed
        if placed.done() and not placed.cancelled() and not placed.exception():
            placed.result().release()
            self._leave(waiter.plan, target)

    def _latest_start(self, waiter: Waiter, target: str) -> float:
        if waiter.placed.done():
            return math.inf
        return waiter.deadline - self._pace(target).service_s(waiter.plan.name)

    def _hopeless(
        self,
        plan: Plan,
        target: str,
        deadline: float,
        length: int,
        ahead: float,
        wait: bool,
    ) -> RefusalError | None:
        """Return the refusal of a call that had no slot at once, if it can't wait."""
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
        rate = self._rate(plan, target)
        wait_s = (ahead + 1) / rate if rate else 0.0
        if now + wait_s + self._pace(target).service_s(plan.name) > deadline:
            return self._late(plan, target)
        return None

    def _late(self, plan: Plan, target: str) -> RefusalError:
        busy = self._plan_gate(plan).free == 0
        return RefusalError(
            "plan_busy" if busy else "target_busy",
            "The request can't be answered by its deadline.",
            status=429 if busy else 503,
            retry_after_s=self.retry_after_s(plan, target),
        )

    def _pump_target(self, target: str, queue: Queue) -> bool:
        try:
            self._targets.check(target)
        except RefusalError as refusal:
            return self._refuse_all(queue, refusal)
        moved = False
        while any(self._try(target, queue, waiter) for waiter in queue.heads()):
            moved = True
        return moved

    def _refuse_all(self, queue: Queue, refusal: RefusalError) -> bool:
        """Refuse every waiting call, also those whose plan has no slot."""
        while heads := queue.heads():
            for waiter in heads:
                queue.pop(waiter.plan).placed.set_exception(refusal)
        return False

    def _try(self, target: str, queue: Queue, waiter: Waiter) -> bool:
        """Place a call or refuse it; return whether it left the queue."""
        try:
            placement = self._take(waiter.plan, target, waiter.choose)
        except RefusalError as refusal:
            queue.pop(waiter.plan)
            waiter.placed.set_exception(refusal)
            return True
        if placement is None:
            return False
        queue.pop(waiter.plan)
        waiter.placed.set_result(placement)
        return True

    def _take(
        self, plan: Plan, target: str, choose: Callable[[], P | None]
    ) -> P | None:
        """Take a slot of the plan and one of an upstream, or neither."""
        gate = self._plan_gate(plan)
        if not self._within_bulkheads(gate, plan, target) or not gate.try_acquire():
            return None
        placement: P | None = None
        try:
            placement = choose()
        finally:
            if placement is None:
                gate.release()
        if placement is not None:
            now = asyncio.get_running_loop().time()
            self._of_plans.bulkhead(plan.name, target).start(now)
            self._of_targets.bulkhead(target, plan.name).start(now)
        return placement

    def _within_bulkheads(self, gate: Gate, plan: Plan, target: str) -> bool:
        """Return whether a call leaves enough to other targets and other plans."""
        now = asyncio.get_running_loop().time()
        name, slots = plan.name, gate.in_flight + gate.free
        if not self._of_plans.admits(name, target, slots=slots, now=now):
            return False
        self._of_targets.bulkhead(target, name).weight = plan.weight
        slots = self._targets.slots(target)
        return self._of_targets.admits(target, name, slots=slots, now=now)

    def _leave(self, plan: Plan, target: str) -> None:
        self._plan_gate(plan).release()
        self._of_plans.bulkhead(plan.name, target).in_flight -= 1
        self._of_targets.bulkhead(target, plan.name).in_flight -= 1
        self.pump()

    def _plan_gate(self, plan: Plan) -> Gate:
        gate = self._gates.gate(f"plan/{plan.name}")
        current = self._configuration.plans_by_name.get(plan.name)
        gate.limit = current.concurrent if current else 0
        return gate

    def _pace(self, target: str) -> Pace:
        return self._paces_by_target.setdefault(target, Pace())

    def _rate(self, plan: Plan, target: str) -> float:
        """Return the calls a second that make room for a waiting one, 0 if unknown."""
        pace, now = self._pace(target), asyncio.get_running_loop().time()
        if self._plan_gate(plan).free:
            return pace.rate(now)
        return pace.plan_rate(plan.name, now)

    def _arm(self) -> None:
        if self._timer is None and self._queues_by_target:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(TICK_S, self._tick)

    def _tick(self) -> None:
        self._timer = None
        self.pump()
        self._arm()
