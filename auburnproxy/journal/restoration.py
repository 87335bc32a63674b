"""Which state goes on when the log has lost records that nobody holds.

A restoration is a checkpoint that stands for later offsets than it was folded
to. Whether one is valid follows from the log alone: between the claim that
opened its round and its last part, the log holds no claim of a newer state
and no part of any other checkpoint. So of two valid restorations one lies
wholly before the other's round, and a process that does not follow the newest
valid one stops folding: two states never both go on.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable
from typing import NamedTuple

import msgspec

from .checkpoint import CheckpointId, part_of, part_record
from .record import Record

CLAIM_KIND = "journal.claim"


class Claim(NamedTuple):
    """One process's word in the log on how new the state is that it holds."""

    offset: int
    """Offset up to which its state is folded."""
    failure_domain: str
    opened_at: int = 0
    """Offset of the claim that opened the round, 0 in that claim itself."""


class Sighting(NamedTuple):
    """A claim or a part of a checkpoint, at its place in the log."""

    at: int
    author: str
    claim: Claim | None = None
    checkpoint: CheckpointId | None = None
    rank: int = 0


class Round(NamedTuple):
    """The claims since the newest one that opened a round."""

    opened_at: int
    sightings: tuple[Sighting, ...]

    @property
    def winner(self) -> Sighting:
        """Return the claim of the newest state, the earliest one of equals."""
        return max(self.sightings, key=lambda s: (_claimed(s), -s.at))

    @property
    def failure_domains(self) -> frozenset[str]:
        """Return the failure domains that have claimed."""
        claims = (s.claim for s in self.sightings)
        return frozenset(claim.failure_domain for claim in claims if claim)

    def has(self, author: str) -> bool:
        """Return whether a process has claimed."""
        return any(sighting.author == author for sighting in self.sightings)


def _claimed(sighting: Sighting) -> int:
    return sighting.claim.offset if sighting.claim else 0


def claim_record(claim: Claim, author: str) -> Record:
    """Return a record without an id, which no reducer takes."""
    return Record("", author, CLAIM_KIND, {"claim": claim}, {})


def sighting_of(at: int, record: Record) -> Sighting | None:
    """Return the claim or part that a record carries, if it does."""
    part = part_of(record)
    if part is not None:
        return Sighting(at, record.author, None, part.checkpoint, part.rank)
    if record.kind != CLAIM_KIND or record.id:
        return None
    try:
        return Sighting(at, record.author, msgspec.convert(record.body["claim"], Claim))
    except (msgspec.MsgspecError, KeyError):
        return None


def bare(record: Record) -> Record:
    """Return a record as peers need it: a part of a checkpoint without its data."""
    part = part_of(record)
    return (
        record if part is None else part_record(part._replace(data=b""), record.author)
    )


class Restorations:
    """Judges restorations by the claims and parts that stand in the log."""

    def __init__(self) -> None:
        self._sighting_by_offset: dict[int, Sighting] = {}

    def see(self, sighting: Sighting) -> None:
        """Take a claim or part that was read, in any order, any number of times."""
        self._sighting_by_offset[sighting.at] = sighting

    def forget(self, start: int) -> None:
        """Drop what the log no longer retains."""
        for at in [at for at in self._sighting_by_offset if at < start]:
            del self._sighting_by_offset[at]

    def _between(self, first: int, last: int) -> Iterable[Sighting]:
        return (s for at, s in self._sighting_by_offset.items() if first <= at <= last)

    def begun_at(self, checkpoint: CheckpointId) -> int:
        """Return the offset of the first part of a checkpoint that was read."""
        sightings = self._sighting_by_offset.values()
        return min(s.at for s in sightings if s.checkpoint == checkpoint)

    def whole_at(self, checkpoint: CheckpointId) -> int:
        """Return the offset of the part that made a checkpoint whole, 0 if none."""
        first_by_rank: dict[int, int] = {}
        for at, sighting in sorted(self._sighting_by_offset.items()):
            if sighting.checkpoint == checkpoint:
                first_by_rank.setdefault(sighting.rank, at)
        if len(first_by_rank) < checkpoint.parts:
            return 0
        return max(first_by_rank.values())

    def valid(self, checkpoint: CheckpointId, *, start: int) -> bool:
        """Return whether a restoration is whole and was not contested in time.

        :param checkpoint: the restoration
        :param start: oldest offset that was read; without the whole round no
            restoration is judged valid
        """
        last = self.whole_at(checkpoint)
        if not checkpoint.restores or not last or checkpoint.opened_at < start:
            return False
        return not any(
            _contests(sighting, checkpoint)
            for sighting in self._between(checkpoint.opened_at, last)
        )

    def judged(self, *, start: int) -> bool:
        """Return whether the whole round of every restoration was read."""
        checkpoints = (s.checkpoint for s in self._sighting_by_offset.values())
        return all(c.opened_at >= start for c in checkpoints if c and c.restores)

    def newest_valid(
        self, candidates: Collection[CheckpointId], *, start: int
    ) -> CheckpointId | None:
        """Return the valid restoration that became whole last, if there is one."""
        valid = [c for c in candidates if self.valid(c, start=start)]
        return max(valid, key=self.whole_at, default=None)

    def round(self, *, start: int) -> Round | None:
        """Return the newest round of claims that no checkpoint has answered."""
        claims = [s for _, s in sorted(self._sighting_by_offset.items()) if s.claim]
        openers = [s.at for s in claims if s.claim and not s.claim.opened_at]
        if not openers or openers[-1] < start:
            return None
        return Round(openers[-1], tuple(s for s in claims if s.at >= openers[-1]))


def _contests(sighting: Sighting, checkpoint: CheckpointId) -> bool:
    if sighting.claim:
        return sighting.claim.offset > checkpoint.offset
    return sighting.checkpoint != checkpoint
