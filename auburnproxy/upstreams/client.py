"""The HTTP client that the adapters of upstreams share."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager

from aiohttp import (
    ClientConnectorError,
    ClientError,
    ClientHandlerType,
    ClientOSError,
    ClientRequest,
    ClientResponse,
    ClientSession,
    ClientTimeout,
    ConnectionTimeoutError,
    DummyCookieJar,
    ServerDisconnectedError,
    TCPConnector,
)

from ..errors import Ran, UpstreamError

CONNECT_TIMEOUT_S = 1.0
CONTROL_TIMEOUT_S = 2.0
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


def open_session(
    *, keep: bool = True, timeout: ClientTimeout = UNBOUNDED
) -> ClientSession:
    """Return a session that bounds nothing, keeps no cookies and sends once.

    :param keep: whether connections are used again; a new one for each request
        takes no answer that belongs to the request before
    :param timeout: bounds of every request that names none
    """
    return ClientSession(
        connector=TCPConnector(limit=0, force_close=not keep),
        cookie_jar=DummyCookieJar(),
        middlewares=(_send_once,),
        auto_decompress=False,
        timeout=timeout,
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
