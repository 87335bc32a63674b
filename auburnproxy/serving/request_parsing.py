"""Parsing of requests, with size limits; reports every finding at once."""

from __future__ import annotations

import asyncio
import re
from collections.abc import Mapping
from typing import NamedTuple, TypeVar, cast
from uuid import uuid4

import msgspec
from aiohttp import web

from ..decoding import decode_json
from ..errors import DocumentError, RefusalError, UnreadableError
from ..findings import Finding
from ._labels import REQUEST
from .limits import RequestLimits

REQUEST_ID_HEADER = "X-Request-Id"
DEADLINE_HEADER = "X-Deadline-Ms"
IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"
MS_PER_S = 1000
_ID_PATTERN = re.compile(r"[\x21-\x7e]{1,128}")
_DEADLINE_PATTERN = re.compile(r"[0-9]{1,9}")
T = TypeVar("T")
_BEARER_PATTERN = re.compile(r"(?i:bearer) +([\x21-\x7e]+) *")


class RequestHeaders(NamedTuple):
    """Values read from the headers of a request."""

    request_id: str
    deadline: float
    """Time of the event loop, in seconds, by which the request must be answered."""
    idempotency_key: str
    """Empty if the caller gave none."""


class ChatBody(NamedTuple):
    """The fields of a chat request that are read here; the engine reads the others."""

    model: str
    stream: bool
    prompt: bytes
    """The messages as encoded by the caller."""


def bearer_key(headers: Mapping[str, str]) -> str:
    """Return the API key from the ``Authorization: Bearer`` header.

    :raises RefusalError: 401 if there is none
    """
    match = _BEARER_PATTERN.fullmatch(headers.get("Authorization", ""))
    if match is None:
        message = "The request carries no bearer key."
        raise RefusalError("unauthenticated", message, status=401)
    return match.group(1)


def request_id(headers: Mapping[str, str]) -> str:
    """Return the caller's request id, or generate one if it is missing or invalid."""
    request_id_header = headers.get(REQUEST_ID_HEADER, "")
    return (
        request_id_header if _ID_PATTERN.fullmatch(request_id_header) else uuid4().hex
    )


def may_wait(headers: Mapping[str, str]) -> bool:
    """Return whether a call that a peer forwarded may queue here for a slot."""
    return headers.get("X-Wait") == "1"


def parse_headers(
    http: web.Request, limits: RequestLimits, *, now: float
) -> tuple[RequestHeaders, list[Finding]]:
    """Return the values of the headers, and the findings on them.

    :param http: a request whose id is set under ``REQUEST``
    :param limits: limits for the request
    :param now: time of the event loop in seconds
    """
    headers = http.headers
    findings = [
        _finding("header", name, "text", "must be 1 to 128 visible ASCII characters")
        for name in (REQUEST_ID_HEADER, IDEMPOTENCY_KEY_HEADER)
        if name in headers and not _ID_PATTERN.fullmatch(headers[name])
    ]
    deadline_s = limits.deadline_s
    if DEADLINE_HEADER in headers:
        text = headers[DEADLINE_HEADER]
        deadline_s = int(text) / MS_PER_S if _DEADLINE_PATTERN.fullmatch(text) else 0.0
        if not 0 < deadline_s <= limits.longest_deadline_s:
            max_ms = round(limits.longest_deadline_s * MS_PER_S)
            message = f"must be a whole number from 1 to {max_ms}"
            findings.append(_finding("header", DEADLINE_HEADER, "range", message))
    key = headers.get(IDEMPOTENCY_KEY_HEADER, "")
    return RequestHeaders(http[REQUEST], now + deadline_s, key), findings


async def read_request_body(request: web.Request, limits: RequestLimits) -> bytes:
    """Return the body of a caller's request.

    :raises RefusalError: 413 if it is too long, 408 if it arrives too slowly
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


def parse_chat_body(body: bytes) -> tuple[ChatBody, list[Finding]]:
    """Return the fields of a chat request, and the findings on them.

    :param body: the JSON body
    """
    try:
        raw = decode_json(body, dict[str, msgspec.Raw])
    except UnreadableError as error:
        finding = _finding("body", "", "json", str(error))
        return ChatBody("", False, b""), [finding]
    findings: list[Finding] = []
    model = _field(raw, "model", str, "", findings, required=True)
    stream = _field(raw, "stream", bool, False, findings)
    _field(raw, "messages", list[msgspec.Raw], [], findings, required=True)
    if not model and not findings:
        findings.append(_finding("body", "model", "text", "must not be empty"))
    return ChatBody(model, stream, bytes(raw.get("messages", b""))), findings


def raise_findings(findings: list[Finding]) -> None:
    """Raise an error that lists every finding, if there are any.

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
        return cast(T, decode_json(raw[key], kind))
    except UnreadableError as error:
        findings.append(_finding("body", key, "type", str(error)))
        return default


def _finding(location: str, key: str, code: str, message: str) -> Finding:
    return Finding(location, 1, key, code, message)


def _too_long(limits: RequestLimits) -> RefusalError:
    message = f"The body is longer than {limits.body_bytes} bytes."
    return RefusalError("body_too_long", message, status=413)
