"""How many of a plan's slots one target may use."""

from __future__ import annotations

import math

RESERVED_FRACTION = 0.25
"""Part of a plan's slots that one target leaves to the plan's other targets."""
FAILURE_FACTOR = 0.5
"""What is left of the limit after a failure."""
FAILURE_PAUSE_S = 1.0
"""Seconds in which further failures count as the same one."""


class Bulkhead:
    """Shrinks with the failures of a plan's calls to a target, grows with answers.

    So a target that swallows calls, or a plan whose requests break engines,
    comes down to one call at a time and leaves the other slots free.
    """

    def __init__(self) -> None:
        self.in_flight = 0
        """Calls that hold a slot of the plan for this target."""
        self._limit = math.inf
        self._shrunk_at = -math.inf

    def admits(self, slots: int) -> bool:
        """Return whether one more call may start.

        :param slots: the plan's slots at this daemon, free or not
        """
        most = slots - math.floor(slots * RESERVED_FRACTION)
        return self.in_flight < max(min(most, self._limit), 1)

    def answered(self) -> None:
        """Count a call that was answered."""
        self._limit += 1

    def failed(self, now: float) -> None:
        """Count a call that failed, lately or not.

        :param now: the loop's time in seconds
        """
        if now - self._shrunk_at < FAILURE_PAUSE_S:
            return
        self._shrunk_at = now
        limit = min(self._limit, self.in_flight)
        self._limit = max(math.floor(limit * FAILURE_FACTOR), 1)
