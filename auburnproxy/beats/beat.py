"""One datagram from a daemon to another."""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from ..errors import PeerError


class Beat(NamedTuple):
    """What a daemon says of itself."""

    name: str
    on_duty: bool
    """Whether it forms replicas and is able to."""
    served: bool
    """Whether it has served a request since its start."""
    work_by_host: dict[str, tuple[int, int]]
    """Its requests at each upstream that has any, and those without an answer."""
    end_by_topic: dict[str, int]
    """How far it has read each topic."""
    suspects: list[str]
    """Upstreams that it leaves out since they fell silent."""


_decoder = msgspec.msgpack.Decoder(Beat)


def pack(beat: Beat) -> bytes:
    """Return the bytes of a beat."""
    return msgspec.msgpack.encode(beat)


def unpack(data: bytes) -> Beat:
    """Return a beat from its bytes.

    :raises PeerError: if they are malformed
    """
    try:
        return _decoder.decode(data)
    except msgspec.MsgspecError as error:
        raise PeerError(f"malformed beat of {len(data)} bytes") from error
