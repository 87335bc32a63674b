"""The HTTP client that every adapter of the platform shares."""

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
    TCPConnector,
)

from ..bounded_body import read_body
from ..errors import PlatformError

CONNECT_TIMEOUT_S = 1.0
ANSWER_TIMEOUT_S = 3.0
UNAVAILABLE_STATUS = 503
ERROR_STATUS = 400
MOST_BYTES = 67_108_864
"""Longest answer that is taken unless a service names another bound."""


class Answer(NamedTuple):
    """A complete answer, whatever its status."""

    status: int
    body: bytes
    headers: Mapping[str, str] = MappingProxyType({})


class LostAnswerError(PlatformError):
    """A request was sent, and no complete answer came back."""

    code = "answer_lost"


class Client:
    """Requests to one platform service; the session opens with the first one.

    :param base_url: root of the service, ``http://127.0.0.1:9000``
    :param silence_s: seconds beyond the wait of a request in which not a byte of its
        answer comes, after which it is given up; only the whole answer is bounded if
        left out
    :param most_bytes: longest answer that is taken; a longer one counts as lost
    """

    def __init__(
        self,
        base_url: str,
        *,
        silence_s: float | None = None,
        most_bytes: int = MOST_BYTES,
    ) -> None:
        self._silence_s = silence_s
        self._most_bytes = most_bytes
        self._base_url = base_url.rstrip("/")
        self._session: ClientSession | None = None

    def _open(self) -> ClientSession:
        if self._session is None:
            self._session = ClientSession(connector=TCPConnector(limit=0))
        return self._session

    async def get(
        self,
        path: str,
        *,
        params: dict[str, int] | None = None,
        wait_s: float = 0.0,
    ) -> bytes:
        """Return the body of a read.

        :param path: path below the base URL
        :param params: query of the request
        :param wait_s: seconds that the service may take before it answers
        :raises PlatformError: if the service does not answer
        """
        answer = await self.send("GET", path, params=params, wait_s=wait_s)
        return self._body(path, answer)

    async def post(self, path: str, body: bytes) -> bytes:
        """Return the answer to a write.

        :param path: path below the base URL
        :param body: the request's body
        :raises LostAnswerError: if the write may have taken effect
        :raises PlatformError: if it surely has not
        """
        return self._body(path, await self.send("POST", path, body=body))

    async def send(
        self,
        method: str,
        path: str,
        *,
        params: Mapping[str, str | int] | None = None,
        body: bytes | None = None,
        wait_s: float = 0.0,
    ) -> Answer:
        """Send a request once and return its answer, whatever the status.

        :param params: query of the request
        :param wait_s: seconds that the service may take before it answers
        :raises LostAnswerError: if the request may have taken effect
        :raises PlatformError: if it surely has not
        """
        silence_s = self._silence_s
        timeout = ClientTimeout(
            total=ANSWER_TIMEOUT_S + wait_s,
            sock_connect=CONNECT_TIMEOUT_S,
            sock_read=None if silence_s is None else silence_s + wait_s,
        )
        url = self._base_url + path
        try:
            async with self._open().request(
                method,
                url,
                timeout=timeout,
                allow_redirects=False,
                params=params,
                data=body,
            ) as response:
                body = await read_body(response, max_bytes=self._most_bytes)
                return Answer(response.status, body, response.headers)
        except (ClientConnectorError, ConnectionTimeoutError) as error:
            raise PlatformError(f"{url}: {error}") from error
        except (TimeoutError, ClientError, OSError) as error:
            raise LostAnswerError(f"{url}: {error!r}") from error

    def _body(self, path: str, answer: Answer) -> bytes:
        if answer.status == UNAVAILABLE_STATUS:
            raise PlatformError(f"{self._base_url}{path}: unavailable")
        if answer.status >= ERROR_STATUS:
            raise LostAnswerError(f"{self._base_url}{path}: status {answer.status}")
        return answer.body

    async def close(self) -> None:
        """Close every connection."""
        if self._session is not None:
            await self._session.close()
            self._session = None
