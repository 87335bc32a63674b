"""Steps for the journal."""

import asyncio

import async_solipsism
from behave import given, then, when

from auburnproxy.journal import Entry, Journal, Record
from auburnproxy.journal._codec import decode_record, encode_record
from auburnproxy.journal.checkpoint import CheckpointId, Part, part_record
from auburnproxy.journal.restoration import (
    Claim,
    RecoveryRecord,
    Restorations,
    claim_record,
)
from auburnproxy.membership import _wire
from features.fakes.log import FakeLog, LogPort
from features.fakes.notes import Notes
from features.machines.journal import MALFORMED, UNKNOWN_KIND, JournalMachine
from features.machines.runner import run_examples, run_virtual

SETTLE_S = 20
EXAMPLES = 25
WINDOW = 20
LONG_RECORDS = 1000
LONG_S = 600
STEPS = 30


class Process:
    def __init__(self, log, name, *, rank=0, required=()):
        self.port = LogPort(log)
        self.notes = Notes()
        self.journal = Journal(
            self.port,
            [self.notes],
            author=name,
            failure_domain=name,
            failure_domains=lambda: required,
            rank=lambda: rank,
            id_window=WINDOW,
        )

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
    context.lost = 0
    context.processes = [Process(log, "a"), Process(log, "b")]


def run_with(context, coroutine):
    async def run_scenario():
        tasks = [asyncio.create_task(p.journal.run()) for p in context.processes]
        result = await coroutine
        await asyncio.sleep(SETTLE_S)
        assert not any(task.done() for task in tasks), tasks
        return result

    return run_virtual(run_scenario())


@when("one of them proposes a record and two append responses are lost")
def lose_append_responses(context):
    first, _ = context.processes
    context.lost = first.port.lost_responses = 2
    first.port.hidden_records = 1
    context.outcome = run_with(context, first.propose(1, {}))


@then("both processes have applied the record once")
def applied_once(context):
    assert context.outcome.accepted
    log = context.processes[0].port.log
    assert not context.lost or len(log.payloads) >= 2, "no append was retried"
    for process in context.processes:
        assert process.notes.values == [(context.outcome.offset, 1)]


@when("both propose a change based on the same version")
def race(context):
    async def propose_both():
        first, second = context.processes
        return await asyncio.gather(
            first.propose(1, {"k": 0}), second.propose(2, {"k": 0})
        )

    context.outcomes = run_with(context, propose_both())


@then("one is accepted and both processes agree which")
def one_is_accepted(context):
    accepted = [outcome for outcome in context.outcomes if outcome.accepted]
    assert len(accepted) == 1, context.outcomes
    for process in context.processes:
        assert len(process.notes.values) == 1
        assert process.journal.version("k") == accepted[0].offset
        for outcome in context.outcomes:
            assert process.journal.outcome(outcome.id) == outcome


@when("a copy of an accepted record is appended beyond the id window")
def append_late_copy(context):
    async def propose_and_copy():
        first, _ = context.processes
        outcome = await first.propose(1, {})
        log = first.port.log
        payload = log.payloads[outcome.offset - 1]
        for _ in range(2 * WINDOW):
            log.add(b"other")
        log.add(payload)
        await asyncio.sleep(SETTLE_S)
        assert first.journal.offset == log.end - 1
        return outcome

    context.outcome = run_with(context, propose_and_copy())


@when("one of them is offered the first, the third and the second of 3 records")
def offer_out_of_order(context):
    async def offer():
        process = context.processes[0]
        for value in (0, 2, 1):
            record = Record(f"r{value}", "x", "notes.add", {"value": value}, {})
            process.journal.apply_entries([Entry(value + 1, record)])

    run_virtual(offer())


@then("it has applied the first and the second")
def applied_two(context):
    assert context.processes[0].notes.values == [(1, 0), (2, 1)]


@when("the log holds a malformed record, one of an unknown kind and a valid one")
def append_malformed(context):
    async def propose():
        first, _ = context.processes
        first.port.log.add(MALFORMED)
        first.port.log.add(UNKNOWN_KIND)
        return await first.propose(1, {})

    context.outcome = run_with(context, propose())


@when("one has read a long log and the other loses the log half way")
def lose_log_half_way(context):
    first, second = context.processes
    for _ in range(LONG_RECORDS):
        first.port.log.add(b"other")

    async def run_scenario():
        task = asyncio.create_task(first.journal.run())
        await first.propose(1, {})
        second.port.latency_s = 1
        other = asyncio.create_task(second.journal.run())
        await asyncio.sleep(1.5)
        second.port.disconnected = True
        await asyncio.sleep(SETTLE_S)
        assert not second.journal.ready
        entries = first.journal.entries_after(second.journal.offset, LONG_RECORDS)
        second.journal.apply_entries(entries)
        if not entries:
            second.journal.install_checkpoint(first.journal.checkpoint())
        assert not task.done() and not other.done()

    run_virtual(run_scenario())


@then("the other becomes ready with its peer's state")
def ready_with_state(context):
    first, second = context.processes
    assert second.journal.ready
    assert second.journal.offset == first.journal.offset
    assert second.notes.values == first.notes.values != []


@when("one of them needs 6 s for each answer and the other proposes a record")
def answer_late(context):
    first, second = context.processes

    async def propose():
        await asyncio.sleep(1)
        assert second.journal.up
        second.port.latency_s = 6
        await asyncio.sleep(5)
        context.up_during_delay = second.journal.up
        return await first.propose(1, {})

    context.outcome = run_with(context, propose())


@then("it reported the log as unavailable within 5 s")
def reported_unavailable(context):
    assert not context.up_during_delay


@when("a checkpoint part is encoded in a frame")
def encode_part(context):
    context.part = _wire.CheckpointPart(1, 3, bytes(range(256)))
    context.frame = _wire.encode(context.part)


@then("the peer decodes the same part")
def decoded_part(context):
    assert _wire.decode(context.frame) == context.part


@when("the log holds {entries}")
def record_log_entries(context, entries):
    context.restorations = Restorations()
    for log_offset, entry in enumerate(entries.split(), start=1):
        recovery_record = parse_entry(log_offset, entry)
        if recovery_record is not None:
            context.restorations.observe(recovery_record)


def parse_entry(log_offset, entry):
    if entry.startswith("c"):
        return RecoveryRecord(log_offset, "a", claim=Claim(int(entry[1:]), "a"))
    if entry.startswith("r"):
        offset, _, index = entry[1:].partition("/")
        return RecoveryRecord(
            log_offset, "a", checkpoint=restoration(int(offset)), part_index=int(index)
        )
    if entry == "p":
        return RecoveryRecord(log_offset, "a", checkpoint=CheckpointId(9, "d", 1))
    return None


def restoration(offset):
    return CheckpointId(offset, "d", 2, until=offset + 9, opening_offset=1)


@then("the valid restorations are {names}")
def compare_valid(context, names):
    offsets = (5, 7)
    valid = [
        f"r{o}"
        for o in offsets
        if context.restorations.is_valid(restoration(o), start=1)
    ]
    assert " ".join(valid or ["none"]) == names, valid


@given("three processes that have read {counts} of 3 records before all 3 expired")
def start_after_expiry(context, counts):
    context.loop = async_solipsism.EventLoop()
    context.required = {"0", "1", "2"}
    log = FakeLog()
    context.processes = [
        Process(log, str(place), rank=place, required=context.required)
        for place in range(3)
    ]
    context.tasks = []
    context.add_cleanup(end_tasks, context)
    run_tasks(context)
    run_for(context, 1)
    end_tasks(context, close=False)
    records = [Record(f"r{n}", "x", "notes.add", {"value": n}, {}) for n in range(3)]
    entries = [Entry(log.add(encode_record(r)), r) for r in records]
    for process, count in zip(context.processes, counts.split(), strict=True):
        call_in_loop(context, process.journal.apply_entries, entries[: int(count)])
    log.expire(log.end)
    log.add(b"other")


def run_tasks(context):
    context.tasks = [
        context.loop.create_task(p.journal.run()) for p in context.processes
    ]


def end_tasks(context, close=True):
    for task in context.tasks:
        task.cancel()
    run_for(context, 1)
    if close:
        context.loop.close()


def run_for(context, seconds):
    context.loop.run_until_complete(asyncio.sleep(seconds))


def call_in_loop(context, call, *arguments):
    async def run():
        return call(*arguments)

    return context.loop.run_until_complete(run())


@given("the log retains a restoration whose opening claim has expired")
def append_unjudgeable_restoration(context):
    log = context.processes[0].port.log
    claim_at = log.add(encode_record(claim_record(Claim(0, "x"), "x")))
    identity = CheckpointId(0, "d", 2, until=claim_at, opening_offset=claim_at)
    log.add(encode_record(part_record(Part(identity, 0, b""), "x")))
    log.expire(claim_at + 1)


@then("no process has appended a claim")
def no_claims(context):
    payloads = context.processes[0].port.log.payloads
    authors = [decode_record(p).author for p in payloads if b"journal.claim" in p]
    assert authors == ["x"], authors


@when("the restoration has expired as well")
def expire_restoration(context):
    log = context.processes[0].port.log
    log.expire(log.end)
    run_for(context, LONG_S)


@given("process {place} cannot reach the log")
def cut_off(context, place):
    if place != "none":
        context.processes[int(place)].port.disconnected = True


@given("no claim is required from the failure domain of 2")
def drop_required_domain(context):
    context.required.remove("2")


@when("the log is available for 10 minutes")
def run_ten_minutes(context):
    run_tasks(context)
    run_for(context, LONG_S)


@when("process {place} is reconnected for 10 minutes")
def connect_again(context, place):
    for process in context.processes:
        process.port.disconnected = False
    run_for(context, LONG_S)


@then("processes {places} follow the log with {count:d} of the records")
def processes_follow(context, places, count):
    required = [] if places == "none" else [int(place) for place in places.split()]
    journals = [p.journal for p in context.processes]
    assert [n for n, journal in enumerate(journals) if journal.up] == required
    for process in [context.processes[place] for place in required]:
        assert [value for _, value in process.notes.values] == list(range(count))
        assert process.journal.offset == process.port.log.end - 1
        assert process.journal.lost_ranges == journals[required[0]].lost_ranges


@then("process 2 keeps {count:d} of the records, reports divergence and rejects states")
def keeps_own_state(context, count):
    other, _, process = context.processes
    assert process.journal.diverged and not process.journal.up
    assert not call_in_loop(
        context, process.journal.install_checkpoint, other.journal.checkpoint()
    )
    assert not process.journal.checkpoint()
    assert [value for _, value in process.notes.values] == list(range(count))
    assert not call_in_loop(
        context, other.journal.install_checkpoint, process.journal.checkpoint()
    )


@given("four processes of the journal machine")
def start_machine(context):
    context.machine = JournalMachine()
    context.add_cleanup(context.machine.teardown)
    context.machine.start()
    context.machine.wait(12)


@when("2 records are accepted, read by some but not by their author, and expire")
def lose_records(context):
    context.machine.lose_tail(records=2, read=(0, 3, 2, 1), cut_off=None)


@when("a copy of the first is appended beyond the id window")
def append_copy(context):
    context.machine.arrive_again(back=2, blanks=41)


@then("within {seconds:d} s the author gets the first outcome or none")
def author_gets_first_outcome(context, seconds):
    context.machine.wait(seconds)
    context.machine.authors_are_told_what_was_folded()
    context.machine.states_are_the_list_folded_in_order()


@when("the journal machine runs random examples")
def search_machine(context):
    run_examples(JournalMachine, examples=EXAMPLES, steps=STEPS)


@when("the journal machine runs examples with seed {seed:d}")
def search_seed(context, seed):
    run_examples(JournalMachine, examples=50, steps=60, seed_value=seed)


@then("every state matched the log applied in order and none was rolled back")
def invariants_hold(context):
    """The machine's invariants are checked while the examples run."""
