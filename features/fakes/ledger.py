"""Fake daemons with ledgers over one log that lags, loses answers and fails."""

from __future__ import annotations

import asyncio
from collections import Counter
from itertools import count

import msgspec

from auburnproxy.errors import OutcomeUnknownError, PlatformError, Ran, UpstreamError
from auburnproxy.journal import Entry, Outcome, Record
from auburnproxy.ledger import AtMostOnceRunner, Ledger
from auburnproxy.upstreams.service import PlainAnswer

APPEND_S = 0.01
FOLD_LAG_S = 0.01


class FakeLog:
    """Records in offset order; readers ignore a repeated id."""

    def __init__(self):
        self.records = []
        self.readers = []

    def append(self, record):
        self.records.append(record)
        for journal in self.readers:
            asyncio.get_running_loop().call_later(FOLD_LAG_S, journal.fold)


class FakeJournal:
    """The journal of one daemon; ``fault`` determines the outcome of its appends.

    ``""`` appends, ``refused`` fails without appending, ``lost`` appends but loses
    the answer, ``late`` appends after the author's timeout, ``silent`` neither
    appends nor answers.
    """

    def __init__(self, log, author, ledger):
        self.log, self.author, self.ledger = log, author, ledger
        self.up = True
        self.fault = ""
        self.cut = False
        self.dead = False
        self.outcome_by_id = {}
        self.offset = 0
        self._folded = asyncio.Event()
        self._never = asyncio.Event()
        self._ids = count()
        log.readers.append(self)
        self.fold()

    def fold(self):
        if self.cut:
            return
        for record in self.log.records[self.offset :]:
            self.offset += 1
            if record.id in self.outcome_by_id:
                continue
            entry = Entry(self.offset, record)
            reason = self.ledger.check(entry)
            if not reason:
                self.ledger.apply(entry)
            outcome = Outcome(record.id, self.offset, not reason, reason)
            self.outcome_by_id[record.id] = outcome
        self._folded.set()

    async def propose(self, kind, body, *, expects, timeout_s, record_id=""):
        if self.dead:
            await self._never.wait()
        chosen = record_id or f"{self.author}-{next(self._ids)}"
        packed = msgspec.msgpack.decode(msgspec.msgpack.encode(body))
        record = Record(chosen, self.author, kind, packed, expects)
        await asyncio.sleep(APPEND_S)
        fault = self.fault
        if fault == "refused":
            raise PlatformError("the log is unavailable")
        if fault == "late":
            loop = asyncio.get_running_loop()
            loop.call_later(timeout_s * 1.5, self.log.append, record)
        elif fault != "silent":
            self.log.append(record)
        try:
            async with asyncio.timeout(timeout_s):
                while fault or chosen not in self.outcome_by_id:
                    self._folded.clear()
                    await self._folded.wait()
        except TimeoutError:
            raise OutcomeUnknownError(chosen) from None
        return self.outcome_by_id[chosen]


class FakeOrderService:
    """A service that records every call that reaches it."""

    def __init__(self):
        self.runs = Counter()
        self.run_ids = set()
        self.fault = ""

    async def call(self, call):
        if self.fault == "unreachable":
            raise UpstreamError("refused", ran=Ran.NO)
        self.runs[call.idempotency_key, call.body] += 1
        self.run_ids.add(call.request_id)
        fault = self.fault
        await asyncio.sleep(0.02)
        if fault == "lost answer":
            raise UpstreamError("closed")
        return PlainAnswer(200, "text/plain", call.request_id.encode())


class FakeDaemon:
    """A ledger with its journal and runner; it can be killed and paused."""

    def __init__(self, log, name):
        self.ledger = Ledger()
        self.journal = FakeJournal(log, name, self.ledger)
        self.runner = AtMostOnceRunner(self.ledger, self.journal, claim_timeout_s=0.5)
        self.running = asyncio.Event()
        self.running.set()
        self.tasks = set()
        self.killed = False

    def set_cut(self, cut, noticed=True):
        self.journal.cut = cut
        self.journal.up = not (cut and noticed)
        self.journal.fold()

    def start(self, work):
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def dispatch_to(self, service):
        async def dispatch(call):
            await self.running.wait()
            return await service.call(call)

        return dispatch

    def kill(self):
        self.killed = self.journal.dead = True
        for task in list(self.tasks):
            task.cancel()
