"""The rate at which the weight store serves loads, as a budget."""

from __future__ import annotations

BURST_S = 15.0
"""Seconds of unused budget that are kept."""


class Budget:
    """A token bucket of loads; it is full when it first gets a rate."""

    def __init__(self) -> None:
        self._per_s = 0.0
        self._tokens = 0.0
        self._filled_at: float | None = None
        self._rated = False

    def set_rate(self, per_minute: float, now: float) -> None:
        """Set the rate.

        :param per_minute: loads a minute
        :param now: the loop's time in seconds
        """
        self._fill(now)
        self._per_s = per_minute / 60
        if self._per_s and not self._rated:
            self._rated = True
            self._tokens = self._most

    def try_spend(self, cost: int, now: float) -> bool:
        """Spend a load's cost if there is budget for it.

        A load dearer than the whole burst goes ahead on a full bucket, and the
        debt is waited for by the next.
        """
        self._fill(now)
        if self._tokens < min(cost, self._most):
            return False
        self._tokens -= cost
        return True

    @property
    def _most(self) -> float:
        return max(1.0, self._per_s * BURST_S)

    def _fill(self, now: float) -> None:
        if self._filled_at is not None:
            gained = (now - self._filled_at) * self._per_s
            self._tokens = min(self._most, self._tokens + gained)
        self._filled_at = now
