"""Bounds on what the connections of callers hold before and after a handler.

A head is counted while it is read, since the parser keeps a line that is not complete.
Of the answers that callers do not take, the oldest are given up first.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

from aiohttp import StreamReader, web
from aiohttp.streams import EMPTY_PAYLOAD
from aiohttp.web_protocol import RequestHandler

from ..clock import loop_time
from ..telemetry import Gauge, GaugeReading

HEAD_MARGIN_BYTES = 16_384
"""Bytes of a head that its limit does not count: the request line and separators."""
PIPELINED_BYTES = 65_536
"""Maximum bytes of further heads that wait behind a request in progress."""
SWEEP_INTERVAL_S = 0.5
MIN_STALL_S = 1.0
"""Time for which an answer or the rest of a body waits for its caller before it may
have to make room."""
TOO_LONG = (
    b"HTTP/1.1 431 Request Header Fields Too Large\r\n"
    b"Content-Length: 0\r\nConnection: close\r\n\r\n"
)


class ConnectionLimits(NamedTuple):
    """Limits of all connections of callers together, and of each."""

    connections: int = 2048
    """Maximum number of open connections."""
    unread_bytes: int = 25_000_000
    """Bytes that all callers together may leave unread."""
    head_bytes: int = 65_536
    """Maximum length of a request head."""
    idle_s: float = 75.0
    """Time in seconds after which a caller that takes nothing of its answer is
    disconnected."""


class _Progress(NamedTuple):
    """How far an answer that its caller has not taken has got."""

    since: float
    """The loop's time from which it waits."""
    unread_bytes: int
    at: float
    """The loop's time at which its caller was last seen to take something."""


class CallerConnection(RequestHandler):
    """A connection of a caller, which is closed when it exceeds a limit.

    :param server: the HTTP server that handles its requests
    :param connections: all connections of callers
    :param options: options of aiohttp
    """

    __slots__ = (
        "_body",
        "_connections",
        "_discards",
        "_head_bytes",
        "_pipelined_bytes",
        "received_at",
    )

    def __init__(
        self, server: web.Server, connections: CallerConnections, **options: Any
    ) -> None:
        super().__init__(server, **options)
        self.received_at = loop_time()
        """The loop's time at which something was received."""
        self._connections = connections
        self._body: StreamReader = EMPTY_PAYLOAD
        """Body of the newest request."""
        self._head_bytes = 0
        """Bytes received since the newest complete head, or its body."""
        self._pipelined_bytes = 0
        self._discards = False
        """Whether the rest of a body is dropped, since its request was answered."""

    @property
    def idle(self) -> bool:
        """Return whether it waits for a request."""
        return not self._request_in_progress and not self._messages

    @property
    def reads_body(self) -> bool:
        """Return whether the body of its newest request is not complete."""
        return not self._body.is_eof()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Count the connection; called by the event loop."""
        super().connection_made(transport)
        self._connections.add(self)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Stop counting the connection; called by the event loop."""
        self._connections.remove(self)
        super().connection_lost(exc)

    def pause_writing(self) -> None:
        """Record that the caller is slower than its answer; called by the loop."""
        super().pause_writing()
        self._connections.block(self)

    def resume_writing(self) -> None:
        """Record that the caller has taken everything; called by the event loop."""
        super().resume_writing()
        self._connections.unblock(self)

    def data_received(self, data: bytes) -> None:
        """Parse what was received, unless it exceeds a limit; called by the loop."""
        if self._discards:
            return
        if data:
            self.received_at = loop_time()
        if not data or self.reads_body:
            self._parse(data)
            return
        if not self.idle:
            self._pipelined_bytes += len(data)
            if self._pipelined_bytes > PIPELINED_BYTES:
                self._stop_reading("pipelined")
                return
        else:
            self._pipelined_bytes = 0
        head_bytes = self._connections.limits.head_bytes
        remaining_bytes = max(head_bytes - self._head_bytes, 0)
        if len(data) <= remaining_bytes:
            self._parse(data)
            return
        count = self._request_count
        self._parse(data[:remaining_bytes])
        if self._request_count == count:
            self._refuse_head()
        else:
            self.data_received(data[remaining_bytes:])

    async def finish_response(
        self,
        request: web.BaseRequest,
        resp: web.StreamResponse,
        start_time: float | None,
    ) -> tuple[web.StreamResponse, bool]:
        """End a response; called by aiohttp, which keeps it until the next request."""
        finished = await super().finish_response(request, resp, start_time)
        if isinstance(resp, web.Response):
            resp.body = None
        if not request.content.is_eof() and not resp.keep_alive:
            self._discards = True
        return finished

    def _parse(self, data: bytes) -> None:
        count = self._request_count
        super().data_received(data)
        if self._request_count != count:
            self._body = self._messages[-1][1]
            self._head_bytes = 0
        elif self._body.is_eof():
            self._head_bytes += len(data)

    def _refuse_head(self) -> None:
        if not self.idle:
            self._stop_reading("head_too_long")
            return
        if self.transport is not None:
            self.transport.write(TOO_LONG)
        self._connections.record("head_too_long")
        self.force_close()

    def _stop_reading(self, reason: str) -> None:
        """Close the connection after the answer to the request in progress."""
        if not self._close:
            self._connections.record(reason)
        self._messages.clear()
        self.close()
        if self.transport is not None:
            self.transport.pause_reading()

    def abort(self, reason: str) -> None:
        """Close the connection at once.

        :param reason: code of the limit that was exceeded
        """
        self._connections.record(reason)
        if self.transport is not None:
            self.transport.abort()


class CallerConnections:
    """All connections of callers.

    :param limits: limits of the connections
    :param on_close: called with the reason when a connection is closed for a limit
    """

    def __init__(
        self, limits: ConnectionLimits, on_close: Callable[[str], None]
    ) -> None:
        self.limits = limits
        self._on_close = on_close
        self._open: dict[CallerConnection, None] = {}
        """In the order in which they were opened."""
        self._blocked_since: dict[CallerConnection, float] = {}
        """The loop's time from which callers have not taken all that was written."""
        self._progress: dict[CallerConnection, _Progress] = {}
        self._sweep: asyncio.TimerHandle | None = None

    def set_request_limits(self, *, header_bytes: int, idle_s: float) -> None:
        """Set the limits of the configuration in force.

        :param header_bytes: maximum length of the header fields of a request
        :param idle_s: seconds that a connection may stay idle
        """
        head_bytes = 2 * header_bytes + HEAD_MARGIN_BYTES
        self.limits = self.limits._replace(head_bytes=head_bytes, idle_s=idle_s)

    def protocol(self, server: web.Server) -> Callable[[], CallerConnection]:
        """Return a function that creates the protocol of a connection.

        :param server: the HTTP server that handles the requests
        """
        loop = asyncio.get_running_loop()
        return lambda: CallerConnection(server, self, loop=loop, **server._kwargs)

    def record(self, reason: str) -> None:
        """Record that a connection is closed for a limit.

        :param reason: code of the limit
        """
        self._on_close(reason)

    def add(self, connection: CallerConnection) -> None:
        """Count a new connection; at the limit, another one is closed for it.

        :param connection: the new connection, which is closed if all others are busy
        """
        if len(self._open) >= self.limits.connections:
            closed = self._least_active() or connection
            self._open.pop(closed, None)
            closed.abort("connections")
            if closed is connection:
                return
        self._open[connection] = None

    def _least_active(self) -> CallerConnection | None:
        """Return the oldest idle connection, or else the one that is stalled longest.

        :return: None if each waits for its answer, or gets it
        """
        idle = next((c for c in self._open if c.idle), None)
        if idle is not None:
            return idle
        stalled_before = loop_time() - MIN_STALL_S
        since_by_connection = self._blocked_since.copy()
        for connection in self._open:
            if connection.reads_body:
                since_by_connection[connection] = connection.received_at
        longest = min(
            since_by_connection, key=since_by_connection.__getitem__, default=None
        )
        if longest is None or since_by_connection[longest] > stalled_before:
            return None
        return longest

    def remove(self, connection: CallerConnection) -> None:
        """Stop counting a connection that was closed."""
        self._open.pop(connection, None)
        self._blocked_since.pop(connection, None)

    def block(self, connection: CallerConnection) -> None:
        """Record that a caller is slower than its answer."""
        self._blocked_since[connection] = loop_time()
        if self._sweep is None:
            loop = asyncio.get_running_loop()
            self._sweep = loop.call_later(SWEEP_INTERVAL_S, self._close_blocked)

    def unblock(self, connection: CallerConnection) -> None:
        """Record that a caller has taken all that was written."""
        self._blocked_since.pop(connection, None)

    @property
    def unread_bytes(self) -> int:
        """Return the bytes that callers have not taken."""
        return sum(_unread_bytes(connection) for connection in self._blocked_since)

    def _close_blocked(self) -> None:
        """Close connections whose callers take nothing, or too little for all."""
        self._sweep = None
        now = loop_time()
        last_seen, self._progress = self._progress, {}
        for connection, since in tuple(self._blocked_since.items()):
            seen = _Progress(since, _unread_bytes(connection), now)
            last = last_seen.get(connection, seen)
            if last.since == since and last.unread_bytes <= seen.unread_bytes:
                seen = last
            self._progress[connection] = seen
            if now - seen.at > self.limits.idle_s:
                self._abort(connection, "unread")
        self.reclaim(self.limits.unread_bytes)
        if self._blocked_since:
            loop = asyncio.get_running_loop()
            self._sweep = loop.call_later(SWEEP_INTERVAL_S, self._close_blocked)

    def reclaim(self, max_bytes: int) -> None:
        """Close connections with unread answers until these take less memory.

        Those that hold most for longest are closed first.

        :param max_bytes: bytes that all unread answers together may take
        """
        remaining_bytes = self.unread_bytes
        now = loop_time()

        def held_byte_seconds(connection: CallerConnection) -> float:
            return _unread_bytes(connection) * (now - self._blocked_since[connection])

        for connection in sorted(
            self._blocked_since, key=held_byte_seconds, reverse=True
        ):
            if remaining_bytes <= max_bytes:
                return
            if now - self._blocked_since[connection] >= MIN_STALL_S:
                remaining_bytes -= _unread_bytes(connection)
                self._abort(connection, "unread_memory")

    def _abort(self, connection: CallerConnection, reason: str) -> None:
        del self._blocked_since[connection]
        connection.abort(reason)

    def readings(self) -> Iterator[GaugeReading]:
        """Yield the current gauge values of this module."""
        yield GaugeReading(Gauge.CONNECTIONS, len(self._open))
        yield GaugeReading(Gauge.UNREAD_BYTES, self.unread_bytes)


def _unread_bytes(connection: CallerConnection) -> int:
    transport = connection.transport
    return 0 if transport is None else transport.get_write_buffer_size()
