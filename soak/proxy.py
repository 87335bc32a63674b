"""A loopback proxy whose connections can be delayed, cut, silenced and reset."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from enum import StrEnum

BLOCK_BYTES = 65_536


class Mode(StrEnum):
    """What the proxy does with bytes."""

    PASS = "pass"
    DELAY = "delay"
    ONE_WAY = "one_way"
    """Answers are swallowed."""
    SILENT = "silent"
    RESET = "reset"


class Proxy:
    """Stands between one daemon and one address.

    :param address: where it listens
    :param target: where it connects to
    """

    def __init__(self, address: str, target: str) -> None:
        self.address = address
        self.mode = Mode.PASS
        self.delay_s = 0.0
        self._target = target
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen."""
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))

    async def stop(self) -> None:
        """Close the listener and every connection."""
        if self._server is not None:
            self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()

    def set(self, mode: Mode, *, delay_s: float = 0.0) -> None:
        """Change what happens to bytes from now on; a reset hits open connections."""
        self.mode, self.delay_s = mode, delay_s
        if mode is Mode.RESET:
            for writer in tuple(self._writers):
                _reset(writer)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        host, _, port = self._target.rpartition(":")
        try:
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, far_writer}
        with contextlib.suppress(OSError):
            await asyncio.gather(
                self._pump(reader, far_writer, answers=False),
                self._pump(far_reader, writer, answers=True),
            )
        self._writers -= {writer, far_writer}

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        answers: bool,
    ) -> None:
        while block := await reader.read(BLOCK_BYTES):
            if self.mode is Mode.RESET:
                _reset(writer)
                return
            if self.mode is Mode.SILENT or (self.mode is Mode.ONE_WAY and answers):
                continue
            if self.mode is Mode.DELAY:
                await asyncio.sleep(self.delay_s)
            writer.write(block)
            await writer.drain()
        writer.close()


def _reset(writer: asyncio.StreamWriter) -> None:
    connection = writer.get_extra_info("socket")
    if connection is not None:
        linger = struct.pack("ii", 1, 0)
        with contextlib.suppress(OSError):
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()
