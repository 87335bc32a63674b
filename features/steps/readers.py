"""Steps for daemons that read the store on behalf of their failure domain."""

import asyncio
import random
import tracemalloc
from collections import Counter

import async_solipsism
import msgspec
from behave import given, then, when

from auburnproxy.gateway.health import UpstreamLoad
from auburnproxy.heartbeats import DaemonRecord, Heartbeat, PeerGroup
from auburnproxy.heartbeats.heartbeat import pack as pack_heartbeat
from auburnproxy.heartbeats.peer_group import (
    LOCAL_HEARTBEATS_PER_S,
    REMOTE_HEARTBEATS_PER_S,
    REMOTE_INTERVAL_TICKS,
    TICK_S,
)
from auburnproxy.store import Change, Follower, PeerClient, PeerSync, ReadProgress
from auburnproxy.store.peer_sync import pack, unpack
from features.fakes.store import FakeStore, FakeTopics, null_decisions

TOPIC = "op"
KEY = "config"


class FakeDaemon:
    """A follower and a peer group without sockets: messages are method calls."""

    def __init__(self, fleet, name):
        self.fleet = fleet
        self.name = name
        self.lost = False
        self.receives_nothing = False
        self.store = FakeStore(fleet.topics)
        self.follower = Follower(
            self.store,
            TOPIC,
            null_decisions(),
            pause_s=lambda: 0.4,
            should_read=self.should_read_store,
        )
        records = Follower(self.store, "daemons", null_decisions())
        self.peer_group = PeerGroup(
            name,
            DaemonRecord(name, "fd", name),
            records,
            self.make_heartbeat,
            null_decisions(),
        )
        for other in fleet.names:
            value = msgspec.json.encode(DaemonRecord(other, "fd", other))
            records.on_change(Change(other, value))

    def should_read_store(self):
        return self.peer_group.should_read_store(
            store_reachable=self.follower.store_reachable
        )

    def make_heartbeat(self):
        ends = {TOPIC: self.follower.end}
        return Heartbeat(
            self.name, False, self.follower.store_reachable, True, {}, ends, [], []
        )

    async def run(self):
        follow_task = asyncio.create_task(self.follower.run())
        try:
            while True:
                self.receive_heartbeats()
                self.fetch()
                await asyncio.sleep(0.1)
        finally:
            follow_task.cancel()

    def receive_heartbeats(self):
        self.peer_group.tick()
        for other in self.fleet.daemons:
            if other is not self and not other.lost and not self.receives_nothing:
                self.peer_group.receive(other.make_heartbeat())

    def fetch(self):
        for other in self.fleet.daemons:
            if (
                other.lost
                or self.receives_nothing
                or other.follower.end <= self.follower.end
            ):
                continue
            self.follower.apply_update(other.follower.changes_since(self.follower.end))


class FakeFleet:
    def __init__(self, count):
        self.topics = FakeTopics()
        self.names = [f"d{number}" for number in range(count)]
        self.daemons = []
        self.version = 0

    async def run(self, seconds, *, write):
        tasks = [asyncio.create_task(d.run()) for d in self.daemons if not d.lost]
        for _ in range(seconds):
            if write:
                self.version += 1
                value = str(self.version).encode()
                self.topics.append(TOPIC, [Change(KEY, value)])
            await asyncio.sleep(1)
        await asyncio.sleep(1)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


@given("{count:d} daemons of one failure domain that follow a topic")
def make_readers(context, count):
    context.loop = async_solipsism.EventLoop()
    context.add_cleanup(context.loop.close)

    async def make():
        fleet = FakeFleet(count)
        fleet.daemons = [FakeDaemon(fleet, name) for name in fleet.names]
        return fleet

    context.readers = context.loop.run_until_complete(make())


@when("{seconds:d} s pass while a record is written each second")
def write_records(context, seconds):
    for daemon in context.readers.daemons:
        daemon.store.calls = 0
    context.loop.run_until_complete(context.readers.run(seconds, write=True))


@when("the key is deleted")
def drop_key(context):
    context.readers.topics.append(TOPIC, [Change(KEY, b"")])
    context.loop.run_until_complete(context.readers.run(3, write=False))


def readers(context):
    async def find():
        return [
            d for d in context.readers.daemons if not d.lost and d.should_read_store()
        ]

    return context.loop.run_until_complete(find())


@when("a reader is lost")
def lose_reader(context):
    readers(context)[0].lost = True


@when("the store rejects both readers")
def reject_readers(context):
    first, second = readers(context)
    first.store.rejecting = second.store.rejecting = True


@when("the store stops responding to both readers")
def hang_readers(context):
    first, second = readers(context)
    first.store.unresponsive = second.store.unresponsive = True


@when("a daemon that is no reader receives no more heartbeats")
def isolate_daemon(context):
    reading = readers(context)
    isolated = next(d for d in context.readers.daemons if d not in reading)
    isolated.receives_nothing = True


@then("each daemon holds the newest record")
def compare_newest(context):
    wanted = str(context.readers.version).encode()
    for daemon in context.readers.daemons:
        if not daemon.lost:
            held = daemon.follower.by_key[KEY].value
            assert held == wanted, (daemon.name, held, wanted)


@then("{count:d} daemons have read the store for most of that time")
def compare_readers(context, count):
    calls = sorted(d.store.calls for d in context.readers.daemons)
    assert sum(c > 8 for c in calls) == count, calls
    assert sum(calls[:-count]) <= 3 * (len(calls) - count), calls


@then("no daemon holds the key")
def compare_dropped(context):
    for daemon in context.readers.daemons:
        assert KEY not in daemon.follower.by_key, daemon.name


def configuration(version, size):
    """Return a realistic configuration of about the given number of bytes."""
    routes = []
    while len(routes) * 100 < size:
        number = len(routes)
        routes.append({"name": f"route{number}", "host": f"h{number % 24}.example"})
        routes[-1] |= {"path": f"/p{number * 7919 % 9973}/", "timeout": 1500 + number}
    return msgspec.json.encode({"version": version, "routes": routes})


async def read_topic(topics, topic):
    follower = Follower(
        FakeStore(topics), topic, null_decisions(), should_read=lambda: False
    )
    await follower.read_once(wait=False)
    return follower


@given("a daemon that has read {count:d} versions of a configuration of {size:d} kB")
def read_versions(context, count, size):
    context.loop = async_solipsism.EventLoop()
    context.add_cleanup(context.loop.close)

    async def read():
        topics = FakeTopics()
        follower = await read_topic(topics, TOPIC)
        for version in range(count):
            value = configuration(version, size * 1000)
            topics.append(TOPIC, [Change(KEY, value)])
            await follower.read_once(wait=False)
        return follower

    context.follower = context.loop.run_until_complete(read())


@when("a peer that has none of them requests the changes")
def request_changes(context):
    async def request():
        return pack(context.follower.changes_since(0))

    context.sent = context.loop.run_until_complete(request())


@then("it receives only the newest version in less than {size:d} kB")
def compare_sent(context, size):
    update = unpack(context.sent)
    assert update.changes == tuple(context.follower.by_key.values())
    assert len(context.sent) < size * 1000, len(context.sent)


class FakePeerClient(PeerClient):
    """Responds by address after a delay, or with the configured fault."""

    def __init__(self, follower_by_topic):
        self.follower_by_topic = follower_by_topic
        self.delay_by_topic = {}
        self.fault_by_address = {}

    async def fetch(self, address, topic, position):
        fault = self.fault_by_address.get(address)
        if fault == "unresponsive":
            await asyncio.sleep(60)
        if fault == "malformed":
            return unpack(b"nonsense")
        await asyncio.sleep(self.delay_by_topic.get(topic, 0.01))
        return self.follower_by_topic[topic].changes_since(position.end)


class DaemonBehindPeers:
    """A daemon whose copies are empty, and peers that are ahead."""

    def __init__(self, own, peers, addresses):
        self.own = own
        self.peers = peers
        self.peer_sync = PeerSync(own, peers, null_decisions())
        ends = {name: f.end for name, f in peers.follower_by_topic.items()}
        self.progress = dict.fromkeys(addresses, ReadProgress(ends))

    async def run(self, seconds):
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        while loop.time() < until:
            self.peer_sync.fetch_missing(self.progress)
            await asyncio.sleep(0.1)
        self.peer_sync.close()


async def make_daemon_behind(addresses):
    topics = FakeTopics()
    names = (TOPIC, "second")
    own = {name: await read_topic(topics, name) for name in names}
    for name in names:
        topics.append(name, [Change(KEY, b"newest")])
    ahead = {name: await read_topic(topics, name) for name in names}
    return DaemonBehindPeers(own, FakePeerClient(ahead), addresses)


def make_daemons_behind(context, count, addresses):
    context.loop = async_solipsism.EventLoop()
    context.add_cleanup(context.loop.close)

    async def make():
        context.behind = [await make_daemon_behind(addresses) for _ in range(count)]

    context.loop.run_until_complete(make())


@given("{count:d} daemon that is behind a peer in 2 topics")
def make_one_daemon_behind(context, count):
    make_daemons_behind(context, count, ["a"])


FAULT_BY_PHRASE = {"never respond": "unresponsive", "send malformed data": "malformed"}


@given("{count:d} daemons that are behind 3 peers of which 2 {words}")
def make_daemons_behind_faulty_peers(context, count, words):
    make_daemons_behind(context, count, ["a", "b", "c"])
    for daemon in context.behind:
        daemon.peers.fault_by_address = dict.fromkeys("ab", FAULT_BY_PHRASE[words])


@given("the peer takes {seconds:g} s to send the first topic")
def slow_topic(context, seconds):
    for daemon in context.behind:
        daemon.peers.delay_by_topic[TOPIC] = seconds


@when("each fetches for {seconds:g} s")
def fetch_for(context, seconds):
    async def fetch():
        await asyncio.gather(*(daemon.run(seconds) for daemon in context.behind))

    context.loop.run_until_complete(fetch())


@then("each has the newest record of the {which} topic only")
def compare_one(context, which):
    wanted = {TOPIC if which == "first" else "second"}
    for daemon in context.behind:
        held_topics = {name for name, follower in daemon.own.items() if follower.by_key}
        assert held_topics == wanted, held_topics


@then("each has the newest record of the first topic")
def compare_first(context):
    for daemon in context.behind:
        assert daemon.own[TOPIC].by_key[KEY].value == b"newest"


def encoded_heartbeat(name, work=None):
    return pack_heartbeat(Heartbeat(name, False, True, True, work or {}, {}, [], []))


@given("a daemon among {count:d} daemons in 3 failure domains")
def make_peer_group(context, count):
    context.loop = async_solipsism.EventLoop()
    context.add_cleanup(context.loop.close)
    records = {
        f"d{i}": DaemonRecord(f"d{i}:1", f"fd{i % 3}", f"d{i}") for i in range(count)
    }
    context.others = {name: record for name, record in records.items() if name != "d0"}

    async def make():
        follower = Follower(FakeStore(FakeTopics()), "daemons", null_decisions())
        context.follower = follower
        heartbeat = Heartbeat("d0", False, True, True, {}, {}, [], [])
        context.peer_group = PeerGroup(
            "d0", records["d0"], follower, lambda: heartbeat, null_decisions()
        )
        for name, record in records.items():
            value = msgspec.json.encode(record)
            follower.on_change(Change(name, value))

    context.loop.run_until_complete(make())


def heartbeat_interval_s(context, record):
    """Return the interval between heartbeats from a daemon, by the configured rates."""
    local_count = sum(s.failure_domain == "fd0" for s in context.others.values())
    if record.failure_domain == "fd0":
        return max(0.1, local_count / LOCAL_HEARTBEATS_PER_S)
    return max(0.3, (len(context.others) - local_count) / REMOTE_HEARTBEATS_PER_S)


@when("it receives the heartbeats of the others for 8 s, but a tenth is lost")
def receive_lossy_heartbeats(context):
    random_source = random.Random(1)
    context.max_gone = 0

    async def send(name, record):
        loop = asyncio.get_running_loop()
        while True:
            if random_source.random() > 0.1:
                context.peer_group.datagram_received(encoded_heartbeat(name), ("", 0))
            context.last_at = loop.time()
            await asyncio.sleep(heartbeat_interval_s(context, record))

    async def measure():
        send_tasks = [
            asyncio.create_task(send(*each)) for each in context.others.items()
        ]
        await asyncio.sleep(4)
        for _ in range(80):
            gone = len(context.others) - len(context.peer_group.live_peers)
            context.max_gone = max(context.max_gone, gone)
            context.peer_group.tick()
            await asyncio.sleep(0.1)
        for task in send_tasks:
            task.cancel()

    context.loop.run_until_complete(measure())


@then("it never counts more than {count:d} of them as gone at once")
def compare_gone(context, count):
    assert context.max_gone <= count, context.max_gone


@then("after {seconds:d} s without heartbeats it counts all of them as gone")
def compare_all_gone(context, seconds):
    async def wait():
        await asyncio.sleep(seconds)
        context.peer_group.tick()
        return context.peer_group.live_peers

    assert not context.loop.run_until_complete(wait())


@when("each of the others reports 2 requests at an upstream once")
def report_requests(context):
    async def send():
        for name in context.others:
            heartbeat = encoded_heartbeat(name, {"h": UpstreamLoad(2, 0, 0)})
            context.peer_group.datagram_received(heartbeat, ("", 0))

    context.loop.run_until_complete(send())


@then("{seconds:g} s later it counts {count:d} requests there")
@then("{seconds:g} s later it counts the {count:d} of other failure domains")
def compare_requests(context, seconds, count):
    async def wait():
        await asyncio.sleep(seconds)
        context.peer_group.tick()
        return context.peer_group.requests_at("h")

    assert context.loop.run_until_complete(wait())[0] == count


@then("{seconds:g} s later it counts none")
def compare_no_requests(context, seconds):
    compare_requests(context, seconds, 0)


def send_fields(context, heartbeat, record):
    context.other = "d3"

    async def send():
        change = Change(context.other, msgspec.json.encode(record))
        context.follower._report_change(change)
        context.peer_group.datagram_received(msgspec.msgpack.encode(heartbeat), ("", 0))

    context.loop.run_until_complete(send())


@when("another daemon's heartbeat and record have {fields}")
def send_version(context, fields):
    load = {"h": [2, 0, 0]}
    heartbeat = ["d3", False, True, True, load, {}, [], [], [], 0, {}, [], {}, False]
    record = ["d3", "fd0", "d3", True]
    if fields == "two more fields":
        heartbeat += [{"new": 1}, 5]
        record += ["new", 7]
    elif fields == "one field less":
        del heartbeat[-1], record[-1]
    send_fields(context, heartbeat, record)


@when("another daemon's heartbeat and record are malformed")
def send_malformed(context):
    send_fields(context, ["d3", 7, "x"], {"not": "a record"})


@then("its requests are counted and it is among the registered daemons")
def compare_version(context):
    assert context.peer_group.requests_at("h") == (2, 0), (
        context.peer_group.requests_at("h")
    )
    assert context.other in context.peer_group.records
    assert context.other in context.peer_group.live_peers


@then("no requests are counted and its record is unchanged")
def compare_malformed(context):
    assert context.peer_group.requests_at("h") == (0, 0)
    assert context.peer_group.records[context.other].failure_domain == "fd0"


@given("{count:d} daemons of one failure domain that have just registered")
def make_started(context, count):
    context.loop = async_solipsism.EventLoop()
    context.add_cleanup(context.loop.close)
    names = [f"d{number}" for number in range(count)]

    async def make(name):
        follower = Follower(FakeStore(FakeTopics()), "daemons", null_decisions())
        record = DaemonRecord(name, "fd", name)
        peer_group = PeerGroup(
            name, record, follower, lambda: None, null_decisions(), startup_grace_s=5.0
        )
        for other in names:
            value = msgspec.json.encode(DaemonRecord(other, "fd", other))
            follower.on_change(Change(other, value))
        return peer_group

    async def make_all():
        return [await make(name) for name in names]

    context.peer_groups = context.loop.run_until_complete(make_all())


def count_readers(context, seconds):
    async def count():
        await asyncio.sleep(seconds)
        for peer_group in context.peer_groups:
            peer_group.tick()
        return sum(
            peer_group.should_read_store(store_reachable=False)
            for peer_group in context.peer_groups
        )

    return context.loop.run_until_complete(count())


@then("{count:d} of them should read the store")
def compare_started(context, count):
    assert count_readers(context, 0) == count


@then("all of them should {seconds:d} s later without any heartbeat")
def compare_alone(context, seconds):
    assert count_readers(context, seconds) == len(context.peer_groups)


class CountingTransport:
    """Counts the heartbeats to each address."""

    def __init__(self):
        self.sent = Counter()

    def sendto(self, data, address):
        self.sent[address] += 1


@when("a daemon among each number of daemons up to 400 has sent for 3 rounds")
def send_rounds(context):
    context.skipped = []
    for count in range(2, 401):
        make_peer_group(context, count)
        transport = CountingTransport()
        context.peer_group.connection_made(transport)
        far = sum(s.failure_domain != "fd0" for s in context.others.values())
        round_ticks = REMOTE_INTERVAL_TICKS * -(
            -far // int(REMOTE_HEARTBEATS_PER_S * TICK_S * REMOTE_INTERVAL_TICKS)
        )
        ticks = 3 * max(round_ticks, 1)
        context.loop.run_until_complete(send_for(context.peer_group, ticks))
        least = min(transport.sent[name, 1] for name in context.others)
        if least < 2:
            context.skipped.append((count, least))


async def send_for(peer_group, ticks):
    for _ in range(ticks):
        peer_group.tick()
        peer_group.send_heartbeats()


@then("each of the others has received at least 2 heartbeats")
def compare_skipped(context):
    assert not context.skipped, context.skipped


@given("a daemon that reads {count:d} versions of a configuration of {size:d} kB")
def read_many_versions(context, count, size):
    context.loop = async_solipsism.EventLoop()
    context.add_cleanup(context.loop.close)

    async def read():
        topics = FakeTopics()
        context.copy = Follower(FakeStore(topics), TOPIC, null_decisions())
        await context.copy.read_once(wait=False)
        tracemalloc.start()
        for version in range(count):
            topics.append(TOPIC, [Change(KEY, configuration(version, size * 1000))])
            await context.copy.read_once(wait=False)
            # From here on, only the follower may hold the value.
            topics.records(TOPIC)[-1] = Change(KEY, b"", version)
        context.memory_bytes, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()

    context.loop.run_until_complete(read())


@then("its copy takes less than 1 MB")
def compare_memory(context):
    assert context.memory_bytes < 1_000_000, context.memory_bytes
