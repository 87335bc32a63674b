"""Watchdog that ends an attempt whose replica is lost or stalled.

A timer checks for stalls, so that relaying a chunk costs nothing extra.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from enum import StrEnum
from typing import Any

MAX_CHECK_INTERVAL_S = 1.0
"""Longest time between two checks for a stall."""
MIN_CHECK_INTERVAL_S = 0.01
"""Shortest time between two checks for a stall."""


class AttemptFailure(StrEnum):
    """Why an attempt ended before the END chunk."""

    REFUSED = "refused"
    BROKEN = "broken"
    GAP = "gap"
    TRUNCATED = "truncated"
    LOST = "lost"
    STALLED = "stalled"


class AttemptWatchdog:
    """Expires the timeout of an attempt as soon as it can't be completed.

    An engine that stalls may go on later, so its attempt is ended only if another one
    is allowed.

    :param lost: completes when the replica stops serving
    :param stall_time: returns the time of the event loop, in seconds, at which the
        engine counts as stalled; infinite while data is written to the caller
    :param may_retry: returns whether another attempt is allowed after this one
    :param timeout: timeout around the attempt
    """

    def __init__(
        self,
        lost: Coroutine[Any, Any, None],
        stall_time: Callable[[], float],
        may_retry: Callable[[], bool],
        timeout: asyncio.Timeout,
    ) -> None:
        self.cause: AttemptFailure | None = None
        self._stall_time = stall_time
        self._may_retry = may_retry
        self._timeout = timeout
        self._loop = asyncio.get_running_loop()
        self._lost = asyncio.create_task(lost)
        self._lost.add_done_callback(self._on_lost)
        self._timer = self._loop.call_later(MAX_CHECK_INTERVAL_S, self._on_timer)

    def close(self) -> None:
        """Stop watching."""
        self._lost.remove_done_callback(self._on_lost)
        self._lost.cancel()
        self._timer.cancel()

    def _on_lost(self, lost: asyncio.Task[None]) -> None:
        if not lost.cancelled():
            lost.exception()
            self._expire(AttemptFailure.LOST)

    def _on_timer(self) -> None:
        now, stall_time = self._loop.time(), self._stall_time()
        stalled = stall_time <= now
        if stalled and self._may_retry():
            self._expire(AttemptFailure.STALLED)
            return
        wait_s = MAX_CHECK_INTERVAL_S
        if not stalled:
            wait_s = min(max(stall_time - now, MIN_CHECK_INTERVAL_S), wait_s)
        self._timer = self._loop.call_later(wait_s, self._on_timer)

    def _expire(self, cause: AttemptFailure) -> None:
        if self.cause is None and not self._timeout.expired():
            self.cause = cause
            self._timeout.reschedule(self._loop.time())
