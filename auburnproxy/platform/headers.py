"""The platform's headers on requests and answers."""

from __future__ import annotations

from collections.abc import Mapping

from multidict import CIMultiDict, CIMultiDictProxy

from ..gateway.header_codec import (
    Dispatch,
    HeaderCodec,
    ReportedLoad,
    RequestInfo,
    ResponseInfo,
    without_hop_by_hop,
)

REQUEST_ID = "Attempt-Id"
DEADLINE_MS = "Deadline-Ms"
KEY = "Api-Key"
ACCOUNT = "Tenant"
MODEL = "Model"
TOKENS = "Token-Usage"
"""Prompt tokens and the most answer tokens, separated by a comma."""
RESUME_AFTER = "Last-Event-Id"
HOST_ID = "Expect-Instance"
URGENCY = "Request-Urgency"
WEIGHT_VERSION = "Expect-Version"
NOT_RUN = "Not-Executed"
SIGNATURE = "Engine-Stamp"
LOAD = "Engine-Load"
"""Requests running, requests waiting, and slots, separated by commas."""
AT_FAULT = "At-Server"
LEAVING = "Server-Leaving"
LEAVING_MARK = "1"
RETRY_AFTER = "Retry-After"
OWN = (KEY, ACCOUNT, HOST_ID, URGENCY, WEIGHT_VERSION, DEADLINE_MS, RESUME_AFTER)
"""Headers that the system sets for itself, whatever the caller sent."""
MS_PER_S = 1000
NUMBER_DIGITS = 15
"""Longest number that is read; none that makes sense has as many."""
MISDIRECTED = 421


class PlatformHeaderCodec(HeaderCodec):
    """Reads and writes the platform's headers."""

    def read_request(self, headers: Mapping[str, str]) -> RequestInfo:
        """Return what a caller's headers say; bad values count as missing."""
        prompt, _, answer = headers.get(TOKENS, "").partition(",")
        deadline_ms = _number(headers.get(DEADLINE_MS, ""))
        return RequestInfo(
            request_id=headers.get(REQUEST_ID, ""),
            key=headers.get(KEY, ""),
            deadline_s=None if deadline_ms is None else deadline_ms / MS_PER_S,
            model=headers.get(MODEL, ""),
            prompt_tokens=int(_number(prompt) or 0),
            answer_tokens=int(_number(answer) or 0),
            resume_after=headers.get(RESUME_AFTER, ""),
            malformed=tuple(
                name
                for name, number in (
                    (DEADLINE_MS, deadline_ms),
                    (TOKENS, _number(prompt)),
                )
                if number is None and name in headers
            ),
        )

    def upstream_headers(
        self, headers: CIMultiDictProxy[str], dispatch: Dispatch
    ) -> CIMultiDict[str]:
        """Return the headers that an upstream gets."""
        found = without_hop_by_hop(headers)
        for name in OWN:
            found.popall(name, None)
        found[DEADLINE_MS] = str(max(int(dispatch.deadline_s * MS_PER_S), 1))
        found[HOST_ID] = dispatch.host.id
        if dispatch.account:
            found[ACCOUNT] = dispatch.account
        if dispatch.resume_after:
            found[RESUME_AFTER] = dispatch.resume_after
        if dispatch.host.part is not None:
            found[URGENCY] = str(dispatch.urgency)
        return found

    def read_response(self, status: int, headers: Mapping[str, str]) -> ResponseInfo:
        """Return what the head of an upstream's answer says."""
        return ResponseInfo(
            status=status,
            not_run=NOT_RUN in headers or status == MISDIRECTED,
            signed=SIGNATURE in headers,
            request_id=headers.get(REQUEST_ID, ""),
            encoded="Content-Encoding" in headers,
            load=_load(headers.get(LOAD, "")),
            faulty_host=headers.get(AT_FAULT, ""),
            leaving=leaving(headers),
            retry_after=headers.get(RETRY_AFTER, ""),
        )

    def response_headers(self, request_id: str) -> dict[str, str]:
        """Return the headers of an answer of this daemon's own."""
        return {REQUEST_ID: request_id} if request_id else {}


def leaving(headers: Mapping[str, str]) -> bool:
    """Return whether an engine's answer of any kind says that it leaves."""
    return headers.get(LEAVING, "").strip() == LEAVING_MARK


def _number(text: str) -> float | None:
    text = text.strip()
    readable = text.isascii() and text.isdigit() and len(text) <= NUMBER_DIGITS
    return float(text) if readable else None


def _load(text: str) -> ReportedLoad | None:
    parts = [_number(part) for part in text.split(",")]
    if len(parts) != len(ReportedLoad._fields) or any(part is None for part in parts):
        return None
    return ReportedLoad(*(int(part or 0) for part in parts))
