"""Journal of one process: reads, applies, appends and relays log records."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Collection, Iterable, Mapping
from typing import Any
from uuid import uuid4

from loguru import logger

from ..errors import AppendUncertainError, OutcomeUnknownError, PlatformError
from ..external import LogPage, LogService
from . import checkpoint as checkpoints
from ._checkpoint_writer import CheckpointWriter
from ._codec import decode_record, encode_record
from ._log_access import LogAccess
from ._recovery import Recovery, shares_history
from ._relay_buffer import RelayBuffer
from .record import Entry, Outcome, Record
from .reducer import Reducer
from .restoration import (
    RecoveryRecord,
    Restorations,
    recovery_record_of,
    without_part_data,
)
from .state_machine import EXPIRED, ID_WINDOW, LostRange, Snapshot, StateMachine

POLL_S = 2.0
LATE_MARGIN_S = 1.5
"""Time past a poll's wait after which the log counts as unavailable."""
RETRY_S = 1.0
READ_BACK_S = 1.0
MAX_READ_BACK_S = 8.0
FOLLOW_TIMEOUT_S = 1.0
CHECKPOINT_INTERVAL_S = 300.0
REPLAY_RECORDS = 2048
"""Log length above which a checkpoint is searched before replaying the log."""

log = logger.bind(part="journal")


def _rank_zero() -> int:
    return 0


def _no_domains() -> Collection[str]:
    return ()


class Journal:
    """Applies the platform's log to the state of the reducers.

    :param log: the platform's log service
    :param reducers: state of each part of the system, changed only by this journal
    :param author: id of this process, unique to each start
    :param failure_domain: failure domain of this process
    :param failure_domains: returns the failure domains that must have claimed the
        offset of their state before records that no process has are declared lost
    :param rank: position of this process among its peers in writing checkpoints, from 0
    :param checkpoint_s: seconds between checkpoints, well below the log's retention
    :param id_window: offsets for which record ids are remembered, equal in all
        processes
    """

    def __init__(
        self,
        log: LogService,
        reducers: Iterable[Reducer],
        *,
        author: str,
        failure_domain: str = "",
        failure_domains: Callable[[], Collection[str]] = _no_domains,
        rank: Callable[[], int] = _rank_zero,
        checkpoint_s: float = CHECKPOINT_INTERVAL_S,
        id_window: int = ID_WINDOW,
    ) -> None:
        self._access = LogAccess(log)
        self._author = author
        self._state_machine = StateMachine(reducers, id_window=id_window)
        self._relay = RelayBuffer()
        self._restorations = Restorations()
        self._recovery = Recovery(
            self._access,
            self._state_machine,
            self._restorations,
            author=author,
            failure_domain=failure_domain,
            failure_domains=failure_domains,
            rank=rank,
        )
        self._writer = CheckpointWriter(
            self._access,
            self._state_machine,
            author=author,
            rank=rank,
            period_s=checkpoint_s,
        )
        self._outcome_by_proposal: dict[str, Outcome | None] = {}
        self._uncertain_ids: set[str] = set()
        """Proposals during which a checkpoint was installed; its state may have
        forgotten that an earlier copy was accepted."""
        self._changed = asyncio.Event()
        self._up = False
        self._ready = False
        self._is_caught_up = False
        self._diverged = False
        self._has_gap = False
        self._checkpoint_searched = False

    @property
    def offset(self) -> int:
        """Return the offset of the last applied record, 0 while not ready."""
        return self._state_machine.offset if self._ready else 0

    @property
    def up(self) -> bool:
        """Return whether the log answered the last read and this state follows it."""
        return self._up

    @property
    def lost_ranges(self) -> tuple[LostRange, ...]:
        """Return the ranges of records that were declared lost, oldest first."""
        return tuple(self._state_machine.lost_ranges)

    @property
    def diverged(self) -> bool:
        """Return whether the log continues from a state older than this one.

        Such a process keeps its state and applies no further records until it is
        restarted.
        """
        return self._diverged

    @property
    def ready(self) -> bool:
        """Return whether the state was ever complete, from the log or from a peer."""
        return self._ready

    def version(self, key: str) -> int:
        """Return the offset of the last accepted record that touched a key, or 0."""
        return self._state_machine.version(key)

    def outcome(self, record_id: str) -> Outcome | None:
        """Return the outcome of a record, None if it is unknown or forgotten."""
        return self._state_machine.outcome(record_id)

    async def changed(self, after: int) -> int:
        """Wait until the offset exceeds a given one, and return it.

        :param after: last offset that the caller has handled
        """
        while self.offset <= after:
            await self._changed.wait()
        return self.offset

    async def run(self) -> None:
        """Read and apply the log, and write checkpoints, until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._writer.run(lambda: self._is_caught_up))
            while not self._diverged:
                await self._read_once()

    async def _read_once(self) -> None:
        try:
            page = await self._read()
            self._restorations.forget(page.start)
            if self._must_recover(page):
                await self._recover(page)
                return
        except PlatformError as error:
            self._mark_unavailable(error)
            await asyncio.sleep(RETRY_S)
            return
        self._up = True
        self._recovery.finish()
        self._apply_page(page)
        if not page.records and not self._is_caught_up:
            await asyncio.sleep(RETRY_S)

    async def _read(self) -> LogPage:
        """Read the next page; if it is late, mark the log as unavailable.

        While the log is unavailable, entries are requested from peers.
        """
        wait_s = POLL_S if self._is_caught_up else 0.0
        loop = asyncio.get_running_loop()
        late = loop.call_later(
            wait_s + LATE_MARGIN_S, self._mark_unavailable, "the read timed out"
        )
        try:
            return await self._access.read(
                self._state_machine.offset + 1, wait_s=wait_s
            )
        finally:
            late.cancel()

    def _must_recover(self, page: LogPage) -> bool:
        self._has_gap = page.start > self._state_machine.offset + 1
        if self._has_gap or self._state_machine.offset:
            return self._has_gap
        searched, self._checkpoint_searched = self._checkpoint_searched, True
        return page.end > REPLAY_RECORDS and not searched

    async def _recover(self, page: LogPage) -> None:
        self._up = self._is_caught_up = False
        ready = self._ready or self._state_machine.offset > 0
        found = await self._recovery.search(page, ready=ready)
        if self._recovery.diverged:
            self._diverge()
        elif found is not None and self._is_successor(found.snapshot):
            offset = found.snapshot.offset
            log.info("Installing the state at offset {} from the log.", offset)
            self._install(found.snapshot)
        elif self._has_gap:
            await asyncio.sleep(RETRY_S)

    def _mark_unavailable(self, reason: object) -> None:
        if self._up:
            log.warning("The log is unavailable: {}", reason)
        self._up = self._is_caught_up = False

    def _apply_page(self, page: LogPage) -> None:
        for log_record in page.records:
            self._apply_entry(
                Entry(log_record.offset, decode_record(log_record.payload))
            )
        self._is_caught_up = (
            page.end <= self._state_machine.offset + 1 and not self._diverged
        )
        if self._is_caught_up:
            self._ready = True
            self._writer.record_log_bounds(page.start, page.end)
        self._notify()

    def _apply_entry(self, entry: Entry) -> None:
        if entry.offset <= self._state_machine.offset or self._diverged:
            return
        recovery_record = recovery_record_of(entry.offset, entry.record)
        if recovery_record is not None:
            if not self._observe(recovery_record):
                return
            entry = Entry(entry.offset, without_part_data(entry.record))
        self._relay.add(entry.offset, entry.record)
        self._state_machine.apply_entry(entry)
        self._record_outcome(entry.record.id)

    def _record_outcome(self, record_id: str) -> None:
        """Record a proposal's first outcome; a later copy may have another one."""
        if record_id in self._outcome_by_proposal:
            known = self._outcome_by_proposal[record_id]
            self._outcome_by_proposal[record_id] = known or self._first_outcome(
                record_id
            )

    def _first_outcome(self, record_id: str) -> Outcome | None:
        """Return the outcome of a proposal's first copy, None if it is not known."""
        outcome = self.outcome(record_id)
        if outcome is not None and outcome.reason == EXPIRED:
            return None if record_id in self._uncertain_ids else outcome
        return outcome

    def _observe(self, recovery_record: RecoveryRecord) -> bool:
        """Record a claim or part, and return whether its entry may be applied."""
        self._restorations.observe(recovery_record)
        checkpoint = recovery_record.checkpoint
        if checkpoint is None:
            return True
        if not checkpoint.is_restoration:
            if self._restorations.completion_offset(checkpoint):
                self._writer.record_checkpoint(
                    self._restorations.first_part_offset(checkpoint)
                )
            return True
        if checkpoint.lost_range in self._state_machine.lost_ranges:
            return True
        if not self._restorations.is_valid(checkpoint, start=0):
            return True
        self._diverge()
        return False

    def _diverge(self) -> None:
        self._diverged = True
        self._up = self._is_caught_up = False
        log.error(
            "The log continues from an older state; no further records are applied."
        )

    def _notify(self) -> None:
        changed_event, self._changed = self._changed, asyncio.Event()
        changed_event.set()

    async def propose(
        self,
        kind: str,
        body: Mapping[str, Any],
        *,
        expects: Mapping[str, int],
        timeout_s: float,
        record_id: str = "",
    ) -> Outcome:
        """Append a record and return its outcome once it is applied.

        :param kind: reducer and verb, such as ``replica.form``
        :param body: values that msgspec can encode
        :param expects: version that the caller saw of each key the record touches
        :param timeout_s: seconds after which the outcome is unknown
        :param record_id: id of an earlier attempt to continue
        :raises PlatformError: if the record was certainly not appended
        :raises OutcomeUnknownError: at the timeout; the error holds the id
        """
        proposal_id = record_id or uuid4().hex
        known = self.outcome(proposal_id)
        if known is not None:
            return known
        self._outcome_by_proposal[proposal_id] = None
        try:
            async with asyncio.timeout(timeout_s):
                await self._wait_until_following()
                record = Record(
                    proposal_id,
                    self._author,
                    kind,
                    body,
                    expects,
                    self._state_machine.offset,
                )
                return await self._append_until_applied(record)
        except TimeoutError:
            raise OutcomeUnknownError(proposal_id) from None
        finally:
            self._outcome_by_proposal.pop(proposal_id, None)
            self._uncertain_ids.discard(proposal_id)

    async def _wait_until_following(self) -> None:
        """Wait until the state follows the log; else no record can be read back."""
        try:
            async with asyncio.timeout(FOLLOW_TIMEOUT_S):
                while self._has_gap or self._diverged or not self._ready:
                    await self._changed.wait()
        except TimeoutError:
            raise PlatformError("this process is not following the log") from None

    async def _append_until_applied(self, record: Record) -> Outcome:
        payload = encode_record(record)
        uncertain, read_back_s = False, READ_BACK_S
        while True:
            try:
                await self._access.append(payload)
                return await self._applied_outcome(record.id)
            except AppendUncertainError:
                uncertain = True
            except PlatformError:
                if not uncertain:
                    raise
            try:
                async with asyncio.timeout(read_back_s):
                    return await self._applied_outcome(record.id)
            except TimeoutError:
                read_back_s = min(2 * read_back_s, MAX_READ_BACK_S)
                log.info(
                    "Appending record {} again after its outcome was not read back.",
                    record.id,
                )

    async def _applied_outcome(self, record_id: str) -> Outcome:
        while True:
            outcome = self._outcome_by_proposal.get(record_id)
            outcome = outcome or self._first_outcome(record_id)
            if outcome is not None:
                return outcome
            await self._changed.wait()

    def entries_after(self, offset: int, limit: int) -> tuple[Entry, ...]:
        """Return the entries right after an offset, none if they are not buffered.

        A peer without a complete state gets none: it needs a checkpoint.

        :param offset: last offset that the peer has applied, 0 while it is not ready
        :param limit: maximum number of entries
        """
        if not offset:
            return ()
        return self._relay.entries_after(offset, limit)

    def apply_entries(self, entries: Iterable[Entry]) -> None:
        """Apply entries from a peer as far as they are contiguous with the state."""
        for entry in entries:
            if entry.offset == self._state_machine.offset + 1:
                self._apply_entry(entry)
        self._notify()

    def checkpoint(self) -> bytes:
        """Return the encoded state for a peer, empty if it must not be installed."""
        if not self._ready or self._diverged:
            return b""
        return checkpoints.encode(self._state_machine.snapshot())

    def install_checkpoint(self, checkpoint: bytes) -> bool:
        """Install a newer state, and return whether it was installed.

        :param checkpoint: encoded state of a peer or from the log
        """
        snapshot = checkpoints.decode(checkpoint)
        if snapshot is None or not self._is_successor(snapshot):
            return False
        self._install(snapshot)
        return True

    def _is_successor(self, snapshot: Snapshot) -> bool:
        """Return whether a state is newer and includes all records applied here."""
        minimum_offset = self._state_machine.offset + int(self._ready)
        if self._diverged or snapshot.offset < minimum_offset:
            return False
        same = shares_history(self._state_machine, snapshot)
        if not same:
            log.error(
                "Refusing a state at offset {} that has a different history.",
                snapshot.offset,
            )
        return same

    def _install(self, snapshot: Snapshot) -> None:
        self._state_machine.restore(snapshot)
        self._uncertain_ids |= self._outcome_by_proposal.keys()
        self._ready = True
        self._notify()
