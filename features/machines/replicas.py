"""Replicas under faults, against what the fake engines truly did."""

from __future__ import annotations

import asyncio

import async_solipsism
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from auburnproxy.external import ModelSpec, Presence
from auburnproxy.journal import Record
from auburnproxy.replicas import Replica, ownership_key
from auburnproxy.replicas.replicas import Kind
from auburnproxy.upstreams.engine import EngineState
from features.fakes.replicas import FakeDaemon, FakePlatform

DOMAIN = "d1"
FABRICS = ("f1", "f2")
HOSTS = 5
TICK_S = 0.25
START_S = 15.0
NOTICE_S = 3.0
"""A few seconds: how long a missing, leaving or marked host may get new work."""
REFUSED_S = 1.0
"""Two polls: how long a host that refuses connections may get new work."""
HEALED_S = 120.0
"""Time in which everything wanted must serve again after the faults end."""

hosts = st.integers(0, HOSTS * len(FABRICS) - 1)
daemons = st.integers(0, 1)


class Faults(RuleBasedStateMachine):
    """Two daemons with a fabric domain each, and every fault of their hosts."""

    def __init__(self):
        super().__init__()
        self.loop = async_solipsism.EventLoop()
        self.platform = FakePlatform((ModelSpec("m", "1", 2), ModelSpec("k", "1", 3)))
        for number, fabric in enumerate(FABRICS):
            self.platform.add(DOMAIN, fabric, HOSTS, checks_fence=not number, load_s=5)
        self.engines = list(self.platform.engines_by_host.values())
        self.marks: set[str] = set()
        self.wanted = {"m": 2, "k": 1}
        keys = [{ownership_key(DOMAIN, fabric)} for fabric in FABRICS]
        self.daemons = [
            FakeDaemon(self.platform, DOMAIN, self.wanted, marks=self.marks, keys=held)
            for held in keys
        ]
        self.true_at: dict[tuple[str, int, int, tuple[str, ...]], float] = {}
        self.marked_at: dict[str, float] = {}
        self.listed_at: dict[str, float] = {}
        self.left_at: dict[str, float] = {}
        self.down_at: dict[str, float] = {}
        self.streams: dict[asyncio.Task, Replica] = {}
        self.run(self.start())

    async def start(self):
        for daemon in self.daemons:
            daemon.start()
        await self.ticks(START_S)

    def run(self, coroutine):
        return self.loop.run_until_complete(coroutine)

    @property
    def now(self):
        return self.loop.time()

    def teardown(self):
        try:
            self.heal()
        finally:
            self.run(self.stop())
            self.loop.close()

    async def stop(self):
        for daemon in self.daemons:
            await daemon.stop()

    def heal(self):
        self.marks.clear()
        for since in (self.marked_at, self.listed_at, self.left_at):
            since.clear()
        self.platform.up = self.platform.log_up = True
        for daemon in self.daemons:
            daemon.journal.follows = True
        for number, engine in enumerate(self.engines):
            engine.order_delay_s, engine.duplicates = 0.0, False
            self.list_as(number, Presence.LIVE)
            if not engine.alive or engine.leaving:
                engine.restart()
            engine.running.set()
        self.run(self.recover())

    async def recover(self):
        """Pass time until everything that is wanted serves."""
        end = self.now + HEALED_S
        while lacking := self.lacking():
            assert self.now < end, f"not serving after the faults: {lacking}"
            await self.ticks(1.0)

    def lacking(self):
        return [
            model
            for daemon in self.daemons
            for model, count in self.wanted.items()
            if len(daemon.readiness.serving(model)) < count
        ]

    def list_as(self, host, presence):
        name = self.engines[host].entry.name
        entry = self.platform.entries_by_host[name]
        self.platform.entries_by_host[name] = entry._replace(presence=presence)

    @rule(seconds=st.sampled_from([0.25, 0.5, 1.0]))
    def pass_moment(self, seconds):
        self.run(self.ticks(seconds))

    @rule(seconds=st.sampled_from([2.0, 4.0, 8.0, 20.0]))
    def pass_time(self, seconds):
        self.run(self.ticks(seconds))

    async def ticks(self, seconds):
        end = self.now + seconds
        while self.now < end:
            await asyncio.sleep(TICK_S)
            self.watch()
            self.check()

    @rule(host=hosts)
    def kill(self, host):
        self.engines[host].alive = False

    @rule(host=hosts, keeps=st.booleans())
    def restart(self, host, keeps):
        if not keeps:
            self.engines[host].lose_disk()
        self.start_again(self.engines[host])

    def start_again(self, engine):
        engine.restart()
        self.left_at.pop(engine.entry.name, None)

    @rule(host=hosts)
    def pause(self, host):
        self.engines[host].running.clear()

    @rule(host=hosts)
    def resume(self, host):
        self.engines[host].running.set()

    @rule(host=hosts, by_list=st.booleans())
    def leave(self, host, by_list):
        name = self.engines[host].entry.name
        if by_list:
            self.list_as(host, Presence.LEAVING)
            self.listed_at.setdefault(name, self.now)
            return
        self.engines[host].leaving = True
        if self.engines[host].alive and self.engines[host].running.is_set():
            self.left_at.setdefault(name, self.now)

    @rule(
        host=hosts, delay_s=st.sampled_from([0.0, 0.5, 1.5, 12.0]), twice=st.booleans()
    )
    def slow_orders(self, host, delay_s, twice):
        self.engines[host].order_delay_s = delay_s
        self.engines[host].duplicates = twice

    @rule(delay_s=st.sampled_from([0.0, 12.0]), odd=st.booleans())
    def slow_half(self, delay_s, odd):
        """Let orders reach every second host late, so that they differ in a replica."""
        for engine in self.engines[odd::2]:
            engine.order_delay_s = delay_s

    @rule(fabric=st.integers(0, len(FABRICS) - 1), back=st.booleans())
    def darken(self, fabric, back):
        for engine in self.engines[fabric * HOSTS : (fabric + 1) * HOSTS]:
            if not back:
                engine.alive = False
            elif not engine.alive:
                self.start_again(engine)

    @rule(place=st.sampled_from([DOMAIN, "h000", "h001", "h005", "h006"]))
    def mark(self, place):
        self.marks.add(place)
        self.marked_at.setdefault(place, self.now)

    @precondition(lambda self: self.marks)
    @rule(data=st.data())
    def unmark(self, data):
        place = data.draw(st.sampled_from(sorted(self.marks)))
        self.marks.discard(place)
        self.marked_at.pop(place, None)

    @rule(log_up=st.booleans(), up=st.booleans())
    def switch_platform(self, log_up, up):
        self.platform.log_up, self.platform.up = log_up, up
        self.listed_at = dict.fromkeys(self.listed_at, self.now)

    @rule(daemon=daemons, follows=st.booleans())
    def lag(self, daemon, follows):
        self.daemons[daemon].journal.follows = follows

    @rule()
    def hand_over(self):
        """Swap ownership; each daemon drops its own before the other takes it."""
        first, second = self.daemons
        keys = first.keys, second.keys
        first.keys = second.keys = set()
        self.pass_time(2 * TICK_S)
        second.keys, first.keys = keys

    @rule()
    def race(self):
        """Let both daemons plan everything at once."""
        keys = [daemon.keys for daemon in self.daemons]
        everything = set().union(*keys)
        for daemon in self.daemons:
            daemon.keys = everything
        self.run(asyncio.sleep(0))
        self.run(self.plan_all())
        for daemon, held in zip(self.daemons, keys, strict=True):
            daemon.keys = held

    async def plan_all(self):
        await asyncio.gather(*(daemon.planner.step() for daemon in self.daemons))

    @rule(
        kind=st.sampled_from(list(Kind)),
        names=st.lists(hosts, min_size=1, max_size=3, unique=True),
    )
    def append_unexpected(self, kind, names):
        """Append a record that expects nothing, as an author gone wrong would."""
        entries = [self.engines[number].entry for number in names]
        body = {
            "replica": f"odd-{names[0]}",
            "model": "m",
            "failure_domain": DOMAIN,
            "fabric_domain": entries[0].fabric_domain,
            "hosts": [entry.name for entry in entries],
        }
        if self.platform.log_up and len({e.fabric_domain for e in entries}) == 1:
            name = f"odd{len(self.platform.records)}"
            self.platform.records.append(Record(name, "", kind, body, {}))

    @rule(m=st.integers(0, 2), k=st.integers(0, 1))
    def want(self, m, k):
        self.wanted |= {"m": m, "k": k}

    def watch(self):
        """Note what each engine truly plays at this moment."""
        for engine in self.engines:
            if engine.alive:
                self.down_at.pop(engine.entry.name, None)
            else:
                self.down_at.setdefault(engine.entry.name, self.now)
            up = engine.alive and engine.running.is_set()
            ready = (EngineState.READY, EngineState.LEAVING)
            if up and engine.part and engine.state in ready:
                part = engine.part
                addresses = part.addresses
                key = (part.replica, part.generation, part.rank, addresses)
                self.true_at[key] = self.now

    def check(self):
        for daemon in self.daemons:
            taken: set[str] = set()
            for replica in [r for m in "mk" for r in daemon.readiness.serving(m)]:
                self.check_whole(replica)
                self.check_left(replica)
                self.open_stream(daemon, replica)
                assert not taken & set(replica.hosts), "point2: host in two replicas"
                taken |= set(replica.hosts)

        for task, replica in self.streams.items():
            if not task.done():
                self.check_whole(replica)

    def open_stream(self, daemon, replica):
        """Hold one stream for each replica, cut when the replica is lost."""
        open_ones = [r for task, r in self.streams.items() if not task.done()]
        if replica not in open_ones:
            task = asyncio.create_task(daemon.readiness.lost(replica))
            self.streams[task] = replica

    def check_whole(self, replica):
        entries = self.platform.entries_by_host
        addresses = tuple(entries[host].address for host in replica.hosts)
        for rank, host in enumerate(replica.hosts):
            key = (replica.name, replica.generation, rank, addresses)
            seen_at = self.true_at.get(key, -NOTICE_S)
            assert self.now - seen_at < NOTICE_S, f"point1: {host} missing in {replica}"
            down_at = self.down_at.get(host, self.now)
            assert self.now - down_at < REFUSED_S, f"point1: {host} is down"

    def check_left(self, replica):
        for place in (DOMAIN, *replica.hosts):
            self.check_since(self.marked_at, place, "point4")
            self.check_since(self.left_at, place, "point8")
            if self.platform.up:
                self.check_since(self.listed_at, place, "point8")

    def check_since(self, since_by_place, place, point):
        since = since_by_place.get(place, self.now)
        assert self.now - since < NOTICE_S, f"{point}: {place} gets work"

    @invariant()
    def records_are_disjoint(self):
        for daemon in self.daemons:
            hosts_by_name = {}
            for record in accepted(self.platform, daemon.journal):
                body = record.body
                hosts_by_name.pop(body["replica"], None)
                taken = {h for names in hosts_by_name.values() for h in names}
                if record.kind != Kind.DISSOLVE:
                    assert not taken & set(body["hosts"]), "point2: host taken"
                    hosts_by_name[body["replica"]] = tuple(body["hosts"])
            folded = {r.name: r.hosts for r in daemon.replicas.by_name.values()}
            assert folded == hosts_by_name, "point2: fold differs from the records"


def accepted(platform, journal):
    """Return the records that a naive reading of the log accepts."""
    versions: dict[str, int] = {}
    found = []
    for offset, record in enumerate(platform.records[: journal.offset], start=1):
        if journal.outcomes[record.id].accepted:
            assert all(versions.get(k, 0) == v for k, v in record.expects.items())
            versions |= dict.fromkeys(record.expects, offset)
            found.append(record)
    return found


MACHINES = (Faults,)
