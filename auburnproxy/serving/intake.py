"""Requests read, bounded and checked, with every finding named."""

from __future__ import annotations

import asyncio
import re
from collections.abc import Mapping
from typing import NamedTuple, TypeVar
from uuid import uuid4

import msgspec
from aiohttp import web

from ..errors import DocumentError, RefusalError
from ..findings import Finding
from ._labels import REQUEST
from .limits import Limits

REQUEST_ID = "X-Request-Id"
DEADLINE = "X-Deadline-Ms"
IDEMPOTENCY_KEY = "Idempotency-Key"
MS_PER_S = 1000
_TOKEN = re.compile(r"[\x21-\x7e]{1,128}")
_DIGITS = re.compile(r"[0-9]{1,9}")
T = TypeVar("T")
_BEARER = re.compile(r"(?i:bearer) +([\x21-\x7e]+) *")


class Headers(NamedTuple):
    """What the headers of a request say."""

    request_id: str
    deadline: float
    """The loop's time in seconds by which the request is to be answered."""
    idempotency_key: str
    """Empty if the caller gave none."""


class ChatBody(NamedTuple):
    """What the system reads of a chat request; the rest is the engine's."""

    model: str
    stream: bool
    prompt: bytes
    """The messages as the caller wrote them."""


def bearer(headers: Mapping[str, str]) -> str:
    """Return the bearer key of a request.

    :raises RefusalError: 401 if there is none
    """
    match = _BEARER.fullmatch(headers.get("Authorization", ""))
    if match is None:
        message = "The request carries no bearer key."
        raise RefusalError("unauthenticated", message, status=401)
    return match.group(1)


def request_id(headers: Mapping[str, str]) -> str:
    """Return the caller's request id, or a new one if it gave no valid one."""
    given = headers.get(REQUEST_ID, "")
    return given if _TOKEN.fullmatch(given) else uuid4().hex


def may_wait(headers: Mapping[str, str]) -> bool:
    """Return whether a call that a peer forwarded may wait here for a slot."""
    return headers.get("X-Wait") == "1"


def read_headers(
    http: web.Request, limits: Limits, *, now: float
) -> tuple[Headers, list[Finding]]:
    """Return the headers with what is wrong with them.

    :param http: a request that its id is noted on
    :param limits: the bounds on it
    :param now: the loop's time in seconds
    """
    headers = http.headers
    findings = [
        _finding("header", name, "text", "must be 1 to 128 visible ASCII characters")
        for name in (REQUEST_ID, IDEMPOTENCY_KEY)
        if name in headers and not _TOKEN.fullmatch(headers[name])
    ]
    deadline_s = limits.deadline_s
    if DEADLINE in headers:
        text = headers[DEADLINE]
        deadline_s = int(text) / MS_PER_S if _DIGITS.fullmatch(text) else 0.0
        if not 0 < deadline_s <= limits.longest_deadline_s:
            most = round(limits.longest_deadline_s * MS_PER_S)
            message = f"must be a whole number from 1 to {most}"
            findings.append(_finding("header", DEADLINE, "range", message))
    key = headers.get(IDEMPOTENCY_KEY, "")
    return Headers(http[REQUEST], now + deadline_s, key), findings


async def read_body(request: web.Request, limits: Limits) -> bytes:
    """Return the body.

    :raises RefusalError: 413 if it is too long, 408 if it comes too slowly
    """
    if (request.content_length or 0) > limits.body_bytes:
        raise _too_long(limits)
    try:
        async with asyncio.timeout(limits.body_timeout_s):
            return await request.read()
    except TimeoutError:
        message = f"The body did not arrive within {limits.body_timeout_s:g} s."
        raise RefusalError("body_too_slow", message, status=408) from None
    except web.HTTPRequestEntityTooLarge:
        raise _too_long(limits) from None


def read_chat(body: bytes) -> tuple[ChatBody, list[Finding]]:
    """Return what is read of a chat request, with what is wrong with it.

    :param body: the JSON body
    """
    try:
        raw = msgspec.json.decode(body, type=dict[str, msgspec.Raw])
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        finding = _finding("body", "", "json", str(error))
        return ChatBody("", False, b""), [finding]
    findings: list[Finding] = []
    model = _field(raw, "model", str, "", findings, required=True)
    stream = _field(raw, "stream", bool, False, findings)
    _field(raw, "messages", list[msgspec.Raw], [], findings, required=True)
    if not model and not findings:
        findings.append(_finding("body", "model", "text", "must not be empty"))
    return ChatBody(model, stream, bytes(raw.get("messages", b""))), findings


def check(findings: list[Finding]) -> None:
    """Raise an error that names every finding, if there are any.

    :raises DocumentError: with the findings
    """
    if findings:
        raise DocumentError(findings)


def _field(
    raw: Mapping[str, msgspec.Raw],
    key: str,
    kind: type[T],
    default: T,
    findings: list[Finding],
    *,
    required: bool = False,
) -> T:
    if key not in raw:
        if required:
            findings.append(_finding("body", key, "required", "is missing"))
        return default
    try:
        return msgspec.json.decode(raw[key], type=kind)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        findings.append(_finding("body", key, "type", str(error)))
        return default


def _finding(place: str, key: str, code: str, message: str) -> Finding:
    return Finding(place, 1, key, code, message)


def _too_long(limits: Limits) -> RefusalError:
    message = f"The body is longer than {limits.body_bytes} bytes."
    return RefusalError("body_too_long", message, status=413)
