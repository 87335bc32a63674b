"""Steps for the journal."""

import asyncio

from behave import given, then, when

from auburnproxy.journal import Journal
from features.fakes.log import FakeLog, LogPort
from features.fakes.notes import Notes
from features.machines.journal import JournalMachine
from features.machines.search import run_virtual, search

SETTLE_S = 20
EXAMPLES = 25
STEPS = 30


class Process:
    def __init__(self, log, name):
        self.port = LogPort(log)
        self.notes = Notes()
        self.journal = Journal(self.port, [self.notes], author=name)

    async def propose(self, value, expects, record_id=""):
        return await self.journal.propose(
            "notes.add",
            {"value": value},
            expects=expects,
            timeout_s=30,
            record_id=record_id,
        )


@given("two processes on one log")
def start(context):
    log = FakeLog()
    context.processes = [Process(log, "a"), Process(log, "b")]


def run_with(context, coroutine):
    async def play():
        tasks = [asyncio.create_task(p.journal.run()) for p in context.processes]
        result = await coroutine
        await asyncio.sleep(SETTLE_S)
        assert not any(task.done() for task in tasks), tasks
        return result

    return run_virtual(play())


@when("one of them proposes a record and its answer is lost twice")
def lose(context):
    first, _ = context.processes
    first.port.lose_answers = 2
    first.port.lag = 1
    context.outcome = run_with(context, first.propose(1, {}))


@then("both processes have folded the record once")
def folded_once(context):
    assert context.outcome.accepted
    log = context.processes[0].port.log
    assert len(log.payloads) >= 2, "no append was repeated"
    for process in context.processes:
        assert process.notes.values == [(context.outcome.offset, 1)]


@when("both propose a change of the same version")
def race(context):
    async def propose_both():
        first, second = context.processes
        return await asyncio.gather(
            first.propose(1, {"k": 0}), second.propose(2, {"k": 0})
        )

    context.outcomes = run_with(context, propose_both())


@then("one is accepted and both processes agree which")
def one_wins(context):
    accepted = [outcome for outcome in context.outcomes if outcome.accepted]
    assert len(accepted) == 1, context.outcomes
    for process in context.processes:
        assert len(process.notes.values) == 1
        assert process.journal.version("k") == accepted[0].offset
        for outcome in context.outcomes:
            assert process.journal.outcome(outcome.id) == outcome


@when("the journal machine is searched")
def search_machine(context):
    search(JournalMachine, examples=EXAMPLES, steps=STEPS)


@then("every state was the list folded in order and none went back")
def searched(context):
    """The machine's invariants hold, or the search would have failed."""
