"""Persistent HTTP/1.1 connection that shows when and how each response ended."""

from __future__ import annotations

import asyncio
import socket
import time
from typing import NamedTuple, Self

CONNECT_TIMEOUT_S = 1.0
SLOW_BUFFER_BYTES = 4096
SLOW_READ_PAUSE_S = 0.01


class Answer(NamedTuple):
    """A complete response; the names of its headers are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes


class Connection:
    """A connection that sends one request at a time and never repeats one.

    :param reader: the connection's bytes
    :param writer: where requests are written
    :param slow: whether to pause between reads
    """

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, *, slow: bool
    ) -> None:
        self.sent_at = 0.0
        """Time at which the last byte of the latest request was sent."""
        self.answering = False
        """Whether the head of the latest response has arrived."""
        self.uses = 0
        """Number of requests sent."""
        self.reusable = True
        self._reader, self._writer = reader, writer
        self._slow = slow

    @classmethod
    async def open(cls, address: str, *, slow: bool = False) -> Self:
        """Open a connection.

        :raises OSError: if the address does not accept
        """
        host, _, port = address.rpartition(":")
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            if not slow:
                return cls(*await asyncio.open_connection(host, int(port)), slow=False)
            raw = socket.socket()
            raw.setblocking(False)
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SLOW_BUFFER_BYTES)
            await asyncio.get_running_loop().sock_connect(raw, (host, int(port)))
            streams = asyncio.open_connection(sock=raw, limit=SLOW_BUFFER_BYTES)
            return cls(*await streams, slow=True)

    def close(self) -> None:
        """Close the connection."""
        self.reusable = False
        self._writer.close()

    async def request(self, method: str, path: str, headers: dict[str, str]) -> Answer:
        """Send a request and return its response.

        :raises EOFError: if the connection ends before the response is complete
        :raises ConnectionError: if it is reset
        """
        lines = [f"{method} {path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        self.uses += 1
        self.answering = False
        self._writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        await self._writer.drain()
        self.sent_at = time.monotonic()
        head = (await self._reader.readuntil(b"\r\n\r\n")).decode()
        self.answering = True
        first, *lines = head.strip().split("\r\n")
        found = {k.lower(): v for k, v in (line.split(": ", 1) for line in lines)}
        if found.get("connection", "").lower() == "close":
            self.reusable = False
        return Answer(int(first.split(" ")[1]), found, await self._read_body(found))

    async def _read_body(self, headers: dict[str, str]) -> bytes:
        if headers.get("transfer-encoding") != "chunked":
            return await self._read(int(headers["content-length"]))
        body = b""
        while count := int(await self._reader.readuntil(b"\r\n"), 16):
            body += await self._read(count)
            await self._reader.readexactly(2)
        await self._reader.readuntil(b"\r\n")
        return body

    async def _read(self, count: int) -> bytes:
        if not self._slow:
            return await self._reader.readexactly(count)
        body = b""
        while len(body) < count:
            block = min(count - len(body), SLOW_BUFFER_BYTES)
            body += await self._reader.readexactly(block)
            await asyncio.sleep(SLOW_READ_PAUSE_S)
        return body
