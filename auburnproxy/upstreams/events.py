"""Server-sent events of an engine, split into chunks without decoding them."""

from __future__ import annotations

import re

from ..errors import UpstreamError
from .engine import Chunk, ChunkKind

LONGEST_EVENT_BYTES = 1_048_576
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
        raise ValueError("no id")
    request_id, _, position = head[len(_ID) :].rpartition(b"/")
    return Chunk(request_id, int(position), data, kind)


def split(block: bytes) -> tuple[list[Chunk], bytes]:
    """Return the chunks that a block completes, and the bytes left over.

    :param block: bytes left over from before, and those that arrived
    :raises UpstreamError: for bytes that are no event
    """
    if token := _match_token(block):  # the usual case
        request_id, position, data = token.groups()
        return [Chunk(request_id, int(position), data, _TOKEN)], b""
    *events, rest = block.split(SEPARATOR)
    if len(rest) > LONGEST_EVENT_BYTES:
        raise UpstreamError("event is too long")
    try:
        return [_parse(event) for event in events], rest
    except (ValueError, KeyError) as error:
        raise UpstreamError(f"unreadable event: {error}") from error


def render(chunk: Chunk) -> bytes:
    """Return a chunk as an event.

    :param chunk: the chunk; its data holds no line break
    """
    name = b"" if chunk.kind is _TOKEN else b"event: %b\n" % chunk.kind.encode()
    place = b"id: %b/%d" % (chunk.request_id, chunk.position)
    return name + place + _DATA + chunk.data + SEPARATOR
