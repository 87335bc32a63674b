"""Stateful test: searches for a second run of a key, or a false "not run"."""

from __future__ import annotations

import asyncio
from itertools import count

import async_solipsism
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from auburnproxy.errors import Ran, RefusalError
from auburnproxy.upstreams.service import PlainCall
from features.fakes.ledger import FakeDaemon, FakeLog, FakeOrderService

DAEMONS = 3
KEYS = ["k0", "k1"]
daemons = st.integers(0, DAEMONS - 1)
RECOVERY_S = 60.0
TROUBLES = ["freeze", "thaw", "kill", "adopt", "leave"]
IS_OTHER_BODY = st.integers(0, 5).map(lambda n: n == 5)
PAUSES_MS = st.sampled_from([0, 1, 11, 25, 60, 600])
APPEND_FAULTS = ["", "refused", "lost", "late", "silent", "cut", "cut unnoticed"]


class LedgerMachine(RuleBasedStateMachine):
    """Several daemons, one log, one service; the oracle counts the runs of each key."""

    def __init__(self):
        super().__init__()
        self.loop = async_solipsism.EventLoop()
        self.numbers = count()
        self.reported_not_run = set()
        self.failures = []
        self.may_stay_claimed = False

    @initialize()
    def begin(self):
        async def make():
            self.log, self.service = FakeLog(), FakeOrderService()
            self.daemons = [FakeDaemon(self.log, f"d{i}") for i in range(DAEMONS)]

        self.loop.run_until_complete(make())

    @rule(at=daemons, key=st.sampled_from(KEYS), odd=IS_OTHER_BODY, ms=PAUSES_MS)
    def order(self, at, key, odd, ms):
        body = b"y" if odd else b"x"
        self.loop.run_until_complete(self.start(self.daemons[at], key, body))
        self.advance(ms)

    async def start(self, daemon, key, body=b"x"):
        daemon.start(self.watched(self.request(daemon, key, body)))

    async def watched(self, work):
        try:
            await work
        except AssertionError as error:
            self.failures.append(error)

    async def request(self, daemon, key, body):
        request_id = f"r{next(self.numbers)}"
        call = PlainCall(request_id, "POST", "/orders", body, "", key, 30.0)
        try:
            answer = await daemon.runner.run(
                "p", call, daemon.dispatch_to(self.service)
            )
        except RefusalError as refusal:
            self.refused(request_id, key, body, refusal, daemon)
            return refusal
        assert self.service.runs[key, body] == 1, "an answer without a run"
        assert answer.body.decode() in self.service.run_ids, "another call's answer"
        return answer

    def refused(self, request_id, key, body, refusal, daemon):
        if daemon.killed:
            return
        if refusal.ran is Ran.NO:
            assert self.service.runs[key, body] == 0, (
                "reported as not run, but it has run"
            )
            self.reported_not_run.add(request_id)

    def advance(self, ms):
        self.loop.run_until_complete(asyncio.sleep(ms / 1000))
        self.check()

    @rule(at=daemons, fault=st.sampled_from(APPEND_FAULTS), ms=PAUSES_MS)
    def log_trouble(self, at, fault, ms):
        daemon = self.daemons[at]
        cut = fault.startswith("cut")
        daemon.journal.fault = "" if cut else fault
        self.loop.call_soon(daemon.set_cut, cut, fault == "cut")
        self.advance(ms)

    @rule(fault=st.sampled_from(["", "unreachable", "lost answer"]))
    def shop_trouble(self, fault):
        self.service.fault = fault
        self.may_stay_claimed |= fault == "lost answer"

    @rule(at=daemons, trouble=st.sampled_from(TROUBLES))
    def daemon_trouble(self, at, trouble):
        getattr(self, trouble)(self.daemons[at], at)
        self.advance(0)

    def freeze(self, daemon, at):
        daemon.running.clear()

    def thaw(self, daemon, at):
        daemon.running.set()

    def leave(self, daemon, at):
        """Cancel the requests at a daemon; those in progress may have run."""
        self.may_stay_claimed = True
        for task in list(daemon.tasks):
            task.cancel()

    def kill(self, daemon, at):
        self.may_stay_claimed = True

        async def replace():
            daemon.kill()
            self.daemons[at] = FakeDaemon(self.log, f"d{at}.{next(self.numbers)}")

        self.loop.run_until_complete(replace())

    def adopt(self, daemon, at):
        """Restore the next daemon from this one's snapshot instead of the log."""
        source, target = daemon.journal, self.daemons[(at + 1) % DAEMONS].journal
        if target.offset < source.offset:
            target.ledger.restore(source.ledger.snapshot())
            target.offset = source.offset
            target.outcome_by_id = dict(source.outcome_by_id)

    def check(self):
        assert not self.failures, self.failures[0]
        for (key, body), runs in self.service.runs.items():
            assert runs <= 1, f"{key} {body!r} ran {runs} times"
        keys = [key for key, _ in self.service.runs]
        assert len(keys) == len(set(keys)), "one key ran two calls"
        assert not self.reported_not_run & self.service.run_ids, (
            "ran after it was reported as not run"
        )

    def teardown(self):
        try:
            if hasattr(self, "daemons"):
                self.loop.run_until_complete(self.recover())
                self.check()
        finally:
            for task in asyncio.all_tasks(self.loop):
                task.cancel()
            self.loop.run_until_complete(asyncio.sleep(0))
            self.loop.close()

    async def recover(self):
        self.service.fault = ""
        for daemon in self.daemons:
            daemon.running.set()
            daemon.journal.fault = ""
            daemon.set_cut(False)
        await asyncio.sleep(RECOVERY_S)
        for key in KEYS:
            outcomes = set()
            for daemon in self.daemons:
                outcome = await self.request(daemon, key, b"x")
                outcomes.add(getattr(outcome, "body", None) or outcome.code)
                await asyncio.sleep(1)
            assert len(outcomes) == 1, f"daemons disagree on {key}: {outcomes}"
            assert self.may_stay_claimed or outcomes != {"outcome_unknown"}, (
                f"{key} stays claimed"
            )


MACHINES = (LedgerMachine,)
