"""The HTTP client that the adapters of upstreams share."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from functools import partial
from typing import cast

from aiohttp import (
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
    TCPConnector,
)
from aiohttp.client_proto import ResponseHandler
from aiohttp.connector import Connection
from aiohttp.http_parser import RawResponseMessage

from ..errors import Ran, UpstreamError

CONNECT_TIMEOUT_S = 1.0
CONTROL_TIMEOUT_S = 2.0
MOST_BYTES = 4_194_304
"""Longest whole answer that is taken; a caller's own body may be as long."""
MOST_HEADS = 8
"""Interim answers, and the final one, that are queued before they are taken."""
CONTROL = ClientTimeout(total=CONTROL_TIMEOUT_S, sock_connect=CONNECT_TIMEOUT_S)
UNBOUNDED = ClientTimeout(total=None)
STREAM = ClientTimeout(sock_connect=CONNECT_TIMEOUT_S)


async def _send_once(
    request: ClientRequest, handler: ClientHandlerType
) -> ClientResponse:
    """Keep the library from sending PUT and DELETE again on a new connection."""
    try:
        return await handler(request)
    except (ClientConnectorError, ConnectionTimeoutError) as error:
        raise UpstreamError(str(error), ran=Ran.NO) from error
    except (ClientOSError, ServerDisconnectedError) as error:
        raise UpstreamError(repr(error), ran=Ran.UNKNOWN) from error


@contextmanager
def upstream_errors(place: str) -> Iterator[None]:
    """Turn the errors of the HTTP library into errors of an upstream.

    A connection that was never made leaves the call not run; anything later
    leaves it unknown.

    :param place: the address, for the log
    :raises UpstreamError: for every failure
    """
    try:
        yield
    except (ClientConnectorError, ConnectionTimeoutError) as error:
        raise UpstreamError(f"{place}: {error}", ran=Ran.NO) from error
    except (TimeoutError, ClientError, OSError) as error:
        raise UpstreamError(f"{place}: {error!r}", ran=Ran.UNKNOWN) from error


class TrackedConnection(ResponseHandler):
    """A connection that knows how it ended."""

    reset: bool | None = None
    """Whether it was reset; None while it is open."""
    heads = 0
    """Heads that came since the last answer was taken, interim ones included."""

    def feed_data(
        self, data: tuple[RawResponseMessage, StreamReader], size: int = 0
    ) -> None:
        """Queue a head; called by the library, which would queue them without end."""
        self.heads += 1
        if self.heads <= MOST_HEADS:
            super().feed_data(data, size)
        elif self.exception() is None:
            self.set_exception(ClientPayloadError("too many interim answers"))
            if self.transport is not None:
                self.transport.abort()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Note the end of the connection; called by the library."""
        self.reset = exc is not None
        super().connection_lost(exc)


class TrackedResponse(ClientResponse):
    """An answer that knows how its connection ended.

    An answer without a length ends with its connection, and is whole only if
    that was closed and not reset.
    """

    _tracked: TrackedConnection | None = None

    async def start(self, connection: Connection) -> ClientResponse:
        """Read the head; called by the library."""
        if isinstance(connection.protocol, TrackedConnection):
            self._tracked = connection.protocol
        started = await super().start(connection)
        if self._tracked is not None:
            self._tracked.heads = 0
        return started

    @property
    def whole(self) -> bool:
        """Return whether the body, which has been read to its end, is whole."""
        if "Content-Length" in self.headers or "Transfer-Encoding" in self.headers:
            return True
        return self._tracked is not None and self._tracked.reset is False


class TrackedConnector(TCPConnector):
    """Opens connections that know how they ended."""

    def __init__(self, *, keep: bool) -> None:
        super().__init__(limit=0, force_close=not keep)
        # The library offers no public way to choose the connection's class.
        self._factory = cast(
            partial[ResponseHandler], partial(TrackedConnection, loop=self._loop)
        )


def open_session(
    *, keep: bool = True, timeout: ClientTimeout = UNBOUNDED
) -> ClientSession:
    """Return a session that bounds nothing, keeps no cookies and sends once.

    :param keep: whether connections are used again; a new one for each request
        takes no answer that belongs to the request before
    :param timeout: bounds of every request that names none
    """
    return ClientSession(
        connector=TrackedConnector(keep=keep),
        cookie_jar=DummyCookieJar(),
        middlewares=(_send_once,),
        auto_decompress=False,
        timeout=timeout,
        response_class=TrackedResponse,
    )


class Connections:
    """The connections to one upstream; they open with the first call."""

    def __init__(self) -> None:
        self._session: ClientSession | None = None

    def open(self) -> ClientSession:
        """Return the session that calls go through."""
        if self._session is None:
            self._session = open_session()
        return self._session

    async def close(self) -> None:
        """Close every connection; a later call opens new ones."""
        if self._session is not None:
            await self._session.close()
            self._session = None
