"""Recovery of a process whose next records have expired from the log."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Collection
from typing import NamedTuple

from loguru import logger

from ..external import LogPage
from . import checkpoint as checkpoints
from ._codec import decode_record, encode_record
from ._log_access import PAGE_RECORDS, LogAccess
from .checkpoint import CheckpointAssembler, CheckpointId
from .restoration import (
    Claim,
    ClaimRound,
    Restorations,
    claim_record,
    recovery_record_of,
)
from .state_machine import Snapshot, StateMachine

FIRST_CLAIM_DELAY_S = 10.0
"""Wait for a peer's state or a regular checkpoint before the first claim."""
CLAIM_WAIT_S = 10.0
"""Wait for claims of newer states before writing a restoration."""
ROUND_TIMEOUT_S = 60.0
"""Time without a restoration after which a new claim round is opened."""

log = logger.bind(part="journal")


class RecoveredState(NamedTuple):
    """A state read from the log."""

    snapshot: Snapshot
    checkpoint: CheckpointId


def shares_history(state_machine: StateMachine, snapshot: Snapshot) -> bool:
    """Return whether a newer state includes every record applied here."""
    if not state_machine.offset:
        return True
    return state_machine.lost_ranges == [
        r for r in snapshot.lost_ranges if r.after < state_machine.offset
    ]


def discards_applied_records(state_machine: StateMachine, snapshot: Snapshot) -> bool:
    """Return whether a state declared records lost that are applied here."""
    lost_ranges = (
        lost_range
        for lost_range in snapshot.lost_ranges
        if lost_range not in state_machine.lost_ranges
    )
    return any(lost_range.after < state_machine.offset for lost_range in lost_ranges)


class Recovery:
    """Finds a state to resume from, or restores the newest one that is left.

    :param access: client of the log
    :param state_machine: state machine of this process
    :param restorations: claims and checkpoint parts read so far
    :param author: id of this process
    :param failure_domain: failure domain of this process
    :param failure_domains: returns those that must have claimed before a restoration
    :param rank: position of this process among its peers; delays its first claim
    """

    def __init__(
        self,
        access: LogAccess,
        state_machine: StateMachine,
        restorations: Restorations,
        *,
        author: str,
        failure_domain: str,
        failure_domains: Callable[[], Collection[str]],
        rank: Callable[[], int],
    ) -> None:
        self._access = access
        self._state_machine = state_machine
        self._restorations = restorations
        self._author = author
        self._failure_domain = failure_domain
        self._failure_domains = failure_domains
        self._rank = rank
        self.diverged = False
        """Whether the log continues from a state that lacks records applied here."""
        self._recovering_since: float | None = None
        self._round_offset = 0
        self._round_since = 0.0

    def finish(self) -> None:
        """Record that this process follows the log again."""
        self._recovering_since = None

    async def search(self, page: LogPage, *, ready: bool) -> RecoveredState | None:
        """Search the log once for a state, and take part in a claim round.

        :param page: the latest page read from the log
        :param ready: whether this process has a complete state to restore from
        :raises PlatformError: if the log stops answering
        """
        now = asyncio.get_running_loop().time()
        self._recovering_since = (
            now if self._recovering_since is None else self._recovering_since
        )
        assembler = CheckpointAssembler()
        found, other_history = await self._newest_checkpoint(page, assembler)
        if found is not None or other_history:
            return found
        complete = assembler.complete
        newest = self._restorations.newest_valid(list(complete), start=page.start)
        if (
            newest is not None
            and newest.lost_range not in self._state_machine.lost_ranges
        ):
            return self._restored(newest, complete[newest])
        if ready and self._restorations.covers_all_rounds(start=page.start):
            await self._claim(page)
        return None

    async def _newest_checkpoint(
        self, page: LogPage, assembler: CheckpointAssembler
    ) -> tuple[RecoveredState | None, bool]:
        """Read backwards to the newest complete checkpoint within the retention."""
        end, other_history = page.end, False
        while end > page.start:
            first = max(page.start, end - PAGE_RECORDS)
            page_before_end = await self._access.read(
                first, limit=end - first, wait_s=0
            )
            for log_record in reversed(page_before_end.records):
                found = self._inspect_record(
                    log_record.offset, log_record.payload, page, assembler
                )
                if found is None:
                    continue
                if shares_history(self._state_machine, found.snapshot):
                    return found, False
                other_history = True
                self.diverged = self.diverged or discards_applied_records(
                    self._state_machine, found.snapshot
                )
            end = first
        return None, other_history

    def _inspect_record(
        self, offset: int, payload: bytes, page: LogPage, assembler: CheckpointAssembler
    ) -> RecoveredState | None:
        record = decode_record(payload)
        recovery_record = recovery_record_of(offset, record)
        if recovery_record is not None:
            self._restorations.observe(recovery_record)
        part = checkpoints.part_of(record)
        if part is None:
            return None
        data = assembler.add(part)
        if data is None or part.checkpoint.is_restoration:
            return None
        snapshot = checkpoints.decode(data)
        if snapshot is None or snapshot.offset < page.start - 1:
            return None
        if snapshot.offset <= self._state_machine.offset:
            return None
        return RecoveredState(snapshot, part.checkpoint)

    def _restored(self, checkpoint: CheckpointId, data: bytes) -> RecoveredState | None:
        snapshot = checkpoints.decode(data)
        if snapshot is None:
            return None
        is_older = snapshot.offset < self._state_machine.offset
        if is_older or not shares_history(self._state_machine, snapshot):
            self.diverged = True
            return None
        lost_ranges = [*snapshot.lost_ranges, checkpoint.lost_range]
        return RecoveredState(
            snapshot._replace(offset=checkpoint.until, lost_ranges=lost_ranges),
            checkpoint,
        )

    async def _claim(self, page: LogPage) -> None:
        now = asyncio.get_running_loop().time()
        current = self._restorations.round(start=page.start)
        if current is not None and current.opening_offset != self._round_offset:
            self._round_offset, self._round_since = current.opening_offset, now
        rank = self._rank()
        assert self._recovering_since is not None
        if current is None:
            if now - self._recovering_since >= FIRST_CLAIM_DELAY_S * (1 + rank):
                await self._append_claim(0)
        elif now - self._round_since >= ROUND_TIMEOUT_S * (1 + rank):
            await self._append_claim(0)
        elif self._should_join(current):
            await self._append_claim(current.opening_offset)
        elif self._should_restore(current, now - self._round_since):
            await self._restore(page, current)

    def _should_join(self, current: ClaimRound) -> bool:
        if current.has_claim_of(self._author):
            return False
        claim = current.newest_claim.claim
        is_newer = claim is not None and self._state_machine.offset > claim.offset
        return is_newer or self._failure_domain not in current.failure_domains

    def _should_restore(self, current: ClaimRound, age_s: float) -> bool:
        if current.newest_claim.author != self._author or age_s < CLAIM_WAIT_S:
            return False
        return current.failure_domains.issuperset(self._failure_domains())

    async def _append_claim(self, opening_offset: int) -> None:
        claim = Claim(self._state_machine.offset, self._failure_domain, opening_offset)
        log.warning(
            "Records have expired unread; claiming the state at offset {}.",
            claim.offset,
        )
        await self._access.append(encode_record(claim_record(claim, self._author)))

    async def _restore(self, page: LogPage, current: ClaimRound) -> None:
        state_machine = self._state_machine
        data = checkpoints.encode(state_machine.snapshot())
        until = page.start - 1
        log.warning(
            "Declaring records {} to {} lost and writing a restoration.",
            state_machine.offset + 1,
            until,
        )
        parts = checkpoints.split(
            data,
            state_machine.offset,
            until=until,
            opening_offset=current.opening_offset,
        )
        for part in parts:
            record = checkpoints.part_record(part, self._author)
            await self._access.append(encode_record(record))
