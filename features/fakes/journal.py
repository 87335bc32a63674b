"""A log that several daemons fold, each at its own pace and through its own cuts."""

from __future__ import annotations

import asyncio

from auburnproxy.errors import PlatformError
from auburnproxy.journal import Entry, Outcome, Record


class FakeLog:
    """The entries that all fake journals share."""

    def __init__(self):
        self.entries = []

    def append(self, record):
        entry = Entry(len(self.entries) + 1, record)
        self.entries.append(entry)
        return entry


class FakeJournal:
    """Folds a fake log into reducers as far as it has read."""

    def __init__(self, log, *reducers):
        self.log = log
        self.up = True
        self.diverged = False
        self.ready = True
        self.offset = 0
        self._reducer_by_name = {reducer.name: reducer for reducer in reducers}
        self._outcome_by_id = {}

    def read(self, *, most=1_000_000):
        """Fold what the log has, up to a number of entries."""
        if self.up:
            self.offer(self.log.entries[self.offset : self.offset + most])

    def offer(self, entries):
        for entry in entries:
            if entry.offset == self.offset + 1:
                self._fold(entry)

    def _fold(self, entry):
        self.offset = entry.offset
        reducer = self._reducer_by_name.get(entry.record.kind.partition(".")[0])
        if reducer is None or entry.record.id in self._outcome_by_id:
            return
        reason = reducer.check(entry)
        if not reason:
            reducer.apply(entry)
        outcome = Outcome(entry.record.id, entry.offset, not reason, reason)
        self._outcome_by_id[entry.record.id] = outcome

    async def propose(self, kind, body, *, expects, timeout_s, record_id=""):
        if not self.up:
            raise PlatformError("the log is away")
        record_id = record_id or f"{kind}/{len(self.log.entries)}"
        self.log.append(Record(record_id, "", kind, body, expects))
        await asyncio.sleep(0)
        self.read()
        return self._outcome_by_id[record_id]

    async def run(self):
        while True:
            self.read()
            await asyncio.sleep(0.02)

    def entries_after(self, offset, limit):
        return tuple(self.log.entries[offset : min(offset + limit, self.offset)])

    def checkpoint(self):
        return b""

    def adopt(self, checkpoint):
        return False
