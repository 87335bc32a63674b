"""Codec of the platform's request and response headers."""

from __future__ import annotations

from collections.abc import Mapping
from string import hexdigits

from multidict import CIMultiDict, CIMultiDictProxy, MultiMapping

from ..gateway.header_codec import (
    FORWARDED,
    Dispatch,
    HeaderCodec,
    ReportedLoad,
    RequestInfo,
    ResponseInfo,
    without_hop_by_hop,
)

REQUEST_ID = "Attempt-Id"
DEADLINE_MS = "Deadline-Ms"
API_KEY = "Api-Key"
ACCOUNT = "Tenant"
MODEL = "Model"
TOKEN_USAGE = "Token-Usage"
"""Prompt tokens and maximum output tokens, separated by a comma."""
PROMPT_PREFIX = "Prompt-Prefix"
"""Parts of the prompt as ID:TOKENS, separated by commas."""
RESUME_AFTER = "Last-Event-Id"
HOST_ID = "Expect-Instance"
URGENCY = "Request-Urgency"
WEIGHT_VERSION = "Expect-Version"
NOT_EXECUTED = "Not-Executed"
ENGINE_STAMP = "Engine-Stamp"
LOAD = "Engine-Load"
"""Running requests, queued requests and slots, separated by commas."""
LIMIT = "Server-Limit"
"""Requests a second that the engine takes from all callers together."""
FAULTY_SERVER = "At-Server"
LEAVING = "Server-Leaving"
LEAVING_VALUE = "1"
FORWARDED_VALUE = "1"
RETRY_AFTER = "Retry-After"
PROXY_HEADERS = (
    API_KEY,
    ACCOUNT,
    HOST_ID,
    URGENCY,
    WEIGHT_VERSION,
    DEADLINE_MS,
    RESUME_AFTER,
)
"""Headers that are always set by the proxy; values sent by the caller are removed."""
MS_PER_S = 1000
MAX_PART_ID_DIGITS = 32
"""Longer ids of prompt parts are treated as malformed."""
HEX_DIGITS = frozenset(hexdigits)
MAX_DIGITS = 15
"""Longer numbers are treated as malformed; no valid value is as long."""
HTTP_MISDIRECTED = 421


class PlatformHeaderCodec(HeaderCodec):
    """Reads and writes the platform's headers."""

    def read_request(self, headers: Mapping[str, str]) -> RequestInfo:
        """Decode a caller's headers; malformed values are treated as missing."""
        prompt_tokens, _, answer_tokens = headers.get(TOKEN_USAGE, "").partition(",")
        deadline_ms = _parse_number(headers.get(DEADLINE_MS, ""))
        parts = _parse_prefix(headers)
        return RequestInfo(
            request_id=headers.get(REQUEST_ID, ""),
            key=headers.get(API_KEY, ""),
            deadline_s=None if deadline_ms is None else deadline_ms / MS_PER_S,
            model=headers.get(MODEL, ""),
            prompt_tokens=int(_parse_number(prompt_tokens) or 0),
            answer_tokens=int(_parse_number(answer_tokens) or 0),
            resume_after=headers.get(RESUME_AFTER, ""),
            malformed=tuple(
                name
                for name, number in (
                    (DEADLINE_MS, deadline_ms),
                    (TOKEN_USAGE, _parse_number(prompt_tokens)),
                    (PROMPT_PREFIX, None if None in parts else 0.0),
                )
                if number is None and name in headers
            ),
            prompt_parts=tuple(dict.fromkeys(part for part in parts[:-1] if part)),
        )

    def upstream_headers(
        self, headers: CIMultiDictProxy[str], dispatch: Dispatch
    ) -> CIMultiDict[str]:
        """Return the headers to send to an upstream."""
        forwarded = without_hop_by_hop(headers)
        for name in PROXY_HEADERS:
            forwarded.popall(name, None)
        forwarded[DEADLINE_MS] = _to_ms(dispatch.deadline_s)
        forwarded[HOST_ID] = dispatch.host.id
        if dispatch.account:
            forwarded[ACCOUNT] = dispatch.account
        if dispatch.resume_after:
            forwarded[RESUME_AFTER] = dispatch.resume_after
        if dispatch.host.part is not None:
            forwarded[URGENCY] = str(dispatch.urgency)
        return forwarded

    def peer_headers(
        self, headers: CIMultiDictProxy[str], deadline_s: float
    ) -> CIMultiDict[str]:
        """Return the headers with which a peer gets a caller's request."""
        forwarded = without_hop_by_hop(headers)
        forwarded[DEADLINE_MS] = _to_ms(deadline_s)
        forwarded[FORWARDED] = FORWARDED_VALUE
        return forwarded

    def read_response(self, status: int, headers: Mapping[str, str]) -> ResponseInfo:
        """Decode the status and headers of an upstream's response."""
        return ResponseInfo(
            status=status,
            not_run=NOT_EXECUTED in headers or status == HTTP_MISDIRECTED,
            signed=ENGINE_STAMP in headers,
            request_id=headers.get(REQUEST_ID, ""),
            encoded="Content-Encoding" in headers,
            load=_parse_load(headers.get(LOAD, "")),
            faulty_host=headers.get(FAULTY_SERVER, ""),
            leaving=announces_leaving(headers),
            retry_after=headers.get(RETRY_AFTER, ""),
            limit=headers.get(LIMIT, ""),
        )

    def response_headers(self, request_id: str) -> dict[str, str]:
        """Return the headers of a response that this daemon generates itself."""
        return {REQUEST_ID: request_id} if request_id else {}


def announces_leaving(headers: Mapping[str, str]) -> bool:
    """Return whether the response headers announce that the engine is leaving."""
    return headers.get(LEAVING, "").strip() == LEAVING_VALUE


def _to_ms(seconds: float) -> str:
    return str(max(int(seconds * MS_PER_S), 1))


def _parse_number(text: str) -> float | None:
    text = text.strip()
    is_valid = text.isascii() and text.isdigit() and len(text) <= MAX_DIGITS
    return float(text) if is_valid else None


def _parse_prefix(headers: Mapping[str, str]) -> list[str | None]:
    """Return the ids of all prompt parts, None for each that is malformed."""
    texts = [headers.get(PROMPT_PREFIX, "")]
    if isinstance(headers, MultiMapping):
        texts = headers.getall(PROMPT_PREFIX, [])
    text = ",".join(texts)
    return [_parse_part(part) for part in text.split(",")] if text.strip() else []


def _parse_part(text: str) -> str | None:
    """Return the id of a prompt part in lower case, None if the part is malformed."""
    part_id, _, tokens = text.strip().partition(":")
    is_valid = 0 < len(part_id) <= MAX_PART_ID_DIGITS and HEX_DIGITS.issuperset(part_id)
    return part_id.lower() if is_valid and _parse_number(tokens) is not None else None


def _parse_load(text: str) -> ReportedLoad | None:
    parts = [_parse_number(part) for part in text.split(",")]
    if len(parts) != len(ReportedLoad._fields) or any(part is None for part in parts):
        return None
    return ReportedLoad(*(int(part or 0) for part in parts))
