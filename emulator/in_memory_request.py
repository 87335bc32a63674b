"""In-memory requests for a daemon's HTTP front end, without a connection."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from types import SimpleNamespace
from typing import Any, cast

from aiohttp import web
from aiohttp.abc import AbstractStreamWriter
from aiohttp.http_parser import RawRequestMessage
from aiohttp.http_writer import HttpVersion11
from aiohttp.streams import EMPTY_PAYLOAD
from multidict import CIMultiDict, CIMultiDictProxy
from yarl import URL

from auburnproxy.gateway.body_memory import BodyMemory, HeldBody
from auburnproxy.gateway.call import HELD_ANSWER, IN_FLIGHT
from auburnproxy.in_flight import InFlightRequest

ANSWER_BYTES = 1_000_000_000
"""Memory for each answer, more than any takes."""


class CallerWriter(AbstractStreamWriter):
    """Stream writer that passes the response body to a callback.

    :param on_block: called with each block of the body
    """

    def __init__(self, on_block: Callable[[bytes], None]) -> None:
        self.length = None
        self._on_block = on_block

    async def write(self, chunk: Any) -> None:
        """Pass on a block of the body."""
        self._on_block(bytes(chunk))

    async def write_eof(self, chunk: bytes = b"") -> None:
        """Ignore a body in one block, which callers read from the response."""

    async def drain(self) -> None:
        """Return at once, since callers read without delay."""

    def enable_compression(self, *arguments: Any, **more: Any) -> None:
        """Ignore compression."""

    def enable_chunking(self) -> None:
        """Ignore chunked framing."""

    async def write_headers(self, status_line: str, headers: Any) -> None:
        """Ignore the head, which callers read from the returned response."""


def make_request(
    path: str, headers: Mapping[str, str], writer: CallerWriter
) -> web.BaseRequest:
    """Return a POST request without a body."""
    raw = tuple((k.encode(), v.encode()) for k, v in headers.items())
    message = RawRequestMessage(
        "POST",
        path,
        HttpVersion11,
        CIMultiDictProxy(CIMultiDict(headers)),
        raw,
        False,
        None,
        False,
        False,
        URL(path),
    )
    transport = SimpleNamespace(
        abort=lambda: None,
        is_closing=lambda: False,
        set_write_buffer_limits=lambda high: None,
    )
    protocol = SimpleNamespace(
        ssl_context=None, peername=None, sockname=None, transport=transport
    )
    request = web.BaseRequest(
        message,
        EMPTY_PAYLOAD,
        cast(Any, protocol),
        writer,
        cast(Any, None),
        asyncio.get_running_loop(),
        client_max_size=4_194_304,
    )
    request[IN_FLIGHT] = InFlightRequest()
    request[HELD_ANSWER] = HeldBody(BodyMemory(ANSWER_BYTES))
    return request
