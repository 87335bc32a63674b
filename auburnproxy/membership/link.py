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
DIALER_ROLE = b"auburnproxy peer dialer"
LISTENER_ROLE = b"auburnproxy peer listener"

T = TypeVar("T")


class Link:
    """Sends and receives frames; created by :func:`dial` and :func:`accept`.

    :param reader: stream of incoming frames
    :param writer: stream of outgoing frames
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
        """The loop's time in seconds, before the handshake."""
        self.peer: Member = Member("", "", "", "", "")
        """The authenticated peer."""
        self._reader = reader
        self._writer = writer

    def send(self, frame: bytes) -> None:
        """Queue a frame; the link is closed if the peer reads too slowly.

        :param frame: an encoded message; dropped if the link is closed
        """
        if self._writer.is_closing():
            return
        if self._writer.transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            self.close()
            return
        self._writer.write(len(frame).to_bytes(LENGTH_BYTES, "big") + frame)

    async def receive(self, *, timeout_s: float) -> Message:
        """Return the next message.

        :param timeout_s: seconds to wait for it
        :raises PeerError: on a timeout, a closed link or a malformed frame
        """
        return decode(await _with_timeout(self.read_frame(MAX_FRAME_BYTES), timeout_s))

    async def read_frame(self, max_bytes: int) -> bytes:
        """Return the next frame, still encoded.

        :param max_bytes: largest accepted length in bytes
        :raises PeerError: if the frame is longer or the link is closed
        """
        try:
            header = await self._reader.readexactly(LENGTH_BYTES)
            length = int.from_bytes(header, "big")
            if length > max_bytes:
                raise PeerError(f"frame of {length} bytes, at most {max_bytes} allowed")
            return await self._reader.readexactly(length)
        except (OSError, EOFError) as error:
            raise PeerError("the link is closed") from error

    def close(self) -> None:
        """Close the link."""
        self._writer.close()


async def dial(address: str, me: Member, secret: bytes) -> Link:
    """Connect to a peer's listener and authenticate both ways.

    :param address: IP address and port
    :param me: this daemon
    :param secret: the secret that all daemons share
    :raises ConnectionRefusedError: if nothing listens there
    :raises PeerError: if there is no answer or the peer fails to authenticate
    """
    host, _, port = address.rpartition(":")
    try:
        opening = asyncio.open_connection(host, int(port))
        reader, writer = await _with_timeout(opening, CONNECT_TIMEOUT_S)
    except ConnectionRefusedError:
        raise
    except OSError as error:
        raise PeerError(f"failed to connect to {address}") from error
    link = Link(reader, writer, dialed=True)
    return await _authenticate(link, _handshake_as_dialer(link, me, secret))


async def accept(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    me: Member,
    secret: bytes,
) -> Link:
    """Authenticate an incoming connection both ways.

    :param reader: the incoming stream of the connection
    :param writer: the outgoing stream of the connection
    :param me: this daemon
    :param secret: the secret that all daemons share
    :raises PeerError: if the peer fails to authenticate
    """
    link = Link(reader, writer, dialed=False)
    return await _authenticate(link, _handshake_as_listener(link, me, secret))


async def _authenticate(link: Link, handshake: Awaitable[Member]) -> Link:
    try:
        link.peer = await _with_timeout(handshake, HANDSHAKE_TIMEOUT_S)
    except BaseException:
        link.close()
        raise
    return link


async def _handshake_as_dialer(link: Link, me: Member, secret: bytes) -> Member:
    own_hello = encode(Hello(me, secrets.token_bytes(NONCE_BYTES)))
    link.send(own_hello)
    peer_hello = await link.read_frame(MAX_HANDSHAKE_BYTES)
    peer = _read_hello(peer_hello)
    await _check_proof(link, _mac(secret, LISTENER_ROLE, own_hello, peer_hello))
    link.send(encode(Proof(_mac(secret, DIALER_ROLE, own_hello, peer_hello))))
    return peer


async def _handshake_as_listener(link: Link, me: Member, secret: bytes) -> Member:
    peer_hello = await link.read_frame(MAX_HANDSHAKE_BYTES)
    peer = _read_hello(peer_hello)
    own_hello = encode(Hello(me, secrets.token_bytes(NONCE_BYTES)))
    link.send(own_hello)
    link.send(encode(Proof(_mac(secret, LISTENER_ROLE, peer_hello, own_hello))))
    await _check_proof(link, _mac(secret, DIALER_ROLE, peer_hello, own_hello))
    return peer


def _read_hello(frame: bytes) -> Member:
    message = decode(frame)
    if not isinstance(message, Hello):
        raise PeerError("the first message of the peer is not a hello")
    return message.member


async def _check_proof(link: Link, expected_mac: bytes) -> None:
    message = decode(await link.read_frame(MAX_HANDSHAKE_BYTES))
    if not isinstance(message, Proof) or not hmac.compare_digest(
        message.mac, expected_mac
    ):
        raise PeerError("the peer does not know the shared secret")


def _mac(
    secret: bytes, role: bytes, dialer_hello: bytes, listener_hello: bytes
) -> bytes:
    """Return the proof of a role for one pair of hellos, which carry fresh nonces."""
    length = len(dialer_hello).to_bytes(LENGTH_BYTES, "big")
    return hmac.digest(secret, role + length + dialer_hello + listener_hello, "sha256")


async def _with_timeout(awaitable: Awaitable[T], timeout_s: float) -> T:
    try:
        async with asyncio.timeout(timeout_s):
            return await awaitable
    except TimeoutError as error:
        raise PeerError(f"no answer for {timeout_s} s") from error
