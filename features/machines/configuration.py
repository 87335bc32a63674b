"""Concurrent operators' changes while the log and the links fail."""

from __future__ import annotations

import asyncio

import async_solipsism
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from auburnproxy.configuration import Lists, Mark, Plan
from auburnproxy.operators import Verdict
from features.fakes.cluster import Cluster

PROCESSES = 4
PICK = st.integers(0, PROCESSES - 1)
CONVERGE_S = 8.0
SETTLE_S = 200.0
WAIT_S = 5.0


def lists_of(number):
    return Lists((Plan(f"plan{number}", ("0" * 64,), 1, 1, 1),), ())


class ConfigurationMachine(RuleBasedStateMachine):
    """No process is rolled back, responses are correct, all converge once healed."""

    def __init__(self):
        super().__init__()
        self.loop = async_solipsism.EventLoop()
        self.numbers = iter(range(1, 10_000))
        self.answers = {}
        self.tasks_by_key = {}
        self.answers_by_number = {}
        self.rejected_numbers = set()
        self.version_by_number = {}

    def run(self, coroutine):
        return self.loop.run_until_complete(coroutine)

    @initialize()
    def start(self):
        self.cluster = Cluster(self.loop, processes=PROCESSES)
        self.run(asyncio.sleep(1))

    @rule(pick=PICK, stale=st.booleans())
    def apply(self, pick, stale):
        number = next(self.numbers)
        process = self.cluster.processes[pick]
        version = process.journal.version("configuration") - int(stale)
        self.send(number, process, version)

    @rule(pick=PICK)
    def apply_again(self, pick):
        """The last change is sent again, to any process."""
        if not self.answers_by_number:
            return
        self.send(max(self.answers_by_number), self.cluster.processes[pick], None)

    def send(self, number, process, version):
        task = self.loop.create_task(self.apply_and_check(number, process, version))
        self.tasks_by_key[number, process.place] = task

    async def apply_and_check(self, number, process, version):
        answer = await process.changes.apply(
            lists_of(number), change_id=f"c{number}", version=version, wait_s=WAIT_S
        )
        self.answers_by_number[number] = answer
        if answer["verdict"] == Verdict.ACCEPTED:
            in_force = {
                p.domain
                for p in self.cluster.processes
                if p.configuration.version >= answer["version"]
            }
            assert in_force == set(self.cluster.domains), answer
        if answer["verdict"] in (Verdict.ACCEPTED, Verdict.PENDING):
            assert (
                self.version_by_number.setdefault(number, answer["version"])
                == (answer["version"])
            )
        if answer["verdict"] == Verdict.REJECTED:
            self.rejected_numbers.add(number)

    @rule(pick=PICK, out=st.booleans())
    def mark(self, pick, out):
        number = next(self.numbers)
        call = self.cluster.processes[pick].changes.mark(
            Mark("b", "", out), change_id=f"m{number}", version=None, wait_s=WAIT_S
        )
        self.tasks_by_key[number] = self.loop.create_task(call)

    @rule(pick=PICK, cut=st.booleans())
    def cut_log(self, pick, cut):
        self.cluster.cut_log(pick, cut)

    @rule(one=PICK, other=PICK, cut=st.booleans())
    def cut_link(self, one, other, cut):
        self.cluster.cut_link(one, other, cut)

    @rule(lag=st.integers(0, 2), lose=st.integers(0, 2), pick=PICK)
    def faulty_log(self, lag, lose, pick):
        port = self.cluster.processes[pick].port
        port.hidden_records, port.lost_responses = lag, lose

    @rule()
    def outage(self):
        for place in range(PROCESSES):
            self.cluster.cut_log(place)

    @rule(pick=PICK)
    def restart(self, pick):
        self.run(self.cluster.restart(pick))

    @rule(pick=PICK)
    def expire(self, pick):
        """The log expires all records that one process has read."""
        self.cluster.log.expire(self.cluster.processes[pick].journal.offset + 1)

    @rule(pick=PICK, giver=PICK)
    def offer_checkpoint(self, pick, giver):
        """A peer offers its state, which may be outdated."""
        process = self.cluster.processes[pick]

        async def install_checkpoint():
            process.journal.install_checkpoint(
                self.cluster.processes[giver].journal.checkpoint()
            )

        self.run(install_checkpoint())

    @rule(seconds=st.sampled_from([0.1, 1.0, 7.0, 40.0]))
    def wait(self, seconds):
        self.run(asyncio.sleep(seconds))

    @rule()
    def heal(self):
        """Accepted changes are soon in force everywhere, unless records are lost."""
        self.cluster.heal()
        journals = [p.journal for p in self.cluster.processes]
        kept = [
            j for j in journals if j.ready and j.offset + 1 >= self.cluster.log.start
        ]
        self.run(asyncio.sleep(CONVERGE_S if kept else SETTLE_S))
        versions = {
            (p.configuration.version, p.configuration.lists)
            for p in self.cluster.processes
            if not p.journal.diverged
        }
        assert len(versions) == 1, versions

    @invariant()
    def no_process_goes_back(self):
        for process in self.cluster.processes if hasattr(self, "cluster") else ():
            before = getattr(process, "before", 0)
            assert process.configuration.version >= before
            process.before = process.configuration.version

    @invariant()
    def answers_hold(self):
        for task in [
            t for t in self.tasks_by_key.values() if t.done() and t.exception()
        ]:
            raise task.exception()
        assert not self.rejected_numbers & self.version_by_number.keys()
        names = {f"plan{number}" for number in self.rejected_numbers}
        for process in self.cluster.processes if hasattr(self, "cluster") else ():
            assert not names & process.configuration.plans_by_name.keys()

    def teardown(self):
        for task in self.tasks_by_key.values():
            task.cancel()
        self.run(asyncio.sleep(0))
        if hasattr(self, "cluster"):
            self.run(self.cluster.close())
        self.loop.close()


MACHINES = [ConfigurationMachine]
