"""Callers that stay outside the limits, bounded in number, bytes and time."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Awaitable, Callable

from features.fakes.platform import HOST, KEY, MODEL, PUBLIC_PATH, STREAM_PATH

CROWD_S = 12.0
"""Longest time for which the crowd sends; then it stays connected and is silent."""
SETTLE_S = 1.0
ENDLESS_BYTES = 8_000_000
"""What each caller sends of something without end."""
BODY_BYTES = 4_194_304
SHORT_BY = 1000
"""Bytes that are missing at the end of a body which stops just short."""
BLOCK = 65_536
ONE_BYTE_CHUNKS = 400_000
SEGMENTS = 30_000
ANSWER_BYTES = 2_000_000
EVENTS, EVENT_BYTES = 4000, 4096
SMALL_WINDOW = 4096
"""Receive buffer of callers that read slowly, so that the kernel holds little."""
PIPELINED_HEADS = 4000

Script = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


def head(method: str, path: str, *fields: str) -> bytes:
    """Return a request head without its end if the last field is incomplete."""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", "Attempt-Id: crowd"]
    return "\r\n".join([*lines, f"Api-Key: {KEY}", *fields]).encode()


def whole_head(method: str, path: str, *fields: str) -> bytes:
    return head(method, path, *fields) + b"\r\n\r\n"


async def send(writer: asyncio.StreamWriter, block: bytes, total: int) -> None:
    """Send repetitions of a block until their bytes exceed a total."""
    for _ in range(total // len(block)):
        writer.write(block)
        await writer.drain()


async def endless_line(reader, writer) -> None:
    writer.write(head("GET", PUBLIC_PATH, "X-Line: "))
    await send(writer, b"a" * BLOCK, ENDLESS_BYTES)


async def endless_fields(reader, writer) -> None:
    writer.write(head("GET", PUBLIC_PATH, ""))
    field = b"X-Field: " + b"a" * 60_000 + b"\r\n"
    await send(writer, field, ENDLESS_BYTES)


async def empty_lines(reader, writer) -> None:
    await send(writer, b"\r\n" * (BLOCK // 2), ENDLESS_BYTES)


async def open_heads(reader, writer) -> None:
    writer.write(head("GET", PUBLIC_PATH, "X-Open: " + "a" * 12_000))
    await writer.drain()


async def declared_short(reader, writer) -> None:
    length = f"Content-Length: {BODY_BYTES}"
    writer.write(whole_head("POST", PUBLIC_PATH, length))
    await send(writer, b"a" * (BLOCK - SHORT_BY), BODY_BYTES - SHORT_BY)


async def chunked_short(reader, writer) -> None:
    writer.write(whole_head("POST", PUBLIC_PATH, "Transfer-Encoding: chunked"))
    size = BLOCK - SHORT_BY
    chunk = b"%x\r\n%b\r\n" % (size, b"a" * size)
    await send(writer, chunk, BODY_BYTES - SHORT_BY)


async def one_byte_chunks(reader, writer) -> None:
    writer.write(whole_head("POST", PUBLIC_PATH, "Transfer-Encoding: chunked"))
    chunk = b"1\r\na\r\n"
    await send(writer, chunk * 10_000, ONE_BYTE_CHUNKS * len(chunk))


async def segments(reader, writer) -> None:
    length = f"Content-Length: {BODY_BYTES}"
    writer.write(whole_head("POST", PUBLIC_PATH, length))
    for _ in range(SEGMENTS):
        writer.write(b"aaa")
        await asyncio.sleep(0)


async def whole_bodies(reader, writer) -> None:
    length = f"Content-Length: {BODY_BYTES}"
    for _ in range(3):
        writer.write(whole_head("POST", PUBLIC_PATH, length))
        await send(writer, b"a" * BLOCK, BODY_BYTES)
        answer = await reader.readuntil(b"\r\n\r\n")
        if not answer.startswith(b"HTTP/1.1 200"):
            return
        await reader.readexactly(len(b"the whole answer"))


async def slow_streams(reader, writer) -> None:
    path = f"{STREAM_PATH}?events={EVENTS}&interval=0&size={EVENT_BYTES}"
    fields = f"Model: {MODEL}", "Token-Usage: 4,4", "Deadline-Ms: 600000"
    writer.write(whole_head("GET", path, *fields))
    while not reader.at_eof():
        await reader.read(512)
        await asyncio.sleep(0.1)


async def unread_answers(reader, writer) -> None:
    path = f"{PUBLIC_PATH}?size={ANSWER_BYTES}"
    writer.transport.pause_reading()
    writer.write(whole_head("GET", path, "Deadline-Ms: 600000"))
    await writer.drain()


async def pipelined_heads(reader, writer) -> None:
    path = f"{PUBLIC_PATH}?delay=60"
    writer.write(whole_head("GET", path, "Deadline-Ms: 600000"))
    more = whole_head("GET", path, "X-Fill: " + "a" * 1900)
    await send(writer, more, PIPELINED_HEADS * len(more))


async def bodies_that_never_come(reader, writer) -> None:
    writer.write(whole_head("POST", PUBLIC_PATH, "Content-Length: 100"))
    await writer.drain()


async def nothing(reader, writer) -> None:
    """Send nothing."""


SCRIPTS: dict[str, Script] = {
    "a header line without end": endless_line,
    "header fields without end": endless_fields,
    "empty lines without end": empty_lines,
    "heads that are left open": open_heads,
    "declared bodies that stop just short": declared_short,
    "chunked bodies that stop just short": chunked_short,
    "bodies in chunks of one byte": one_byte_chunks,
    "bodies in segments of a few bytes": segments,
    "whole bodies of 4 MB": whole_bodies,
    "long streams that are read slowly": slow_streams,
    "answers of 2 MB that are never read": unread_answers,
    "heads behind a request that is not done": pipelined_heads,
    "bodies that never come": bodies_that_never_come,
    "nothing": nothing,
}
SLOW_READERS = frozenset({slow_streams, unread_answers})


class Crowd:
    """Callers that each play one script and stay connected afterwards.

    :param address: the callers' address of the daemon
    :param script: what each caller does
    """

    def __init__(self, address: str, script: Script) -> None:
        self._host, _, self._port = address.rpartition(":")
        self._script = script
        self._writers: list[asyncio.StreamWriter] = []

    async def play(self, count: int) -> None:
        """Connect the callers and let them play, up to a time limit."""
        callers = [asyncio.create_task(self._play_one()) for _ in range(count)]
        _, waiting = await asyncio.wait(callers, timeout=CROWD_S)
        for caller in waiting:
            caller.cancel()
        await asyncio.gather(*callers, return_exceptions=True)
        await asyncio.sleep(SETTLE_S)

    async def _play_one(self) -> None:
        connection = socket.socket()
        connection.setblocking(False)
        if self._script in SLOW_READERS:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_WINDOW)
        loop = asyncio.get_running_loop()
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            await loop.sock_connect(connection, (self._host, int(self._port)))
            reader, writer = await asyncio.open_connection(
                sock=connection, limit=SMALL_WINDOW
            )
            self._writers.append(writer)
            await self._script(reader, writer)

    def leave(self) -> None:
        """Close every connection."""
        for writer in self._writers:
            writer.transport.abort()
