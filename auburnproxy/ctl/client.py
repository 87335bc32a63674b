"""Client of the daemons' operator API, with failover from one daemon to the next."""

from __future__ import annotations

import time
from collections.abc import Mapping
from typing import Any

import aiohttp
import msgspec

from ..checked_connections import CheckedConnector
from ..errors import AuburnError
from ..operators.bodies import Verdict
from .settings import Settings

CONNECT_TIMEOUT_S = 2.0
RESPONSE_MARGIN_S = 5.0
READ_TIMEOUT_S = 10.0
HTTP_UNAUTHORIZED = 401
HTTP_BAD_REQUEST = 400
HTTP_INTERNAL_SERVER_ERROR = 500


class UnreachableError(AuburnError):
    """No daemon answered, and none can have received a change."""

    code = "unreachable"


class UnauthorizedError(AuburnError):
    """A daemon rejected the operator key."""

    code = "unauthorized"


class UnexpectedStatusError(AuburnError):
    """A daemon responded with an error status below 500 and without a verdict."""

    code = "answer"


class ServerError(AuburnError):
    """A daemon responded with a server error."""

    code = "server"


class Client:
    """Sends each call to the daemons in turn until one answers.

    :param settings: addresses of the daemons, and the operator key
    """

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._headers = {"Authorization": f"Bearer {settings.operator_key}"}

    async def get(self, path: str) -> Any:
        """Return the response of the first daemon that answers.

        :param path: path of the call, for example ``show``
        :raises UnreachableError: if no daemon answers
        """
        timeout = aiohttp.ClientTimeout(total=READ_TIMEOUT_S, connect=CONNECT_TIMEOUT_S)
        async with self._open_session(timeout=timeout) as http:
            for daemon in self._settings.daemons:
                try:
                    async with http.get(_url(daemon, path)) as response:
                        return await _decode_body(response)
                except (aiohttp.ClientError, TimeoutError, ServerError):
                    continue
        raise UnreachableError("no daemon answers")

    async def change(self, path: str, body: Mapping[str, Any], *, wait_s: float) -> Any:
        """Send a change to the daemons in turn until one returns a certain outcome.

        The id in the body makes the change idempotent, so that it is safe to send it
        to a second daemon after the response of the first was lost.

        :param path: path of the call, for example ``apply``
        :param body: the change, with its id
        :param wait_s: seconds to wait for the outcome, over all daemons together
        :raises UnreachableError: if no daemon can have received it
        """
        deadline = time.monotonic() + wait_s
        uncertain, refusal = False, None
        async with self._open_session() as http:
            for daemon in self._settings.daemons:
                remaining_s = deadline - time.monotonic()
                if remaining_s <= 0 and (uncertain or refusal is not None):
                    break
                try:
                    url = _url(daemon, path)
                    answer = await _send_change(http, url, body, max(remaining_s, 0.0))
                except aiohttp.ClientConnectorError:
                    continue
                except (aiohttp.ClientError, TimeoutError, ServerError):
                    uncertain = True
                    continue
                verdict = answer["verdict"]
                if verdict not in (Verdict.UNKNOWN, Verdict.REFUSED):
                    return answer
                uncertain = uncertain or verdict == Verdict.UNKNOWN
                refusal = answer
        if uncertain:
            return _unknown_outcome(body)
        if refusal is None:
            raise UnreachableError("no daemon answers")
        return refusal

    def _open_session(self, **options: Any) -> aiohttp.ClientSession:
        return aiohttp.ClientSession(
            connector=CheckedConnector(), headers=self._headers, **options
        )


async def _send_change(
    http: aiohttp.ClientSession, url: str, body: Mapping[str, Any], wait_s: float
) -> Any:
    total_s = wait_s + RESPONSE_MARGIN_S
    timeout = aiohttp.ClientTimeout(total=total_s, sock_connect=CONNECT_TIMEOUT_S)
    request_body = {**body, "wait_s": wait_s}
    async with http.post(url, json=request_body, timeout=timeout) as response:
        return await _decode_body(response)


def _unknown_outcome(body: Mapping[str, Any]) -> dict[str, Any]:
    return {
        "verdict": Verdict.UNKNOWN,
        "id": body["id"],
        "version": 0,
        "reason": "",
        "pending": [],
        "findings": [],
    }


def _url(daemon: str, path: str) -> str:
    return f"http://{daemon}/operator/{path}"


async def _decode_body(response: aiohttp.ClientResponse) -> Any:
    if response.status == HTTP_UNAUTHORIZED:
        raise UnauthorizedError("the daemon does not know the operator key")
    try:
        body = msgspec.json.decode(await response.read())
    except msgspec.DecodeError:
        body = {}
    if response.status >= HTTP_BAD_REQUEST and "verdict" not in body:
        error_type = (
            ServerError
            if response.status >= HTTP_INTERNAL_SERVER_ERROR
            else UnexpectedStatusError
        )
        raise error_type(f"status {response.status}: {body}")
    return body
