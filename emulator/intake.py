"""Requests as a daemon's face gets them, without a connection."""

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


class CallerWriter(AbstractStreamWriter):
    """Takes what a daemon writes to a caller.

    :param take: called with each block
    """

    def __init__(self, take: Callable[[bytes], None]) -> None:
        self.length = None
        self._take = take

    async def write(self, chunk: Any) -> None:
        """Take a block of the body."""
        self._take(bytes(chunk))

    async def write_eof(self, chunk: bytes = b"") -> None:
        """Take the last block of the body."""
        if chunk:
            self._take(chunk)

    async def drain(self) -> None:
        """Wait for nothing, since callers read at once."""

    def enable_compression(self, *arguments: Any, **more: Any) -> None:
        """Compress nothing."""

    def enable_chunking(self) -> None:
        """Frame nothing."""

    async def write_headers(self, status_line: str, headers: Any) -> None:
        """Take the head, which callers look at once the answer is whole."""


def request(
    path: str, headers: Mapping[str, str], writer: CallerWriter
) -> web.BaseRequest:
    """Return a request without a body."""
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
    transport = SimpleNamespace(close=lambda: None)
    protocol = SimpleNamespace(
        ssl_context=None, peername=None, sockname=None, transport=transport
    )
    return web.BaseRequest(
        message,
        EMPTY_PAYLOAD,
        cast(Any, protocol),
        writer,
        cast(Any, None),
        asyncio.get_running_loop(),
        client_max_size=4_194_304,
    )
