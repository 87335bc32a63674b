"""HTTP client shared by all adapters of the platform's services."""

from __future__ import annotations

from collections.abc import Mapping
from types import MappingProxyType
from typing import NamedTuple

from aiohttp import (
    ClientConnectorError,
    ClientError,
    ClientSession,
    ClientTimeout,
    ConnectionTimeoutError,
)

from ..bounded_body import read_body
from ..checked_connections import CheckedConnector
from ..errors import PlatformError

CONNECT_TIMEOUT_S = 1.0
RESPONSE_TIMEOUT_S = 3.0
HTTP_SERVICE_UNAVAILABLE = 503
HTTP_BAD_REQUEST = 400
MAX_BODY_BYTES = 67_108_864
"""Default maximum size of a response body."""


class Response(NamedTuple):
    """A complete response with any status."""

    status: int
    body: bytes
    headers: Mapping[str, str] = MappingProxyType({})


class LostResponseError(PlatformError):
    """A request was sent, but no complete response was received."""

    code = "answer_lost"


class Client:
    """Client of one platform service; the session is opened by the first request.

    :param base_url: root of the service, ``http://127.0.0.1:9000``
    :param idle_timeout_s: seconds without any received byte, on top of the request's
        ``wait_s``, after which the request times out; None for a total timeout only
    :param max_body_bytes: maximum size of a response body; a larger response is treated
        as lost
    """

    def __init__(
        self,
        base_url: str,
        *,
        idle_timeout_s: float | None = None,
        max_body_bytes: int = MAX_BODY_BYTES,
    ) -> None:
        self._idle_timeout_s = idle_timeout_s
        self._max_body_bytes = max_body_bytes
        self._base_url = base_url.rstrip("/")
        self._session: ClientSession | None = None

    def _open_session(self) -> ClientSession:
        if self._session is None:
            self._session = ClientSession(connector=CheckedConnector(limit=0))
        return self._session

    async def get(
        self,
        path: str,
        *,
        params: dict[str, int] | None = None,
        wait_s: float = 0.0,
    ) -> bytes:
        """Send a GET request and return the response body.

        :param path: path below the base URL
        :param params: query parameters
        :param wait_s: seconds that the service may wait before it responds; they are
            added to the timeouts
        :raises PlatformError: if the service does not respond
        """
        response = await self.send("GET", path, params=params, wait_s=wait_s)
        return self._require_success(path, response)

    async def post(self, path: str, body: bytes) -> bytes:
        """Send a POST request and return the response body.

        :param path: path below the base URL
        :param body: body of the request
        :raises LostResponseError: if the write may have taken effect
        :raises PlatformError: if it certainly has not
        """
        return self._require_success(path, await self.send("POST", path, body=body))

    async def send(
        self,
        method: str,
        path: str,
        *,
        params: Mapping[str, str | int] | None = None,
        body: bytes | None = None,
        wait_s: float = 0.0,
    ) -> Response:
        """Send a request once, without retries, and return the response of any status.

        :param params: query parameters
        :param wait_s: seconds that the service may wait before it responds; they are
            added to the timeouts
        :raises LostResponseError: if the request may have taken effect
        :raises PlatformError: if it certainly has not
        """
        idle_timeout_s = self._idle_timeout_s
        timeout = ClientTimeout(
            total=RESPONSE_TIMEOUT_S + wait_s,
            sock_connect=CONNECT_TIMEOUT_S,
            sock_read=None if idle_timeout_s is None else idle_timeout_s + wait_s,
        )
        url = self._base_url + path
        try:
            async with self._open_session().request(
                method,
                url,
                timeout=timeout,
                allow_redirects=False,
                params=params,
                data=body,
            ) as response:
                body = await read_body(response, max_bytes=self._max_body_bytes)
                return Response(response.status, body, response.headers)
        except (ClientConnectorError, ConnectionTimeoutError) as error:
            raise PlatformError(f"{url}: {error}") from error
        except (TimeoutError, ClientError, OSError) as error:
            raise LostResponseError(f"{url}: {error!r}") from error

    def _require_success(self, path: str, response: Response) -> bytes:
        if response.status == HTTP_SERVICE_UNAVAILABLE:
            raise PlatformError(f"{self._base_url}{path}: service is unavailable")
        if response.status >= HTTP_BAD_REQUEST:
            raise LostResponseError(f"{self._base_url}{path}: status {response.status}")
        return response.body

    async def close(self) -> None:
        """Close every connection."""
        if self._session is not None:
            await self._session.close()
            self._session = None
