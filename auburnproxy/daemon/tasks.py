"""The tasks that a daemon's slices run in."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any


class Tasks:
    """Runs tasks that are all needed for as long as the daemon runs.

    :param on_end: called with a task that has ended by itself; the daemon is then
        shut down, since a part of a daemon is worse than none
    """

    def __init__(self, on_end: Callable[[asyncio.Task[None]], None]) -> None:
        self._on_end = on_end
        self._tasks: list[asyncio.Task[None]] = []

    def spawn(self, name: str, work: Coroutine[Any, Any, None]) -> None:
        """Start a task.

        :param name: names it in logs
        """
        task = asyncio.create_task(work, name=name)
        task.add_done_callback(self._ended)
        self._tasks.append(task)

    async def cancel(self) -> None:
        """End every task."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _ended(self, task: asyncio.Task[None]) -> None:
        if task.cancelled():
            return
        self._on_end(task)
        asyncio.get_running_loop().stop()
