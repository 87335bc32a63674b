"""Adapter for plain services over HTTP."""

from __future__ import annotations

from aiohttp import ClientTimeout

from ..bounded_body import read_body
from ..decoding import JsonDecoder
from ..errors import UnreadableError, UpstreamError
from ..external import HostEntry
from .client import (
    CONNECT_TIMEOUT_S,
    CONTROL_TIMEOUT,
    MAX_RESPONSE_BYTES,
    Connections,
    upstream_errors,
)
from .service import PlainAnswer, PlainCall, PlainService, ServiceReport

OK = 200
CALLS_PATH = "/calls"
DEFAULT_CONTENT_TYPE = "application/octet-stream"

_decoder = JsonDecoder(ServiceReport)


class HttpPlainService(PlainService):
    """A plain service reached over HTTP.

    :param address: IP address and port, ``127.0.0.1:9200``
    """

    def __init__(self, address: str) -> None:
        self._address = address
        self._connections = Connections()

    async def report(self) -> ServiceReport:
        """Return the service's newest report.

        :raises UpstreamError: if the service does not answer
        """
        url = f"http://{self._address}/report"
        with upstream_errors(self._address):
            async with self._connections.open().get(
                url, timeout=CONTROL_TIMEOUT
            ) as response:
                status, body = (
                    response.status,
                    await read_body(response, max_bytes=MAX_RESPONSE_BYTES),
                )
        if status != OK:
            raise UpstreamError(
                f"{self._address}: report request failed with status {status}"
            )
        try:
            return _decoder.decode(body)
        except UnreadableError as error:
            raise UpstreamError(f"{self._address}: {error}") from error

    async def call(self, call: PlainCall) -> PlainAnswer:
        """Send a call at most once and return its response.

        :param call: the call
        :raises UpstreamError: with ``ran`` NO only if nothing was sent
        """
        url = f"http://{self._address}{CALLS_PATH}/{call.path.lstrip('/')}"
        timeout = ClientTimeout(total=call.deadline_s, sock_connect=CONNECT_TIMEOUT_S)
        headers = {"X-Request-Id": call.request_id}
        if call.content_type:
            headers["Content-Type"] = call.content_type
        if call.idempotency_key:
            headers["Idempotency-Key"] = call.idempotency_key
        with upstream_errors(self._address):
            async with self._connections.open().request(
                call.method,
                url,
                data=call.body or None,
                headers=headers,
                timeout=timeout,
                allow_redirects=False,
            ) as response:
                body = await read_body(response, max_bytes=MAX_RESPONSE_BYTES)
        content_type = response.headers.get("Content-Type", DEFAULT_CONTENT_TYPE)
        return PlainAnswer(response.status, _as_text(content_type), body)

    async def close(self) -> None:
        """Close all connections to the service."""
        await self._connections.close()


def _as_text(value: str) -> str:
    """Return a header value as text; one that is not UTF-8 is read as Latin-1.

    aiohttp reads it with surrogate escapes, which can't be stored or written.
    """
    received = value.encode(errors="surrogateescape")
    try:
        return received.decode()
    except UnicodeDecodeError:
        return received.decode("latin-1")


def connect_service(entry: HostEntry) -> HttpPlainService:
    """Return the adapter for a host's plain service.

    :param entry: the host's entry on the platform's list
    """
    return HttpPlainService(entry.address)
