"""Endless responses, and the memory growth of the process that reads them."""

from __future__ import annotations

import asyncio
import contextlib
import resource
from pathlib import Path

BLOCK = b"x" * 65_536
MAX_BYTES = 500_000_000
STAMP = "3e1b.07.5a2"


FLOOD_BY_NAME = {
    "line ends": b"\n",
    "line ends of CRLF": b"\r\n",
    "mixed line ends": b"\n\r\n\r",
    "comments": b":\n\n",
    "id fields": b"id: 4\n\n",
}
"""Bytes that have the form of an event stream and no event, by name."""
ENDLESS = (
    "a head line",
    "head lines",
    "interim answers",
    "a body without length",
    "a body past its length",
    "a failure's body",
    "a body of 500 MB",
    "an event",
)
"""Kinds of endless responses."""


def head(status: str, request_id: str, *more: str) -> bytes:
    lines = [f"HTTP/1.1 {status}", f"Attempt-Id: {request_id}"]
    lines.append(f"Engine-Stamp: {STAMP}")
    return ("\r\n".join([*lines, *more]) + "\r\n").encode()


async def send_endlessly(writer: asyncio.StreamWriter, block: bytes) -> None:
    """Send until the reader closes, or up to far more than it may buffer."""
    sent = 0
    with contextlib.suppress(ConnectionError):
        while sent < MAX_BYTES and not writer.is_closing():
            writer.write(block)
            await writer.drain()
            sent += len(block)


async def send_endless_response(
    kind: str, writer: asyncio.StreamWriter, request_id: str
) -> None:
    """Send one of the kinds of endless responses."""
    if kind == "a head line":
        writer.write(b"HTTP/1.1 200 OK\r\nX-Long: ")
        await send_endlessly(writer, BLOCK)
    elif kind == "head lines":
        writer.write(b"HTTP/1.1 200 OK\r\n")
        await send_endlessly(writer, b"X-More: something\r\n" * 2_000)
    elif kind == "interim answers":
        await send_endlessly(writer, b"HTTP/1.1 100 Continue\r\n\r\n" * 2_000)
    elif kind == "a body without length":
        writer.write(head("200 OK", request_id) + b"\r\n")
        await send_endlessly(writer, BLOCK)
    elif kind == "a body past its length":
        body = b"the whole answer"
        length = f"Content-Length: {len(body)}"
        writer.write(head("200 OK", request_id, length) + b"\r\n" + body)
        await send_endlessly(writer, BLOCK)
    elif kind == "a failure's body":
        writer.write(head("500 Internal Server Error", request_id) + b"\r\n")
        await send_endlessly(writer, BLOCK)
    elif kind == "a body of 500 MB":
        length = f"Content-Length: {MAX_BYTES}"
        writer.write(head("200 OK", request_id, length) + b"\r\n")
        await send_endlessly(writer, BLOCK)
    elif kind == "an event":
        more = ("Content-Type: text/event-stream", "Connection: close")
        writer.write(head("200 OK", request_id, *more) + b"\r\nid: 1\ndata: ")
        await send_endlessly(writer, BLOCK)


class MemoryWatch:
    """Peak growth of the resident memory of this process since the start."""

    def __init__(self) -> None:
        self.start = resident_bytes()
        self.peak = self.start

    @property
    def grown_mb(self) -> float:
        return (self.peak - self.start) / 1e6

    async def run(self) -> None:
        while True:
            self.peak = max(self.peak, resident_bytes())
            await asyncio.sleep(0.02)


def resident_bytes() -> int:
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * resource.getpagesize()
