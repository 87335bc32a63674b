"""How many of a whole's slots each of its parts may use."""

from __future__ import annotations

import math

FAILURE_FACTOR = 0.5
"""What is left of a target's limit after a failure."""
FAILURE_PAUSE_S = 1.0
"""Seconds in which further failures count as the same one."""
PEAK_WINDOW_S = 10.0
"""Seconds for which a target's greatest use is remembered, at least."""


class Bulkhead:
    """The calls of one part of a whole: a plan's to one target, or the reverse.

    The limit shrinks with calls that got no answer in time and grows with answers,
    so a target that swallows calls, or requests that stall engines, come down to
    one at a time. Calls that break off give their slot back and do not count, so
    the loss of a host takes nothing of a plan's slots.
    """

    def __init__(self) -> None:
        self.in_flight = 0
        self.weight = 1
        self._limit = math.inf
        self._shrunk_at = -math.inf
        self._peaks = (0, 0)
        self._window_from = -math.inf

    @property
    def limit(self) -> float:
        """Return the calls that may be in flight by the target's own failures."""
        return self._limit

    def peak(self, now: float) -> int:
        """Return the most calls that were in flight at once of late.

        :param now: the loop's time in seconds
        """
        if now - self._window_from >= 2 * PEAK_WINDOW_S:
            self._peaks = (self.in_flight, self.in_flight)
            self._window_from = now
        elif now - self._window_from >= PEAK_WINDOW_S:
            self._peaks = (self._peaks[1], self.in_flight)
            self._window_from += PEAK_WINDOW_S
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
    """The bulkheads of the parts of many wholes, by name."""

    def __init__(self) -> None:
        self._by_part_by_whole: dict[str, dict[str, Bulkhead]] = {}

    def bulkhead(self, whole: str, part: str) -> Bulkhead:
        """Return the bulkhead of a part, the same one every time."""
        by_part = self._by_part_by_whole.setdefault(whole, {})
        return by_part.setdefault(part, Bulkhead())

    def admits(self, whole: str, part: str, *, slots: int, now: float) -> bool:
        """Return whether a part may take one more slot.

        It leaves to each of the other parts what that lately used, but it may
        always have its part by weight.

        :param whole: what the slots belong to
        :param part: what asks for one
        :param slots: the whole's slots at this daemon, free or not
        :param now: the loop's time in seconds
        """
        own = self.bulkhead(whole, part)
        rest = self._by_part_by_whole[whole].items()
        others = [other for name, other in rest if name != part and other.peak(now)]
        weights = own.weight + sum(other.weight for other in others)
        left = slots - sum(other.peak(now) for other in others)
        most = min(max(left, slots * own.weight // weights), own.limit)
        return own.in_flight < max(most, 1)
