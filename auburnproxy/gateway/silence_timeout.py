"""Timeout of a wait for an upstream that sends nothing."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from types import TracebackType
from typing import Self

RECHECK_DELAY_S = 0.02
"""Delay before the second check, during which data that arrived while this process was
stalled is read."""
CHECK_SLACK_S = 0.005
REPLACE_POLL_S = 0.1
"""Interval at which a silent upstream's replacement is looked for."""


class SilenceTimeout:
    """Ends a wait for a silent upstream once another one can take its place.

    Silence alone does not end the wait, since the upstream may go on later.

    It takes two checks in a row to find an upstream silent: a due timer runs before
    received data is read, so with a single check, a process that was stalled would take
    every upstream for silent.

    :param limit: the timeout that ends the wait
    :param silent_at: returns the loop's time after which the upstream's silence is too
        long, as currently known
    :param on_silent: called when two checks have found the upstream silent
    :param replace: reserves a replacement and returns whether there is one; called
        repeatedly while the silence lasts, but not once the wait is to end
    """

    def __init__(
        self,
        limit: asyncio.Timeout,
        silent_at: Callable[[], float],
        *,
        on_silent: Callable[[], None],
        replace: Callable[[], Awaitable[bool]],
    ) -> None:
        self._limit = limit
        self._silent_at = silent_at
        self._on_silent = on_silent
        self._replace = replace
        self._loop = asyncio.get_running_loop()
        self._timer: asyncio.TimerHandle | None = None
        self._replacing: asyncio.Task[None] | None = None
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
        if self._replacing is not None:
            self._replacing.cancel()

    @property
    def silent(self) -> bool:
        """Return whether the upstream's silence is too long."""
        return self._silent_at() <= self._loop.time()

    def begin_silence(self) -> None:
        """Look for a replacement now, since another request found the silence."""
        if self._replacing is None and not self._limit.expired():
            self._replacing = asyncio.create_task(self._wait_for_replacement())

    def _check_at(self, at: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._loop.call_at(at, self._check)

    def _check(self) -> None:
        now, silent_at = self._loop.time(), self._silent_at()
        if self._limit.expired() or self._replacing is not None:
            return
        if silent_at > now:
            self._passed_deadline = None
            self._check_at(silent_at + CHECK_SLACK_S)
        elif self._passed_deadline == silent_at:
            self.begin_silence()
            self._on_silent()
        else:
            self._passed_deadline = silent_at
            self._check_at(now + RECHECK_DELAY_S)

    async def _wait_for_replacement(self) -> None:
        while self.silent:
            if await self._replace():
                if not self._limit.expired():
                    self._limit.reschedule(self._loop.time())
                return
            await asyncio.sleep(REPLACE_POLL_S)
        self._replacing = self._passed_deadline = None
        self._check_at(self._silent_at() + CHECK_SLACK_S)
