"""In-memory log that several daemons apply independently of each other."""

from __future__ import annotations

import asyncio

from auburnproxy.errors import PlatformError
from auburnproxy.journal import Entry, Outcome, Record


class FakeLog:
    """Entries shared by all fake journals."""

    def __init__(self):
        self.entries = []

    def append(self, record):
        entry = Entry(len(self.entries) + 1, record)
        self.entries.append(entry)
        return entry


class FakeJournal:
    """Applies the entries read from a fake log to reducers."""

    def __init__(self, log, *reducers):
        self.log = log
        self.up = True
        self.diverged = False
        self.ready = True
        self.offset = 0
        self._reducer_by_name = {reducer.name: reducer for reducer in reducers}
        self._outcome_by_id = {}

    def read(self, *, most=1_000_000):
        """Apply the next entries of the log, up to a number."""
        if self.up:
            self.apply_entries(self.log.entries[self.offset : self.offset + most])

    def apply_entries(self, entries):
        for entry in entries:
            if entry.offset == self.offset + 1:
                self._apply(entry)

    def _apply(self, entry):
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
            raise PlatformError("the log is unavailable")
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

    def install_checkpoint(self, checkpoint):
        return False
