"""Token bucket for loads from the weight store."""

from __future__ import annotations

BURST_S = 15.0
"""Capacity of the bucket, as a time at the full rate."""


class TokenBucket:
    """A token bucket, full when its rate is first set to more than zero."""

    def __init__(self) -> None:
        self._tokens_per_s = 0.0
        self._tokens = 0.0
        self._refilled_at: float | None = None
        self._has_rate = False

    def set_rate(self, per_minute: float, now: float) -> None:
        """Set the rate.

        :param per_minute: tokens per minute
        :param now: the event loop's time in seconds
        """
        self._refill(now)
        self._tokens_per_s = per_minute / 60
        if self._tokens_per_s and not self._has_rate:
            self._has_rate = True
            self._tokens = self._capacity

    def try_take(self, cost: int, now: float) -> bool:
        """Take the tokens for a load if the bucket has enough.

        A load that costs more than the capacity is allowed on a full bucket and
        leaves it negative, so that the next load waits until the debt is refilled.
        """
        self._refill(now)
        if self._tokens < min(cost, self._capacity):
            return False
        self._tokens -= cost
        return True

    @property
    def _capacity(self) -> float:
        return max(1.0, self._tokens_per_s * BURST_S)

    def _refill(self, now: float) -> None:
        if self._refilled_at is not None:
            gained = (now - self._refilled_at) * self._tokens_per_s
            self._tokens = min(self._capacity, self._tokens + gained)
        self._refilled_at = now
