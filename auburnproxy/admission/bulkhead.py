"""Bulkheads: limits on the slots of a pool that each of its users may hold."""

from __future__ import annotations

import math

FAILURE_FACTOR = 0.5
"""Factor applied to the limit after a failure."""
FAILURE_PAUSE_S = 1.0
"""Seconds after a failure in which further ones count as the same."""
PEAK_WINDOW_S = 10.0
"""Minimum time in seconds for which the peak use is remembered."""


class Bulkhead:
    """The calls of one user of a pool of slots.

    The pool is a plan and its users are targets, or the pool is a target and its
    users are plans. The limit shrinks with calls that got no answer in time and
    grows with answers, so a target that never answers, or requests that stall
    engines, are reduced to one call at a time. Calls that fail with a broken
    connection release their slot and do not count, so the loss of a host does not
    reduce a plan's slots.
    """

    def __init__(self) -> None:
        self.in_flight = 0
        self.weight = 1
        self._limit = math.inf
        self._shrunk_at = -math.inf
        self._peaks = (0, 0)
        self._window_started_at = -math.inf

    @property
    def limit(self) -> float:
        """Return the calls that may be in flight after past failures."""
        return self._limit

    def peak(self, now: float) -> int:
        """Return the most calls that were recently in flight at once.

        :param now: the loop's time in seconds
        """
        if now - self._window_started_at >= 2 * PEAK_WINDOW_S:
            self._peaks = (self.in_flight, self.in_flight)
            self._window_started_at = now
        elif now - self._window_started_at >= PEAK_WINDOW_S:
            self._peaks = (self._peaks[1], self.in_flight)
            self._window_started_at += PEAK_WINDOW_S
        return max(self._peaks)

    def start(self, now: float) -> None:
        """Count a call that takes a slot."""
        self.peak(now)
        self.in_flight += 1
        self._peaks = (self._peaks[0], max(self._peaks[1], self.in_flight))

    def answered(self) -> None:
        """Count a call that was answered."""
        self._limit += 1

    def failed(self, now: float) -> None:
        """Count a call that held its slot without an answer.

        :param now: the loop's time in seconds
        """
        if now - self._shrunk_at < FAILURE_PAUSE_S:
            return
        self._shrunk_at = now
        limit = min(self._limit, self.in_flight)
        self._limit = max(math.floor(limit * FAILURE_FACTOR), 1)


class Bulkheads:
    """The bulkheads of many pools, by name of pool and user."""

    def __init__(self) -> None:
        self._by_user_by_pool: dict[str, dict[str, Bulkhead]] = {}

    def bulkhead(self, pool: str, user: str) -> Bulkhead:
        """Return the bulkhead of a user of a pool, always the same object."""
        by_user = self._by_user_by_pool.setdefault(pool, {})
        return by_user.setdefault(user, Bulkhead())

    def admits(self, pool: str, user: str, *, slots: int, now: float) -> bool:
        """Return whether a user of a pool may take one more slot.

        It has to leave to each of the other users as many slots as that user recently
        used, but may always take its share by weight.

        :param pool: name of the pool
        :param user: name of the user
        :param slots: the pool's slots at this daemon, both free and in use
        :param now: the loop's time in seconds
        """
        own = self.bulkhead(pool, user)
        rest = self._by_user_by_pool[pool].items()
        others = [other for name, other in rest if name != user and other.peak(now)]
        weights = own.weight + sum(other.weight for other in others)
        left = slots - sum(other.peak(now) for other in others)
        limit = min(max(left, slots * own.weight // weights), own.limit)
        return own.in_flight < max(limit, 1)
