"""Steps for answers that arrive after newer records."""

import asyncio
import time

import async_solipsism
from behave import given, then, when

from auburnproxy.store import Change, EraChangePolicy, Follower
from auburnproxy.store.follower import TopicUpdate
from features.fakes.held_store import HeldStore
from features.fakes.pausing_sender import RecordingDecisions
from features.fakes.store import FakeStore, FakeTopics, null_decisions
from features.machines.late_reads import LateReadMachine
from features.machines.runner import close_loop, run_examples
from features.steps.routed import run

TOPIC = "servers"
SHORT_S = 0.02
WAIT_S = 5.0


def open_loop(context):
    context.loop = async_solipsism.EventLoop()
    context.add_cleanup(close_loop, context.loop)
    context.topics = FakeTopics()


def call(context, function, *arguments, **options):
    """Call a function while the loop runs."""

    async def run_it():
        return function(*arguments, **options)

    return run(context, run_it())


async def load(topics, store=None, decisions=None):
    """Return a follower that has read the topic once."""
    follower = Follower(
        store or FakeStore(topics), TOPIC, decisions or null_decisions()
    )
    await follower.read_once(wait=False)
    return follower


@given("a daemon that reads the store and has the keys a and b")
def start_reader(context):
    open_loop(context)

    async def start():
        context.topics.append(TOPIC, [Change("a", b"1"), Change("b", b"1")])
        context.store = HeldStore(context.topics)
        context.decisions = RecordingDecisions()
        context.follower = await load(context.topics, context.store, context.decisions)
        context.reported = []
        context.follower.on_change = context.reported.append

    run(context, start())


@given("its next read gets a record of b, whose answer is held up")
def hold_read(context):
    async def hold():
        context.topics.append(TOPIC, [Change("b", b"2")])
        context.store.holding = True
        context.read = asyncio.create_task(context.follower.read_once(wait=False))
        await asyncio.sleep(SHORT_S)
        context.store.holding = False

    run(context, hold())


@when("{removal} tells it that b was deleted, and then the answer arrives")
def overtake(context, removal):
    async def play():
        context.topics.append(TOPIC, [Change("b", b"")])
        if removal == "a later read of its own":
            await context.follower.read_once(wait=False)
        else:
            peer = await load(context.topics)
            position = -1 if removal == "a complete copy of a peer" else 2
            if position >= 0:
                peer = Follower(FakeStore(context.topics), TOPIC, null_decisions())
                peer.apply_update(context.follower.changes_since(-1))
                await peer.read_once(wait=False)
            update = peer.changes_since(position)
            assert update.complete == (position < 0), update
            context.follower.apply_update(update)
        assert set(context.follower.by_key) == {"a"}
        context.store.release()
        await context.read

    run(context, play())


@then("it has the key a only, and has reported b as deleted once")
def check_deleted(context):
    assert set(context.follower.by_key) == {"a"}, context.follower.by_key
    deleted = [c for c in context.reported if c.key == "b" and not c.value]
    assert len(deleted) == 1 and context.reported[-1] is deleted[0], context.reported


@then("it gives a daemon that starts the key a only")
def check_copy(context):
    update = call(context, context.follower.changes_since, -1)
    assert [change.key for change in update.changes] == ["a"], update


@then("the log says that the read was overtaken")
def check_log(context):
    lines = [f for _, kind, f in context.decisions.lines if kind == "read_overtaken"]
    assert [(line["skipped"], line["topic"]) for line in lines] == [(1, TOPIC)], lines


@then("a new record of b reaches it with its next read")
def check_new(context):
    context.topics.append(TOPIC, [Change("b", b"3")])
    run(context, context.follower.read_once(wait=False))
    assert context.follower.by_key["b"].value == b"3"


@when("b is deleted, and a peer that kept it sends its whole copy at a later end")
def take_wrong_copy(context):
    kept = tuple(context.follower.by_key.values())
    context.topics.append(TOPIC, [Change("b", b"")])
    run(context, context.follower.read_once(wait=False))
    end = context.follower.end
    update = TopicUpdate(kept, end + 1, complete=True)
    call(context, context.follower.apply_update, update)


@when("it has lost b, and the store no longer retains the records that it asks for")
def lose_key(context):
    del context.follower._by_key["b"]
    context.topics.append(TOPIC, [Change("a", b"2")])
    context.topics.expire(TOPIC)
    run(context, context.follower.read_once(wait=False))


@then("it has both keys")
def check_both(context):
    assert set(context.follower.by_key) == {"a", "b"}


@given("two daemons, of which one carries a key over that the other saw deleted")
def enter_era(context):
    open_loop(context)
    context.topics.era = 1

    def follower():
        policy = EraChangePolicy.KEEP_MISSING
        store = FakeStore(context.topics)
        return Follower(store, TOPIC, null_decisions(), era_policy=policy)

    async def play():
        first, second = follower(), follower()
        context.topics.append(TOPIC, [Change("a", b"1")])
        await first.read_once(wait=False)
        context.topics.append(TOPIC, [Change("x", b"1")])
        await second.read_once(wait=False)
        context.topics.restore_older_copy(1)
        # The first read in an era shows it, the second one loads the topic.
        for each in (first, second):
            await each.read_once(wait=False)
            await each.read_once(wait=False)
        assert "x" in second.by_key and "x" not in first.by_key
        changes = [Change("x", b""), Change("a", b"2"), Change("c", b"1")]
        context.topics.append(TOPIC, changes)
        await first.read_once(wait=False)
        assert second.previous_era_end > first.previous_era_end
        assert second.end < first.end
        return first, second

    context.daemons = run(context, play())


@when("the first one sends its copy, which is behind, to the other")
def send_older_copy(context):
    first, second = context.daemons
    position = first.previous_era_end
    update = call(context, second.changes_since, first.end, previous_era_end=position)
    assert update.complete and update.end < first.end, update
    call(context, first.apply_update, update)
    assert first.previous_era_end == second.previous_era_end


@then("the other daemon does not have the key")
def check_previous(context):
    assert set(context.daemons[0].by_key) == {"a", "c"}, context.daemons[0].by_key


@then("a third daemon gets all that the other one has, from any position")
def check_third(context):
    first, _ = context.daemons
    for position in range(first.end + 1):
        update = call(context, first.changes_since, position)
        newest = {change.key: change for change in update.changes}
        for key, change in first.by_key.items():
            if change.offset >= position:
                assert newest.get(key) == change, (position, update)


@given("the first daemon's reads are held up once {name} has registered again")
def hold_answers(context, name):
    daemon = context.site.daemons[0]
    store, context.released = daemon._store, asyncio.Event()
    read, context.holds = store.read, asyncio.Event()

    async def read_late(topic, offset, *, wait_s):
        page = await read(topic, offset, wait_s=wait_s)
        if topic == TOPIC and any(change.key == name for change in page.changes):
            context.holds.set()
            await context.released.wait()
        return page

    async def hold():
        store.read = read_late
        context.site.register(name, service="plain", sequence=2)
        await asyncio.wait_for(context.holds.wait(), WAIT_S)

    run(context, hold())


@when("{name} is deleted, and the reads end after the second daemon's records came")
def delete_registration(context, name):
    daemon = context.site.daemons[0]

    async def play():
        context.site.store.put(f"keyed.{TOPIC}", name, None)
        until = time.monotonic() + WAIT_S
        while name in daemon.directory.hosts:
            assert time.monotonic() < until, "no records came from the second daemon"
            await asyncio.sleep(SHORT_S)
        context.released.set()
        await asyncio.sleep(0.5)

    run(context, play())


@when("reads, loads and copies of peers arrive late and out of order")
def choose_machine(context):
    context.machine = LateReadMachine


@then("no daemon ever has what the log says otherwise")
def run_machine(context):
    run_examples(context.machine, examples=150, steps=40)
