"""Embeds the journal: two processes reduce one log to the same stock.

Run it with ``python -m examples.journal``. The log here is a list in memory; a
production deployment uses an adapter of the platform's log service.
"""

from __future__ import annotations

import asyncio
from typing import Any, ClassVar

from auburnproxy.external import LogPage, LogRecord, LogService
from auburnproxy.journal import Entry, Journal, Reducer

TAKE = "stock.take"


class ListLog(LogService):
    """Log service that keeps all records in memory."""

    def __init__(self) -> None:
        self._records: list[LogRecord] = []
        self._appended = asyncio.Condition()

    async def append(self, payload: bytes) -> int:
        """Append a record and return its offset."""
        async with self._appended:
            self._records.append(LogRecord(len(self._records) + 1, payload))
            self._appended.notify_all()
        return len(self._records)

    async def read(self, offset: int, *, limit: int, wait_s: float) -> LogPage:
        """Read records from an offset, waiting up to `wait_s` seconds for the first."""
        async with self._appended:
            try:
                async with asyncio.timeout(wait_s):
                    await self._appended.wait_for(lambda: len(self._records) >= offset)
            except TimeoutError:
                pass
        records = tuple(self._records[offset - 1 :][:limit])
        return LogPage(records, start=1, end=len(self._records) + 1)


class Stock(Reducer):
    """Number of rolls in stock; rejects a record that takes more than are left."""

    name: ClassVar[str] = "stock"

    def __init__(self, rolls: int) -> None:
        self.rolls = rolls

    def check(self, entry: Entry) -> str:
        """Return the code of a rejection, or an empty string to accept."""
        return "" if entry.record.body["rolls"] <= self.rolls else "sold_out"

    def apply(self, entry: Entry) -> None:
        """Take the rolls of an accepted record."""
        self.rolls -= entry.record.body["rolls"]

    def snapshot(self) -> Any:
        """Return the rolls that are left."""
        return self.rolls

    def restore(self, snapshot: Any) -> None:
        """Set the rolls that are left from a snapshot."""
        self.rolls = snapshot


async def main() -> None:
    """Let two processes compete for the last rolls."""
    log = ListLog()
    stocks = [Stock(rolls=5), Stock(rolls=5)]
    journals = [
        Journal(log, [stock], author=f"process-{number}")
        for number, stock in enumerate(stocks)
    ]
    run_tasks = [asyncio.create_task(journal.run()) for journal in journals]
    outcomes = await asyncio.gather(
        *(
            journal.propose(TAKE, {"rolls": 4}, expects={}, timeout_s=5.0)
            for journal in journals
        )
    )
    for journal, outcome in zip(journals, outcomes, strict=True):
        verdict = "accepted" if outcome.accepted else outcome.reason
        await journal.changed(1)
        print(f"offset {outcome.offset}: {verdict}")
    print(f"left: {[stock.rolls for stock in stocks]}")
    for task in run_tasks:
        task.cancel()
    await asyncio.gather(*run_tasks, return_exceptions=True)


if __name__ == "__main__":
    asyncio.run(main())
