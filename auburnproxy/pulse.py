"""A signal that any number of tasks wait on."""

from __future__ import annotations

import asyncio


class Pulse:
    """Wakes all who wait, each time that it is sent."""

    def __init__(self) -> None:
        self._next: asyncio.Future[None] | None = None
        self.sent = 0
        """Number of signals so far."""

    def send(self) -> None:
        """Wake every task that waits now."""
        self.sent += 1
        if self._next is not None and not self._next.done():
            self._next.set_result(None)
        self._next = None

    async def wait(self, timeout_s: float) -> bool:
        """Wait for the next signal.

        :param timeout_s: longest wait in seconds
        :return: whether there was a signal
        """
        if self._next is None:
            self._next = asyncio.get_running_loop().create_future()
        done, _ = await asyncio.wait({self._next}, timeout=timeout_s)
        return bool(done)
