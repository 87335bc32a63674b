"""Loopback TCP proxy that can delay, discard and reset traffic."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from enum import StrEnum

READ_BYTES = 65_536


class Mode(StrEnum):
    """How the proxy treats the bytes that it relays."""

    PASS = "pass"
    DELAY = "delay"
    ONE_WAY = "one_way"
    """Bytes from the target are discarded."""
    SILENT = "silent"
    RESET = "reset"


class Proxy:
    """TCP proxy between one daemon and one address.

    :param address: address to listen on
    :param target: address to connect to
    """

    def __init__(self, address: str, target: str) -> None:
        self.address = address
        self.mode = Mode.PASS
        self.delay_s = 0.0
        self._target = target
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Start to listen."""
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))

    async def stop(self) -> None:
        """Close the listener and every connection."""
        if self._server is not None:
            self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()

    def set(self, mode: Mode, *, delay_s: float = 0.0) -> None:
        """Change the mode; a reset also resets the open connections."""
        self.mode, self.delay_s = mode, delay_s
        if mode is Mode.RESET:
            for writer in tuple(self._writers):
                _reset(writer)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        host, _, port = self._target.rpartition(":")
        try:
            target_reader, target_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, target_writer}
        with contextlib.suppress(OSError):
            await asyncio.gather(
                self._relay(reader, target_writer, is_response=False),
                self._relay(target_reader, writer, is_response=True),
            )
        self._writers -= {writer, target_writer}

    async def _relay(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        is_response: bool,
    ) -> None:
        while block := await reader.read(READ_BYTES):
            if self.mode is Mode.RESET:
                _reset(writer)
                return
            if self.mode is Mode.SILENT or (self.mode is Mode.ONE_WAY and is_response):
                continue
            if self.mode is Mode.DELAY:
                await asyncio.sleep(self.delay_s)
            writer.write(block)
            await writer.drain()
        writer.close()


def _reset(writer: asyncio.StreamWriter) -> None:
    raw_socket = writer.get_extra_info("socket")
    if raw_socket is not None:
        linger = struct.pack("ii", 1, 0)
        with contextlib.suppress(OSError):
            raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()
