"""Steps for heartbeats that are sent out of turn."""

import asyncio

import async_solipsism
import msgspec
from behave import given, then, when

from auburnproxy.gossip import FactKind, FactTable
from auburnproxy.heartbeats import DaemonRecord, Heartbeat, PeerGroup
from auburnproxy.heartbeats.heartbeat import unpack
from auburnproxy.heartbeats.peer_group import TICK_S
from auburnproxy.store import Change, Follower
from features.fakes.store import FakeStore, FakeTopics, null_decisions

EXCLUSION_S = 4.0


class FailingDaemon:
    """A daemon that tells others of failed upstreams, and records what it sends."""

    def __init__(self, count, domains):
        self.facts = FactTable()
        self.suspects = {}
        self.failed_at = []
        self.sent = []
        """Time and size of each heartbeat."""
        self.learned_at = {}
        """Times at which each daemon learned of each failure, by failure."""
        follower = Follower(FakeStore(FakeTopics()), "daemons", null_decisions())
        self.names = [f"d{number}" for number in range(count)]
        self.peers = PeerGroup(
            "d0",
            DaemonRecord("d0:1", "fd0", "d0"),
            follower,
            self.heartbeat,
            null_decisions(),
        )
        for number, name in enumerate(self.names):
            record = DaemonRecord(f"{name}:1", f"fd{number % domains}", name)
            follower.on_change(Change(name, msgspec.json.encode(record)))
        self.facts.on_told = self.peers.send_to_all
        self.peers.connection_made(self)

    @property
    def now(self):
        return asyncio.get_running_loop().time()

    def heartbeat(self):
        suspects = [h for h, at in self.suspects.items() if self.now - at < EXCLUSION_S]
        heartbeat = Heartbeat("d0", False, True, True, {}, {}, suspects, [])
        return heartbeat._replace(facts=self.facts.outgoing())

    def sendto(self, data, address):
        self.sent.append((self.now, len(data)))
        for suspect in unpack(data).suspects:
            self.learned_at.setdefault(suspect, {}).setdefault(address[0], self.now)

    def fail(self):
        host = f"i-{len(self.failed_at):010x}"
        self.failed_at.append((host, self.now))
        self.suspects[host] = self.now
        self.peers.announce_exclusion(host)
        process = f"{host}@1780483259097"
        self.facts.tell(FactKind.DISTRUST, process, ttl_s=20.0, value=2.0)
        self.facts.tell(FactKind.FAILURE, process, ttl_s=4.0, value=0.5, origin="d0")

    async def send_in_turn(self):
        while True:
            self.peers.tick()
            self.peers.send_heartbeats()
            await asyncio.sleep(TICK_S)

    async def run(self, failures, *, interval_s, after_s):
        task = asyncio.create_task(self.send_in_turn())
        for _ in range(failures):
            self.fail()
            await asyncio.sleep(interval_s)
        await asyncio.sleep(after_s)
        task.cancel()

    def delay_s(self, host, failed_at):
        """Return the time until all others have learned of a failure."""
        learned_at = self.learned_at.get(host, {})
        others = set(self.names) - {"d0"}
        missing = others - learned_at.keys()
        return 1e9 if missing else max(learned_at.values()) - failed_at


@given(
    "a daemon among {count:d} daemons in {domains:d} failure domains that tells of its "
    "failures"
)
def make_daemon(context, count, domains):
    context.loop = async_solipsism.EventLoop()
    context.add_cleanup(context.loop.close)

    async def make():
        return FailingDaemon(count, domains)

    context.failing = context.loop.run_until_complete(make())


@when("{per_s:d} upstreams fail there each second for {seconds:d} s")
def fail_many(context, per_s, seconds):
    context.loop.run_until_complete(
        context.failing.run(per_s * seconds, interval_s=1 / per_s, after_s=3.9)
    )


@when("an upstream fails there")
def fail_one(context):
    context.loop.run_until_complete(context.failing.run(1, interval_s=0.1, after_s=0.1))


@then("it has sent at most {kilobytes:d} kB in any second")
def compare_bytes(context, kilobytes):
    sent = context.failing.sent
    first = most = total = 0
    for at, size in sent:
        total += size
        while sent[first][0] <= at - 1:
            total -= sent[first][1]
            first += 1
        most = max(most, total)
    assert most <= kilobytes * 1000, most


@then("each of the others has learned of the last failure within {seconds:g} s")
def compare_last(context, seconds):
    delay_s = context.failing.delay_s(*context.failing.failed_at[-1])
    assert delay_s <= seconds, delay_s


@then("each of the others has learned of each failure within {seconds:g} s")
def compare_each(context, seconds):
    delays = [
        context.failing.delay_s(*failure) for failure in context.failing.failed_at
    ]
    assert max(delays) <= seconds, max(delays)
