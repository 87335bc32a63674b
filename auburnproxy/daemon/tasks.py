"""Background tasks of a daemon's components."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any


class Tasks:
    """Runs background tasks that must all run for as long as the daemon does.

    :param on_unexpected_end: called with a task that ended without being cancelled
    :param request_stop: then called to stop the daemon, since a partly running daemon
        is worse than none
    """

    def __init__(
        self,
        on_unexpected_end: Callable[[asyncio.Task[None]], None],
        request_stop: Callable[[], None],
    ) -> None:
        self._on_unexpected_end = on_unexpected_end
        self._request_stop = request_stop
        self._tasks: list[asyncio.Task[None]] = []
        self.failed = ""
        """Name of the first task that raised an error, empty if none has."""

    def spawn(self, name: str, coroutine: Coroutine[Any, Any, None]) -> None:
        """Start a task.

        :param name: name of the task in logs
        """
        task = asyncio.create_task(coroutine, name=name)
        task.add_done_callback(self._on_done)
        self._tasks.append(task)

    async def cancel(self) -> None:
        """Cancel every task and wait for its end."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _on_done(self, task: asyncio.Task[None]) -> None:
        if task.cancelled():
            return
        if task.exception() is not None:
            self.failed = self.failed or task.get_name()
        self._on_unexpected_end(task)
        self._request_stop()
