"""The requests of one daemon that are not yet answered."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager


class InFlight:
    """Counts requests, and tells when none is left."""

    def __init__(self) -> None:
        self.count = 0
        self._idle = asyncio.Event()
        self._idle.set()

    @contextmanager
    def counted(self) -> Iterator[None]:
        """Count a request for as long as it is being answered."""
        self.count += 1
        self._idle.clear()
        try:
            yield
        finally:
            self.count -= 1
            if not self.count:
                self._idle.set()

    async def idle(self) -> None:
        """Wait until every request is answered."""
        await self._idle.wait()
