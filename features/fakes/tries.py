"""Streams over heads that stall, and what becomes of the heads, without a network."""

from __future__ import annotations

import asyncio
from errno import ECONNREFUSED, EMFILE
from typing import Any, cast

from auburnproxy.clock import loop_time
from auburnproxy.errors import Ran, UpstreamError
from auburnproxy.gateway.call import Call
from auburnproxy.gateway.dialect import Ask, Dispatch, Reply
from auburnproxy.gateway.host import Host
from auburnproxy.gateway.lookout import Lookout, Sighting, sighted
from auburnproxy.gateway.resends import Allowance, Resends
from auburnproxy.gateway.route import Route, RouteKind, Target
from auburnproxy.gateway.sender import Sender, Sent
from auburnproxy.gateway.streams import StreamAbortedError, Streams
from auburnproxy.telemetry import Telemetry
from auburnproxy.upstreams.client import TrackedResponse
from emulator.intake import CallerWriter, request
from emulator.upstreams import EmulatedAnswer
from features.fakes.chooser import Chooser
from features.fakes.fleet import ENGINE, SERVICE
from features.fakes.store import quiet

ALLOWED, EVENTS = 2, 6
STALLS_AFTER = 3
"""Events that a head writes before it stalls."""
BEFALLS_S = 0.1
"""Time from a stall until something befalls its head."""
CONNECT_S = 0.25
STANDSTILL_S = 0.45
SLOW_S = 0.3
"""Time in which a report of a slow engine does not come."""
ROUTE = Route(
    "steps",
    "works.example",
    "/s/",
    RouteKind.STREAM,
    (Target(SERVICE, 1),),
    timeout_s=6.0,
    objective_s=0.4,
    pause_objective_s=0.3,
    attempts=ALLOWED,
    resumable=True,
    public=True,
    priority=1,
)
ENDS = frozenset({"its process ends", "its host goes dark"})
"""What shows that an engine has ended or is cut off; all else befalls living ones."""


class Tries(Sender):
    """Sends streams to heads of which the first ones asked stall.

    :param stalling: how many of them
    :param fate: what befalls each of those
    :param heads: how many there are
    """

    def __init__(self, stalling: int, fate: str, *, heads: int = 3) -> None:
        self.chooser = Chooser(heads, 0, 9)
        self.ran: list[str] = []
        """Engines that have begun to run the stream, in turn."""
        self.fate_by_engine: dict[str, str] = {}
        self.written = b""
        self.whole = False
        self.longest_wait_s = 0.0
        """Longest time in which its caller got no event."""
        self._heard_at = loop_time()
        self._stalling = stalling
        self._fate = fate
        self._probes_by_engine: dict[str, int] = {}
        self.chooser.health._probe = self._probe
        self._streams = Streams(
            self,
            self.chooser.choice,
            self.chooser.health,
            Lookout(self.report, self.chooser.health.heard_at, quiet()),
            lambda: ENGINE,
            quiet(),
            Telemetry(),
            answer_bytes=1_000_000,
        )

    @property
    def ran_on_living(self) -> set[str]:
        """The engines that ran the stream and neither ended nor were cut off."""
        return {e for e in self.ran if self.fate_by_engine.get(e) not in ENDS}

    async def stream(self) -> None:
        """Ask for one stream and take what comes of it."""
        began = loop_time()
        http = request("/s/x", {}, CallerWriter(self._take))
        ask = Ask("a1", "", None, "small", 100, EVENTS, "")
        call = Call(http, ask, ROUTE, SERVICE, "", 1, b"", began, began + 6.0)
        resends = Resends(Allowance(0.2, 100.0, 10.0), lambda: 1)
        try:
            await self._streams.answer(call, resends)
            self.whole = True
        except StreamAbortedError:
            return

    def _take(self, block: bytes) -> None:
        self.written += block
        now = loop_time()
        self.longest_wait_s = max(self.longest_wait_s, now - self._heard_at)
        self._heard_at = now

    async def send(self, call: Call, dispatch: Dispatch) -> Sent:
        """Run the stream at a head."""
        engine, answer = dispatch.host.id, EmulatedAnswer()
        self.ran.append(engine)
        stalls = len(self.ran) <= self._stalling
        first = int(dispatch.resume_after or 0) + 1
        last = min(first + STALLS_AFTER, EVENTS) - 1 if stalls else EVENTS
        for number in range(first, last + 1):
            answer.put(b"id: %d\ndata: x\n\n" % number)
        if stalls:
            asyncio.get_running_loop().call_later(BEFALLS_S, self._befall, engine)
        else:
            answer.put(b"")
        reply = Reply(200, False, True, call.id, False, None, "", False, "")
        return Sent(cast(TrackedResponse, answer), reply)

    def _befall(self, engine: str) -> None:
        self.fate_by_engine[engine] = self._fate
        directory = self.chooser.directory
        if self._fate.startswith("its registration lapses"):
            known = directory.hosts[engine]
            directory.unregister(engine)
            if self._fate.endswith("and is back"):
                loop = asyncio.get_running_loop()
                loop.call_later(1.0, directory.register, known)
        elif self._fate == "its replica is ended":
            self.chooser.lost.add(engine)

    async def report(self, host: Host) -> Host:
        """Return an engine's report as it would come over a connection."""
        fate = self.fate_by_engine.get(host.id, "")
        count = self._probes_by_engine.get(host.id, 0) + 1
        self._probes_by_engine[host.id] = count
        if fate == "its process ends":
            raise _unmade(ConnectionRefusedError(ECONNREFUSED, "refused"))
        if fate == "its host goes dark" or (fate == "a probe is lost" and count == 1):
            await asyncio.sleep(CONNECT_S)
            raise _unmade(TimeoutError())
        if fate == "this daemon stands still":
            await asyncio.sleep(STANDSTILL_S)
            raise _unmade(TimeoutError())
        if fate == "no descriptor is left here":
            raise _unmade(OSError(EMFILE, "too many open files"))
        if fate == "another daemon hears from it":
            await asyncio.sleep(CONNECT_S)
            self.chooser.heard[host.id] = loop_time()
            raise _unmade(TimeoutError())
        if fate == "it answers no probe in time":
            await asyncio.sleep(SLOW_S)
            raise UpstreamError(f"{host.id} is slow", ran=Ran.UNKNOWN)
        if fate == "its process was a new one all along":
            return host._replace(born=host.born + 1)
        return host

    async def _probe(self, engine: str) -> bool:
        host = self.chooser.directory.hosts.get(engine)
        return host is not None and await sighted(host, self.report) is Sighting.LIVES


def _unmade(cause: Any) -> UpstreamError:
    """Return the error of a connection that was not made."""
    error = UpstreamError("no connection", ran=Ran.NO)
    error.__cause__ = cause
    return error
