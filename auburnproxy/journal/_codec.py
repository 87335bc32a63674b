"""How records and entries are written as bytes."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from .record import Entry, Record

MAGIC = b"apj1"
"""Start of every payload of this system; the log may carry others."""
BLANK = Record("", "", "", {}, {})
"""Stands at the offset of a payload that no reducer takes."""

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Record)
_pairs = msgspec.msgpack.Decoder(tuple[tuple[int, bytes], ...])


def encode_record(record: Record) -> bytes:
    """Return a record as a payload for the log."""
    return MAGIC + _encoder.encode(record)


def decode_record(payload: bytes) -> Record:
    """Return a payload's record, or the blank record if it has none."""
    if not payload.startswith(MAGIC):
        return BLANK
    try:
        return _decoder.decode(memoryview(payload)[len(MAGIC) :])
    except (msgspec.MsgspecError, ValueError):
        return BLANK


def encode_entries(entries: Iterable[Entry]) -> bytes:
    """Return entries as bytes for a peer."""
    return _encoder.encode([(e.offset, encode_record(e.record)) for e in entries])


def decode_entries(data: bytes) -> tuple[Entry, ...]:
    """Return the entries that a peer sent.

    :raises msgspec.DecodeError: if the bytes hold something else
    """
    pairs = _pairs.decode(data)
    return tuple(Entry(offset, decode_record(payload)) for offset, payload in pairs)
