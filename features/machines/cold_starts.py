"""Upstreams that restart while several daemons call them."""

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
"""Time after its first call in which an engine supports only its cold slots."""


class ColdStarts(RuleBasedStateMachine):
    """Three daemons that call the same engines as much as their shares allow."""

    def __init__(self):
        super().__init__()
        self.loop = async_solipsism.EventLoop()
        self.platform = FakePlatform((ModelSpec("m", "1", 1),))
        self.platform.add(DOMAIN, "f1", 3, load_s=1, start_s=0)
        self.engines = list(self.platform.engines_by_host.values())
        self.daemons = [
            FakeDaemon(
                self.platform, DOMAIN, {"m": 2}, taken_out=set(), owned_keys=owned_keys
            )
            for owned_keys in (None, set(), set())
        ]
        self.callers = [
            Caller(self.platform, daemon, "m", rank, len(self.daemons))
            for rank, daemon in enumerate(self.daemons)
        ]
        self.start_by_engine = dict.fromkeys(self.engines, (0, 0.0))
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
        """Make as many calls as the shares allow, for a while."""
        self.run(self.advance(seconds, call_s))

    async def advance(self, seconds, call_s):
        end = self.now + seconds
        while self.now < end:
            for caller in self.callers:
                caller.start_calls(call_s)
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
            start_count, since = self.start_by_engine[engine]
            if engine.start_count != start_count or not engine.call_count:
                since = self.now
                self.start_by_engine[engine] = engine.start_count, since
            entry = engine.entry
            cold = self.now - since < COLD_S
            capacity = entry.cold_slots if cold else entry.slots
            assert engine.in_flight <= capacity, (
                f"point3: {engine.in_flight} > {capacity}"
            )


MACHINES = (ColdStarts,)
