"""An authenticated connection to a peer."""

from __future__ import annotations

import asyncio
import hmac
import secrets
from collections.abc import Awaitable
from typing import TypeVar

from ..errors import PeerError
from ._wire import Hello, Message, Proof, decode, encode
from .member import Member

LENGTH_BYTES = 4
MAX_FRAME_BYTES = 256 * 1024
MAX_HANDSHAKE_BYTES = 2048
MAX_UNSENT_BYTES = 1024 * 1024
NONCE_BYTES = 16
CONNECT_TIMEOUT_S = 3.0
HANDSHAKE_TIMEOUT_S = 2.0
DIALER = b"auburnproxy peer dialer"
LISTENER = b"auburnproxy peer listener"

T = TypeVar("T")


class Link:
    """Frames to and from one peer; made by :func:`dial` and :func:`accept`.

    :param reader: where frames come from
    :param writer: where frames go
    :param dialed: whether this side connected
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        dialed: bool,
    ) -> None:
        self.dialed = dialed
        self.opened_at = asyncio.get_running_loop().time()
        """Loop time, before the greeting."""
        self.peer: Member = Member("", "", "", "", "")
        """The authenticated peer."""
        self._reader = reader
        self._writer = writer

    def send(self, frame: bytes) -> None:
        """Queue a frame; a peer that reads too slowly is cut off.

        :param frame: an encoded message; it is dropped if the link has ended
        """
        if self._writer.is_closing():
            return
        if self._writer.transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            self.close()
            return
        self._writer.write(len(frame).to_bytes(LENGTH_BYTES, "big") + frame)

    async def receive(self, *, timeout_s: float) -> Message:
        """Return the next message.

        :param timeout_s: seconds of silence after which the link is given up
        :raises PeerError: if the link ended, or broke the protocol
        """
        return decode(await _bounded(self.read_frame(MAX_FRAME_BYTES), timeout_s))

    async def read_frame(self, most: int) -> bytes:
        """Return the next frame, still encoded.

        :param most: largest length in bytes that is taken
        :raises PeerError: if the frame is longer, or the link ended
        """
        try:
            head = await self._reader.readexactly(LENGTH_BYTES)
            length = int.from_bytes(head, "big")
            if length > most:
                raise PeerError(f"frame of {length} bytes, at most {most} allowed")
            return await self._reader.readexactly(length)
        except (OSError, EOFError) as error:
            raise PeerError("the link ended") from error

    def close(self) -> None:
        """End the link."""
        self._writer.close()


async def dial(address: str, me: Member, secret: bytes) -> Link:
    """Connect to a peer's listener and authenticate both ways.

    :param address: IP number and port
    :param me: this daemon
    :param secret: the secret that all daemons share
    :raises ConnectionRefusedError: if nothing listens there
    :raises PeerError: if there is no answer, or the peer is not authentic
    """
    host, _, port = address.rpartition(":")
    try:
        opening = asyncio.open_connection(host, int(port))
        reader, writer = await _bounded(opening, CONNECT_TIMEOUT_S)
    except ConnectionRefusedError:
        raise
    except OSError as error:
        raise PeerError(f"no connection to {address}") from error
    link = Link(reader, writer, dialed=True)
    return await _authenticate(link, _greet_first(link, me, secret))


async def accept(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    me: Member,
    secret: bytes,
) -> Link:
    """Authenticate a peer that connected, both ways.

    :param reader: the connection
    :param writer: the connection
    :param me: this daemon
    :param secret: the secret that all daemons share
    :raises PeerError: if the peer is not authentic
    """
    link = Link(reader, writer, dialed=False)
    return await _authenticate(link, _greet_second(link, me, secret))


async def _authenticate(link: Link, greeting: Awaitable[Member]) -> Link:
    try:
        link.peer = await _bounded(greeting, HANDSHAKE_TIMEOUT_S)
    except BaseException:
        link.close()
        raise
    return link


async def _greet_first(link: Link, me: Member, secret: bytes) -> Member:
    mine = encode(Hello(me, secrets.token_bytes(NONCE_BYTES)))
    link.send(mine)
    theirs = await link.read_frame(MAX_HANDSHAKE_BYTES)
    peer = _read_hello(theirs)
    await _check_proof(link, _mac(secret, LISTENER, mine, theirs))
    link.send(encode(Proof(_mac(secret, DIALER, mine, theirs))))
    return peer


async def _greet_second(link: Link, me: Member, secret: bytes) -> Member:
    theirs = await link.read_frame(MAX_HANDSHAKE_BYTES)
    peer = _read_hello(theirs)
    mine = encode(Hello(me, secrets.token_bytes(NONCE_BYTES)))
    link.send(mine)
    link.send(encode(Proof(_mac(secret, LISTENER, theirs, mine))))
    await _check_proof(link, _mac(secret, DIALER, theirs, mine))
    return peer


def _read_hello(frame: bytes) -> Member:
    message = decode(frame)
    if not isinstance(message, Hello):
        raise PeerError("the peer did not greet")
    return message.member


async def _check_proof(link: Link, wanted: bytes) -> None:
    message = decode(await link.read_frame(MAX_HANDSHAKE_BYTES))
    if not isinstance(message, Proof) or not hmac.compare_digest(message.mac, wanted):
        raise PeerError("the peer does not know the secret")


def _mac(secret: bytes, role: bytes, first: bytes, second: bytes) -> bytes:
    """Return the proof of a role for one pair of greetings, whose nonces are fresh."""
    length = len(first).to_bytes(LENGTH_BYTES, "big")
    return hmac.digest(secret, role + length + first + second, "sha256")


async def _bounded(awaitable: Awaitable[T], timeout_s: float) -> T:
    try:
        async with asyncio.timeout(timeout_s):
            return await awaitable
    except TimeoutError as error:
        raise PeerError(f"no answer for {timeout_s} s") from error
