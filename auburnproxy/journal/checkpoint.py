"""Checkpoints: the whole state as bytes, and as bounded parts in the log."""

from __future__ import annotations

import hashlib
import zlib
from typing import NamedTuple

import msgspec

from .fold import Hole, Snapshot
from .record import Record

PART_KIND = "journal.part"
PART_BYTES = 65_536
DIGEST_BYTES = 16
COMPRESSION = 1

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Snapshot)


class CheckpointId(NamedTuple):
    """What tells one checkpoint in the log from another."""

    offset: int
    """Offset up to which the state is folded."""
    digest: str
    parts: int
    """Number of parts."""
    until: int = 0
    """Of a restoration: offset that the state stands for, past what was lost."""
    opened_at: int = 0
    """Of a restoration: offset of the claim that opened its round."""

    @property
    def restores(self) -> bool:
        """Return whether this is a restoration, and no ordinary checkpoint."""
        return self.until > self.offset

    @property
    def hole(self) -> Hole:
        """Return the records that a restoration gives up."""
        return Hole(self.offset, self.until)


class Part(NamedTuple):
    """One part of a checkpoint, as it stands in the log."""

    checkpoint: CheckpointId
    rank: int
    """Place among the parts, counted from 0."""
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


def split(
    checkpoint: bytes, offset: int, *, until: int = 0, opened_at: int = 0
) -> list[Part]:
    """Return a checkpoint in parts that fit the log's records.

    :param checkpoint: bytes of the checkpoint
    :param offset: offset up to which its state is folded
    :param until: of a restoration, offset that the state stands for
    :param opened_at: of a restoration, offset of the claim that opened its round
    """
    starts = range(0, len(checkpoint), PART_BYTES)
    digest = checkpoint[:DIGEST_BYTES].hex()
    identity = CheckpointId(offset, digest, len(starts), until, opened_at)
    return [
        Part(identity, rank, checkpoint[at : at + PART_BYTES])
        for rank, at in enumerate(starts)
    ]


def part_record(part: Part, author: str) -> Record:
    """Return a record without an id, which no reducer takes."""
    return Record("", author, PART_KIND, {"part": part}, {})


def part_of(record: Record) -> Part | None:
    """Return the part of a checkpoint that a record carries, if it does."""
    if record.kind != PART_KIND or record.id:
        return None
    try:
        return msgspec.convert(record.body["part"], Part)
    except (msgspec.MsgspecError, KeyError):
        return None


class Collector:
    """Puts the parts of checkpoints together, in whatever order they are read."""

    def __init__(self) -> None:
        self._data_by_id: dict[CheckpointId, dict[int, bytes]] = {}

    def add(self, part: Part) -> bytes | None:
        """Take a part and return its checkpoint if that is whole.

        :param part: a part read from the log
        """
        data_by_rank = self._data_by_id.setdefault(part.checkpoint, {})
        data_by_rank[part.rank] = part.data
        return self._joined(part.checkpoint)

    @property
    def whole(self) -> dict[CheckpointId, bytes]:
        """Return every whole checkpoint by its id."""
        joined = {identity: self._joined(identity) for identity in self._data_by_id}
        return {identity: data for identity, data in joined.items() if data is not None}

    def _joined(self, identity: CheckpointId) -> bytes | None:
        data_by_rank = self._data_by_id[identity]
        if len(data_by_rank) < identity.parts:
            return None
        return b"".join(data_by_rank[rank] for rank in sorted(data_by_rank))
