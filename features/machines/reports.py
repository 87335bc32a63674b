"""State machines that test report sharing under faults and clock offsets."""

from __future__ import annotations

import asyncio

import async_solipsism
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from auburnproxy.upstreams import Observation, Result
from auburnproxy.upstreams.engine import EngineState
from auburnproxy.upstreams.one_way_delay import OneWayDelay
from auburnproxy.upstreams.watcher import MAX_REPORT_AGE_S, REPORT_INTERVAL_S

from ..fakes.sharing import NETWORK_DELAY_S, FakeNetwork, SharingDaemon

DAEMONS, HOSTS = 3, 3
CHECK_INTERVAL_S = 0.05
RECOVERY_S = 8.0
POLL_COUNT_S = 4.0
DRIFT = 0.0004
"""Difference in rate of two clocks, as a fraction."""
ROUNDING_S = 1e-6

daemons = st.integers(0, DAEMONS - 1)
hosts = st.sampled_from([f"h{number}" for number in range(HOSTS)])
delays = st.sampled_from([NETWORK_DELAY_S, 0.3, 1.0, 2.5, 5.0])


class ReportsMachine(RuleBasedStateMachine):
    """Checks that no daemon uses a report that has expired or was never sent."""

    def __init__(self):
        super().__init__()
        self.loop = async_solipsism.EventLoop()
        self.closed_at: dict[tuple[int, str], float] = {}
        self.unreachable_pairs: set[tuple[int, str]] = set()

    @initialize(
        offsets=st.lists(st.floats(-1e6, 1e6), min_size=DAEMONS, max_size=DAEMONS),
        held=st.booleans(),
    )
    def begin(self, offsets, held):
        self.run(self.start(offsets, held))

    async def start(self, offsets, held):
        self.network = FakeNetwork(HOSTS)
        for number, offset_s in enumerate(offsets):
            rate = DRIFT * (number - 1)
            self.network.daemons.append(
                SharingDaemon(self.network, number, offset_s, rate)
            )
        self.daemons = self.network.daemons
        if held:
            self.daemons[0].running.clear()
        for daemon in self.daemons:
            daemon.start()

    def run(self, work):
        return self.loop.run_until_complete(work)

    @rule(seconds=st.sampled_from([0.1, 0.6, 1.5, 3.0]))
    def pass_time(self, seconds):
        self.run(self.check_for(seconds))

    @rule(number=daemons)
    def freeze(self, number):
        self.daemons[number].running.clear()

    @rule(number=daemons, seconds=st.sampled_from([0.05, 0.5]))
    def thaw(self, number, seconds):
        self.daemons[number].running.set()
        self.run(self.check_for(seconds))

    @rule(one=daemons, other=daemons)
    def cut(self, one, other):
        self.network.cut_links.add(self.pair(one, other))

    @rule(one=daemons, other=daemons)
    def join(self, one, other):
        self.network.cut_links.discard(self.pair(one, other))

    @rule(one=daemons, other=daemons, seconds=delays)
    def delay(self, one, other, seconds):
        route = (self.daemons[one].me.id, self.daemons[other].me.id)
        self.network.delay_s[route] = seconds
        self.run(self.check_for(seconds + REPORT_INTERVAL_S))

    @rule(host=hosts, hangs=st.booleans())
    def kill(self, host, hangs):
        engine = self.network.engines_by_host[host]
        engine.alive, engine.hangs = hangs, hangs

    @rule(host=hosts)
    def restart(self, host):
        self.network.engines_by_host[host].restart()

    @rule(host=hosts)
    def leave(self, host):
        self.network.engines_by_host[host].state = EngineState.LEAVING

    @rule(number=daemons, host=hosts)
    def wall_off(self, number, host):
        self.daemons[number].blocked_hosts.add(host)

    @rule(number=daemons)
    def clear_walls(self, number):
        self.daemons[number].blocked_hosts.clear()
        self.unreachable_pairs = {
            pair for pair in self.unreachable_pairs if pair[0] != number
        }

    @rule(one=daemons, other=daemons, host=hosts)
    def restart_unseen(self, one, other, host):
        """Restart a host while a link drops the frames that report the restart."""
        self.network.lossy_link = self.pair(one, other)
        self.restart(host)
        self.run(self.check_for(0.55))
        self.network.lossy_link = frozenset()
        self.run(self.check_for(0.6))

    @rule(number=daemons, host=hosts)
    def see_closed(self, number, host):
        self.run(self.observe(number, host))

    @rule()
    def calm(self):
        """Clear all faults; then each host has one poller and is known everywhere."""
        self.network.cut_links.clear()
        self.network.delay_s.clear()
        for daemon in self.daemons:
            daemon.running.set()
            daemon.blocked_hosts.clear()
        self.unreachable_pairs.clear()
        for engine in self.network.engines_by_host.values():
            engine.alive, engine.hangs = True, False
        self.run(self.check_for(RECOVERY_S))
        for daemon in self.daemons:
            daemon.polls.clear()
        self.run(self.check_for(POLL_COUNT_S, must_be_present=True))
        polls = sum(sum(daemon.polls.values()) for daemon in self.daemons)
        assert polls <= HOSTS * (POLL_COUNT_S / REPORT_INTERVAL_S + 1), polls

    async def observe(self, number, host):
        closed = Observation(Result.CLOSED)
        self.daemons[number].watcher.observe(host, closed)
        if host in self.daemons[number].blocked_hosts:
            self.unreachable_pairs.add((number, host))
        self.closed_at[number, host] = asyncio.get_running_loop().time()

    async def check_for(self, seconds, *, must_be_present=False):
        for _ in range(round(seconds / CHECK_INTERVAL_S)):
            await asyncio.sleep(CHECK_INTERVAL_S)
            self.check_all(must_be_present)

    def check_all(self, must_be_present):
        now = self.loop.time()
        for number, daemon in enumerate(self.daemons):
            failed = [task for task in daemon.tasks if task.done()]
            assert not failed, failed
            for host in self.network.engines_by_host:
                if daemon.running.is_set():
                    self.check_report(now, number, host, must_be_present)

    def check_report(self, now, number, host, must_be_present):
        stored = self.daemons[number].stored(host)
        assert stored or not must_be_present, (number, host)
        if stored is None:
            return
        assert (number, host) not in self.unreachable_pairs, (number, host)
        sent_at, sent, report = stored
        assert now - sent_at <= MAX_REPORT_AGE_S + NETWORK_DELAY_S, (
            number,
            host,
            now - sent_at,
        )
        assert report == sent
        assert sent_at > self.closed_at.get((number, host), -1.0), (number, host)

    def pair(self, one, other):
        return frozenset((self.daemons[one].me.id, self.daemons[other].me.id))

    def teardown(self):
        if hasattr(self, "daemons"):
            for daemon in self.daemons:
                self.run(daemon.stop())
        self.loop.close()


class TransitMachine(RuleBasedStateMachine):
    """Checks that the bound on a frame's age is never below its true age."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.sides = (OneWayDelay(), OneWayDelay())
        self.frames: tuple[list, list] = ([], [])

    @initialize(offset_s=st.floats(-1e6, 1e6), rate=st.sampled_from([-DRIFT, 0, DRIFT]))
    def begin(self, offset_s, rate):
        self.offset_s, self.rate = offset_s, rate

    def clock(self, side):
        return self.offset_s + self.now * (1 + self.rate) if side else self.now

    @rule(seconds=st.sampled_from([0.0, 0.001, 0.5, 3.0, 100.0]))
    def pass_time(self, seconds):
        self.now += seconds

    @rule(side=st.sampled_from([0, 1]))
    def send(self, side):
        stamp = self.clock(side)
        self.frames[side].append(
            (self.now, stamp, self.sides[side].min_difference_s(stamp))
        )

    @rule(side=st.sampled_from([0, 1]))
    def receive(self, side):
        """Receive the oldest frame, after any delay."""
        if not self.frames[1 - side]:
            return
        sent, stamp, min_difference_s = self.frames[1 - side].pop(0)
        bound_s = self.sides[side].receive(
            sent_at=stamp,
            received_at=self.clock(side),
            peer_min_difference_s=min_difference_s,
        )
        if bound_s is not None:
            assert bound_s >= (self.now - sent) * (1 - DRIFT) - ROUNDING_S

    @rule()
    def exchange(self):
        """Deliver frames both ways without delay, which makes the bound tight."""
        for side in (0, 1, 0):
            self.frames[side].clear()
            self.send(side)
            sent, stamp, min_difference_s = self.frames[side].pop()
            bound_s = self.sides[1 - side].receive(
                sent_at=stamp,
                received_at=self.clock(1 - side),
                peer_min_difference_s=min_difference_s,
            )
        assert bound_s is not None and bound_s <= ROUNDING_S, bound_s


MACHINES = [ReportsMachine, TransitMachine]
