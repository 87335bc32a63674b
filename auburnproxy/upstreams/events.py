"""Conversion between server-sent events of an engine and undecoded chunks."""

from __future__ import annotations

import re

from ..errors import UpstreamError
from .engine import Chunk, ChunkKind

MAX_EVENT_BYTES = 1_048_576
SEPARATOR = b"\n\n"
_DATA = b"\ndata: "
_ID = b"id: "
_EVENT = b"event: "
_TOKEN = ChunkKind.TOKEN
_match_token = re.compile(rb"id: ([^\n]*)/([0-9]+)\ndata: ([^\n]*)\n\n").fullmatch
_KIND_BY_NAME = {b"end": ChunkKind.END, b"error": ChunkKind.ERROR}


def _parse(event: bytes) -> Chunk:
    head, _, data = event.partition(_DATA)
    kind = _TOKEN
    if head.startswith(_EVENT):
        name, _, head = head.partition(b"\n")
        kind = _KIND_BY_NAME[name[len(_EVENT) :]]
    if not head.startswith(_ID):
        raise ValueError("event has no id")
    request_id, _, position = head[len(_ID) :].rpartition(b"/")
    return Chunk(request_id, int(position), data, kind)


def parse_events(block: bytes) -> tuple[list[Chunk], bytes]:
    """Return the complete chunks of a block, and the remaining bytes.

    :param block: remaining bytes of the previous call, followed by new bytes
    :raises UpstreamError: for bytes that are not a valid event
    """
    if token := _match_token(block):  # fast path: exactly one token event
        request_id, position, data = token.groups()
        return [Chunk(request_id, int(position), data, _TOKEN)], b""
    *events, rest = block.split(SEPARATOR)
    if len(rest) > MAX_EVENT_BYTES:
        raise UpstreamError("server-sent event is too long")
    try:
        return [_parse(event) for event in events], rest
    except (ValueError, KeyError) as error:
        raise UpstreamError(f"malformed server-sent event: {error}") from error


def encode_event(chunk: Chunk) -> bytes:
    """Return a chunk encoded as a server-sent event.

    :param chunk: the chunk; its data must not contain line breaks
    """
    name = b"" if chunk.kind is _TOKEN else b"event: %b\n" % chunk.kind.encode()
    event_id = b"id: %b/%d" % (chunk.request_id, chunk.position)
    return name + event_id + _DATA + chunk.data + SEPARATOR
