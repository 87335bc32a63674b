"""Calls to the daemons, tried in turn."""

from __future__ import annotations

import time
from collections.abc import Mapping
from typing import Any

import aiohttp
import msgspec

from ..errors import AuburnError
from ..operators.bodies import Verdict
from .settings import Settings

CONNECT_S = 2.0
ANSWER_MARGIN_S = 5.0
READ_S = 10.0
UNAUTHORIZED = 401
FIRST_ERROR = 400
FIRST_SERVER_ERROR = 500


class UnreachableError(AuburnError):
    """No daemon answered, and none was sent a change."""

    code = "unreachable"


class UnauthorizedError(AuburnError):
    """A daemon does not know the operator key."""

    code = "unauthorized"


class AnswerError(AuburnError):
    """A daemon's answer makes no sense to the tool."""

    code = "answer"


class ServerError(AuburnError):
    """A daemon failed within a call."""

    code = "server"


class Client:
    """Asks the daemons in turn until one answers.

    :param settings: which daemons, and the key
    """

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._headers = {"Authorization": f"Bearer {settings.operator_key}"}

    async def get(self, path: str) -> Any:
        """Return the answer of the first daemon that gives one.

        :param path: the call, ``show``
        :raises UnreachableError: if none answers
        """
        timeout = aiohttp.ClientTimeout(total=READ_S, connect=CONNECT_S)
        async with aiohttp.ClientSession(
            headers=self._headers, timeout=timeout
        ) as http:
            for daemon in self._settings.daemons:
                try:
                    async with http.get(_url(daemon, path)) as response:
                        return await _body(response)
                except (aiohttp.ClientError, TimeoutError, ServerError):
                    continue
        raise UnreachableError("no daemon answers")

    async def change(self, path: str, body: Mapping[str, Any], *, wait_s: float) -> Any:
        """Send a change until a daemon gives an answer that is certain.

        The body's id makes it safe to send it to a second daemon after an answer
        of the first was lost.

        :param path: the call, ``apply``
        :param body: the change, with its id
        :param wait_s: seconds that all daemons together may follow the change
        :raises UnreachableError: if no daemon can have got it
        """
        end = time.monotonic() + wait_s
        uncertain, refusal = False, None
        async with aiohttp.ClientSession(headers=self._headers) as http:
            for daemon in self._settings.daemons:
                left_s = end - time.monotonic()
                if left_s <= 0 and (uncertain or refusal is not None):
                    break
                try:
                    url = _url(daemon, path)
                    answer = await _send(http, url, body, max(left_s, 0.0))
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
            return _unknown(body)
        if refusal is None:
            raise UnreachableError("no daemon answers")
        return refusal


async def _send(
    http: aiohttp.ClientSession, url: str, body: Mapping[str, Any], wait_s: float
) -> Any:
    total_s = wait_s + ANSWER_MARGIN_S
    timeout = aiohttp.ClientTimeout(total=total_s, sock_connect=CONNECT_S)
    sent = {**body, "wait_s": wait_s}
    async with http.post(url, json=sent, timeout=timeout) as response:
        return await _body(response)


def _unknown(body: Mapping[str, Any]) -> dict[str, Any]:
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


async def _body(response: aiohttp.ClientResponse) -> Any:
    if response.status == UNAUTHORIZED:
        raise UnauthorizedError("the daemon does not know the operator key")
    try:
        body = msgspec.json.decode(await response.read())
    except msgspec.DecodeError:
        body = {}
    if response.status >= FIRST_ERROR and "verdict" not in body:
        kind = ServerError if response.status >= FIRST_SERVER_ERROR else AnswerError
        raise kind(f"status {response.status}: {body}")
    return body
