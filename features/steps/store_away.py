"""Steps for calls to a store that is away."""

import asyncio
import json
import random
from bisect import bisect_left

import async_solipsism
import msgspec
from behave import given, then, when

from auburnproxy.errors import PlatformError
from auburnproxy.formation.leader_election import LeaderElection
from auburnproxy.formation.registry import TOPIC as REPLICAS_TOPIC
from auburnproxy.formation.registry import ReplicaRegistry
from auburnproxy.heartbeats import DaemonRecord, Heartbeat, PeerGroup
from auburnproxy.store import (
    BusyError,
    CallPacing,
    Change,
    Follower,
    PacedStore,
    PausedError,
    PauseRange,
)
from auburnproxy.telemetry import Telemetry
from auburnproxy.telemetry.decisions import DecisionLog
from features.fakes.store import FakeStore, FakeTopics, devnull, null_decisions

TOPICS = {"op": 0.8, "servers": 0.0, "replicas": 2.5}
"""Seconds that a read of each topic waits for a record."""
SERVERS_PAUSE_S = 0.7
CALM_S = 8.0
LOCAL_INTERVAL_S, REMOTE_INTERVAL_S = 0.35, 1.4
SILENT_S = 1.0
POLL_S = 0.05


async def until(holds):
    """Wait until a condition holds, for 10 s at most."""
    for _ in range(round(10 / POLL_S)):
        if holds():
            return
        await asyncio.sleep(POLL_S)


class KindLog(DecisionLog):
    """A decision log that keeps the kinds of its lines."""

    def __init__(self):
        super().__init__("test", descriptor=devnull())
        self.kinds = []

    def belief(self, kind, **inputs):
        self.kinds.append(kind)


class AwayStore(FakeStore):
    """One daemon's connection, which may be turned away; notes when calls are made."""

    def __init__(self, topics):
        super().__init__(topics)
        self.called_at = []
        self.refused_at = []
        self.failure = ""

    async def _round_trip(self):
        loop = asyncio.get_running_loop()
        self.called_at.append(loop.time())
        await asyncio.sleep(0.004)
        if not self.failure:
            return
        if self.failure == "does not answer":
            await asyncio.sleep(SILENT_S)
        self.refused_at.append(loop.time())
        if self.failure.startswith("is busy"):
            _, _, asked = self.failure.partition("Retry-After ")
            raise BusyError(503, float(asked) if asked else None)
        raise PlatformError("connection reset")

    def turn_away(self, failure):
        """Fail each call from now on in a way, empty for none."""
        self.failure, self.rejecting = failure, bool(failure)


class AwayDaemon:
    """The followers of a daemon and its peer group; messages are method calls."""

    def __init__(self, fleet, name, domain):
        self.name, self.domain = name, domain
        self.random = random.Random(name)
        self.log = KindLog()
        self.store = AwayStore(fleet.topics)
        self.pacing = CallPacing(
            self.log,
            Telemetry(),
            pauses=lambda: self.peer_group.store_pauses,
            random=self.random,
        )
        paced = PacedStore(self.store, self.pacing)
        self.followers = {
            topic: Follower(
                paced,
                topic,
                null_decisions(),
                wait_s=wait_s,
                pause_s=lambda wait_s=wait_s: 0.0 if wait_s else SERVERS_PAUSE_S,
                should_read=self.should_read,
                pacing=self.pacing,
            )
            for topic, wait_s in TOPICS.items()
        }
        records = Follower(self.store, "daemons", null_decisions())
        self.peer_group = PeerGroup(
            name,
            DaemonRecord(name, domain, name),
            records,
            self.make_heartbeat,
            null_decisions(),
        )
        for other, other_domain in fleet.domain_by_name.items():
            record = DaemonRecord(other, other_domain, other)
            records.on_change(Change(other, msgspec.json.encode(record)))

    def reachable(self):
        return all(f.store_reachable for f in self.followers.values())

    def should_read(self):
        return self.pacing.probe_due or self.peer_group.should_read_store(
            store_reachable=self.reachable()
        )

    def make_heartbeat(self):
        ends = {topic: f.end for topic, f in self.followers.items()}
        return Heartbeat(self.name, False, self.reachable(), True, {}, ends, [], [])

    def holds(self, version):
        wanted = str(version).encode()
        return all(
            "key" in f.by_key and f.by_key["key"].value == wanted
            for f in self.followers.values()
        )

    async def send(self, fleet, interval_s, *, local):
        await asyncio.sleep(self.random.uniform(0, interval_s))
        while True:
            heartbeat = self.make_heartbeat()
            for other in fleet.daemons:
                if other is not self and (other.domain == self.domain) == local:
                    other.peer_group.receive(heartbeat)
            await asyncio.sleep(interval_s)

    async def tick(self):
        await asyncio.sleep(self.random.uniform(0, 0.1))
        while True:
            self.peer_group.tick()
            await asyncio.sleep(0.1)

    async def fetch(self, fleet):
        """Fetch from peers that are ahead, as :class:`PeerSync` does."""
        by_name = {d.name: d for d in fleet.daemons}
        while True:
            await asyncio.sleep(0.4)
            for name, progress in self.peer_group.progress_by_peer.items():
                for topic, follower in self.followers.items():
                    end = progress.end_by_topic.get(topic, 0)
                    if end > follower.end and follower.read_overdue:
                        peer = by_name[name].followers[topic]
                        follower.apply_update(peer.changes_since(follower.end))

    def tasks(self, fleet):
        return [
            *(follower.run() for follower in self.followers.values()),
            self.send(fleet, LOCAL_INTERVAL_S, local=True),
            self.send(fleet, REMOTE_INTERVAL_S, local=False),
            self.tick(),
            self.fetch(fleet),
        ]


class AwayFleet:
    def __init__(self, count, domains):
        self.topics = FakeTopics()
        self.version = 0
        self.domain_by_name = {f"d{n}": f"fd{n % domains}" for n in range(count)}
        self.daemons = [AwayDaemon(self, n, d) for n, d in self.domain_by_name.items()]

    def write(self):
        self.version += 1
        for topic in TOPICS:
            self.topics.append(topic, [Change("key", str(self.version).encode())])

    def calls_between(self, since, until):
        return sum(
            since <= at < until for d in self.daemons for at in d.store.called_at
        )

    async def until_held(self):
        """Return the seconds until all daemons hold the newest record of each topic."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        await until(lambda: all(d.holds(self.version) for d in self.daemons))
        return loop.time() - began


@given(
    "{count:d} daemons in {domains:d} failure domains that follow 3 topics of a store"
)
def make_fleet(context, count, domains):
    context.loop = async_solipsism.EventLoop()
    context.add_cleanup(context.loop.close)

    async def make():
        return AwayFleet(count, domains)

    context.fleet = context.loop.run_until_complete(make())


def play(context, scene):
    """Run a scene while the daemons run, after they have settled and a calm time."""
    fleet = context.fleet

    async def run():
        loop = asyncio.get_running_loop()
        tasks = [
            asyncio.create_task(each) for d in fleet.daemons for each in d.tasks(fleet)
        ]
        fleet.write()
        await asyncio.sleep(10)
        began = loop.time()
        await asyncio.sleep(CALM_S)
        context.calm = fleet.calls_between(began, loop.time())
        await scene(fleet, loop)
        for task in tasks:
            task.cancel()
        ended = await asyncio.gather(*tasks, return_exceptions=True)
        errors = [e for e in ended if not isinstance(e, asyncio.CancelledError)]
        assert not errors, errors[:3]

    context.loop.run_until_complete(run())


@when(
    "the store {failure} for {seconds:d} s, and a record of each topic is written at "
    "its return"
)
def go_away(context, failure, seconds):
    async def scene(fleet, loop):
        context.left_at = loop.time()
        for daemon in fleet.daemons:
            daemon.store.turn_away(failure)
        await asyncio.sleep(seconds)
        context.back_at = loop.time()
        context.readers = [d for d in fleet.daemons if d.pacing.paused]
        for daemon in fleet.daemons:
            daemon.store.turn_away("")
        fleet.write()
        context.held_s = await fleet.until_held()
        await asyncio.sleep(context.back_at + 10 + CALM_S - loop.time())

    play(context, scene)


@then("it got no more calls in these 8 s than in 8 s of calm")
def check_calls(context):
    calls = context.fleet.calls_between(context.left_at, context.back_at)
    assert calls <= context.calm, (calls, context.calm)


@then("each daemon has the new records within {seconds:g} s of its return")
def check_fresh(context, seconds):
    assert context.held_s <= seconds, context.held_s


@then("it got at most {most:d} calls in any 0.1 s from its return on")
def check_no_stampede(context, most):
    times = sorted(at for d in context.fleet.daemons for at in d.store.called_at)
    after = times[bisect_left(times, context.back_at) :]
    counts = [bisect_left(after, at + 0.1) - index for index, at in enumerate(after)]
    assert max(counts) <= most, max(counts)


@then("10 s after its return it gets as many calls as in 8 s of calm")
def check_settled(context):
    since = context.back_at + 10
    calls = context.fleet.calls_between(since, since + CALM_S)
    assert abs(calls - context.calm) <= 0.1 * context.calm, (calls, context.calm)


@then("each reader logged that its calls were paused, and then that the store is back")
def check_lines(context):
    assert len(context.readers) >= 6
    for daemon in context.readers:
        kinds = [kind for kind in daemon.log.kinds if kind.startswith("store_")]
        assert kinds[:2] == ["store_paused", "store_regained"], (daemon.name, kinds)


@then("no daemon called it again within {seconds:g} s of a refusal that it had read")
def check_retry_after(context, seconds):
    for daemon in context.fleet.daemons:
        store = daemon.store
        for refused_at in store.refused_at:
            index = bisect_left(store.called_at, refused_at + 1e-9)
            for called_at in store.called_at[index : index + 1]:
                assert called_at - refused_at >= seconds, (daemon.name, refused_at)


@when("the store turns one reader away for 8 s, and a record is written each second")
def turn_one_away(context):
    async def scene(fleet, loop):
        context.one = max(fleet.daemons, key=lambda d: len(d.store.called_at))
        context.left_at = loop.time()
        context.one.store.turn_away("resets every connection")
        context.held = []
        for second in range(8):
            fleet.write()
            context.held.append(await fleet.until_held())
            await asyncio.sleep(max(context.left_at + second + 1 - loop.time(), 0))

    play(context, scene)


@then("each daemon has each record within {seconds:g} s")
def check_each(context, seconds):
    assert max(context.held) <= seconds, context.held


@then("that daemon made at most {most:d} calls in these 8 s")
def check_one(context, most):
    calls = sum(at >= context.left_at for at in context.one.store.called_at)
    assert calls <= most, calls


@given("a pacing of calls, and a call that gets no answer for 1 s")
def make_pacing(context):
    context.loop = async_solipsism.EventLoop()
    context.add_cleanup(context.loop.close)


@when("other calls are answered meanwhile, and then the first one fails")
def fail_late(context):
    async def run():
        pacing = CallPacing(
            null_decisions(),
            Telemetry(),
            pauses=lambda: PauseRange(0.25, 4.0),
            random=random.Random(1),
        )
        silent = pacing.admit()
        for _ in range(4):
            await asyncio.sleep(0.25)
            pacing.record_answer(pacing.admit())
        pacing.record_failure(silent, PlatformError("no answer"))
        try:
            pacing.admit()
        except PausedError:
            return False
        return True

    context.admitted = context.loop.run_until_complete(run())


@then("the next call is made at once")
def check_admitted(context):
    assert context.admitted


@given("a daemon that hears that the store does not serve others")
@given("a daemon that reads the store, and one that the store turns away")
def make_loop(context):
    context.loop = async_solipsism.EventLoop()
    context.add_cleanup(context.loop.close)


@when("it reads 2 topics at the same moment")
def read_together(context):
    async def run():
        await asyncio.sleep(2)
        pacing = CallPacing(
            null_decisions(),
            Telemetry(),
            pauses=lambda: PauseRange(0.25, 4.0, others_unserved=True),
            random=random.Random(1),
        )
        store = PacedStore(AwayStore(FakeTopics()), pacing)
        followers = [Follower(store, topic, null_decisions()) for topic in ("a", "b")]
        reads = [follower.read_once(wait=False) for follower in followers]
        outcomes = await asyncio.gather(*reads, return_exceptions=True)
        assert [type(outcome) for outcome in outcomes] == [type(None), PausedError]
        return followers

    context.followers = context.loop.run_until_complete(run())


@then("it takes no read for failed")
def check_not_failed(context):
    assert all(follower.last_failure_at < 0 for follower in context.followers)


async def fail_read(follower, store):
    store.turn_away("resets every connection")
    try:
        await follower.read_once(wait=False)
    except PlatformError:
        store.turn_away("")
        return
    raise AssertionError("the read was answered")


@when("the second one gets a record from the first one and passes it on")
def pass_on(context):
    async def run():
        topics = FakeTopics()
        topics.append("a", [Change("key", b"1")])
        stores = [AwayStore(topics) for _ in range(3)]
        first, second, third = (Follower(s, "a", null_decisions()) for s in stores)
        await first.read_once(wait=False)
        await fail_read(second, stores[1])
        second.apply_update(first.changes_since(0))
        third.apply_update(second.changes_since(0))
        context.third = third
        context.before = third.last_failure_at
        await fail_read(first, stores[0])
        topics.append("a", [Change("key", b"2")])
        await first.read_once(wait=False)
        second.apply_update(first.changes_since(second.end))
        third.apply_update(second.changes_since(third.end))

    context.loop.run_until_complete(run())


@then("the receiver does not take the store for away")
def check_not_away(context):
    assert context.before < 0, context.before


@then("it does once the first one has been turned away as well")
def check_away(context):
    assert context.third.last_failure_at >= 0


@given("a daemon that becomes the leader")
def make_leader(context):
    context.loop = async_solipsism.EventLoop()
    context.add_cleanup(context.loop.close)


@when("the answer to its append is lost, and the store resets every connection for 8 s")
def lose_answer(context):
    async def run():
        loop = asyncio.get_running_loop()
        store = context.store = AwayStore(FakeTopics())
        pacing = CallPacing(
            null_decisions(),
            Telemetry(),
            pauses=lambda: PauseRange(0.25, 0.5),
            random=random.Random(1),
        )
        paced = PacedStore(store, pacing)
        follower = Follower(
            paced,
            REPLICAS_TOPIC,
            null_decisions(),
            wait_s=2.5,
            pacing=pacing,
        )
        registry = ReplicaRegistry(
            paced, null_decisions(), follower, unique_suffix=lambda: "x"
        )
        election = LeaderElection(
            "d0",
            registry,
            live_daemons=lambda: (),
            active_leaders=lambda: (),
            all_daemons=lambda: (),
            decisions=null_decisions(),
        )
        appended = store.append

        async def append(*args, **kwargs):
            try:
                return await appended(*args, **kwargs)
            finally:
                store.turn_away("resets every connection")

        store.append, store.lose_answers = append, 1
        tasks = [
            asyncio.create_task(follower.run()),
            asyncio.create_task(election.run()),
        ]
        await until(lambda: store.failure)
        store.append = appended
        left_at = loop.time()
        await asyncio.sleep(8)
        context.calls = sum(at >= left_at for at in store.called_at)
        store.turn_away("")
        back_at = loop.time()
        await until(lambda: election.is_active_leader)
        context.known_s = loop.time() - back_at
        await asyncio.sleep(5)
        for task in tasks:
            task.cancel()

    context.loop.run_until_complete(run())


@then("it made at most {most:d} calls in these 8 s")
def check_leader_calls(context, most):
    assert context.calls <= most, context.calls


@then("it knows that it leads within {seconds:g} s of the store's return")
def check_known(context, seconds):
    assert context.known_s <= seconds, context.known_s


@then("its append was done once")
def check_once(context):
    records = context.store.topics.records(REPLICAS_TOPIC)
    assert len(records) == 1, json.dumps([r.key for r in records])
