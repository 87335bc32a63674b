"""Steps for a store that is restored from an older copy."""

import asyncio

import async_solipsism
from aiohttp.test_utils import TestServer
from behave import given, then, when

from auburnproxy.clock import loop_time
from auburnproxy.errors import PlatformError
from auburnproxy.formation.placement import NewReplica
from auburnproxy.formation.record import decode
from auburnproxy.formation.registry import EPOCHS_PER_ERA, REPLICA_PREFIX
from auburnproxy.gateway.directory import Directory
from auburnproxy.platform.store import PlatformStore
from auburnproxy.store import (
    Change,
    ConflictError,
    EraChangePolicy,
    EraTracker,
    ExpiredError,
    Follower,
    PeerClient,
    PeerSync,
    ReadProgress,
)
from emulator.daemons import settings_of
from features.fakes.drill import RestoreDrill
from features.fakes.fleet import host
from features.fakes.formation import FormationSite, make_registry
from features.fakes.platform import StoreStandIn
from features.fakes.store import FakeStore, FakeTopics
from features.machines.drills import DrillMachine
from features.machines.eras import EraMachine
from features.machines.runner import run_examples

CONFIG = "config"


class RecordingDecisions:
    """Decision log that is kept in memory."""

    def __init__(self):
        self.lines = []

    def belief(self, kind, **inputs):
        self.lines.append((kind, inputs))

    def kinds(self):
        return [kind for kind, _ in self.lines]


class FakeDaemon:
    """A follower of one topic, and the changes that it reported."""

    def __init__(self, topics, topic, era_policy=EraChangePolicy.KEEP_MISSING):
        self.decisions = RecordingDecisions()
        self.store = FakeStore(topics)
        self.store.era.log = self.decisions.belief
        self.reported_changes = []
        self.follower = Follower(
            self.store,
            topic,
            self.decisions,
            pause_s=lambda: 0.3,
            era_policy=era_policy,
            supersedes=lambda known, other: version_of(known) > version_of(other),
        )
        self.follower.on_change = self.reported_changes.append
        self.version = 0
        self.peer = None
        self.peer_sync = PeerSync({topic: self.follower}, self, self.decisions)
        self.topic = topic

    async def fetch(self, address, topic, position):
        peer = self.peer.follower
        return peer.changes_since(
            position.end, previous_era_end=position.previous_era_end
        )

    def progress(self):
        peer_sync = self.peer_sync
        era = self.store.era.number
        return ReadProgress(
            peer_sync.end_by_topic, era, peer_sync.previous_era_end_by_topic
        )

    def receive_heartbeat(self):
        """Process a heartbeat of the peer."""
        progress = self.peer.progress()
        self.store.era.advance(progress.era, source="daemon")
        self.peer_sync.fetch_missing({"peer": progress})

    @property
    def versions(self):
        """Return the versions that were applied: each one higher than the last."""
        found = []
        for change in self.reported_changes:
            if change.key == CONFIG and version_of(change) > max(found, default=0):
                found.append(version_of(change))
        return found

    @property
    def values(self):
        return {key: change.value for key, change in self.follower.by_key.items()}


PeerClient.register(FakeDaemon)


def version_of(change):
    return int(change.value) if change.key == CONFIG and change.value else 0


def begin(context, topics):
    context.loop = async_solipsism.EventLoop()
    context.add_cleanup(context.loop.close)
    context.topics = topics


def run(context, work):
    return context.loop.run_until_complete(work)


def make_reader(
    context, changes, *, topic="op", era_policy=EraChangePolicy.KEEP_MISSING
):
    """Let a daemon read each record as soon as it is written."""
    begin(context, FakeTopics(era=1))

    async def make():
        context.daemon = FakeDaemon(context.topics, topic, era_policy)
        for change in changes:
            context.topics.append(topic, [change])
            await context.daemon.follower.read_once(wait=False)

    run(context, make())


async def run_followers(context, seconds):
    """Run the followers of all daemons for a while."""
    daemons = [context.daemon, *getattr(context, "others", [])]
    tasks = [asyncio.create_task(each.follower.run()) for each in daemons]
    await asyncio.sleep(seconds)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


@given("a daemon that has read 5 records of a topic")
def read_five(context):
    make_reader(context, [Change(f"k{number}", b"1") for number in range(5)])


@given("a daemon that has read versions 1 to 5 of a configuration")
def read_versions(context):
    make_reader(context, [Change(CONFIG, str(n).encode()) for n in range(1, 6)])
    context.others = []


@given("a daemon that has read only version 5 of a configuration")
def read_newest_version(context):
    begin(context, FakeTopics(era=1))

    async def make():
        context.daemon = FakeDaemon(context.topics, "op")
        for number in range(1, 6):
            context.topics.append("op", [Change(CONFIG, str(number).encode())])
        await context.daemon.follower.read_once(wait=False)

    run(context, make())


@given("a daemon that has read a mark of domain a, its removal, and a mark of domain b")
def read_marks(context):
    marks = [Change("out/a", b"1"), Change("out/a", b""), Change("out/b", b"1")]
    make_reader(context, marks)


@given("a daemon that has read registrations of u1, u2, and u1 in another state")
def read_registrations(context):
    changes = [Change("u1", b"new"), Change("u2", b"new"), Change("u1", b"open")]
    make_reader(
        context, changes, topic="servers", era_policy=EraChangePolicy.DROP_MISSING
    )
    context.directory = Directory(
        context.daemon.decisions,
        store_failed_at=lambda: context.daemon.follower.last_failure_at,
    )
    run(context, connect_directory(context))


async def connect_directory(context):
    """Apply the reported and all further changes to the directory."""

    def take(change):
        if change.value:
            state = change.value.decode()
            context.directory.register(
                host(change.key, models=(state,), seen_at=loop_time())
            )
        else:
            context.directory.unregister(change.key)

    for change in context.daemon.reported_changes:
        take(change)
    context.daemon.follower.on_change = take


@when("the store is restored without the last {lost:d} of them")
@when("the store is restored without the last {lost:d} records")
def restore_store(context, lost):
    topics = getattr(context, "topics", None) or context.site.topics
    if hasattr(context, "site"):
        context.served_before = {
            head.part.replica for head in context.site.fleet.open_heads()
        }
    topics.restore_older_copy(lost)


@when("a record is written each second for 4 s")
def write_each_second(context):
    async def write():
        reading = asyncio.create_task(run_followers(context, 4.5))
        for number in range(4):
            await asyncio.sleep(1)
            context.topics.append("op", [Change(f"n{number}", b"2")])
        await reading

    run(context, write())


@then("the daemon holds every record that was written since")
def compare_since(context):
    held = context.daemon.values
    assert {f"n{number}" for number in range(4)} <= held.keys(), held


@then("no loss of records was logged")
def compare_no_loss(context):
    assert "history_lost" not in context.daemon.decisions.kinds()
    assert context.daemon.decisions.kinds().count("era_entered") == 1


@when("the operator writes version {version:d} again")
@when("the operator writes version {version:d}")
def write_version(context, version):
    context.topics.append("op", [Change(CONFIG, str(version).encode())])


@then("version {version:d} is in force")
def compare_version(context, version):
    run(context, run_followers(context, 2))
    assert context.daemon.versions[-1] == version, context.daemon.versions
    assert context.daemon.values[CONFIG] == str(version).encode()


@then("no version was put in force twice")
def compare_once(context):
    versions = [
        version_of(c) for c in context.daemon.reported_changes if c.key == CONFIG
    ]
    assert versions == [1, 2, 3, 4, 5], versions


@then("domain a is in service and domain b is {state}")
def compare_marks(context, state):
    run(context, run_followers(context, 2))
    held = context.daemon.values
    wanted = {"out/b"} if state == "out" else set()
    assert {key for key in held if key.startswith("out/")} == wanted, held


@when("the operator removes the mark of domain b")
def remove_mark(context):
    context.topics.append("op", [Change("out/b", b"")])


@when("the operator marks domain c before the daemon reads again")
def mark_early(context):
    context.topics.append("op", [Change("out/c", b"1")])


@then("domain c is out")
def compare_early_mark(context):
    run(context, run_followers(context, 2))
    assert "out/c" in context.daemon.values, context.daemon.values


@then("u1 is registered in its last state")
def compare_registered_state(context):
    run(context, run_followers(context, 1))
    assert context.directory.hosts["u1"].models == ("open",), context.directory.hosts


@then("the registration of u2 has expired")
def compare_expired(context):
    assert "u2" in context.directory.hosts

    async def expire():
        await asyncio.sleep(4)
        context.directory.expire()

    run(context, expire())
    assert "u2" not in context.directory.hosts


@when("u2 registers again")
def register_again(context):
    context.topics.append("servers", [Change("u2", b"new")])


@then("u2 is registered")
def compare_registered(context):
    run(context, run_followers(context, 2))
    assert "u2" in context.directory.hosts


def connect_peers(context, daemon):
    context.others = [daemon]
    context.other = daemon
    daemon.peer, context.daemon.peer = context.daemon, daemon


async def exchange_positions(context, seconds):
    reading = asyncio.create_task(run_followers(context, seconds))
    until = loop_time() + seconds
    while loop_time() < until:
        for daemon in (context.daemon, context.other):
            daemon.receive_heartbeat()
        await asyncio.sleep(0.1)
    await reading


@given("another daemon that had last read version 4")
def make_behind(context):
    async def make():
        other = FakeDaemon(context.topics, "op")
        update = context.daemon.follower.changes_since(-1)
        fourth = Change(CONFIG, b"4", 3)
        other.follower.apply_update(update._replace(changes=(fourth,), end=4))
        return other

    connect_peers(context, run(context, make()))


@given("the store rejects the other daemon")
def reject_other(context):
    context.other.store.rejecting = True


@when("another daemon starts and both exchange their read positions")
def start_other(context):
    async def make():
        other = FakeDaemon(context.topics, "op")
        await other.follower.read_once(wait=False)
        return other

    connect_peers(context, run(context, make()))
    assert context.other.versions == [2], context.other.versions
    run(context, exchange_positions(context, 3))


@when("both exchange their read positions")
def exchange_once(context):
    run(context, exchange_positions(context, 3))


@then("version {version:d} is in force at the other daemon")
def compare_other(context, version):
    found = context.other
    assert found.versions[-1] == version, found.versions
    assert found.values[CONFIG] == str(version).encode(), found.values


@when("its next read is answered only after a peer has reported a new era")
def answer_late(context):
    context.topics.append("op", [Change(CONFIG, b"9")])

    async def read():
        reading = asyncio.create_task(context.daemon.follower.read_once(wait=False))
        await asyncio.sleep(0.001)
        context.daemon.store.era.advance(2, source="daemon")
        context.daemon.store.rejecting = True
        context.daemon.store.topics.era = 2
        await asyncio.gather(reading, return_exceptions=True)

    run(context, read())


@then("nothing of that response is applied")
def compare_nothing_taken(context):
    assert context.daemon.versions[-1] == 5, context.daemon.versions


@given("a daemon that knows era 4 of the store")
def know_era(context):
    context.decisions = RecordingDecisions()
    context.era = EraTracker()
    context.era.log = context.decisions.belief
    context.era.observe_header("4")


@when("a response contains the era {text}")
def receive_era(context, text):
    for _ in range(3):
        context.era.observe_header(None if text == "nothing" else text)


@then("the daemon knows era 4")
def compare_era(context):
    assert context.era.number == 4, context.era.number


@then("that is logged once in 3 responses")
def compare_era_log(context):
    assert context.decisions.kinds().count("store_era_ignored") == 1, (
        context.decisions.lines
    )


@given("two registries, of which one has recorded 2 replicas and both have read them")
def make_registers(context):
    make_two_registers(context, both_read=True)


@given("two registries, of which one has recorded 2 replicas and the other has read 1")
def make_register_behind(context):
    make_two_registers(context, both_read=False)


def make_two_registers(context, *, both_read):
    begin(context, FakeTopics(era=1))
    context.registries = [make_registry(context.topics) for _ in range(2)]

    async def record():
        first, second = context.registries
        await first.follower.read_once(wait=False)
        await first.change([form("a")])
        await second.follower.read_once(wait=False)
        await first.change([form("b")])
        if both_read:
            await second.follower.read_once(wait=False)

    run(context, record())
    context.known = dict(context.registries[0].by_name)


@when("2 s pass and the other one fills the topic without a heartbeat from the first")
def fill_without_heartbeat(context):
    run(context, enter_era_and_fill(context, 1))


@when("the first one sends its records to the other one")
def send_unfilled_records(context):
    async def send():
        first, second = (registry.follower for registry in context.registries)
        assert first.awaiting_writer and not second.awaiting_writer
        place = second.end
        second.apply_update(
            first.changes_since(place, previous_era_end=second.previous_era_end)
        )

    run(context, send())


@then("the other one knows only the replicas in the store")
def compare_filled_alone(context):
    registry = context.registries[1]
    assert not registry.follower.awaiting_writer
    records = context.topics.records(registry.follower.topic)
    recorded = {record.key.removeprefix(REPLICA_PREFIX) for record in records}
    assert registry.by_name.keys() == recorded, (registry.by_name, recorded)


@when("the other one, still in the old era, records a replica at the same offset")
def record_at_same_offset(context):
    async def record():
        try:
            await context.registries[1].change([form("c")])
        except PlatformError as error:
            context.error = error

    run(context, record())
    assert context.error is not None


@then("the two replicas at that offset have different names")
def compare_names(context):
    (lost,) = [f for f in context.registries[0].by_name.values() if "b1" in f.ids]
    (record,) = context.topics.records("replicas-1")[lost.epoch % EPOCHS_PER_ERA :]
    assert decode(record.value).name != lost.name, record


def form(name):
    return NewReplica("small", "fd1/f0", (host(f"{name}1"), host(f"{name}2")))


async def follow(context, seconds=1.0):
    tasks = [asyncio.create_task(r.follower.run()) for r in context.registries]
    await asyncio.sleep(seconds)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


@then("both still know {count:d} replicas")
def compare_both(context, count):
    run(context, follow(context))
    for registry in context.registries:
        assert len(registry.by_name) == count, registry.by_name
        assert registry.by_name.items() <= context.known.items()


async def enter_era(context):
    """Let both enter the new era, and wait as long as for the heartbeats of peers."""
    await follow(context)
    for registry in context.registries:
        try:
            await registry.seed_new_era()
        except PlatformError:
            continue
    await asyncio.sleep(2)


async def enter_era_and_fill(context, writer):
    await enter_era(context)
    await context.registries[writer].seed_new_era()


@when("2 s pass and the first one writes its records")
def fill_first(context):
    run(context, enter_era_and_fill(context, 0))


@then("both know the same 2 replicas from the store")
def compare_same(context):
    run(context, follow(context))
    for registry in context.registries:
        assert registry.by_name == context.known, registry.by_name
        assert not registry.follower.awaiting_writer
        offsets = [c.offset for c in registry.follower.by_key.values()]
        assert min(offsets) >= 0, offsets


@when("2 s pass and the second one records another replica")
def record_third(context):
    async def record():
        await enter_era(context)
        await context.registries[1].change([form("c")])

    run(context, record())


@then("3 replicas have names and epochs of their own, the newest the highest")
def compare_epochs(context):
    run(context, follow(context))
    for registry in context.registries:
        epochs = [formed.epoch for formed in registry.by_name.values()]
        assert len(set(epochs)) == len(registry.by_name) == 3, registry.by_name
        newest = next(f for f in registry.by_name.values() if f.ids == ("c1", "c2"))
        assert newest.epoch == max(epochs), epochs
        assert all(registry.by_name[n] == f for n, f in context.known.items())


@when("a writer in the old era appends on condition of an end that exists again")
def append_old(context):
    async def append():
        first, second = context.registries
        end = second.follower.end
        topic = second.follower.topic
        # A record of another writer makes the old topic as long as it was.
        context.topics.append(topic, [Change("other", b"x")])
        assert len(context.topics.records(topic)) == end
        try:
            await second.change([form("c")])
        except PlatformError as error:
            context.error = error
        await follow(context)

    run(context, append())


@then("that writer learns that its record was rejected")
def compare_rejected(context):
    assert isinstance(context.error, PlatformError), context.error


@then("neither registry knows its replica")
def compare_unknown(context):
    run(context, follow(context))
    for registry in context.registries:
        assert "c1" not in registry.by_host, registry.by_host


@when("2 s pass and both write their records at the same time")
def fill_both(context):
    async def fill():
        await enter_era(context)
        work = (registry.seed_new_era() for registry in context.registries)
        context.outcomes = await asyncio.gather(*work, return_exceptions=True)

    run(context, fill())


@then("the topic of the new era was filled once")
def compare_filled(context):
    failures = [o for o in context.outcomes if o is not None]
    assert len(failures) == 1 and isinstance(failures[0], ConflictError), failures
    topic = context.registries[0].follower.topic
    assert len(context.topics.records(topic)) == 2, context.topics.records(topic)
    compare_same(context)


@when("all daemons restart")
def restart_all(context):
    context.registries = [make_registry(context.topics) for _ in range(2)]


@given(
    "a fleet of {hosts:d} hosts in {fabrics:d} fabric domains whose store sends its era"
)
def make_formation_fleet(context, hosts, fabrics):
    context.loop = async_solipsism.EventLoop()
    context.add_cleanup(context.loop.close)

    async def make():
        found = [
            host(f"f{fabric}-{number}", fabric=f"f{fabric}")
            for fabric in range(fabrics)
            for number in range(hosts // fabrics)
        ]
        return FormationSite(found, topics=FakeTopics(era=1))

    context.site = run(context, make())


@then("every replica that served has served throughout")
def compare_served(context):
    served = {head.part.replica for head in context.site.fleet.open_heads()}
    assert served == context.served_before, (served, context.served_before)
    assert not [s for s in context.site.fleet.sent if s[0] in ("leave", "close")]


@then("every replica that serves is recorded in the new era")
def compare_recorded(context):
    registry = context.site.replica_registry
    served = {head.part.replica for head in context.site.fleet.open_heads()}
    assert registry.follower.era == 2 and not registry.follower.awaiting_writer
    records = context.site.topics.records(registry.follower.topic)
    newest = {c.key: c.value for c in records}
    found = {k.removeprefix(REPLICA_PREFIX) for k, value in newest.items() if value}
    assert served == found, (served, found)
    assert all(decode(newest[REPLICA_PREFIX + name]).name == name for name in served)


@when("a daemon without any records becomes the leader")
def take_over(context):
    async def beside():
        return FormationSite([], shared_with=context.site)

    context.site = run(context, beside())


@when("stores are restored at random while writers race and daemons start")
def choose_machine(context):
    context.search = (EraMachine, 60, 30)


@when("complete daemons go through restores, partitions, crashes and handovers")
def choose_drills(context):
    context.search = (DrillMachine, 20, 12)


@then("in the end there is one leader, and the recorded replicas are those that serve")
@then("no host is in two replicas and no name is used twice")
def run_machine(context):
    machine, examples, steps = context.search
    run_examples(machine, examples=examples, steps=steps)


@given("a stand-in of the platform's store in era 7")
def make_stand_in(context):
    context.stand_in = StoreStandIn()
    context.stand_in.era = "7"


@when("a record is appended, read, read beyond the end and rejected on condition")
def call_all(context):
    context.eras = []

    async def call():
        async with TestServer(context.stand_in.app()) as server:
            for work in (
                lambda store: store.append("t", [Change("k", b"v")]),
                lambda store: store.read("t", 0, wait_s=0.0),
                lambda store: store.newest("t"),
                lambda store: store.read("t", 9, wait_s=0.0),
                lambda store: store.append("t", [Change("k", b"v")], expected_end=9),
            ):
                store = PlatformStore(f"{server.host}:{server.port}")
                try:
                    await work(store)
                except (ExpiredError, ConflictError):
                    pass
                finally:
                    await store.close()
                context.eras.append(store.era.number)

    asyncio.run(call())


@then("the era is 7 after each response")
def compare_eras(context):
    assert context.eras == [7] * 5, context.eras


@given("{count:d} daemons in {domains:d} failure domains whose store sends its era")
def start_drill(context, count, domains):
    context.drill = RestoreDrill(daemons=count, domains=domains, hosts=16)
    context.add_cleanup(context.drill.close)
    context.drill.run(20)
    assert context.drill.all_agree() and context.drill.leader, (
        "the fleet has not formed its replicas"
    )
    context.served_before = context.drill.serving_replicas()
    context.fell_at = []


@when(
    "the leader resigns and {seconds:g} s later the store has lost {lost:d} of its"
    " records"
)
def resign_leader(context, seconds, lost):
    drill = context.drill
    drill.loop.run_until_complete(drill.leader.leader_election.resign())
    drill.run(seconds)
    drill.restore_without_records("replicas", lost)


@when("the store rejects the daemons of {domain} and is restored without 3 records")
def reject_domain(context, domain):
    for daemon in context.drill.daemons:
        if daemon.settings.failure_domain == domain:
            context.drill.store_by_name[daemon.settings.name].rejecting = True
    context.drill.run(2)
    context.drill.restore_without_records("replicas", 3)


@when("the store serves only one daemon and is restored without 3 records")
def serve_one(context):
    drill = context.drill
    alone = next(d for d in drill.daemons if d is not drill.leader)
    for name, store in drill.store_by_name.items():
        store.rejecting = name != alone.settings.name
    drill.run(2)
    drill.restore_without_records("replicas", 3)


@when("the store serves all daemons again")
def serve_all(context):
    for store in context.drill.store_by_name.values():
        store.rejecting = False
    context.drill.run(2)


@when("the store is restored without 2 records and {seconds:g} s later without 1 more")
def restore_twice(context, seconds):
    context.drill.restore_without_records("replicas", 2)
    context.drill.run(seconds)
    context.drill.topics.restore_older_copy(1)


@when(
    "a daemon starts and {seconds:g} s later the store has lost {lost:d} records of"
    " replicas"
)
def start_in_drill(context, seconds, lost):
    drill = context.drill
    settings = settings_of(9, failure_domain="fd1", first_start=False)

    async def start():
        drill.group.start(settings)

    drill.loop.run_until_complete(start())
    drill.run(seconds)
    drill.restore_without_records("replicas", lost)


@then("all daemons agree on the replicas within {seconds:g} s and one is the leader")
def compare_agreed(context, seconds):
    drill = context.drill
    took_s = drill.wait_until_agreed(seconds)
    leaders = [d.settings.name for d in drill.daemons if d.leader_election.is_leader]
    known = [
        (
            d.settings.name,
            d.replica_registry.follower.era,
            len(d.replica_registry.by_name),
        )
        for d in drill.daemons
    ]
    assert drill.all_agree() and drill.leader, (took_s, leaders, known)
    drill.run(3)
    assert drill.all_agree() and drill.leader, "the agreement did not last"


@then("every replica that served still serves, and no command broke a rule")
def compare_still_serving(context):
    assert context.served_before <= context.drill.serving_replicas(), (
        context.served_before
    )
    assert not context.drill.fleet.violations, context.drill.fleet.violations


@when("a member of a replica is lost")
def lose_member(context):
    drill = context.drill
    head = sorted(drill.fleet.open_heads())[0]
    formed = drill.daemons[0].replica_registry.by_name[head.part.replica]
    context.lost = formed.ids[1]
    context.lost_replica = formed
    drill.lose_engine(context.lost)
    drill.run(4)


@then("its replica is replaced within {seconds:g} s")
def compare_replaced(context, seconds):
    drill = context.drill
    drill.run(seconds)
    assert drill.all_agree()
    registry = drill.daemons[0].replica_registry
    assert context.lost not in registry.by_host
    served, recorded = drill.serving_replicas(), registry.by_name.keys()
    assert served == recorded, (served, recorded)
    assert not drill.fleet.violations, drill.fleet.violations
