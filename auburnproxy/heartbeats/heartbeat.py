"""Heartbeat datagram that a daemon sends to its peers."""

from __future__ import annotations

from typing import Any, NamedTuple

import msgspec

from ..decoding import MsgpackDecoder, decode_msgpack
from ..errors import PeerError, UnreadableError
from ..extensible_tuple import convert_known_fields
from ..gateway.health import UpstreamLoad
from ..gateway.host import Incarnation
from ..gossip import Fact


class Heartbeat(NamedTuple):
    """State that a daemon reports about itself and the upstreams it uses."""

    name: str
    is_leader: bool
    """Whether it leads the formation of replicas and is able to form them."""
    reaches_store: bool
    """Whether the store answered its last read."""
    has_served: bool
    """Whether it has served a request since its start."""
    load_by_host: dict[str, UpstreamLoad]
    """Its requests at each upstream that has at least one."""
    end_by_topic: dict[str, int]
    """End offset of its copy of each topic."""
    suspects: list[str]
    """Upstreams that it excludes from routing because they stopped responding."""
    lost_heads: list[str]
    """Heads of replicas that it is dissolving, if it is the leader."""
    leaving_upstreams: list[Incarnation] = []
    """Upstreams that announced in a response that they are leaving."""
    era: int = 0
    """Newest era of the store that it knows."""
    previous_era_end_by_topic: dict[str, int] = {}
    """End offsets in the previous era of the topics whose records it carried over."""
    facts: list[Fact] = []
    """Facts that it holds: recent ones, and others in turn."""
    prompt_load_by_host: Any = {}
    """Tokens of its requests at each upstream, as `PromptLoad` by host. Read by
    `read_prompt_loads`, so that an unusable figure costs no other field; daemons of
    earlier versions, which count requests only, send none."""
    takes_forwarded: bool = False
    """Whether it takes requests from peers that reach no upstream."""


_decoder = MsgpackDecoder(Heartbeat)


def pack(heartbeat: Heartbeat) -> bytes:
    """Encode a heartbeat."""
    return msgspec.msgpack.encode(heartbeat)


def unpack(data: bytes) -> Heartbeat:
    """Decode a heartbeat.

    :raises PeerError: if the data is malformed
    """
    try:
        return _decoder.decode(data)
    except UnreadableError:
        # A daemon of a later version may send additional fields.
        return _decode_known_fields(data)


def _decode_known_fields(data: bytes) -> Heartbeat:
    try:
        return convert_known_fields(decode_msgpack(data), Heartbeat)
    except UnreadableError as error:
        message = f"malformed heartbeat of {len(data)} bytes: {error}"
        raise PeerError(message) from error
