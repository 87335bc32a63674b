"""Conversion between server-sent events of an engine and undecoded chunks."""

from __future__ import annotations

import re
from collections.abc import Iterator, Sequence

from ..errors import UpstreamError
from .engine import Chunk, ChunkKind

MAX_EVENT_BYTES = 1_048_576
MAX_BATCH_EVENTS = 64
"""Events that are parsed in one step."""
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


class EventParser:
    """Incremental parser of the events of one answer."""

    def __init__(self) -> None:
        self._incomplete = bytearray()
        """Bytes of the event that is not complete yet."""

    def feed(self, block: bytes) -> Iterator[list[Chunk]]:
        """Yield the chunks that a block completes, in batches.

        The work for a batch is bounded, so that a caller can do other work between two
        of them. A block must be exhausted before the next one is fed.

        :param block: bytes as received
        :raises UpstreamError: for bytes that are not a valid event
        """
        if not self._incomplete:
            if token := _match_token(block):  # fast path: exactly one token event
                request_id, position, data = token.groups()
                yield [Chunk(request_id, int(position), data, _TOKEN)]
                return
            self._incomplete += block
            search_start = 0
        else:
            search_start = len(self._incomplete) - len(SEPARATOR) + 1
            self._incomplete += block
        if self._incomplete.find(SEPARATOR, search_start) >= 0:
            *events, rest = bytes(self._incomplete).split(SEPARATOR)
            for start in range(0, len(events), MAX_BATCH_EVENTS):
                yield _parse_all(events[start : start + MAX_BATCH_EVENTS])
            self._incomplete = bytearray(rest)
        if len(self._incomplete) > MAX_EVENT_BYTES:
            raise UpstreamError("server-sent event is too long")


def _parse_all(events: Sequence[bytes]) -> list[Chunk]:
    try:
        return [_parse(event) for event in events]
    except (ValueError, KeyError) as error:
        raise UpstreamError(f"malformed server-sent event: {error}") from error


def encode_event(chunk: Chunk) -> bytes:
    """Return a chunk encoded as a server-sent event.

    :param chunk: the chunk; its data must not contain line breaks
    """
    name = b"" if chunk.kind is _TOKEN else b"event: %b\n" % chunk.kind.encode()
    event_id = b"id: %b/%d" % (chunk.request_id, chunk.position)
    return name + event_id + _DATA + chunk.data + SEPARATOR
