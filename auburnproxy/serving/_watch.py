"""Ends an attempt whose replica is lost or silent, at no cost for each chunk."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from enum import StrEnum
from typing import Any

CHECK_S = 1.0
"""Longest seconds between two looks at the silence of an engine."""
SHORTEST_CHECK_S = 0.01
"""Least seconds between two looks."""


class Cause(StrEnum):
    """Why an attempt ended without the end marker."""

    REFUSED = "refused"
    BROKEN = "broken"
    GAP = "gap"
    TRUNCATED = "truncated"
    LOST = "lost"
    STALLED = "stalled"


class Watch:
    """Brings a time limit forward to now when an attempt can't be completed.

    :param lost: returns when the replica stops serving
    :param stalls_at: returns the loop's time in seconds at which the silence
        counts as a stall, infinite while the caller is being written to
    :param limit: the time limit around the attempt
    """

    def __init__(
        self,
        lost: Coroutine[Any, Any, None],
        stalls_at: Callable[[], float],
        limit: asyncio.Timeout,
    ) -> None:
        self.cause: Cause | None = None
        self._stalls_at = stalls_at
        self._limit = limit
        self._loop = asyncio.get_running_loop()
        self._lost = asyncio.create_task(lost)
        self._lost.add_done_callback(self._on_lost)
        self._timer = self._loop.call_later(CHECK_S, self._on_timer)

    def close(self) -> None:
        """Stop watching."""
        self._lost.remove_done_callback(self._on_lost)
        self._lost.cancel()
        self._timer.cancel()

    def _on_lost(self, lost: asyncio.Task[None]) -> None:
        if not lost.cancelled():
            lost.exception()
            self._end(Cause.LOST)

    def _on_timer(self) -> None:
        now, stalls_at = self._loop.time(), self._stalls_at()
        if stalls_at <= now:
            self._end(Cause.STALLED)
            return
        wait_s = min(max(stalls_at - now, SHORTEST_CHECK_S), CHECK_S)
        self._timer = self._loop.call_later(wait_s, self._on_timer)

    def _end(self, cause: Cause) -> None:
        if self.cause is None and not self._limit.expired():
            self.cause = cause
            self._limit.reschedule(self._loop.time())
