"""Daemons that share reports under every fault, against what engines really said."""

from __future__ import annotations

import asyncio

import async_solipsism
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from auburnproxy.upstreams import Observation, Result
from auburnproxy.upstreams.engine import EngineState
from auburnproxy.upstreams.transit import Transit
from auburnproxy.upstreams.watcher import FRESH_S, REPORT_INTERVAL_S

from ..fakes.sharing import TRANSIT_S, SharingDaemon, Switch

DAEMONS, HOSTS = 3, 3
LOOK_S = 0.05
CALM_S = 8.0
COUNTED_S = 4.0
DRIFT = 0.0004
"""Difference in rate of two clocks."""
ROUNDING_S = 1e-6

daemons = st.integers(0, DAEMONS - 1)
hosts = st.sampled_from([f"h{number}" for number in range(HOSTS)])
delays = st.sampled_from([TRANSIT_S, 0.3, 1.0, 2.5, 5.0])


class ReportsMachine(RuleBasedStateMachine):
    """No daemon holds a report for fresh that is too old, or that was never made."""

    def __init__(self):
        super().__init__()
        self.loop = async_solipsism.EventLoop()
        self.closed_at: dict[tuple[int, str], float] = {}
        self.shut: set[tuple[int, str]] = set()

    @initialize(
        offsets=st.lists(st.floats(-1e6, 1e6), min_size=DAEMONS, max_size=DAEMONS),
        held=st.booleans(),
    )
    def begin(self, offsets, held):
        self.run(self.start(offsets, held))

    async def start(self, offsets, held):
        self.switch = Switch(HOSTS)
        for number, offset_s in enumerate(offsets):
            rate = DRIFT * (number - 1)
            self.switch.daemons.append(
                SharingDaemon(self.switch, number, offset_s, rate)
            )
        self.daemons = self.switch.daemons
        if held:
            self.daemons[0].runs.clear()
        for daemon in self.daemons:
            daemon.start()

    def run(self, work):
        return self.loop.run_until_complete(work)

    @rule(seconds=st.sampled_from([0.1, 0.6, 1.5, 3.0]))
    def pass_time(self, seconds):
        self.run(self.look(seconds))

    @rule(number=daemons)
    def freeze(self, number):
        self.daemons[number].runs.clear()

    @rule(number=daemons, seconds=st.sampled_from([0.05, 0.5]))
    def thaw(self, number, seconds):
        self.daemons[number].runs.set()
        self.run(self.look(seconds))

    @rule(one=daemons, other=daemons)
    def cut(self, one, other):
        self.switch.cuts.add(self.pair(one, other))

    @rule(one=daemons, other=daemons)
    def join(self, one, other):
        self.switch.cuts.discard(self.pair(one, other))

    @rule(one=daemons, other=daemons, seconds=delays)
    def delay(self, one, other, seconds):
        route = (self.daemons[one].me.id, self.daemons[other].me.id)
        self.switch.delay_s[route] = seconds
        self.run(self.look(seconds + REPORT_INTERVAL_S))

    @rule(host=hosts, hangs=st.booleans())
    def kill(self, host, hangs):
        engine = self.switch.engines_by_host[host]
        engine.alive, engine.hangs = hangs, hangs

    @rule(host=hosts)
    def restart(self, host):
        self.switch.engines_by_host[host].restart()

    @rule(host=hosts)
    def leave(self, host):
        self.switch.engines_by_host[host].state = EngineState.LEAVING

    @rule(number=daemons, host=hosts)
    def wall_off(self, number, host):
        self.daemons[number].walls.add(host)

    @rule(number=daemons)
    def clear_walls(self, number):
        self.daemons[number].walls.clear()
        self.shut = {shut for shut in self.shut if shut[0] != number}

    @rule(one=daemons, other=daemons, host=hosts)
    def restart_unseen(self, one, other, host):
        """Restart a host while frames of a link are lost, which hides the news."""
        self.switch.lossy = self.pair(one, other)
        self.restart(host)
        self.run(self.look(0.55))
        self.switch.lossy = frozenset()
        self.run(self.look(0.6))

    @rule(number=daemons, host=hosts)
    def see_closed(self, number, host):
        self.run(self.observe(number, host))

    @rule()
    def calm(self):
        """Heal everything; then each host is polled once and known everywhere."""
        self.switch.cuts.clear()
        self.switch.delay_s.clear()
        for daemon in self.daemons:
            daemon.runs.set()
            daemon.walls.clear()
        self.shut.clear()
        for engine in self.switch.engines_by_host.values():
            engine.alive, engine.hangs = True, False
        self.run(self.look(CALM_S))
        for daemon in self.daemons:
            daemon.polls.clear()
        self.run(self.look(COUNTED_S, covered=True))
        polls = sum(sum(daemon.polls.values()) for daemon in self.daemons)
        assert polls <= HOSTS * (COUNTED_S / REPORT_INTERVAL_S + 1), polls

    async def observe(self, number, host):
        closed = Observation(Result.CLOSED)
        self.daemons[number].watcher.observe(host, closed)
        if host in self.daemons[number].walls:
            self.shut.add((number, host))
        self.closed_at[number, host] = asyncio.get_running_loop().time()

    async def look(self, seconds, *, covered=False):
        for _ in range(round(seconds / LOOK_S)):
            await asyncio.sleep(LOOK_S)
            self.check(covered)

    def check(self, covered):
        now = self.loop.time()
        for number, daemon in enumerate(self.daemons):
            failed = [task for task in daemon.tasks if task.done()]
            assert not failed, failed
            for host in self.switch.engines_by_host:
                if daemon.runs.is_set():
                    self.compare(now, number, host, covered)

    def compare(self, now, number, host, covered):
        held = self.daemons[number].held(host)
        assert held or not covered, (number, host)
        if held is None:
            return
        assert (number, host) not in self.shut, (number, host)
        made_at, made, report = held
        assert now - made_at <= FRESH_S + TRANSIT_S, (number, host, now - made_at)
        assert report == made
        assert made_at > self.closed_at.get((number, host), -1.0), (number, host)

    def pair(self, one, other):
        return frozenset((self.daemons[one].me.id, self.daemons[other].me.id))

    def teardown(self):
        if hasattr(self, "daemons"):
            for daemon in self.daemons:
                self.run(daemon.stop())
        self.loop.close()


class TransitMachine(RuleBasedStateMachine):
    """Two clocks and a link; the bound is never below the time that passed."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.sides = (Transit(), Transit())
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
        self.frames[side].append((self.now, stamp, self.sides[side].least_s(stamp)))

    @rule(side=st.sampled_from([0, 1]))
    def receive(self, side):
        """Take the oldest frame, whenever it was sent."""
        if not self.frames[1 - side]:
            return
        sent, stamp, least_s = self.frames[1 - side].pop(0)
        bound_s = self.sides[side].receive(
            sent_at=stamp, received_at=self.clock(side), least_s=least_s
        )
        if bound_s is not None:
            assert bound_s >= (self.now - sent) * (1 - DRIFT) - ROUNDING_S

    @rule()
    def exchange(self):
        """Both sides hear each other at once; then the bound is tight."""
        for side in (0, 1, 0):
            self.frames[side].clear()
            self.send(side)
            sent, stamp, least_s = self.frames[side].pop()
            bound_s = self.sides[1 - side].receive(
                sent_at=stamp, received_at=self.clock(1 - side), least_s=least_s
            )
        assert bound_s is not None and bound_s <= ROUNDING_S, bound_s


MACHINES = [ReportsMachine, TransitMachine]
