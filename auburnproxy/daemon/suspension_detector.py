"""Detection of times during which the process was suspended."""

from __future__ import annotations

import asyncio
import math

SUSPENDED_S = 0.5
"""Pause between two ticks from which the process counts as suspended in between."""
NOTICE_S = 0.25
"""Time after a suspension within which signals that were sent during it are noticed.
Another thread may receive them first, so that the event loop runs on meanwhile."""


class SuspensionDetector:
    """Tells when the process last ran before a signal that has just been noticed.

    Must be created on the event loop, and told at short intervals that it runs.
    """

    def __init__(self) -> None:
        # A signal may be noticed while the loop is not running.
        self._loop = asyncio.get_running_loop()
        self._ticked_at = self._loop.time()
        self._suspended_at = 0.0
        self._resumed_at = -math.inf

    def tick(self) -> None:
        """Record that the process runs."""
        now = self._loop.time()
        if now - self._ticked_at > SUSPENDED_S:
            self._suspended_at, self._resumed_at = self._ticked_at, now
        self._ticked_at = now

    def last_ran_at(self) -> float:
        """Return the loop's time before which a signal noticed now was not sent."""
        if self._loop.time() - self._resumed_at < NOTICE_S:
            return self._suspended_at
        return self._ticked_at
