"""Timeout of a wait for an upstream that sends nothing."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from types import TracebackType
from typing import Self

RECHECK_DELAY_S = 0.02
"""Delay before the second check, during which data that arrived while this process was
stalled is read."""
CHECK_SLACK_S = 0.005


class SilenceTimeout:
    """Ends a wait once two checks in a row find the upstream silent for too long.

    A due timer runs before received data is read. With a single check, a process that
    was stalled for a while would take every upstream for silent.

    :param limit: the timeout that ends the wait
    :param silent_at: returns the loop's time after which the upstream's silence is too
        long, as currently known
    """

    def __init__(self, limit: asyncio.Timeout, silent_at: Callable[[], float]) -> None:
        self._limit = limit
        self._silent_at = silent_at
        self._loop = asyncio.get_running_loop()
        self._timer: asyncio.TimerHandle | None = None
        self._passed_deadline: float | None = None
        """The deadline that the first check found passed."""

    def __enter__(self) -> Self:
        self._check_at(self._silent_at() + CHECK_SLACK_S)
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        if self._timer is not None:
            self._timer.cancel()

    def _check_at(self, at: float) -> None:
        self._timer = self._loop.call_at(at, self._check)

    def _check(self) -> None:
        now, silent_at = self._loop.time(), self._silent_at()
        if self._limit.expired():
            return
        if silent_at > now:
            self._passed_deadline = None
            self._check_at(silent_at + CHECK_SLACK_S)
        elif self._passed_deadline == silent_at:
            self._limit.reschedule(now)
        else:
            self._passed_deadline = silent_at
            self._check_at(now + RECHECK_DELAY_S)
