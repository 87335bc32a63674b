"""Selection of the state to continue from when records have expired unread.

A restoration is a checkpoint that resumes at a later offset than that of the
last record applied to it; the records in between are lost. Its validity follows
from the log alone: between the claim that opened its round and its last part,
the log holds no claim of a newer state and no part of any other checkpoint. So
of two valid restorations one lies entirely before the other's round, and a
process that does not follow the newest valid one stops applying records: two
different states never both continue.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable
from typing import NamedTuple

import msgspec

from ..decoding import DECODING_ERRORS
from .checkpoint import CheckpointId, part_of, part_record
from .record import Record

CLAIM_KIND = "journal.claim"


class Claim(NamedTuple):
    """Announcement in the log of how recent a process's state is."""

    offset: int
    """Offset of the last record applied to its state."""
    failure_domain: str
    opening_offset: int = 0
    """Offset of the claim that opened the round, 0 in the opening claim itself."""


class RecoveryRecord(NamedTuple):
    """A claim or a checkpoint part with its offset in the log."""

    log_offset: int
    author: str
    claim: Claim | None = None
    checkpoint: CheckpointId | None = None
    part_index: int = 0


class ClaimRound(NamedTuple):
    """The claims since the newest one that opened a round."""

    opening_offset: int
    records: tuple[RecoveryRecord, ...]

    @property
    def newest_claim(self) -> RecoveryRecord:
        """Return the claim of the newest state, the earliest one on a tie."""
        return max(self.records, key=lambda r: (_claimed_offset(r), -r.log_offset))

    @property
    def failure_domains(self) -> frozenset[str]:
        """Return the failure domains that have claimed."""
        claims = (r.claim for r in self.records)
        return frozenset(claim.failure_domain for claim in claims if claim)

    def has_claim_of(self, author: str) -> bool:
        """Return whether a process has claimed."""
        return any(recovery_record.author == author for recovery_record in self.records)


def _claimed_offset(recovery_record: RecoveryRecord) -> int:
    return recovery_record.claim.offset if recovery_record.claim else 0


def claim_record(claim: Claim, author: str) -> Record:
    """Return a record of the claim; without an id it is not applied."""
    return Record("", author, CLAIM_KIND, {"claim": claim}, {})


def recovery_record_of(log_offset: int, record: Record) -> RecoveryRecord | None:
    """Return the claim or part that a record holds, None if it holds neither."""
    part = part_of(record)
    if part is not None:
        return RecoveryRecord(
            log_offset, record.author, None, part.checkpoint, part.part_index
        )
    if record.kind != CLAIM_KIND or record.id:
        return None
    try:
        return RecoveryRecord(
            log_offset, record.author, msgspec.convert(record.body["claim"], Claim)
        )
    except (*DECODING_ERRORS, KeyError):
        return None


def without_part_data(record: Record) -> Record:
    """Return a record for peers, who need no data of a checkpoint part."""
    part = part_of(record)
    return (
        record if part is None else part_record(part._replace(data=b""), record.author)
    )


class Restorations:
    """Validates restorations by the claims and checkpoint parts in the log."""

    def __init__(self) -> None:
        self._record_by_offset: dict[int, RecoveryRecord] = {}

    def observe(self, recovery_record: RecoveryRecord) -> None:
        """Record a claim or part; order and repetition do not matter."""
        self._record_by_offset[recovery_record.log_offset] = recovery_record

    def forget(self, start: int) -> None:
        """Drop claims and parts that the log no longer retains."""
        for log_offset in [
            log_offset for log_offset in self._record_by_offset if log_offset < start
        ]:
            del self._record_by_offset[log_offset]

    def _between(self, first: int, last: int) -> Iterable[RecoveryRecord]:
        return (
            r
            for log_offset, r in self._record_by_offset.items()
            if first <= log_offset <= last
        )

    def first_part_offset(self, checkpoint: CheckpointId) -> int:
        """Return the offset of the first part of a checkpoint that was read."""
        records = self._record_by_offset.values()
        return min(r.log_offset for r in records if r.checkpoint == checkpoint)

    def completion_offset(self, checkpoint: CheckpointId) -> int:
        """Return the offset that completed a checkpoint, 0 if it is incomplete."""
        first_offset_by_index: dict[int, int] = {}
        for log_offset, recovery_record in sorted(self._record_by_offset.items()):
            if recovery_record.checkpoint == checkpoint:
                first_offset_by_index.setdefault(recovery_record.part_index, log_offset)
        if len(first_offset_by_index) < checkpoint.parts:
            return 0
        return max(first_offset_by_index.values())

    def is_valid(self, checkpoint: CheckpointId, *, start: int) -> bool:
        """Return whether a restoration is complete and was not contested in its round.

        :param checkpoint: the restoration
        :param start: oldest offset that was read; a restoration is only valid if its
            whole round was read
        """
        last = self.completion_offset(checkpoint)
        if (
            not checkpoint.is_restoration
            or not last
            or checkpoint.opening_offset < start
        ):
            return False
        return not any(
            _contests(recovery_record, checkpoint)
            for recovery_record in self._between(checkpoint.opening_offset, last)
        )

    def covers_all_rounds(self, *, start: int) -> bool:
        """Return whether the whole round of every restoration was read."""
        checkpoints = (r.checkpoint for r in self._record_by_offset.values())
        return all(
            c.opening_offset >= start for c in checkpoints if c and c.is_restoration
        )

    def newest_valid(
        self, candidates: Collection[CheckpointId], *, start: int
    ) -> CheckpointId | None:
        """Return the valid restoration that was completed last, None if none is."""
        valid = [c for c in candidates if self.is_valid(c, start=start)]
        return max(valid, key=self.completion_offset, default=None)

    def round(self, *, start: int) -> ClaimRound | None:
        """Return the newest claim round, None if its opening claim was not read."""
        claims = [r for _, r in sorted(self._record_by_offset.items()) if r.claim]
        opening_offsets = [
            r.log_offset for r in claims if r.claim and not r.claim.opening_offset
        ]
        if not opening_offsets or opening_offsets[-1] < start:
            return None
        return ClaimRound(
            opening_offsets[-1],
            tuple(r for r in claims if r.log_offset >= opening_offsets[-1]),
        )


def _contests(recovery_record: RecoveryRecord, checkpoint: CheckpointId) -> bool:
    if recovery_record.claim:
        return recovery_record.claim.offset > checkpoint.offset
    return recovery_record.checkpoint != checkpoint
