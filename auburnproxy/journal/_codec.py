"""Binary encoding of records and entries."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from ..decoding import DECODING_ERRORS, MsgpackDecoder
from .record import Entry, Record

MAGIC = b"apj1"
"""Prefix of every payload of this system; the log may hold payloads of others."""
BLANK_RECORD = Record("", "", "", {}, {})
"""Placeholder at the offset of a payload that no reducer handles."""

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Record)
_pairs = MsgpackDecoder(tuple[tuple[int, bytes], ...])


def encode_record(record: Record) -> bytes:
    """Encode a record as a payload for the log."""
    return MAGIC + _encoder.encode(record)


def decode_record(payload: bytes) -> Record:
    """Decode a payload's record, the blank record if it holds none."""
    if not payload.startswith(MAGIC):
        return BLANK_RECORD
    try:
        return _decoder.decode(memoryview(payload)[len(MAGIC) :])
    except DECODING_ERRORS:
        return BLANK_RECORD


def encode_entries(entries: Iterable[Entry]) -> bytes:
    """Encode entries for a peer."""
    return _encoder.encode([(e.offset, encode_record(e.record)) for e in entries])


def decode_entries(data: bytes) -> tuple[Entry, ...]:
    """Decode the entries that a peer sent.

    :raises UnreadableError: if the bytes are not encoded entries
    """
    pairs = _pairs.decode(data)
    return tuple(Entry(offset, decode_record(payload)) for offset, payload in pairs)
