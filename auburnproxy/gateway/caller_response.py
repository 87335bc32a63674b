"""Responses to callers, whose header values keep the bytes that they came with."""

from __future__ import annotations

from typing import cast

from aiohttp import ClientResponse, web
from aiohttp.http_writer import StreamWriter

from .header_codec import without_hop_by_hop


class CallerStream(web.StreamResponse):
    """A streamed response with header values of an upstream.

    Values need not be UTF-8. aiohttp reads other bytes as surrogate escapes, which it
    can't write: its C extension omits them and its Python code raises an error.
    """

    async def _write_headers(self) -> None:
        """Write the head; called by aiohttp."""
        if all(_is_encodable(value) for value in self.headers.values()):
            await super()._write_headers()
            return
        assert self._req is not None
        version = self._req.version
        lines = [f"HTTP/{version.major}.{version.minor} {self.status} {self.reason}"]
        lines += [f"{name}: {value}" for name, value in self.headers.items()]
        head = "\r\n".join([*lines, "", ""])
        # aiohttp has no public API to write a head as bytes.
        writer = cast(StreamWriter, self._payload_writer)
        writer._headers_buf = head.encode(errors="surrogateescape")
        writer._headers_written = False
        if self._send_headers_immediately:
            writer.send_headers()


class CallerResponse(CallerStream, web.Response):
    """A whole response with header values of an upstream or of the request."""


def forward_response(answer: ClientResponse, body: bytes) -> CallerResponse:
    """Return the response that passes on an upstream's whole response.

    :param answer: the upstream's response
    :param body: its body
    """
    headers = without_hop_by_hop(answer.headers)
    return CallerResponse(status=answer.status, headers=headers, body=body)


def forward_stream(answer: ClientResponse) -> CallerStream:
    """Return the response that passes on an upstream's stream, with its head only.

    :param answer: the first response of an upstream to the request
    """
    headers = without_hop_by_hop(answer.headers)
    return CallerStream(status=answer.status, headers=headers)


def _is_encodable(value: str) -> bool:
    """Return whether a header value can be written as UTF-8."""
    if value.isascii():
        return True
    try:
        value.encode()
    except UnicodeEncodeError:
        return False
    return True
