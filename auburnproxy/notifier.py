"""Notification that any number of tasks can wait for."""

from __future__ import annotations

import asyncio


class Notifier:
    """Wakes all waiting tasks on each notification."""

    def __init__(self) -> None:
        self._next: asyncio.Future[None] | None = None
        self.notification_count = 0
        """Number of notifications so far."""

    def notify(self) -> None:
        """Wake all tasks that are waiting now."""
        self.notification_count += 1
        if self._next is not None and not self._next.done():
            self._next.set_result(None)
        self._next = None

    async def wait(self, timeout_s: float) -> bool:
        """Wait for the next notification.

        :param timeout_s: maximum wait in seconds
        :return: whether there was a notification before the timeout
        """
        if self._next is None:
            self._next = asyncio.get_running_loop().create_future()
        done, _ = await asyncio.wait({self._next}, timeout=timeout_s)
        return bool(done)
