"""One datagram from a daemon to another."""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from ..errors import PeerError
from ..gateway.health import Work
from ..gateway.host import Life
from ..growing_tuple import known_fields


class Beat(NamedTuple):
    """What a daemon says of itself."""

    name: str
    on_duty: bool
    """Whether it forms replicas and is able to."""
    reaches_store: bool
    """Whether the store answered its last reading."""
    served: bool
    """Whether it has served a request since its start."""
    work_by_host: dict[str, Work]
    """Its requests at each upstream that has any."""
    end_by_topic: dict[str, int]
    """How far it has read each topic."""
    suspects: list[str]
    """Upstreams that it leaves out since they fell silent."""
    lost: list[str]
    """Heads of replicas that it is ending, if it is on duty."""
    leaving: list[Life] = []
    """Upstreams that told it in an answer that they leave."""
    era: int = 0
    """Newest era of the store that it knows of."""
    carried_by_topic: dict[str, int] = {}
    """How far it had read topics in the era before, where it has carried some over."""


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
    except msgspec.ValidationError:
        # A daemon of a later version may say more.
        return _known_part(data)
    except msgspec.MsgspecError as error:
        raise PeerError(f"malformed beat of {len(data)} bytes") from error


def _known_part(data: bytes) -> Beat:
    try:
        return known_fields(msgspec.msgpack.decode(data), Beat)
    except msgspec.MsgspecError as error:
        raise PeerError(f"malformed beat of {len(data)} bytes") from error
