"""Checkpoints: the whole state as bytes, and as bounded parts in the log."""

from __future__ import annotations

import hashlib
import zlib
from collections import defaultdict
from typing import NamedTuple

import msgspec

from .fold import Snapshot
from .record import Record

PART_KIND = "journal.part"
PART_BYTES = 65_536
DIGEST_BYTES = 16
COMPRESSION = 1

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Snapshot)


class Part(NamedTuple):
    """One part of a checkpoint, as it stands in the log."""

    offset: int
    """Offset up to which the state is folded."""
    digest: str
    rank: int
    """Place among the parts, counted from 0."""
    parts: int
    """Number of parts of the checkpoint."""
    data: bytes


def _digest(data: bytes) -> bytes:
    return hashlib.blake2b(data, digest_size=DIGEST_BYTES).digest()


def encode(snapshot: Snapshot) -> bytes:
    """Return a state as compressed bytes behind their digest."""
    data = zlib.compress(_encoder.encode(snapshot), COMPRESSION)
    return _digest(data) + data


def decode(checkpoint: bytes) -> Snapshot | None:
    """Return the state in a checkpoint, None if the bytes are broken."""
    digest, data = checkpoint[:DIGEST_BYTES], checkpoint[DIGEST_BYTES:]
    if _digest(data) != digest:
        return None
    try:
        return _decoder.decode(zlib.decompress(data))
    except (msgspec.MsgspecError, zlib.error):
        return None


def split(checkpoint: bytes, offset: int) -> list[Part]:
    """Return a checkpoint in parts that fit the log's records.

    :param checkpoint: bytes of the checkpoint
    :param offset: offset up to which its state is folded
    """
    digest = checkpoint[:DIGEST_BYTES].hex()
    starts = range(0, len(checkpoint), PART_BYTES)
    return [
        Part(offset, digest, rank, len(starts), checkpoint[at : at + PART_BYTES])
        for rank, at in enumerate(starts)
    ]


def part_of(record: Record) -> Part | None:
    """Return the part of a checkpoint that a record carries, if it does."""
    if record.kind != PART_KIND:
        return None
    try:
        return msgspec.convert(record.body["part"], Part)
    except (msgspec.MsgspecError, KeyError):
        return None


class Collector:
    """Puts the parts of checkpoints together, in whatever order they are read."""

    def __init__(self) -> None:
        self._parts: defaultdict[tuple[int, str, int], dict[int, bytes]]
        self._parts = defaultdict(dict)

    def add(self, part: Part) -> bytes | None:
        """Take a part and return its checkpoint once that is whole.

        :param part: a part read from the log
        """
        key = (part.offset, part.digest, part.parts)
        data_by_rank = self._parts[key]
        data_by_rank[part.rank] = part.data
        if len(data_by_rank) < part.parts:
            return None
        del self._parts[key]
        return b"".join(data_by_rank[rank] for rank in sorted(data_by_rank))
