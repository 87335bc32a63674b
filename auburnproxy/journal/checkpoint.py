"""Checkpoints: the whole state as bytes, split into bounded parts for the log."""

from __future__ import annotations

import hashlib
import zlib
from typing import NamedTuple

import msgspec

from ..decoding import DECODING_ERRORS
from .record import Record
from .state_machine import LostRange, Snapshot

PART_KIND = "journal.part"
PART_BYTES = 65_536
DIGEST_BYTES = 16
COMPRESSION = 1

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Snapshot)


class CheckpointId(NamedTuple):
    """Identity of a checkpoint in the log."""

    offset: int
    """Offset of the last record applied to the state."""
    digest: str
    parts: int
    """Number of parts."""
    until: int = 0
    """Of a restoration: offset of the last lost record, where the state resumes."""
    opening_offset: int = 0
    """Of a restoration: offset of the claim that opened its claim round."""

    @property
    def is_restoration(self) -> bool:
        """Return whether this is a restoration and not a regular checkpoint."""
        return self.until > self.offset

    @property
    def lost_range(self) -> LostRange:
        """Return the range of records that a restoration declares lost."""
        return LostRange(self.offset, self.until)


class Part(NamedTuple):
    """One part of a checkpoint in the log."""

    checkpoint: CheckpointId
    part_index: int
    """Index among the parts, from 0."""
    data: bytes


def _digest(data: bytes) -> bytes:
    return hashlib.blake2b(data, digest_size=DIGEST_BYTES).digest()


def encode(snapshot: Snapshot) -> bytes:
    """Encode a state as a digest followed by compressed bytes."""
    data = zlib.compress(_encoder.encode(snapshot), COMPRESSION)
    return _digest(data) + data


def decode(checkpoint: bytes) -> Snapshot | None:
    """Decode the state in a checkpoint, None if the bytes are corrupt."""
    digest, data = checkpoint[:DIGEST_BYTES], checkpoint[DIGEST_BYTES:]
    if _digest(data) != digest:
        return None
    try:
        return _decoder.decode(zlib.decompress(data))
    except (*DECODING_ERRORS, zlib.error):
        return None


def split(
    checkpoint: bytes, offset: int, *, until: int = 0, opening_offset: int = 0
) -> list[Part]:
    """Split a checkpoint into parts that fit into log records.

    :param checkpoint: bytes of the checkpoint
    :param offset: offset of the last record applied to its state
    :param until: of a restoration, offset of the last lost record
    :param opening_offset: of a restoration, offset of the claim that opened its round
    """
    starts = range(0, len(checkpoint), PART_BYTES)
    digest = checkpoint[:DIGEST_BYTES].hex()
    checkpoint_id = CheckpointId(offset, digest, len(starts), until, opening_offset)
    return [
        Part(checkpoint_id, part_index, checkpoint[start : start + PART_BYTES])
        for part_index, start in enumerate(starts)
    ]


def part_record(part: Part, author: str) -> Record:
    """Return a record of the part; without an id it is not applied."""
    return Record("", author, PART_KIND, {"part": part}, {})


def part_of(record: Record) -> Part | None:
    """Return the checkpoint part that a record holds, None if it holds none."""
    if record.kind != PART_KIND or record.id:
        return None
    try:
        return msgspec.convert(record.body["part"], Part)
    except (*DECODING_ERRORS, KeyError):
        return None


class CheckpointAssembler:
    """Assembles checkpoints from their parts, read in any order."""

    def __init__(self) -> None:
        self._data_by_id: dict[CheckpointId, dict[int, bytes]] = {}

    def add(self, part: Part) -> bytes | None:
        """Add a part and return its checkpoint once that is complete.

        :param part: a part read from the log
        """
        data_by_index = self._data_by_id.setdefault(part.checkpoint, {})
        data_by_index[part.part_index] = part.data
        return self._assemble(part.checkpoint)

    @property
    def complete(self) -> dict[CheckpointId, bytes]:
        """Return every complete checkpoint by its id."""
        assembled = {
            checkpoint_id: self._assemble(checkpoint_id)
            for checkpoint_id in self._data_by_id
        }
        return {
            checkpoint_id: data
            for checkpoint_id, data in assembled.items()
            if data is not None
        }

    def _assemble(self, checkpoint_id: CheckpointId) -> bytes | None:
        data_by_index = self._data_by_id[checkpoint_id]
        if len(data_by_index) < checkpoint_id.parts:
            return None
        return b"".join(
            data_by_index[part_index] for part_index in sorted(data_by_index)
        )
