"""Count of the requests that a daemon has in flight."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager


class InFlightRequests:
    """Counts requests in flight and signals when there are none."""

    def __init__(self) -> None:
        self.count = 0
        self._idle = asyncio.Event()
        self._idle.set()

    @contextmanager
    def track(self) -> Iterator[None]:
        """Count a request as in flight while the context is open."""
        self.count += 1
        self._idle.clear()
        try:
            yield
        finally:
            self.count -= 1
            if not self.count:
                self._idle.set()

    async def wait_idle(self) -> None:
        """Wait until no request is in flight."""
        await self._idle.wait()
