"""How fast a target works, measured from the calls that hold its slots."""

from __future__ import annotations

from collections.abc import Iterable

SERVICE_TIME_WEIGHT = 0.2
"""Weight of the newest call in the mean service time."""
SHORTEST_S = 0.001
"""Service time in seconds below which a rate is not told apart."""


class Work:
    """The calls of one plan at one target."""

    def __init__(self) -> None:
        self.in_flight = 0
        self.mean_s = 0.0
        """Mean seconds that a finished call held its slot, 0 if there is none."""
        self._started_sum = 0.0

    def start(self, now: float) -> None:
        """Count a call that takes a slot."""
        self.in_flight += 1
        self._started_sum += now

    def finish(self, started: float, now: float) -> None:
        """Count a call that gives its slot back."""
        self.in_flight -= 1
        self._started_sum -= started
        took_s = now - started
        weight = SERVICE_TIME_WEIGHT if self.mean_s else 1.0
        self.mean_s += weight * (took_s - self.mean_s)

    def age_sum_s(self, now: float) -> float:
        """Return the seconds that all calls in flight have held their slots."""
        return self.in_flight * now - self._started_sum


class Pace:
    """The drain rate and the service time of one target.

    A call waits only while the slots are in use, so the rate follows from the
    calls in flight and their service time. The calls finished of late would tell
    of the demand instead: next to nothing after a quiet time.
    """

    def __init__(self) -> None:
        self._work_by_plan: dict[str, Work] = {}

    def started(self, plan: str, *, now: float) -> None:
        """Count a call that takes a slot.

        :param plan: name of the plan that the call belongs to
        :param now: the loop's time in seconds
        """
        self._work_by_plan.setdefault(plan, Work()).start(now)

    def finished(self, plan: str, started: float, *, now: float) -> None:
        """Count a call that gives its slot back.

        :param plan: name of the plan that the call belongs to
        :param started: the loop's time in seconds at which it took the slot
        :param now: the loop's time in seconds
        """
        self._work_by_plan[plan].finish(started, now)

    def rate(self, now: float) -> float:
        """Return the calls that leave a second, 0 if none is in flight.

        :param now: the loop's time in seconds
        """
        return _rate(self._work_by_plan.values(), now)

    def plan_rate(self, plan: str, now: float) -> float:
        """Return the calls of one plan that leave a second, 0 if none is in flight.

        :param plan: name of the plan
        :param now: the loop's time in seconds
        """
        work = self._work_by_plan.get(plan)
        return _rate((work,), now) if work else 0.0

    def service_s(self, plan: str) -> float:
        """Return the mean seconds that a plan's call holds a slot, 0 if unknown."""
        work = self._work_by_plan.get(plan)
        return work.mean_s if work else 0.0


def _rate(works: Iterable[Work], now: float) -> float:
    """Return how fast calls leave; calls that are stuck slow it down as they age."""
    busy = [work for work in works if work.in_flight]
    in_flight = sum(work.in_flight for work in busy)
    if not in_flight:
        return 0.0
    mean_s = sum(work.in_flight * work.mean_s for work in busy) / in_flight
    age_s = sum(work.age_sum_s(now) for work in busy) / in_flight
    return in_flight / max(mean_s, age_s, SHORTEST_S)
