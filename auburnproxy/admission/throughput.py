"""Throughput of a target, estimated from the calls that hold its slots."""

from __future__ import annotations

from collections.abc import Iterable

SERVICE_TIME_WEIGHT = 0.2
"""Weight of the newest call in the mean service time."""
MIN_SERVICE_S = 0.001
"""Lower bound of the service time in seconds, which bounds the estimated rate."""


class PlanCalls:
    """The calls of one plan at one target."""

    def __init__(self) -> None:
        self.in_flight = 0
        self.mean_s = 0.0
        """Mean seconds that a finished call held its slot, 0 before the first."""
        self._started_sum_s = 0.0

    def start(self, now: float) -> None:
        """Count a call that takes a slot."""
        self.in_flight += 1
        self._started_sum_s += now

    def finish(self, started: float, now: float) -> None:
        """Count a call that releases its slot."""
        self.in_flight -= 1
        self._started_sum_s -= started
        took_s = now - started
        weight = SERVICE_TIME_WEIGHT if self.mean_s else 1.0
        self.mean_s += weight * (took_s - self.mean_s)

    def total_age_s(self, now: float) -> float:
        """Return the total seconds that the calls in flight have held their slots."""
        return self.in_flight * now - self._started_sum_s


class Throughput:
    """Estimates the drain rate and the service time of one target.

    A call waits only while the slots are in use, so the rate follows from the
    calls in flight and their service time. The rate of recently finished calls
    would measure the demand instead, which is next to nothing after a quiet time.
    """

    def __init__(self) -> None:
        self._calls_by_plan: dict[str, PlanCalls] = {}

    def started(self, plan: str, *, now: float) -> None:
        """Count a call that takes a slot.

        :param plan: name of the plan that the call belongs to
        :param now: the loop's time in seconds
        """
        self._calls_by_plan.setdefault(plan, PlanCalls()).start(now)

    def finished(self, plan: str, started: float, *, now: float) -> None:
        """Count a call that releases its slot.

        :param plan: name of the plan that the call belongs to
        :param started: the loop's time in seconds at which it took the slot
        :param now: the loop's time in seconds
        """
        self._calls_by_plan[plan].finish(started, now)

    def calls_per_s(self, now: float) -> float:
        """Return the calls that finish per second, 0 if none is in flight.

        :param now: the loop's time in seconds
        """
        return _calls_per_s(self._calls_by_plan.values(), now)

    def plan_calls_per_s(self, plan: str, now: float) -> float:
        """Return the calls of one plan that finish per second, 0 if none is in flight.

        :param plan: name of the plan
        :param now: the loop's time in seconds
        """
        calls = self._calls_by_plan.get(plan)
        return _calls_per_s((calls,), now) if calls else 0.0

    def mean_service_s(self, plan: str) -> float:
        """Return the mean seconds that a plan's call holds a slot, 0 if unknown."""
        calls = self._calls_by_plan.get(plan)
        return calls.mean_s if calls else 0.0


def _calls_per_s(calls_of_plans: Iterable[PlanCalls], now: float) -> float:
    """Return the calls that finish per second; stuck calls lower it as they age."""
    busy = [calls for calls in calls_of_plans if calls.in_flight]
    in_flight = sum(calls.in_flight for calls in busy)
    if not in_flight:
        return 0.0
    mean_s = sum(calls.in_flight * calls.mean_s for calls in busy) / in_flight
    age_s = sum(calls.total_age_s(now) for calls in busy) / in_flight
    return in_flight / max(mean_s, age_s, MIN_SERVICE_S)
