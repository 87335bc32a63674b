"""Callers that check each answer to be whole and their own."""

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
PATIENCE_S = 5.0
"""Wait beyond the deadline for the system's own refusal."""
EVENT_END = b"\n\n"
DATA = b"data: "
DONE = b"[DONE]"


class CallKind(StrEnum):
    """What a caller asks for."""

    MODEL = "model"
    LOOKUP = "lookup"
    ORDER = "order"


class Result(StrEnum):
    """What a caller got."""

    WHOLE = "whole"
    REFUSED = "refused"
    """Told that the call was not run."""
    UNKNOWN = "unknown"
    """Told that the call may have been run, or cut off visibly."""
    BROKEN = "broken"
    """A wrong answer, or a part of one that looked like all of it."""


class Answer(NamedTuple):
    """One call and what came of it."""

    kind: CallKind
    key: str
    """Key under which the upstreams count its runs."""
    result: Result
    detail: str = ""


class Timing(NamedTuple):
    """Where the times of a stream are recorded, in seconds."""

    first: Callable[[float], None]
    between: Callable[[float], None]


class Caller(NamedTuple):
    """One customer's way to call."""

    session: ClientSession
    pick: Callable[[], str]
    """Returns the base URL of a daemon."""
    key: str
    deadline_s: float

    @property
    def timeout(self) -> ClientTimeout:
        """Return the longest time that a call may take."""
        return ClientTimeout(total=self.deadline_s + PATIENCE_S)

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


async def _refusal(response: ClientResponse) -> tuple[Result, str]:
    try:
        error = msgspec.json.decode(await response.read())["error"]
        result = Result.REFUSED if error["ran"] == Ran.NO else Result.UNKNOWN
        return result, str(error["code"])
    except (msgspec.MsgspecError, KeyError, TypeError):
        return Result.UNKNOWN, f"status {response.status}"


class _Reader:
    """Checks the events of one stream as they arrive."""

    def __init__(self, expected: str) -> None:
        self._expected = expected
        self._text = ""
        self._rest = b""
        self.result: Result | None = None
        self.detail = ""

    def feed(self, block: bytes) -> int:
        """Take bytes and return the number of events that they complete."""
        *events, self._rest = (self._rest + block).split(EVENT_END)
        for event in events:
            self._take(event)
        return len(events)

    def _take(self, event: bytes) -> None:
        if event.startswith(b"event: error"):
            self._end(Result.UNKNOWN, "error event")
            return
        _, _, data = event.rpartition(DATA)
        if data == DONE:
            whole = self._text == self._expected
            self._end(Result.WHOLE if whole else Result.BROKEN, "not whole")
            return
        self._text += _content(data)
        if not self._expected.startswith(self._text):
            self._end(Result.BROKEN, "not its own")

    def _end(self, result: Result, detail: str) -> None:
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


async def _read(
    response: ClientResponse, reader: _Reader, timing: Timing, started: float
) -> None:
    loop = asyncio.get_running_loop()
    last = 0.0
    while block := await response.content.readany():
        now = loop.time()
        events = reader.feed(block)
        if events and not last:
            timing.first(now - started)
        elif events:
            timing.between(now - last)
        last = now if events else last


async def call_model(
    caller: Caller, request_id: str, *, model: str, tokens: int, timing: Timing
) -> Answer:
    """Call a model and check the streamed answer.

    :param caller: who calls
    :param request_id: id of the call, unique
    :param model: name of the model
    :param tokens: tokens wanted
    :param timing: where the times are recorded
    """
    messages = [{"role": "user", "content": f"A quote for {request_id}."}]
    call = {"model": model, "stream": True, "max_tokens": tokens, "messages": messages}
    body = msgspec.json.encode(call)
    key = xxhash.xxh64_hexdigest(body)
    reader = _Reader(answer(read_prompt(body)))
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
                return Answer(CallKind.MODEL, key, *await _refusal(response))
            await _read(response, reader, timing, started)
    except ClientConnectorError as error:
        return Answer(CallKind.MODEL, key, Result.REFUSED, f"connect {error.errno}")
    except (ClientError, TimeoutError, OSError) as error:
        if reader.result is None:
            reader.result, reader.detail = Result.UNKNOWN, type(error).__name__
    if reader.result is None:
        reader.result, reader.detail = Result.BROKEN, "no end marker"
    return Answer(CallKind.MODEL, key, reader.result, reader.detail)


async def call_lookup(caller: Caller, request_id: str, *, service: str) -> Answer:
    """Look up stock and check the answer.

    :param caller: who calls
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
                return Answer(CallKind.LOOKUP, key, *await _refusal(response))
            whole = await response.read() == msgspec.json.encode(stock_of(request_id))
    except ClientConnectorError as error:
        return Answer(CallKind.LOOKUP, key, Result.REFUSED, f"connect {error.errno}")
    except (ClientError, TimeoutError, OSError) as error:
        return Answer(CallKind.LOOKUP, key, Result.UNKNOWN, type(error).__name__)
    return Answer(CallKind.LOOKUP, key, Result.WHOLE if whole else Result.BROKEN)


async def call_order(caller: Caller, request_id: str, *, service: str) -> Answer:
    """Place an order under its own idempotency key.

    :param caller: who calls
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
                refusal = await _refusal(response)
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
