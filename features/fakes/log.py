"""In-memory log service with a separate, possibly faulty connection per process."""

from __future__ import annotations

import asyncio

from auburnproxy.errors import AppendUncertainError, PlatformError
from auburnproxy.external import LogPage, LogRecord, LogService


class FakeLog:
    """All payloads ever appended; the oldest ones expire."""

    def __init__(self) -> None:
        self.payloads: list[bytes] = []
        self.start = 1
        self.appended = asyncio.Event()

    @property
    def end(self) -> int:
        return len(self.payloads) + 1

    def add(self, payload: bytes) -> int:
        self.payloads.append(payload)
        event, self.appended = self.appended, asyncio.Event()
        event.set()
        return len(self.payloads)

    def expire(self, start: int) -> None:
        self.start = max(self.start, min(start, self.end))


class LogPort(LogService):
    """One process's connection to the log, with injected faults."""

    def __init__(self, log: FakeLog) -> None:
        self.log = log
        self.disconnected = False
        self.hidden_records = 0
        """Number of newest records that reads do not return yet."""
        self.lost_responses = 0
        """Number of upcoming appends whose response is lost."""
        self.refuse_reads = False
        self.latency_s = 0.01

    async def append(self, payload: bytes) -> int:
        await asyncio.sleep(self.latency_s)
        if self.disconnected:
            raise PlatformError("disconnected")
        offset = self.log.add(payload)
        if self.lost_responses:
            self.lost_responses -= 1
            raise AppendUncertainError("the response was lost")
        await asyncio.sleep(self.latency_s)
        return offset

    async def read(self, offset: int, *, limit: int, wait_s: float) -> LogPage:
        await asyncio.sleep(self.latency_s)
        page = self._page(offset, limit)
        try:
            async with asyncio.timeout(wait_s):
                while not page.records:
                    await self.log.appended.wait()
                    page = self._page(offset, limit)
        except TimeoutError:
            page = self._page(offset, limit)
        return page

    def _page(self, offset: int, limit: int) -> LogPage:
        if self.disconnected or self.refuse_reads:
            raise PlatformError("disconnected")
        log = self.log
        visible_end = max(log.end - self.hidden_records, log.start)
        first = max(offset, log.start)
        offsets = range(first, min(first + limit, visible_end))
        records = tuple(LogRecord(at, log.payloads[at - 1]) for at in offsets)
        return LogPage(records, log.start, visible_end)
