"""Responses that report refusals to callers."""

from __future__ import annotations

import math
from typing import Any

import msgspec
from aiohttp import web

from ..errors import DocumentError, Ran, RefusalError

JSON_TYPE = "application/json"


def error_body(refusal: RefusalError, request_id: str) -> dict[str, Any]:
    """Return the JSON object of a refusal.

    :param refusal: why the request is refused
    :param request_id: the caller's request id
    """
    error = {
        "code": refusal.code,
        "message": str(refusal),
        "ran": refusal.ran,
        "request_id": request_id,
    }
    return {"error": error}


def with_unknown_outcome(refusal: RefusalError) -> RefusalError:
    """Return a copy of a refusal for a call that an earlier attempt may have run.

    :param refusal: why the last attempt was not made
    """
    return RefusalError(
        refusal.code,
        str(refusal),
        status=refusal.status,
        ran=Ran.UNKNOWN,
        retry_after_s=refusal.retry_after_s,
    )


def failure_refusal() -> RefusalError:
    """Return the refusal of a request on which the daemon itself has failed."""
    message = "The daemon failed on the request."
    return RefusalError("internal", message, status=500, ran=Ran.UNKNOWN)


def error_event(refusal: RefusalError, request_id: str) -> bytes:
    """Return the server-sent event that ends a stream which can't be completed."""
    body = msgspec.json.encode(error_body(refusal, request_id))
    return b"event: error\ndata: " + body + b"\n\n"


def refusal_response(refusal: RefusalError, request_id: str) -> web.Response:
    """Return the HTTP response that reports a refusal."""
    headers = {"X-Request-Id": request_id, "X-Ran": str(refusal.ran)}
    if refusal.retry_after_s is not None:
        headers["Retry-After"] = str(max(math.ceil(refusal.retry_after_s), 1))
    body = msgspec.json.encode(error_body(refusal, request_id))
    return web.Response(
        status=refusal.status, body=body, content_type=JSON_TYPE, headers=headers
    )


def findings_response(error: DocumentError, request_id: str) -> web.Response:
    """Return the 400 response that lists every finding of an invalid request."""
    refusal = RefusalError("invalid_request", "The request is not valid.", status=400)
    body = error_body(refusal, request_id)
    body["error"]["findings"] = [
        {
            "in": finding.file,
            "line": finding.line,
            "key": finding.key,
            "code": finding.code,
            "message": finding.message,
        }
        for finding in error.findings
    ]
    headers = {"X-Request-Id": request_id, "X-Ran": str(Ran.NO)}
    return web.Response(
        status=400,
        body=msgspec.json.encode(body),
        content_type=JSON_TYPE,
        headers=headers,
    )
