"""The way back in for a process that the log's retention has overtaken."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Collection
from typing import NamedTuple

from loguru import logger

from ..external import LogPage
from . import checkpoint as checkpoints
from ._access import PAGE_RECORDS, LogAccess
from ._codec import decode_record, encode_record
from .checkpoint import CheckpointId, Collector
from .fold import Fold, Snapshot
from .restoration import Claim, Restorations, Round, claim_record, sighting_of

PATIENCE_S = 10.0
"""Wait for a peer or an ordinary checkpoint before the first claim."""
CLAIM_WAIT_S = 10.0
"""Wait for claims of newer states before a restoration is written."""
ROUND_S = 60.0
"""After this long without a restoration a new round is opened."""

log = logger.bind(part="journal")


class Found(NamedTuple):
    """A state that was read from the log."""

    snapshot: Snapshot
    checkpoint: CheckpointId


def same_history(fold: Fold, snapshot: Snapshot) -> bool:
    """Return whether a newer state went through all that this one holds."""
    if not fold.offset:
        return True
    return fold.holes == [h for h in snapshot.holes if h.after < fold.offset]


def overruled(fold: Fold, snapshot: Snapshot) -> bool:
    """Return whether a state gave up records that this one holds."""
    holes = (hole for hole in snapshot.holes if hole not in fold.holes)
    return any(hole.after < fold.offset for hole in holes)


class Recovery:
    """Finds a state to go on from, or restores the newest one that is left.

    :param access: the log
    :param fold: the state of this process
    :param restorations: the claims and parts that were read
    :param author: id of this process
    :param failure_domain: failure domain of this process
    :param failure_domains: those that must have claimed before a restoration
    :param rank: order of this process among its peers, for the first claim
    """

    def __init__(
        self,
        access: LogAccess,
        fold: Fold,
        restorations: Restorations,
        *,
        author: str,
        failure_domain: str,
        failure_domains: Callable[[], Collection[str]],
        rank: Callable[[], int],
    ) -> None:
        self._access = access
        self._fold = fold
        self._restorations = restorations
        self._author = author
        self._failure_domain = failure_domain
        self._failure_domains = failure_domains
        self._rank = rank
        self.diverged = False
        """Whether the log went on from a state that this one does not lead to."""
        self._since: float | None = None
        self._round_at = 0
        self._round_since = 0.0

    def over(self) -> None:
        """Note that the state follows the log again."""
        self._since = None

    async def search(self, page: LogPage, *, ready: bool) -> Found | None:
        """Look for a state in the log once, and take part in a round of claims.

        :param page: the newest answer of the log
        :param ready: whether this process has a whole state that may be restored
        :raises PlatformError: if the log stops answering
        """
        now = asyncio.get_running_loop().time()
        self._since = now if self._since is None else self._since
        collector = Collector()
        found, foreign = await self._newest_checkpoint(page, collector)
        if found is not None or foreign:
            return found
        whole = collector.whole
        newest = self._restorations.newest_valid(list(whole), start=page.start)
        if newest is not None and newest.hole not in self._fold.holes:
            return self._restored(newest, whole[newest])
        if ready and self._restorations.judged(start=page.start):
            await self._claim(page)
        return None

    async def _newest_checkpoint(
        self, page: LogPage, collector: Collector
    ) -> tuple[Found | None, bool]:
        """Read backwards up to the first whole checkpoint that reaches the log."""
        end, foreign = page.end, False
        while end > page.start:
            first = max(page.start, end - PAGE_RECORDS)
            part_page = await self._access.read(first, limit=end - first, wait_s=0)
            for kept in reversed(part_page.records):
                found = self._look(kept.offset, kept.payload, page, collector)
                if found is None:
                    continue
                if same_history(self._fold, found.snapshot):
                    return found, False
                foreign = True
                self.diverged = self.diverged or overruled(self._fold, found.snapshot)
            end = first
        return None, foreign

    def _look(
        self, offset: int, payload: bytes, page: LogPage, collector: Collector
    ) -> Found | None:
        record = decode_record(payload)
        sighting = sighting_of(offset, record)
        if sighting is not None:
            self._restorations.see(sighting)
        part = checkpoints.part_of(record)
        if part is None:
            return None
        data = collector.add(part)
        if data is None or part.checkpoint.restores:
            return None
        snapshot = checkpoints.decode(data)
        if snapshot is None or snapshot.offset < page.start - 1:
            return None
        if snapshot.offset <= self._fold.offset:
            return None
        return Found(snapshot, part.checkpoint)

    def _restored(self, checkpoint: CheckpointId, data: bytes) -> Found | None:
        snapshot = checkpoints.decode(data)
        if snapshot is None:
            return None
        older = snapshot.offset < self._fold.offset
        if older or not same_history(self._fold, snapshot):
            self.diverged = True
            return None
        holes = [*snapshot.holes, checkpoint.hole]
        return Found(
            snapshot._replace(offset=checkpoint.until, holes=holes), checkpoint
        )

    async def _claim(self, page: LogPage) -> None:
        now = asyncio.get_running_loop().time()
        current = self._restorations.round(start=page.start)
        if current is not None and current.opened_at != self._round_at:
            self._round_at, self._round_since = current.opened_at, now
        rank = self._rank()
        assert self._since is not None
        if current is None:
            if now - self._since >= PATIENCE_S * (1 + rank):
                await self._append_claim(0)
        elif now - self._round_since >= ROUND_S * (1 + rank):
            await self._append_claim(0)
        elif self._should_join(current):
            await self._append_claim(current.opened_at)
        elif self._should_restore(current, now - self._round_since):
            await self._restore(page, current)

    def _should_join(self, current: Round) -> bool:
        if current.has(self._author):
            return False
        claim = current.winner.claim
        newer = claim is not None and self._fold.offset > claim.offset
        return newer or self._failure_domain not in current.failure_domains

    def _should_restore(self, current: Round, age_s: float) -> bool:
        if current.winner.author != self._author or age_s < CLAIM_WAIT_S:
            return False
        return current.failure_domains.issuperset(self._failure_domains())

    async def _append_claim(self, opened_at: int) -> None:
        claim = Claim(self._fold.offset, self._failure_domain, opened_at)
        log.warning("Records are lost; this state reaches to {}.", claim.offset)
        await self._access.append(encode_record(claim_record(claim, self._author)))

    async def _restore(self, page: LogPage, current: Round) -> None:
        fold = self._fold
        data = checkpoints.encode(fold.snapshot())
        until = page.start - 1
        log.warning("Records {} to {} are given up.", fold.offset + 1, until)
        parts = checkpoints.split(
            data, fold.offset, until=until, opened_at=current.opened_at
        )
        for part in parts:
            record = checkpoints.part_record(part, self._author)
            await self._access.append(encode_record(record))
