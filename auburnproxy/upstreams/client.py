"""HTTP client shared by the adapters of upstreams."""

from __future__ import annotations

import socket
from collections.abc import Iterator
from contextlib import contextmanager

from aiohttp import (
    AddrInfoType,
    ClientConnectorError,
    ClientError,
    ClientHandlerType,
    ClientOSError,
    ClientPayloadError,
    ClientRequest,
    ClientResponse,
    ClientSession,
    ClientTimeout,
    ConnectionTimeoutError,
    DummyCookieJar,
    ServerDisconnectedError,
    StreamReader,
)
from aiohttp.connector import Connection
from aiohttp.http_parser import RawResponseMessage

from ..checked_connections import CheckedConnection, CheckedConnector
from ..errors import Ran, UpstreamError

CONNECT_TIMEOUT_S = 1.0
CONTROL_TIMEOUT_S = 2.0
MAX_RESPONSE_BYTES = 4_194_304
"""Maximum length of a response body; equal to the limit of a caller's request body."""
READ_BUFFER_BYTES = 32_768
"""Bytes of a response that are buffered before its reading is paused, half as many as
the HTTP library then holds at most."""
SOCKET_BUFFER_BYTES = 65_536
"""Bytes of a response that the kernel buffers: what it holds counts as memory of the
host."""
MAX_QUEUED_HEADS = 8
"""Maximum number of queued response heads: interim responses and the final one."""
CONTROL_TIMEOUT = ClientTimeout(total=CONTROL_TIMEOUT_S, sock_connect=CONNECT_TIMEOUT_S)
NO_TIMEOUT = ClientTimeout(total=None)
STREAM_TIMEOUT = ClientTimeout(sock_connect=CONNECT_TIMEOUT_S)


async def _send_once(
    request: ClientRequest, handler: ClientHandlerType
) -> ClientResponse:
    """Prevent aiohttp from retrying PUT and DELETE on a new connection."""
    try:
        return await handler(request)
    except (ClientConnectorError, ConnectionTimeoutError) as error:
        raise UpstreamError(str(error), ran=Ran.NO) from error
    except (ClientOSError, ServerDisconnectedError) as error:
        raise UpstreamError(repr(error), ran=Ran.UNKNOWN) from error


@contextmanager
def upstream_errors(address: str) -> Iterator[None]:
    """Convert exceptions of aiohttp to :class:`UpstreamError`.

    If no connection was established, the call did not run; after any later
    failure it is unknown whether it ran.

    :param address: the upstream's address, for the error message
    :raises UpstreamError: for every failure
    """
    try:
        yield
    except (ClientConnectorError, ConnectionTimeoutError) as error:
        raise UpstreamError(f"{address}: {error}", ran=Ran.NO) from error
    except (TimeoutError, ClientError, OSError) as error:
        raise UpstreamError(f"{address}: {error!r}", ran=Ran.UNKNOWN) from error


class TrackedConnection(CheckedConnection):
    """A connection that records how it ended."""

    reset: bool | None = None
    """Whether it was reset; None while it is open."""
    heads = 0
    """Heads received since the last response was read, including interim responses."""

    def feed_data(
        self, data: tuple[RawResponseMessage, StreamReader], size: int = 0
    ) -> None:
        """Queue a head; called by aiohttp, which itself queues them without a limit."""
        self.heads += 1
        if self.heads <= MAX_QUEUED_HEADS:
            super().feed_data(data, size)
        elif self.exception() is None:
            self.set_exception(ClientPayloadError("too many interim responses"))
            if self.transport is not None:
                self.transport.abort()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Record how the connection ended; called by aiohttp."""
        self.reset = exc is not None
        super().connection_lost(exc)


class TrackedResponse(ClientResponse):
    """A response that records how its connection ended.

    A response without a length ends when its connection does, and is complete
    only if the connection was closed and not reset.
    """

    _tracked: TrackedConnection | None = None

    async def start(self, connection: Connection) -> ClientResponse:
        """Read the head; called by aiohttp."""
        if isinstance(connection.protocol, TrackedConnection):
            self._tracked = connection.protocol
        started = await super().start(connection)
        if self._tracked is not None:
            self._tracked.heads = 0
        return started

    @property
    def framed(self) -> bool:
        """Return whether the body ends by its length or chunks, not its connection."""
        return "Content-Length" in self.headers or "Transfer-Encoding" in self.headers

    @property
    def complete(self) -> bool:
        """Return whether the body, which was read to its end, is complete."""
        if self.framed:
            return True
        return self._tracked is not None and self._tracked.reset is False


def _open_socket(address: AddrInfoType) -> socket.socket:
    """Return a socket for a connection to an address."""
    family, kind, protocol, _, _ = address
    opened = socket.socket(family, kind, protocol)
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BUFFER_BYTES)
    return opened


class TrackedConnector(CheckedConnector):
    """Opens connections that record how they ended."""

    connection_type = TrackedConnection

    def __init__(self, *, reuse_connections: bool) -> None:
        super().__init__(
            limit=0,
            force_close=not reuse_connections,
            socket_factory=_open_socket,
        )


def open_session(
    *, reuse_connections: bool = True, timeout: ClientTimeout = NO_TIMEOUT
) -> ClientSession:
    """Return a session without limits, cookies or retries.

    :param reuse_connections: whether requests may share a connection; with a new
        connection for each request, a response can't belong to an earlier request
    :param timeout: default timeouts of requests
    """
    return ClientSession(
        connector=TrackedConnector(reuse_connections=reuse_connections),
        cookie_jar=DummyCookieJar(),
        middlewares=(_send_once,),
        auto_decompress=False,
        timeout=timeout,
        response_class=TrackedResponse,
        read_bufsize=READ_BUFFER_BYTES,
    )


class Connections:
    """Connections to one upstream, opened on the first call."""

    def __init__(self) -> None:
        self._session: ClientSession | None = None

    def open(self) -> ClientSession:
        """Return the HTTP session, which is created if there is none."""
        if self._session is None:
            self._session = open_session()
        return self._session

    async def close(self) -> None:
        """Close all connections; a later call opens new ones."""
        if self._session is not None:
            await self._session.close()
            self._session = None
