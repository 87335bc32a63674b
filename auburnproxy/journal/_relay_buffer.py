"""Buffer of recent payloads for peers that cannot reach the log."""

from __future__ import annotations

from collections import deque
from itertools import islice

from ._codec import BLANK_RECORD, decode_record, encode_record
from .record import Entry, Record

RELAY_BYTES = 4_194_304
RECORD_OVERHEAD_BYTES = 64


class RelayBuffer:
    """Contiguous entries up to the newest one, bounded in bytes."""

    def __init__(self) -> None:
        self._payloads: deque[bytes] = deque()
        self._first_offset = 0
        self._bytes = 0

    def add(self, offset: int, record: Record) -> None:
        """Add an entry; a gap before it drops all earlier entries."""
        if offset != self._first_offset + len(self._payloads):
            self._payloads.clear()
            self._bytes = 0
            self._first_offset = offset
        payload = b"" if record is BLANK_RECORD else encode_record(record)
        self._payloads.append(payload)
        self._bytes += len(payload) + RECORD_OVERHEAD_BYTES
        while self._bytes > RELAY_BYTES:
            self._bytes -= len(self._payloads.popleft()) + RECORD_OVERHEAD_BYTES
            self._first_offset += 1

    def entries_after(self, offset: int, limit: int) -> tuple[Entry, ...]:
        """Return the entries right after an offset, none if they were dropped."""
        skip = offset + 1 - self._first_offset
        if skip < 0:
            return ()
        payloads = islice(self._payloads, skip, skip + limit)
        return tuple(
            Entry(offset + distance, decode_record(payload))
            for distance, payload in enumerate(payloads, start=1)
        )
