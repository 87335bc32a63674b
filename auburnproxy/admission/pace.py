"""How fast a target works, measured from the calls that it finished."""

from __future__ import annotations

import math

MEMORY_S = 10.0
"""Time constant in seconds after which an old call counts 1/e."""
SERVICE_TIME_WEIGHT = 0.2
"""Weight of the newest call in the mean service time."""


class Pace:
    """The drain rate and the service time of one target."""

    def __init__(self) -> None:
        self._count = 0.0
        self._counted_at = 0.0
        self._started_at: float | None = None
        self._service_s_by_plan: dict[str, float] = {}

    def finished(self, plan: str, service_s: float, *, now: float) -> None:
        """Count a call that left its slot.

        :param plan: name of the plan that the call belongs to
        :param service_s: seconds that the call held its slot
        :param now: the loop's time in seconds
        """
        if self._started_at is None:
            self._started_at = now - service_s
        self._count = self._decayed(now) + 1.0
        self._counted_at = now
        mean_s = self._service_s_by_plan.get(plan, service_s)
        mean_s += SERVICE_TIME_WEIGHT * (service_s - mean_s)
        self._service_s_by_plan[plan] = mean_s

    def rate(self, now: float) -> float:
        """Return the calls finished a second, 0 before the first one."""
        if self._started_at is None:
            return 0.0
        age_s = max(now - self._started_at, 0.1)
        seen = 1.0 - math.exp(-age_s / MEMORY_S)
        return self._decayed(now) / (MEMORY_S * seen)

    def service_s(self, plan: str) -> float:
        """Return the mean seconds that a plan's call holds a slot, 0 if unknown."""
        return self._service_s_by_plan.get(plan, 0.0)

    def _decayed(self, now: float) -> float:
        return self._count * math.exp(-(now - self._counted_at) / MEMORY_S)
