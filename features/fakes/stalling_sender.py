"""A sender whose heads stall and then fail in various ways, without a network."""

from __future__ import annotations

import asyncio
from errno import ECONNREFUSED, EMFILE
from typing import Any, cast

from auburnproxy.clock import loop_time
from auburnproxy.errors import Ran, UpstreamError
from auburnproxy.gateway.call import Call
from auburnproxy.gateway.header_codec import Dispatch, RequestInfo, ResponseInfo
from auburnproxy.gateway.host import Host
from auburnproxy.gateway.liveness import Liveness, check_liveness
from auburnproxy.gateway.retry_budget import RetryAllowance, RetryBudget
from auburnproxy.gateway.route import Route, RouteKind, Target
from auburnproxy.gateway.sender import Sender, UpstreamResponse
from auburnproxy.gateway.stream_forwarder import StreamAbortedError
from auburnproxy.gossip import FactTable
from auburnproxy.upstreams.client import TrackedResponse
from emulator.in_memory_request import CallerWriter, make_request
from emulator.upstreams import EmulatedResponse
from features.fakes.fleet import SERVICE
from features.fakes.forwarding import make_stream_forwarder
from features.fakes.selection import SelectionFixture
from features.fakes.store import null_decisions

ALLOWED, EVENTS = 2, 6
STALLS_AFTER = 3
"""Events that a head sends before it stalls."""
FATE_DELAY_S = 0.1
"""Time from the stall of a head until its fate takes effect."""
CONNECT_S = 0.25
STALLED_S = 0.45
SLOW_S = 0.3
"""Time after which a slow engine's report still fails."""
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
ENDING_FATES = frozenset({"its process ends", "its host fails"})
"""Fates that end an engine or cut it off; with all others it is still alive."""


class StallingSender(Sender):
    """Sends streams to heads, of which the first ones that are asked stall.

    :param stalling: number of tries that stall
    :param fate: what happens to each head that stalls
    :param heads: number of heads
    """

    def __init__(self, stalling: int, fate: str, *, heads: int = 3) -> None:
        self.fixture = SelectionFixture(heads, 0, 9)
        self.ran: list[str] = []
        """Engines that have begun to run the stream, in order."""
        self.fate_by_engine: dict[str, str] = {}
        self.written = b""
        self.whole = False
        self.longest_wait_s = 0.0
        """Longest time for which the caller received no event."""
        self._received_at = loop_time()
        self._stalling = stalling
        self._fate = fate
        self._probes_by_engine: dict[str, int] = {}
        self.fixture.health._probe = self._probe
        self.facts = FactTable()
        self._streams = make_stream_forwarder(
            self, self.fixture, self.facts, null_decisions(), report=self.report
        )

    @property
    def ran_on_live(self) -> set[str]:
        """The engines that ran the stream and neither ended nor were cut off."""
        return {e for e in self.ran if self.fate_by_engine.get(e) not in ENDING_FATES}

    async def stream(self) -> None:
        """Request one stream and collect what arrives."""
        began = loop_time()
        http = make_request("/s/x", {}, CallerWriter(self._receive))
        info = RequestInfo("a1", "", None, "small", 100, EVENTS, "")
        call = Call(http, info, ROUTE, SERVICE, "", 1, b"", began, began + 6.0)
        retry_budget = RetryBudget(RetryAllowance(0.2, 100.0, 10.0), lambda: 1)
        try:
            await self._streams.forward(call, retry_budget)
            self.whole = True
        except StreamAbortedError:
            return

    def _receive(self, block: bytes) -> None:
        self.written += block
        now = loop_time()
        self.longest_wait_s = max(self.longest_wait_s, now - self._received_at)
        self._received_at = now

    async def send(self, call: Call, dispatch: Dispatch) -> UpstreamResponse:
        """Run the stream at a head."""
        engine, answer = dispatch.host.id, EmulatedResponse()
        self.ran.append(engine)
        stalls = len(self.ran) <= self._stalling
        first = int(dispatch.resume_after or 0) + 1
        last = min(first + STALLS_AFTER, EVENTS) - 1 if stalls else EVENTS
        for number in range(first, last + 1):
            answer.put(b"id: %d\ndata: x\n\n" % number)
        if stalls:
            asyncio.get_running_loop().call_later(
                FATE_DELAY_S, self._apply_fate, engine
            )
        else:
            answer.put(b"")
        info = ResponseInfo(200, False, True, call.id, False, None, "", False, "")
        return UpstreamResponse(cast(TrackedResponse, answer), info)

    def _apply_fate(self, engine: str) -> None:
        self.fate_by_engine[engine] = self._fate
        directory = self.fixture.directory
        if self._fate.startswith("its registration lapses"):
            known = directory.hosts[engine]
            directory.unregister(engine)
            if self._fate.endswith("and is renewed"):
                loop = asyncio.get_running_loop()
                loop.call_later(1.0, directory.register, known)
        elif self._fate == "its replica is dissolved":
            self.fixture.retiring_heads.add(engine)

    async def report(self, host: Host) -> Host:
        """Return an engine's report as it would arrive over a connection."""
        fate = self.fate_by_engine.get(host.id, "")
        count = self._probes_by_engine.get(host.id, 0) + 1
        self._probes_by_engine[host.id] = count
        if fate == "its process ends":
            raise _connection_error(ConnectionRefusedError(ECONNREFUSED, "refused"))
        if fate == "its host fails" or (fate == "one probe times out" and count == 1):
            await asyncio.sleep(CONNECT_S)
            raise _connection_error(TimeoutError())
        if fate == "this daemon is stalled":
            await asyncio.sleep(STALLED_S)
            raise _connection_error(TimeoutError())
        if fate == "this daemon has no descriptors":
            raise _connection_error(OSError(EMFILE, "too many open files"))
        if fate == "it sends to another daemon":
            await asyncio.sleep(CONNECT_S)
            self.fixture.heard_elsewhere[host.id] = loop_time()
            raise _connection_error(TimeoutError())
        if fate == "its probes are answered too late":
            await asyncio.sleep(SLOW_S)
            raise UpstreamError(f"{host.id} is slow", ran=Ran.UNKNOWN)
        if fate == "its process had already restarted":
            return host._replace(born=host.born + 1)
        return host

    async def _probe(self, engine: str) -> bool:
        host = self.fixture.directory.hosts.get(engine)
        return (
            host is not None
            and await check_liveness(host, self.report) is Liveness.ALIVE
        )


def _connection_error(cause: Any) -> UpstreamError:
    """Return the error of a connection that was not established."""
    error = UpstreamError("no connection", ran=Ran.NO)
    error.__cause__ = cause
    return error
