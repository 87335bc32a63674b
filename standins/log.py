"""Simulated log service with limited retention, outages and lost responses."""

from __future__ import annotations

import asyncio
from collections import deque

import msgspec
from aiohttp import web

from auburnproxy.external import LogPage, LogRecord

from .listener import abort_connection, json_answer

MS_PER_S = 1000
UNAVAILABLE = 503


class LogFault(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Fault to inject; it replaces the previous one."""

    outage_s: float = 0.0
    """Seconds for which every request is rejected and nothing is appended."""
    dark_s: float = 0.0
    """Seconds for which connections are aborted; nothing is appended."""
    slow_ms: float = 0.0
    """Delay of every response in milliseconds, until the next fault."""
    lose_answers: int = 0
    """Number of appends that take effect but whose responses are lost."""


class Log:
    """Retained records and the injected fault.

    :param retention: number of newest records to keep
    """

    def __init__(self, *, retention: int) -> None:
        self._records: deque[LogRecord] = deque(maxlen=retention)
        self._end = 1
        self._appended = asyncio.Event()
        self._delay_s = 0.0
        self._lose_answers = 0
        self._unavailable_until = 0.0
        self._dark_until = 0.0

    @property
    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    @property
    def start(self) -> int:
        """Return the offset of the oldest retained record."""
        return self._records[0].offset if self._records else self._end

    def append(self, payload: bytes) -> int:
        """Append a record and return its offset.

        :param payload: the record
        """
        offset = self._end
        self._records.append(LogRecord(offset, payload))
        self._end += 1
        self._appended.set()
        self._appended = asyncio.Event()
        return offset

    def page(self, offset: int, limit: int) -> LogPage:
        """Return retained records from an offset on.

        :param offset: first offset wanted
        :param limit: maximum number of records
        """
        skip = max(0, offset - self.start)
        stop = min(len(self._records), skip + limit)
        records = tuple(self._records[index] for index in range(skip, stop))
        return LogPage(records, self.start, self._end)

    async def wait(self, offset: int, wait_s: float) -> None:
        """Wait until a record at an offset exists or the timeout passes.

        :param offset: the offset
        :param wait_s: timeout in seconds
        """
        if offset < self._end:
            return
        try:
            async with asyncio.timeout(wait_s):
                await self._appended.wait()
        except TimeoutError:
            return

    def fail(self, fault: LogFault) -> None:
        """Inject a fault.

        :param fault: the fault
        """
        self._unavailable_until = self._now + fault.outage_s
        self._dark_until = self._now + fault.dark_s
        self._delay_s = fault.slow_ms / MS_PER_S
        self._lose_answers = fault.lose_answers

    @property
    def _is_dark(self) -> bool:
        return self._now < self._dark_until

    @property
    def _is_unavailable(self) -> bool:
        return self._now < self._unavailable_until

    async def _handle_append(self, request: web.Request) -> web.StreamResponse:
        payload = await request.read()
        if self._is_dark:
            return abort_connection(request)
        if self._is_unavailable:
            return web.Response(status=UNAVAILABLE)
        offset = self.append(payload)
        await asyncio.sleep(self._delay_s)
        if self._lose_answers > 0:
            self._lose_answers -= 1
            return abort_connection(request)
        return json_answer(offset)

    async def _handle_read(self, request: web.Request) -> web.StreamResponse:
        offset = int(request.query["offset"])
        limit = int(request.query["limit"])
        wait_s = int(request.query.get("wait_ms", "0")) / MS_PER_S
        await asyncio.sleep(self._delay_s)
        if not self._is_unavailable and not self._is_dark:
            await self.wait(offset, wait_s)
        if self._is_dark:
            return abort_connection(request)
        if self._is_unavailable:
            return web.Response(status=UNAVAILABLE)
        body = msgspec.msgpack.encode(self.page(offset, limit))
        return web.Response(body=body, content_type="application/msgpack")

    async def _handle_fault(self, request: web.Request) -> web.StreamResponse:
        self.fail(msgspec.json.decode(await request.read(), type=LogFault))
        return web.Response()

    def app(self) -> web.Application:
        """Return the web application that serves the log."""
        app = web.Application(client_max_size=16 * 1024 * 1024)
        app.router.add_post("/records", self._handle_append)
        app.router.add_get("/records", self._handle_read)
        app.router.add_post("/fault", self._handle_fault)
        return app


def make_log(retention: int) -> Log:
    """Create an empty log.

    :param retention: number of newest records to keep
    """
    return Log(retention=retention)
