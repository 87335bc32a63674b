"""The journal of one process: it reads, folds, appends and relays."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable, Mapping
from typing import Any
from uuid import uuid4

from loguru import logger

from ..errors import AppendUncertainError, OutcomeUnknownError, PlatformError
from ..platform import LogPage, LogService
from . import checkpoint as checkpoints
from ._codec import BLANK, decode_record, encode_record
from ._relay import Relay
from .fold import WINDOW, Fold
from .record import Entry, Outcome, Record
from .reducer import Reducer

PAGE_RECORDS = 512
POLL_S = 5.0
READ_MARGIN_S = 5.0
RETRY_S = 0.5
READ_BACK_S = 1.0
APPEND_S = 3.0

log = logger.bind(part="journal")


class Journal:
    """The platform's log folded into the state of the reducers.

    :param log: the platform's log service
    :param reducers: the slices' states, changed by this journal alone
    :param author: id of this process, unique for every start
    :param window: offsets for which ids are remembered, equal in all processes
    """

    def __init__(
        self,
        log: LogService,
        reducers: Iterable[Reducer],
        *,
        author: str,
        window: int = WINDOW,
    ) -> None:
        self._log = log
        self._author = author
        self._fold = Fold(reducers, window=window)
        self._relay = Relay()
        self._turn = asyncio.Event()
        self._up = False
        self._ready = False

    @property
    def offset(self) -> int:
        """Return the offset of the last folded record."""
        return self._fold.offset

    @property
    def up(self) -> bool:
        """Return whether the log answered the last time."""
        return self._up

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
        """Read and fold the log until cancelled."""
        while True:
            try:
                page = await self._read(self.offset + 1, wait_s=POLL_S)
            except PlatformError as error:
                self._lost(error)
                await asyncio.sleep(RETRY_S)
                continue
            self._up = True
            if page.start > self.offset + 1:
                await asyncio.sleep(RETRY_S)
                continue
            self._take(page)

    async def _read(self, offset: int, *, wait_s: float) -> LogPage:
        try:
            async with asyncio.timeout(wait_s + READ_MARGIN_S):
                return await self._log.read(offset, limit=PAGE_RECORDS, wait_s=wait_s)
        except TimeoutError as error:
            raise PlatformError("the log did not answer in time") from error

    def _lost(self, error: PlatformError) -> None:
        if self._up:
            log.warning("The log is away: {}", error)
        self._up = False

    def _take(self, page: LogPage) -> None:
        for kept in page.records:
            self._step(Entry(kept.offset, decode_record(kept.payload)))
        if page.end <= self.offset + 1:
            self._ready = True
        self._notify()

    def _step(self, entry: Entry) -> None:
        if entry.offset <= self.offset:
            return
        record = entry.record
        if checkpoints.part_of(record) is not None:
            record = BLANK
        self._relay.add(entry.offset, record)
        self._fold.step(Entry(entry.offset, record))

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
        record = Record(chosen, self._author, kind, body, expects, self.offset)
        try:
            async with asyncio.timeout(timeout_s):
                return await self._append_until_folded(record)
        except TimeoutError:
            raise OutcomeUnknownError(chosen) from None

    async def _append_until_folded(self, record: Record) -> Outcome:
        payload = encode_record(record)
        uncertain = False
        while True:
            try:
                await self._append(payload)
                return await self._folded(record.id)
            except AppendUncertainError:
                uncertain = True
            except PlatformError:
                if not uncertain:
                    raise
            try:
                async with asyncio.timeout(READ_BACK_S):
                    return await self._folded(record.id)
            except TimeoutError:
                log.info("Record {} is appended again.", record.id)

    async def _append(self, payload: bytes) -> None:
        try:
            async with asyncio.timeout(APPEND_S):
                await self._log.append(payload)
        except TimeoutError as error:
            raise AppendUncertainError("the append was not answered") from error

    async def _folded(self, record_id: str) -> Outcome:
        while (outcome := self.outcome(record_id)) is None:
            await self.changed(self.offset)
        return outcome

    def entries_after(self, offset: int, limit: int) -> tuple[Entry, ...]:
        """Return the entries right after an offset, none if they are not kept.

        :param offset: last offset that the peer has folded
        :param limit: greatest number of entries
        """
        return self._relay.after(offset, limit)

    def offer(self, entries: Iterable[Entry]) -> None:
        """Fold entries from a peer, as far as they follow on without a gap."""
        for entry in entries:
            if entry.offset == self.offset + 1:
                self._step(entry)
        self._notify()

    def checkpoint(self) -> bytes:
        """Return the whole state, for a peer or for the log."""
        return checkpoints.encode(self._fold.snapshot())

    def adopt(self, checkpoint: bytes) -> bool:
        """Take over a newer state, and say whether that was done.

        :param checkpoint: the state of a peer, or one read from the log
        """
        snapshot = checkpoints.decode(checkpoint)
        if snapshot is None or snapshot.offset <= self.offset:
            return False
        self._fold.restore(snapshot)
        self._relay.clear()
        self._ready = True
        self._notify()
        return True
