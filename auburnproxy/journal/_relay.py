"""The newest payloads, kept for peers that are cut off from the log."""

from __future__ import annotations

from collections import deque
from itertools import islice

from ._codec import BLANK, decode_record, encode_record
from .record import Entry, Record

RELAY_BYTES = 4_194_304
RECORD_OVERHEAD_BYTES = 64


class Relay:
    """A run of entries without gaps that ends at the newest one."""

    def __init__(self) -> None:
        self._payloads: deque[bytes] = deque()
        self._first = 0
        self._bytes = 0

    def add(self, offset: int, record: Record) -> None:
        """Keep an entry; a gap before it drops all that came earlier."""
        if offset != self._first + len(self._payloads):
            self._payloads.clear()
            self._bytes = 0
            self._first = offset
        payload = b"" if record is BLANK else encode_record(record)
        self._payloads.append(payload)
        self._bytes += len(payload) + RECORD_OVERHEAD_BYTES
        while self._bytes > RELAY_BYTES:
            self._bytes -= len(self._payloads.popleft()) + RECORD_OVERHEAD_BYTES
            self._first += 1

    def after(self, offset: int, limit: int) -> tuple[Entry, ...]:
        """Return the entries right after an offset, none if they are not kept."""
        skip = offset + 1 - self._first
        if skip < 0:
            return ()
        chosen = islice(self._payloads, skip, skip + limit)
        return tuple(
            Entry(offset + place, decode_record(payload))
            for place, payload in enumerate(chosen, start=1)
        )
