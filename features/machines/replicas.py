"""Replicas under faults, compared with the true state of the fake engines."""

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
FABRIC_DOMAINS = ("f1", "f2")
HOSTS_PER_FABRIC_DOMAIN = 5
TICK_S = 0.25
START_S = 15.0
MAX_DETECTION_S = 3.0
"""Time for which a missing, leaving or taken-out host may still get new calls."""
MAX_REFUSAL_DETECTION_S = 1.0
"""Time for which a host that refuses connections may get new calls: two polls."""
RECOVERY_TIMEOUT_S = 120.0
"""Time in which all target replicas must serve again after the faults end."""

hosts = st.integers(0, HOSTS_PER_FABRIC_DOMAIN * len(FABRIC_DOMAINS) - 1)
daemons = st.integers(0, 1)


class Faults(RuleBasedStateMachine):
    """Two daemons that own one fabric domain each, with all kinds of faults."""

    def __init__(self):
        super().__init__()
        self.loop = async_solipsism.EventLoop()
        self.platform = FakePlatform((ModelSpec("m", "1", 2), ModelSpec("k", "1", 3)))
        for number, fabric in enumerate(FABRIC_DOMAINS):
            self.platform.add(
                DOMAIN,
                fabric,
                HOSTS_PER_FABRIC_DOMAIN,
                checks_fence=not number,
                load_s=5,
            )
        self.engines = list(self.platform.engines_by_host.values())
        self.taken_out: set[str] = set()
        self.desired_replicas = {"m": 2, "k": 1}
        keys = [{ownership_key(DOMAIN, fabric)} for fabric in FABRIC_DOMAINS]
        self.daemons = [
            FakeDaemon(
                self.platform,
                DOMAIN,
                self.desired_replicas,
                taken_out=self.taken_out,
                owned_keys=owned,
            )
            for owned in keys
        ]
        self.running_at: dict[tuple[str, int, int, tuple[str, ...]], float] = {}
        self.taken_out_at: dict[str, float] = {}
        self.listed_leaving_at: dict[str, float] = {}
        self.reported_leaving_at: dict[str, float] = {}
        self.down_at: dict[str, float] = {}
        self.streams: dict[asyncio.Task, Replica] = {}
        self.run(self.start())

    async def start(self):
        for daemon in self.daemons:
            daemon.start()
        await self.advance(START_S)

    def run(self, coroutine):
        return self.loop.run_until_complete(coroutine)

    @property
    def now(self):
        return self.loop.time()

    def teardown(self):
        try:
            self.end_faults()
        finally:
            self.run(self.stop())
            self.loop.close()

    async def stop(self):
        for daemon in self.daemons:
            await daemon.stop()

    def end_faults(self):
        self.taken_out.clear()
        for since in (
            self.taken_out_at,
            self.listed_leaving_at,
            self.reported_leaving_at,
        ):
            since.clear()
        self.platform.up = self.platform.log_up = True
        for daemon in self.daemons:
            daemon.journal.is_following = True
        for number, engine in enumerate(self.engines):
            engine.order_delay_s, engine.duplicates_orders = 0.0, False
            self.set_presence(number, Presence.LIVE)
            if not engine.alive or engine.leaving:
                engine.restart()
            engine.running.set()
        self.run(self.wait_until_serving())

    async def wait_until_serving(self):
        """Advance the time until all target replicas serve."""
        end = self.now + RECOVERY_TIMEOUT_S
        while missing_models := self.missing_models():
            assert self.now < end, f"not serving after the faults: {missing_models}"
            await self.advance(1.0)

    def missing_models(self):
        return [
            model
            for daemon in self.daemons
            for model, count in self.desired_replicas.items()
            if len(daemon.readiness.serving(model)) < count
        ]

    def set_presence(self, host, presence):
        name = self.engines[host].entry.name
        entry = self.platform.entries_by_host[name]
        self.platform.entries_by_host[name] = entry._replace(presence=presence)

    @rule(seconds=st.sampled_from([0.25, 0.5, 1.0]))
    def pass_moment(self, seconds):
        self.run(self.advance(seconds))

    @rule(seconds=st.sampled_from([2.0, 4.0, 8.0, 20.0]))
    def pass_time(self, seconds):
        self.run(self.advance(seconds))

    async def advance(self, seconds):
        end = self.now + seconds
        while self.now < end:
            await asyncio.sleep(TICK_S)
            self.observe_engines()
            self.check()

    @rule(host=hosts)
    def kill(self, host):
        self.engines[host].alive = False

    @rule(host=hosts, keeps=st.booleans())
    def restart(self, host, keeps):
        if not keeps:
            self.engines[host].lose_disk()
        self.restart_engine(self.engines[host])

    def restart_engine(self, engine):
        engine.restart()
        self.reported_leaving_at.pop(engine.entry.name, None)

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
            self.set_presence(host, Presence.LEAVING)
            self.listed_leaving_at.setdefault(name, self.now)
            return
        self.engines[host].leaving = True
        if self.engines[host].alive and self.engines[host].running.is_set():
            self.reported_leaving_at.setdefault(name, self.now)

    @rule(
        host=hosts, delay_s=st.sampled_from([0.0, 0.5, 1.5, 12.0]), twice=st.booleans()
    )
    def slow_orders(self, host, delay_s, twice):
        self.engines[host].order_delay_s = delay_s
        self.engines[host].duplicates_orders = twice

    @rule(delay_s=st.sampled_from([0.0, 12.0]), odd=st.booleans())
    def slow_half(self, delay_s, odd):
        """Delay orders to every second host to get mixed assignments in a replica."""
        for engine in self.engines[odd::2]:
            engine.order_delay_s = delay_s

    @rule(fabric=st.integers(0, len(FABRIC_DOMAINS) - 1), back=st.booleans())
    def darken(self, fabric, back):
        for engine in self.engines[
            fabric * HOSTS_PER_FABRIC_DOMAIN : (fabric + 1) * HOSTS_PER_FABRIC_DOMAIN
        ]:
            if not back:
                engine.alive = False
            elif not engine.alive:
                self.restart_engine(engine)

    @rule(place=st.sampled_from([DOMAIN, "h000", "h001", "h005", "h006"]))
    def mark(self, place):
        self.taken_out.add(place)
        self.taken_out_at.setdefault(place, self.now)

    @precondition(lambda self: self.taken_out)
    @rule(data=st.data())
    def unmark(self, data):
        place = data.draw(st.sampled_from(sorted(self.taken_out)))
        self.taken_out.discard(place)
        self.taken_out_at.pop(place, None)

    @rule(log_up=st.booleans(), up=st.booleans())
    def switch_platform(self, log_up, up):
        self.platform.log_up, self.platform.up = log_up, up
        self.listed_leaving_at = dict.fromkeys(self.listed_leaving_at, self.now)

    @rule(daemon=daemons, follows=st.booleans())
    def lag(self, daemon, follows):
        self.daemons[daemon].journal.is_following = follows

    @rule()
    def hand_over(self):
        """Swap ownership; each daemon drops its own before the other takes it."""
        first, second = self.daemons
        keys = first.owned_keys, second.owned_keys
        first.owned_keys = second.owned_keys = set()
        self.pass_time(2 * TICK_S)
        second.owned_keys, first.owned_keys = keys

    @rule()
    def race(self):
        """Let both daemons plan all fabric domains at the same time."""
        keys = [daemon.owned_keys for daemon in self.daemons]
        everything = set().union(*keys)
        for daemon in self.daemons:
            daemon.owned_keys = everything
        self.run(asyncio.sleep(0))
        self.run(self.plan_all())
        for daemon, owned in zip(self.daemons, keys, strict=True):
            daemon.owned_keys = owned

    async def plan_all(self):
        await asyncio.gather(*(daemon.planner.step() for daemon in self.daemons))

    @rule(
        kind=st.sampled_from(list(Kind)),
        names=st.lists(hosts, min_size=1, max_size=3, unique=True),
    )
    def append_unexpected(self, kind, names):
        """Append a record without preconditions, as a faulty author would."""
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
        self.desired_replicas |= {"m": m, "k": k}

    def observe_engines(self):
        """Record the assignment that each engine is really running now."""
        for engine in self.engines:
            if engine.alive:
                self.down_at.pop(engine.entry.name, None)
            else:
                self.down_at.setdefault(engine.entry.name, self.now)
            up = engine.alive and engine.running.is_set()
            ready = (EngineState.READY, EngineState.LEAVING)
            if up and engine.assignment and engine.state in ready:
                assignment = engine.assignment
                addresses = assignment.addresses
                key = (
                    assignment.replica,
                    assignment.generation,
                    assignment.rank,
                    addresses,
                )
                self.running_at[key] = self.now

    def check(self):
        for daemon in self.daemons:
            seen_hosts: set[str] = set()
            for replica in [r for m in "mk" for r in daemon.readiness.serving(m)]:
                self.check_complete(replica)
                self.check_excluded(replica)
                self.open_stream(daemon, replica)
                assert not seen_hosts & set(replica.hosts), (
                    "point2: host in two replicas"
                )
                seen_hosts |= set(replica.hosts)

        for task, replica in self.streams.items():
            if not task.done():
                self.check_complete(replica)

    def open_stream(self, daemon, replica):
        """Keep one stream open per replica, aborted when the replica is lost."""
        open_replicas = [r for task, r in self.streams.items() if not task.done()]
        if replica not in open_replicas:
            task = asyncio.create_task(daemon.readiness.wait_until_lost(replica))
            self.streams[task] = replica

    def check_complete(self, replica):
        entries = self.platform.entries_by_host
        addresses = tuple(entries[host].address for host in replica.hosts)
        for rank, host in enumerate(replica.hosts):
            key = (replica.name, replica.generation, rank, addresses)
            seen_at = self.running_at.get(key, -MAX_DETECTION_S)
            assert self.now - seen_at < MAX_DETECTION_S, (
                f"point1: {host} missing in {replica}"
            )
            down_at = self.down_at.get(host, self.now)
            assert self.now - down_at < MAX_REFUSAL_DETECTION_S, (
                f"point1: {host} is down"
            )

    def check_excluded(self, replica):
        for place in (DOMAIN, *replica.hosts):
            self.check_since(self.taken_out_at, place, "point4")
            self.check_since(self.reported_leaving_at, place, "point8")
            if self.platform.up:
                self.check_since(self.listed_leaving_at, place, "point8")

    def check_since(self, since_by_place, place, point):
        since = since_by_place.get(place, self.now)
        assert self.now - since < MAX_DETECTION_S, f"{point}: {place} gets calls"

    @invariant()
    def records_are_disjoint(self):
        for daemon in self.daemons:
            hosts_by_name = {}
            for record in accepted_records(self.platform, daemon.journal):
                body = record.body
                hosts_by_name.pop(body["replica"], None)
                seen_hosts = {h for names in hosts_by_name.values() for h in names}
                if record.kind != Kind.DISSOLVE:
                    assert not seen_hosts & set(body["hosts"]), "point2: host taken"
                    hosts_by_name[body["replica"]] = tuple(body["hosts"])
            folded = {r.name: r.hosts for r in daemon.replicas.by_name.values()}
            assert folded == hosts_by_name, "point2: fold differs from the records"


def accepted_records(platform, journal):
    """Return the accepted records, checking their preconditions independently."""
    versions: dict[str, int] = {}
    found = []
    for offset, record in enumerate(platform.records[: journal.offset], start=1):
        if journal.outcomes[record.id].accepted:
            assert all(versions.get(k, 0) == v for k, v in record.expects.items())
            versions |= dict.fromkeys(record.expects, offset)
            found.append(record)
    return found


MACHINES = (Faults,)
