"""Queue of the calls that wait for one target."""

from __future__ import annotations

import asyncio
import heapq
from collections.abc import Callable
from itertools import count
from typing import Any, NamedTuple, Protocol

from ..configuration import Plan


class UpstreamSlot(Protocol):
    """A slot that a call holds at an upstream."""

    def release(self) -> None:
        """Release the slot; further calls have no effect."""


class Waiter(NamedTuple):
    """A call that waits for a slot."""

    plan: Plan
    deadline: float
    """The loop's time in seconds by which the call must be answered."""
    acquire: Callable[[], Any]
    """Takes a slot at an upstream, or returns None if none is free."""
    slot_future: asyncio.Future[Any]
    """Resolves to the slot or fails with the refusal."""


class Queue:
    """Weighted fair queueing among plans, earliest deadline first within a plan.

    The order is that of start-time fair queueing: each plan has a start tag that
    grows by 1/weight with each of its calls; the plan with the lowest tag is next.
    """

    def __init__(self) -> None:
        self._heaps_by_plan: dict[str, list[tuple[float, int, Waiter]]] = {}
        self._start_tags_by_plan: dict[str, float] = {}
        self._virtual_time = 0.0
        self._arrival_numbers = count()

    def __bool__(self) -> bool:
        """Return whether any call waits."""
        return any(self._first(plan) for plan in list(self._heaps_by_plan))

    def push(self, waiter: Waiter) -> None:
        """Add a call behind those of its plan with the same or an earlier deadline."""
        name = waiter.plan.name
        if not self._heaps_by_plan.get(name):
            tag = self._start_tags_by_plan.get(name, 0.0)
            self._start_tags_by_plan[name] = max(tag, self._virtual_time)
        heap = self._heaps_by_plan.setdefault(name, [])
        heapq.heappush(heap, (waiter.deadline, next(self._arrival_numbers), waiter))

    def pop(self, plan: Plan) -> Waiter:
        """Remove a plan's first call and advance the plan's tag."""
        heap = self._heaps_by_plan[plan.name]
        waiter = heapq.heappop(heap)[2]
        tag = self._start_tags_by_plan[plan.name]
        self._virtual_time = max(self._virtual_time, tag)
        self._start_tags_by_plan[plan.name] = tag + 1.0 / plan.weight
        if not heap:
            del self._heaps_by_plan[plan.name]
        return waiter

    def heads(self) -> list[Waiter]:
        """Return the first call of each plan, in the order of dispatch."""
        plans = sorted(
            self._heaps_by_plan, key=lambda p: (self._start_tags_by_plan[p], p)
        )
        return [waiter for plan in plans if (waiter := self._first(plan))]

    def length(self, plan: str) -> int:
        """Return the number of waiting calls of a plan."""
        heap = self._heaps_by_plan.get(plan, ())
        return sum(not waiter.slot_future.done() for _, _, waiter in heap)

    def ahead(self, plan: Plan, deadline: float) -> float:
        """Return how many calls are dispatched before a new one of a plan.

        Counts the plan's calls with the same or an earlier deadline, and of each other
        plan as many as its weight lets it start meanwhile.
        """
        heap = self._heaps_by_plan.get(plan.name, ())
        own = sum(d <= deadline and not w.slot_future.done() for d, _, w in heap)
        others = 0.0
        for name, other_heap in self._heaps_by_plan.items():
            if name != plan.name and other_heap:
                weight_ratio = other_heap[0][2].plan.weight / plan.weight
                others += min(self.length(name), weight_ratio * (own + 1))
        return own + others

    def _first(self, plan: str) -> Waiter | None:
        """Return a plan's first call, dropping those that no longer wait."""
        heap = self._heaps_by_plan[plan]
        while heap and heap[0][2].slot_future.done():
            heapq.heappop(heap)
        if heap:
            return heap[0][2]
        del self._heaps_by_plan[plan]
        return None
