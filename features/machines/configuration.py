"""Operators who race while the log and the links fail."""

from __future__ import annotations

import asyncio

import async_solipsism
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from auburnproxy.configuration import Lists, Mark, Plan
from auburnproxy.operators import Verdict
from features.fakes.site import Site

PLACES = 4
PICK = st.integers(0, PLACES - 1)
WITHIN_S = 8.0
SETTLE_S = 200.0
WAIT_S = 5.0


def lists_of(number):
    return Lists((Plan(f"plan{number}", ("0" * 64,), 1, 1, 1),), ())


class ConfigurationMachine(RuleBasedStateMachine):
    """No process goes back, every answer is true, all agree once healed."""

    def __init__(self):
        super().__init__()
        self.loop = async_solipsism.EventLoop()
        self.numbers = iter(range(1, 10_000))
        self.answers = {}
        self.open = {}
        self.newest = {}
        self.rejected = set()
        self.accepted = {}

    def run(self, coroutine):
        return self.loop.run_until_complete(coroutine)

    @initialize()
    def start(self):
        self.site = Site(self.loop, processes=PLACES)
        self.run(asyncio.sleep(1))

    @rule(pick=PICK, stale=st.booleans())
    def apply(self, pick, stale):
        number = next(self.numbers)
        process = self.site.processes[pick]
        version = process.journal.version("configuration") - int(stale)
        self.send(number, process, version)

    @rule(pick=PICK)
    def apply_again(self, pick):
        """The last change is sent again, to whatever process."""
        if not self.newest:
            return
        self.send(max(self.newest), self.site.processes[pick], None)

    def send(self, number, process, version):
        task = self.loop.create_task(self.answered(number, process, version))
        self.open[number, process.place] = task

    async def answered(self, number, process, version):
        answer = await process.changes.apply(
            lists_of(number), change_id=f"c{number}", version=version, wait_s=WAIT_S
        )
        self.newest[number] = answer
        if answer["verdict"] == Verdict.ACCEPTED:
            in_force = {
                p.domain
                for p in self.site.processes
                if p.configuration.version >= answer["version"]
            }
            assert in_force == set(self.site.domains), answer
        if answer["verdict"] in (Verdict.ACCEPTED, Verdict.PENDING):
            assert (
                self.accepted.setdefault(number, answer["version"])
                == (answer["version"])
            )
        if answer["verdict"] == Verdict.REJECTED:
            self.rejected.add(number)

    @rule(pick=PICK, out=st.booleans())
    def mark(self, pick, out):
        number = next(self.numbers)
        call = self.site.processes[pick].changes.mark(
            Mark("b", "", out), change_id=f"m{number}", version=None, wait_s=WAIT_S
        )
        self.open[number] = self.loop.create_task(call)

    @rule(pick=PICK, cut=st.booleans())
    def cut_log(self, pick, cut):
        self.site.cut_log(pick, cut)

    @rule(one=PICK, other=PICK, cut=st.booleans())
    def cut_link(self, one, other, cut):
        self.site.cut_link(one, other, cut)

    @rule(lag=st.integers(0, 2), lose=st.integers(0, 2), pick=PICK)
    def faulty_log(self, lag, lose, pick):
        port = self.site.processes[pick].port
        port.lag, port.lose_answers = lag, lose

    @rule()
    def outage(self):
        for place in range(PLACES):
            self.site.cut_log(place)

    @rule(pick=PICK)
    def restart(self, pick):
        self.run(self.site.restart(pick))

    @rule(pick=PICK)
    def expire(self, pick):
        """The log keeps nothing that some process has not read."""
        self.site.log.expire(self.site.processes[pick].journal.offset + 1)

    @rule(pick=PICK, giver=PICK)
    def offer_checkpoint(self, pick, giver):
        """A peer offers its state, which may be old."""
        process = self.site.processes[pick]

        async def adopt():
            process.journal.install_checkpoint(
                self.site.processes[giver].journal.checkpoint()
            )

        self.run(adopt())

    @rule(seconds=st.sampled_from([0.1, 1.0, 7.0, 40.0]))
    def wait(self, seconds):
        self.run(asyncio.sleep(seconds))

    @rule()
    def heal(self):
        """All that is accepted is in force everywhere soon, unless records are lost."""
        self.site.heal()
        journals = [p.journal for p in self.site.processes]
        kept = [j for j in journals if j.ready and j.offset + 1 >= self.site.log.start]
        self.run(asyncio.sleep(WITHIN_S if kept else SETTLE_S))
        versions = {
            (p.configuration.version, p.configuration.lists)
            for p in self.site.processes
            if not p.journal.diverged
        }
        assert len(versions) == 1, versions

    @invariant()
    def no_process_goes_back(self):
        for process in self.site.processes if hasattr(self, "site") else ():
            before = getattr(process, "before", 0)
            assert process.configuration.version >= before
            process.before = process.configuration.version

    @invariant()
    def answers_hold(self):
        for task in [t for t in self.open.values() if t.done() and t.exception()]:
            raise task.exception()
        assert not self.rejected & self.accepted.keys()
        names = {f"plan{number}" for number in self.rejected}
        for process in self.site.processes if hasattr(self, "site") else ():
            assert not names & process.configuration.plans_by_name.keys()

    def teardown(self):
        for task in self.open.values():
            task.cancel()
        self.run(asyncio.sleep(0))
        if hasattr(self, "site"):
            self.run(self.site.close())
        self.loop.close()


MACHINES = [ConfigurationMachine]
