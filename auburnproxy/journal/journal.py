"""The journal of one process: it reads, folds, appends and relays."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Collection, Iterable, Mapping
from typing import Any
from uuid import uuid4

from loguru import logger

from ..errors import AppendUncertainError, OutcomeUnknownError, PlatformError
from ..external import LogPage, LogService
from . import checkpoint as checkpoints
from ._access import LogAccess
from ._codec import decode_record, encode_record
from ._recovery import Recovery, same_history
from ._relay import Relay
from ._writer import Writer
from .fold import EXPIRED, WINDOW, Fold, Hole, Snapshot
from .record import Entry, Outcome, Record
from .reducer import Reducer
from .restoration import Restorations, Sighting, bare, sighting_of

POLL_S = 2.0
LATE_S = 1.5
"""Past a poll's wait, after which the log counts as away until it answers."""
RETRY_S = 1.0
READ_BACK_S = 1.0
LONGEST_READ_BACK_S = 8.0
FOLLOWING_S = 1.0
CHECKPOINT_S = 300.0
REPLAY_RECORDS = 2048
"""A longer log is searched for a checkpoint before it is replayed."""

log = logger.bind(part="journal")


def _first() -> int:
    return 0


def _none() -> Collection[str]:
    return ()


class Journal:
    """The platform's log folded into the state of the reducers.

    :param log: the platform's log service
    :param reducers: the slices' states, changed by this journal alone
    :param author: id of this process, unique for every start
    :param failure_domain: failure domain of this process
    :param failure_domains: those whose processes must have said how new their
        state is before records that were lost to all are given up
    :param rank: order of this process among its peers in writing checkpoints, from 0
    :param checkpoint_s: seconds between checkpoints, well within the log's retention
    :param window: offsets for which ids are remembered, equal in all processes
    """

    def __init__(
        self,
        log: LogService,
        reducers: Iterable[Reducer],
        *,
        author: str,
        failure_domain: str = "",
        failure_domains: Callable[[], Collection[str]] = _none,
        rank: Callable[[], int] = _first,
        checkpoint_s: float = CHECKPOINT_S,
        window: int = WINDOW,
    ) -> None:
        self._access = LogAccess(log)
        self._author = author
        self._fold = Fold(reducers, window=window)
        self._relay = Relay()
        self._restorations = Restorations()
        self._recovery = Recovery(
            self._access,
            self._fold,
            self._restorations,
            author=author,
            failure_domain=failure_domain,
            failure_domains=failure_domains,
            rank=rank,
        )
        self._writer = Writer(
            self._access, self._fold, author=author, rank=rank, period_s=checkpoint_s
        )
        self._outcome_by_proposal: dict[str, Outcome | None] = {}
        self._doubtful: set[str] = set()
        """Proposals during which a state was taken over; it may have forgotten that
        an earlier copy was accepted."""
        self._turn = asyncio.Event()
        self._up = False
        self._ready = False
        self._current = False
        self._diverged = False
        self._gap = False
        self._searched = False

    @property
    def offset(self) -> int:
        """Return the offset of the last folded record, 0 while not ready."""
        return self._fold.offset if self._ready else 0

    @property
    def up(self) -> bool:
        """Return whether the log answered the last time and this state follows it."""
        return self._up

    @property
    def holes(self) -> tuple[Hole, ...]:
        """Return the stretches of the log that were given up, oldest first."""
        return tuple(self._fold.holes)

    @property
    def diverged(self) -> bool:
        """Return whether the log went on from an older state than this one.

        Such a process keeps its state and folds no more; a restart mends it.
        """
        return self._diverged

    @property
    def ready(self) -> bool:
        """Return whether the state was ever whole, from the log or from a peer."""
        return self._ready

    def version(self, key: str) -> int:
        """Return the offset of the last accepted record that touched a key, or 0."""
        return self._fold.version(key)

    def outcome(self, record_id: str) -> Outcome | None:
        """Return what became of a record, None if it is unknown or forgotten."""
        return self._fold.outcome(record_id)

    async def changed(self, after: int) -> int:
        """Wait until the offset is above one, and return it.

        :param after: an offset that the caller has dealt with
        """
        while self.offset <= after:
            await self._turn.wait()
        return self.offset

    async def run(self) -> None:
        """Read and fold the log, and write checkpoints, until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._writer.run(lambda: self._current))
            while not self._diverged:
                await self._turn_once()

    async def _turn_once(self) -> None:
        try:
            page = await self._read()
            self._restorations.forget(page.start)
            if self._must_recover(page):
                await self._recover(page)
                return
        except PlatformError as error:
            self._lost(error)
            await asyncio.sleep(RETRY_S)
            return
        self._up = True
        self._recovery.over()
        self._take(page)
        if not page.records and not self._current:
            await asyncio.sleep(RETRY_S)

    async def _read(self) -> LogPage:
        """Read the next page; peers are asked meanwhile if it comes late."""
        wait_s = POLL_S if self._current else 0.0
        loop = asyncio.get_running_loop()
        late = loop.call_later(wait_s + LATE_S, self._lost, "it is late")
        try:
            return await self._access.read(self._fold.offset + 1, wait_s=wait_s)
        finally:
            late.cancel()

    def _must_recover(self, page: LogPage) -> bool:
        self._gap = page.start > self._fold.offset + 1
        if self._gap or self._fold.offset:
            return self._gap
        searched, self._searched = self._searched, True
        return page.end > REPLAY_RECORDS and not searched

    async def _recover(self, page: LogPage) -> None:
        self._up = self._current = False
        ready = self._ready or self._fold.offset > 0
        found = await self._recovery.search(page, ready=ready)
        if self._recovery.diverged:
            self._diverge()
        elif found is not None and self._follows(found.snapshot):
            offset = found.snapshot.offset
            log.info("The state of offset {} is taken from the log.", offset)
            self._restore(found.snapshot)
        elif self._gap:
            await asyncio.sleep(RETRY_S)

    def _lost(self, reason: object) -> None:
        if self._up:
            log.warning("The log is away: {}", reason)
        self._up = self._current = False

    def _take(self, page: LogPage) -> None:
        for kept in page.records:
            self._step(Entry(kept.offset, decode_record(kept.payload)))
        self._current = page.end <= self._fold.offset + 1 and not self._diverged
        if self._current:
            self._ready = True
            self._writer.saw_bounds(page.start, page.end)
        self._notify()

    def _step(self, entry: Entry) -> None:
        if entry.offset <= self._fold.offset or self._diverged:
            return
        sighting = sighting_of(entry.offset, entry.record)
        if sighting is not None:
            if not self._see(sighting):
                return
            entry = Entry(entry.offset, bare(entry.record))
        self._relay.add(entry.offset, entry.record)
        self._fold.step(entry)
        self._tell(entry.record.id)

    def _tell(self, record_id: str) -> None:
        """Note the first outcome of a proposal; a later copy may have another."""
        if record_id in self._outcome_by_proposal:
            known = self._outcome_by_proposal[record_id]
            self._outcome_by_proposal[record_id] = known or self._first(record_id)

    def _first(self, record_id: str) -> Outcome | None:
        """Return the outcome of a proposal's first copy, None if it is not known."""
        outcome = self.outcome(record_id)
        if outcome is not None and outcome.reason == EXPIRED:
            return None if record_id in self._doubtful else outcome
        return outcome

    def _see(self, sighting: Sighting) -> bool:
        """Take a claim or part, and return whether the fold may go on."""
        self._restorations.see(sighting)
        checkpoint = sighting.checkpoint
        if checkpoint is None:
            return True
        if not checkpoint.restores:
            if self._restorations.whole_at(checkpoint):
                self._writer.saw_checkpoint(self._restorations.begun_at(checkpoint))
            return True
        if checkpoint.hole in self._fold.holes:
            return True
        if not self._restorations.valid(checkpoint, start=0):
            return True
        self._diverge()
        return False

    def _diverge(self) -> None:
        self._diverged = True
        self._up = self._current = False
        log.error("The log went on from an older state; the fold stops here.")

    def _notify(self) -> None:
        turn, self._turn = self._turn, asyncio.Event()
        turn.set()

    async def propose(
        self,
        kind: str,
        body: Mapping[str, Any],
        *,
        expects: Mapping[str, int],
        timeout_s: float,
        record_id: str = "",
    ) -> Outcome:
        """Append a record and return what became of it, once it is folded.

        :param kind: slice and verb, ``replica.form``
        :param body: plain values that msgspec encodes
        :param expects: version seen of each key that the record touches
        :param timeout_s: seconds after which the outcome is unknown
        :param record_id: id of an earlier try that is to be taken up again
        :raises PlatformError: if the record was surely not appended
        :raises OutcomeUnknownError: at the timeout; it carries the id
        """
        chosen = record_id or uuid4().hex
        known = self.outcome(chosen)
        if known is not None:
            return known
        self._outcome_by_proposal[chosen] = None
        try:
            async with asyncio.timeout(timeout_s):
                await self._following()
                record = Record(
                    chosen, self._author, kind, body, expects, self._fold.offset
                )
                return await self._append_until_folded(record)
        except TimeoutError:
            raise OutcomeUnknownError(chosen) from None
        finally:
            self._outcome_by_proposal.pop(chosen, None)
            self._doubtful.discard(chosen)

    async def _following(self) -> None:
        """Wait for a state that follows the log; records could not be read back."""
        try:
            async with asyncio.timeout(FOLLOWING_S):
                while self._gap or self._diverged or not self._ready:
                    await self._turn.wait()
        except TimeoutError:
            raise PlatformError("this process does not follow the log") from None

    async def _append_until_folded(self, record: Record) -> Outcome:
        payload = encode_record(record)
        uncertain, read_back_s = False, READ_BACK_S
        while True:
            try:
                await self._access.append(payload)
                return await self._folded(record.id)
            except AppendUncertainError:
                uncertain = True
            except PlatformError:
                if not uncertain:
                    raise
            try:
                async with asyncio.timeout(read_back_s):
                    return await self._folded(record.id)
            except TimeoutError:
                read_back_s = min(2 * read_back_s, LONGEST_READ_BACK_S)
                log.info("Record {} is appended again.", record.id)

    async def _folded(self, record_id: str) -> Outcome:
        while True:
            outcome = self._outcome_by_proposal.get(record_id)
            outcome = outcome or self._first(record_id)
            if outcome is not None:
                return outcome
            await self._turn.wait()

    def entries_after(self, offset: int, limit: int) -> tuple[Entry, ...]:
        """Return the entries right after an offset, none if they are not kept.

        A peer that has no whole state yet gets none: it needs a checkpoint.

        :param offset: last offset that the peer has folded, 0 while it is not ready
        :param limit: greatest number of entries
        """
        if not offset:
            return ()
        return self._relay.after(offset, limit)

    def offer(self, entries: Iterable[Entry]) -> None:
        """Fold entries from a peer, as far as they follow on without a gap."""
        for entry in entries:
            if entry.offset == self._fold.offset + 1:
                self._step(entry)
        self._notify()

    def checkpoint(self) -> bytes:
        """Return the whole state for a peer, nothing if it should not be taken."""
        if not self._ready or self._diverged:
            return b""
        return checkpoints.encode(self._fold.snapshot())

    def adopt(self, checkpoint: bytes) -> bool:
        """Take over a newer state, and say whether that was done.

        :param checkpoint: the state of a peer, or one read from the log
        """
        snapshot = checkpoints.decode(checkpoint)
        if snapshot is None or not self._follows(snapshot):
            return False
        self._restore(snapshot)
        return True

    def _follows(self, snapshot: Snapshot) -> bool:
        """Return whether a state is newer and went through all that this one holds."""
        oldest = self._fold.offset + int(self._ready)
        if self._diverged or snapshot.offset < oldest:
            return False
        same = same_history(self._fold, snapshot)
        if not same:
            log.error("A state of offset {} is of another history.", snapshot.offset)
        return same

    def _restore(self, snapshot: Snapshot) -> None:
        self._fold.restore(snapshot)
        self._doubtful |= self._outcome_by_proposal.keys()
        self._ready = True
        self._notify()
