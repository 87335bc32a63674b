"""Waits that end once an upstream has been silent for too long."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from types import TracebackType
from typing import Self

SECOND_LOOK_S = 0.02
"""Time in which what arrived while this process stood still is read."""
CHECK_SLACK_S = 0.005


class SilenceWatch:
    """Ends a wait at the second look that finds its upstream silent.

    A timer that is due runs before data that have arrived are read, so a process
    that was stopped for a while would take every upstream for silent.

    :param limit: the timeout that ends the wait
    :param silent_at: returns the loop's time from which the upstream's silence is
        too long, as far as is known now
    """

    def __init__(self, limit: asyncio.Timeout, silent_at: Callable[[], float]) -> None:
        self._limit = limit
        self._silent_at = silent_at
        self._loop = asyncio.get_running_loop()
        self._timer: asyncio.TimerHandle | None = None
        self._doubted_at: float | None = None
        """The bound that the first look found passed."""

    def __enter__(self) -> Self:
        self._look_at(self._silent_at() + CHECK_SLACK_S)
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        if self._timer is not None:
            self._timer.cancel()

    def _look_at(self, at: float) -> None:
        self._timer = self._loop.call_at(at, self._look)

    def _look(self) -> None:
        now, silent_at = self._loop.time(), self._silent_at()
        if self._limit.expired():
            return
        if silent_at > now:
            self._doubted_at = None
            self._look_at(silent_at + CHECK_SLACK_S)
        elif self._doubted_at == silent_at:
            self._limit.reschedule(now)
        else:
            self._doubted_at = silent_at
            self._look_at(now + SECOND_LOOK_S)
