"""Callers that verify that each answer is complete and matches their request."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from enum import StrEnum
from typing import NamedTuple

import msgspec
import xxhash
from aiohttp import (
    ClientConnectorError,
    ClientError,
    ClientResponse,
    ClientSession,
    ClientTimeout,
)

from auburnproxy.errors import Ran

from .service import PlacedOrder, stock_of
from .tokens import answer, read_prompt

OK = 200
CREATED = 201
MS_PER_S = 1000
REJECTION_GRACE_S = 5.0
"""Time past the deadline that a caller waits for the proxy to reject the call."""
EVENT_END = b"\n\n"
DATA = b"data: "
DONE = b"[DONE]"


class CallKind(StrEnum):
    """Kind of call."""

    MODEL = "model"
    LOOKUP = "lookup"
    ORDER = "order"


class Result(StrEnum):
    """Outcome of a call, as the caller sees it."""

    WHOLE = "whole"
    REFUSED = "refused"
    """The response says that the call was not run."""
    UNKNOWN = "unknown"
    """The response says that the call may have run, or was visibly cut off."""
    BROKEN = "broken"
    """The answer is wrong, or incomplete without any sign of it."""


class Answer(NamedTuple):
    """One call and its outcome."""

    kind: CallKind
    key: str
    """Key under which the upstreams count the call's runs."""
    result: Result
    detail: str = ""


class Timing(NamedTuple):
    """Callbacks that record the times of a stream, in seconds."""

    first: Callable[[float], None]
    between: Callable[[float], None]


class Caller(NamedTuple):
    """One customer's client."""

    session: ClientSession
    pick: Callable[[], str]
    """Returns the base URL of a daemon."""
    key: str
    deadline_s: float

    @property
    def timeout(self) -> ClientTimeout:
        """Return the timeout of a call."""
        return ClientTimeout(total=self.deadline_s + REJECTION_GRACE_S)

    def headers(self, request_id: str) -> dict[str, str]:
        """Return the headers of every call.

        :param request_id: id of the call
        """
        return {
            "Authorization": f"Bearer {self.key}",
            "X-Request-Id": request_id,
            "X-Deadline-Ms": str(round(self.deadline_s * MS_PER_S)),
            "Content-Type": "application/json",
        }


async def _parse_rejection(response: ClientResponse) -> tuple[Result, str]:
    try:
        error = msgspec.json.decode(await response.read())["error"]
        result = Result.REFUSED if error["ran"] == Ran.NO else Result.UNKNOWN
        return result, str(error["code"])
    except (msgspec.MsgspecError, KeyError, TypeError):
        return Result.UNKNOWN, f"status {response.status}"


class _StreamChecker:
    """Compares the events of one stream with the expected answer as they arrive."""

    def __init__(self, expected: str) -> None:
        self._expected = expected
        self._text = ""
        self._partial_event = b""
        self.result: Result | None = None
        self.detail = ""

    def feed(self, block: bytes) -> int:
        """Process received bytes and return the number of events they complete."""
        *events, self._partial_event = (self._partial_event + block).split(EVENT_END)
        for event in events:
            self._check_event(event)
        return len(events)

    def _check_event(self, event: bytes) -> None:
        if event.startswith(b"event: error"):
            self._finish(Result.UNKNOWN, "error event")
            return
        _, _, data = event.rpartition(DATA)
        if data == DONE:
            whole = self._text == self._expected
            self._finish(Result.WHOLE if whole else Result.BROKEN, "not whole")
            return
        self._text += _content(data)
        if not self._expected.startswith(self._text):
            self._finish(Result.BROKEN, "not its own")

    def _finish(self, result: Result, detail: str) -> None:
        if self.result is not None:
            return
        self.result = result
        self.detail = "" if result is Result.WHOLE else detail


def _content(data: bytes) -> str:
    try:
        choices = msgspec.json.decode(data)["choices"]
        return "".join(choice["delta"].get("content", "") for choice in choices)
    except (msgspec.MsgspecError, KeyError, TypeError):
        return "\0"


async def _check_stream(
    response: ClientResponse, checker: _StreamChecker, timing: Timing, started: float
) -> None:
    loop = asyncio.get_running_loop()
    last = 0.0
    while block := await response.content.readany():
        now = loop.time()
        events = checker.feed(block)
        if events and not last:
            timing.first(now - started)
        elif events:
            timing.between(now - last)
        last = now if events else last


async def call_model(
    caller: Caller, request_id: str, *, model: str, tokens: int, timing: Timing
) -> Answer:
    """Call a model and check the streamed answer.

    :param caller: client to call with
    :param request_id: id of the call, unique
    :param model: name of the model
    :param tokens: number of tokens to request
    :param timing: callbacks for the stream's times
    """
    messages = [{"role": "user", "content": f"A quote for {request_id}."}]
    call = {"model": model, "stream": True, "max_tokens": tokens, "messages": messages}
    body = msgspec.json.encode(call)
    key = xxhash.xxh64_hexdigest(body)
    checker = _StreamChecker(answer(read_prompt(body)))
    started = asyncio.get_running_loop().time()
    url = f"{caller.pick()}/v1/chat/completions"
    try:
        async with caller.session.post(
            url,
            data=body,
            headers=caller.headers(request_id),
            timeout=caller.timeout,
        ) as response:
            if response.status != OK:
                return Answer(CallKind.MODEL, key, *await _parse_rejection(response))
            await _check_stream(response, checker, timing, started)
    except ClientConnectorError as error:
        return Answer(CallKind.MODEL, key, Result.REFUSED, f"connect {error.errno}")
    except (ClientError, TimeoutError, OSError) as error:
        if checker.result is None:
            checker.result, checker.detail = Result.UNKNOWN, type(error).__name__
    if checker.result is None:
        checker.result, checker.detail = Result.BROKEN, "no end marker"
    return Answer(CallKind.MODEL, key, checker.result, checker.detail)


async def call_lookup(caller: Caller, request_id: str, *, service: str) -> Answer:
    """Look up stock and check the answer.

    :param caller: client to call with
    :param request_id: id of the call, unique
    :param service: name of the plain service
    """
    path = f"stock/{request_id}?n=1"
    key = f"/calls/{path}"
    url = f"{caller.pick()}/v1/services/{service}/{path}"
    headers = caller.headers(request_id)
    try:
        async with caller.session.get(
            url, headers=headers, timeout=caller.timeout
        ) as response:
            if response.status != OK:
                return Answer(CallKind.LOOKUP, key, *await _parse_rejection(response))
            whole = await response.read() == msgspec.json.encode(stock_of(request_id))
    except ClientConnectorError as error:
        return Answer(CallKind.LOOKUP, key, Result.REFUSED, f"connect {error.errno}")
    except (ClientError, TimeoutError, OSError) as error:
        return Answer(CallKind.LOOKUP, key, Result.UNKNOWN, type(error).__name__)
    return Answer(CallKind.LOOKUP, key, Result.WHOLE if whole else Result.BROKEN)


async def call_order(caller: Caller, request_id: str, *, service: str) -> Answer:
    """Place an order under its own idempotency key.

    :param caller: client to call with
    :param request_id: id of the order, unique
    :param service: name of the plain service
    """
    url = f"{caller.pick()}/v1/services/{service}/orders"
    body = msgspec.json.encode({"order": request_id})
    headers = {**caller.headers(request_id), "Idempotency-Key": request_id}
    try:
        async with caller.session.post(
            url, data=body, headers=headers, timeout=caller.timeout
        ) as response:
            if response.status != CREATED:
                refusal = await _parse_rejection(response)
                return Answer(CallKind.ORDER, request_id, *refusal)
            placed = msgspec.json.decode(await response.read(), type=PlacedOrder)
    except ClientConnectorError as error:
        detail = f"connect {error.errno}"
        return Answer(CallKind.ORDER, request_id, Result.REFUSED, detail)
    except (ClientError, TimeoutError, OSError) as error:
        return Answer(CallKind.ORDER, request_id, Result.UNKNOWN, type(error).__name__)
    except msgspec.MsgspecError:
        return Answer(CallKind.ORDER, request_id, Result.BROKEN, "unreadable")
    whole = placed.order == request_id
    return Answer(CallKind.ORDER, request_id, Result.WHOLE if whole else Result.BROKEN)
