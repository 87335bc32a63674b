"""Upstreams that start anew under calls from several daemons."""

from __future__ import annotations

import asyncio

import async_solipsism
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from auburnproxy.external import ModelSpec
from features.fakes.caller import Caller
from features.fakes.replicas import FakeDaemon, FakePlatform

DOMAIN = "d1"
TICK_S = 0.25
START_S = 15.0
COLD_S = 4.0
"""Time after its first call in which an engine bears its cold slots and no more."""


class ColdStarts(RuleBasedStateMachine):
    """Three daemons that call the same engines as hard as their shares allow."""

    def __init__(self):
        super().__init__()
        self.loop = async_solipsism.EventLoop()
        self.platform = FakePlatform((ModelSpec("m", "1", 1),))
        self.platform.add(DOMAIN, "f1", 3, load_s=1, start_s=0)
        self.engines = list(self.platform.engines_by_host.values())
        self.daemons = [
            FakeDaemon(self.platform, DOMAIN, {"m": 2}, marks=set(), keys=held)
            for held in (None, set(), set())
        ]
        self.callers = [
            Caller(self.platform, daemon, "m", rank, len(self.daemons))
            for rank, daemon in enumerate(self.daemons)
        ]
        self.started = dict.fromkeys(self.engines, (0, 0.0))
        self.run(self.start())

    def run(self, coroutine):
        return self.loop.run_until_complete(coroutine)

    @property
    def now(self):
        return self.loop.time()

    async def stop(self):
        for daemon in self.daemons:
            await daemon.stop()

    async def start(self):
        for daemon in self.daemons:
            daemon.start()
        await asyncio.sleep(START_S)

    def teardown(self):
        self.run(self.stop())
        self.loop.close()

    @rule(seconds=st.sampled_from([0.25, 1.0, 6.0, 15.0]), call_s=st.floats(0.1, 4.0))
    def press(self, seconds, call_s):
        """Call as much as is let through, for a while."""
        self.run(self.ticks(seconds, call_s))

    async def ticks(self, seconds, call_s):
        end = self.now + seconds
        while self.now < end:
            for caller in self.callers:
                caller.press(call_s)
            self.check()
            await asyncio.sleep(TICK_S)
            self.check()

    @rule(host=st.integers(0, 2), down_s=st.sampled_from([0.0, 0.3, 5.0]))
    def restart(self, host, down_s):
        engine = self.engines[host]
        engine.alive = False
        self.press(down_s, 1.0)
        engine.restart()

    @rule(host=st.integers(0, 2), first_token_s=st.sampled_from([0.1, 5.0]))
    def slow(self, host, first_token_s):
        self.engines[host].first_token_s = first_token_s

    @rule(host=st.integers(0, 2), running=st.booleans())
    def pause(self, host, running):
        if running:
            self.engines[host].running.set()
        else:
            self.engines[host].running.clear()

    def check(self):
        for engine in self.engines:
            starts, since = self.started[engine]
            if engine.starts != starts or not engine.calls:
                since = self.now
                self.started[engine] = engine.starts, since
            entry = engine.entry
            cold = self.now - since < COLD_S
            bears = entry.cold_slots if cold else entry.slots
            assert engine.in_flight <= bears, f"point3: {engine.in_flight} > {bears}"


MACHINES = (ColdStarts,)
