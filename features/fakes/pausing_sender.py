"""A sender whose engines pause in the middle of their answers, without a network."""

from __future__ import annotations

import asyncio
from typing import Any, NamedTuple, cast

from auburnproxy.clock import loop_time
from auburnproxy.errors import Ran, RefusalError
from auburnproxy.gateway.call import AttemptError, Call
from auburnproxy.gateway.header_codec import Dispatch, RequestInfo, ResponseInfo
from auburnproxy.gateway.host import Host, ReplicaPart, ReplicaPartState
from auburnproxy.gateway.plain_forwarder import PlainForwarder
from auburnproxy.gateway.retry_budget import RetryAllowance, RetryBudget
from auburnproxy.gateway.route import Route, RouteKind, Target
from auburnproxy.gateway.sender import Sender, UpstreamResponse
from auburnproxy.gateway.stream_forwarder import StreamAbortedError
from auburnproxy.gossip import FactTable
from auburnproxy.telemetry.decisions import DecisionLog
from auburnproxy.upstreams.client import TrackedResponse
from emulator.in_memory_request import CallerWriter, make_request
from emulator.upstreams import EmulatedResponse
from features.fakes.fleet import SERVICE, host
from features.fakes.forwarding import ANSWER_BYTES, make_stream_forwarder
from features.fakes.selection import SelectionFixture
from features.fakes.store import devnull

EVENTS, SERVER_ERROR = 6, 500
DEADLINE_S = 6.0
ROUTE = Route(
    "steps",
    "works.example",
    "/s/",
    RouteKind.STREAM,
    (Target(SERVICE, 1),),
    timeout_s=DEADLINE_S,
    objective_s=0.4,
    pause_objective_s=0.3,
    attempts=2,
    resumable=True,
    public=True,
    priority=1,
)


class Pause(NamedTuple):
    """Where an engine's answer pauses."""

    length_s: float
    after_event: int = 0
    then_breaks: bool = False


class RecordingDecisions(DecisionLog):
    """Keeps the lines of the log."""

    def __init__(self) -> None:
        super().__init__("test", descriptor=devnull())
        self.lines: list[tuple[float, str, dict[str, Any]]] = []

    def _write(self, kind: str, fields: dict[str, Any]) -> None:
        self.lines.append((loop_time(), kind, fields))


class PausingSender(Sender):
    """Sends requests to engines, of which the first ones that are asked pause.

    :param pause: the pause of these engines
    :param route: the route of the requests
    :param pausing: number of tries that pause
    :param heads: number of engines
    :param retries: number of retries in the budget
    :param fixture: engines that it shares with another sender, None for its own
    :param first_status: status of the first answer; a failure has no pause
    """

    def __init__(
        self,
        pause: Pause,
        *,
        route: Route = ROUTE,
        pausing: int = 1,
        heads: int = 3,
        retries: int = 10,
        first_status: int = 200,
        fixture: SelectionFixture | None = None,
    ) -> None:
        self.fixture = fixture or SelectionFixture(heads, 0, 9)
        self.ran: list[str] = []
        """Engines that have begun to run the request, in order."""
        self.unreachable: set[str] = set()
        """Engines to which no connection can be made."""
        self.disconnected_at: list[float] = []
        """Times at which an unfinished try was closed."""
        self.written = b""
        self.whole = False
        self.status = 200
        self.took_s = 0.0
        self.retry_budget = RetryBudget(
            RetryAllowance(0.0, retries / 0.8 + 0.1, 60.0), lambda: 1
        )
        self.decisions = RecordingDecisions()
        self.fixture.health._decisions = self.decisions
        self.route = route
        self._allowed_retries = self.retry_budget.remaining
        self._pause = pause
        self._pausing = pausing
        self._first_status = first_status
        self.facts = FactTable()
        self._streams = make_stream_forwarder(
            self, self.fixture, self.facts, self.decisions, report=self.report
        )
        self._plain = PlainForwarder(
            self,
            self.fixture.selector,
            self.fixture.health,
            self.decisions,
            answer_bytes=ANSWER_BYTES,
        )

    @property
    def spent(self) -> int:
        """The retries that were spent."""
        return self._allowed_retries - self.retry_budget.remaining

    def lines(self, kind: str) -> list[dict[str, Any]]:
        """Return the fields of the log lines of a kind."""
        return [fields for _, each, fields in self.decisions.lines if each == kind]

    async def request(self) -> None:
        """Make one request and collect what arrives."""
        began = loop_time()
        http = make_request("/s/x", {}, CallerWriter(self._receive))
        info = RequestInfo("a1", "", None, "small", 100, EVENTS, "")
        deadline = began + DEADLINE_S
        call = Call(http, info, self.route, SERVICE, "", 1, b"", began, deadline)
        try:
            if self.route.kind is RouteKind.STREAM:
                await self._streams.forward(call, self.retry_budget)
            else:
                answer = await self._plain.forward(call, self.retry_budget)
                self.status, self.written = answer.status, cast(bytes, answer.body)
            self.whole = True
        except RefusalError as refusal:
            self.status = refusal.status
        except StreamAbortedError:
            pass
        finally:
            self.took_s = loop_time() - began

    def add_replica(self) -> None:
        """Register one more replica."""
        name = f"n{len(self.fixture.heads)}"
        self.fixture.heads.append(name)
        part = ReplicaPart(f"r-{name}", 1, 0, ReplicaPartState.OPEN)
        head = host(name, models=("small",), part=part, slots=9, seen_at=loop_time())
        self.fixture.directory.register(head)

    def _receive(self, block: bytes) -> None:
        self.written += block

    async def send(self, call: Call, dispatch: Dispatch) -> UpstreamResponse:
        """Run the request at an engine."""
        if dispatch.host.id in self.unreachable:
            raise AttemptError("unreachable", ran=Ran.NO, sent=False)
        answer = EmulatedResponse()
        self.ran.append(dispatch.host.id)
        if len(self.ran) == 1:
            answer.status = self._first_status
        pauses = len(self.ran) <= self._pausing and answer.status < SERVER_ERROR
        first = int(dispatch.resume_after or 0) + 1
        task = asyncio.create_task(self._answer(answer, first, pauses=pauses))

        def close() -> None:
            if not task.done():
                task.cancel()
                self.disconnected_at.append(loop_time())

        answer.on_close = close
        if self.route.kind is not RouteKind.STREAM or first > self._pause.after_event:
            try:
                await answer.started.wait()
            except asyncio.CancelledError:
                close()
                raise
        info = ResponseInfo(200, False, True, call.id, False, None, "", False, "")
        return UpstreamResponse(cast(TrackedResponse, answer), info)

    async def _answer(
        self, answer: EmulatedResponse, first: int, *, pauses: bool
    ) -> None:
        pause = self._pause
        for number in range(first, EVENTS + 1):
            if pauses and number > pause.after_event:
                pauses = False
                await asyncio.sleep(pause.length_s)
                if pause.then_breaks:
                    answer.put(None)
                    return
            answer.put(b"id: %d\ndata: x\n\n" % number)
            await asyncio.sleep(0.01)
        answer.put(b"")

    async def report(self, host: Host) -> Host:
        """Return an engine's report; every engine is alive."""
        await asyncio.sleep(0.005)
        return host
