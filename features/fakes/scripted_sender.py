"""A sender whose engines answer a stream with given pieces, without a network."""

from __future__ import annotations

import asyncio
import re
from collections.abc import Callable, Sequence
from typing import NamedTuple, cast

from auburnproxy.clock import loop_time
from auburnproxy.errors import RefusalError
from auburnproxy.gateway.call import Call
from auburnproxy.gateway.header_codec import Dispatch, RequestInfo, ResponseInfo
from auburnproxy.gateway.host import Host
from auburnproxy.gateway.retry_budget import RetryAllowance, RetryBudget
from auburnproxy.gateway.route import Route
from auburnproxy.gateway.sender import Sender, UpstreamResponse
from auburnproxy.gateway.stream_forwarder import StreamAbortedError
from auburnproxy.gossip import FactTable
from auburnproxy.upstreams.client import TrackedResponse
from emulator.in_memory_request import CallerWriter, make_request
from emulator.upstreams import EmulatedResponse
from features.fakes.fleet import SERVICE
from features.fakes.forwarding import make_stream_forwarder
from features.fakes.pausing_sender import ROUTE, RecordingDecisions
from features.fakes.selection import SelectionFixture
from features.machines.runner import run_virtual

DEADLINE_S = 6.0
EVENTS = 6
"""Events of a whole stream, unless a test has others."""
HEADS = 3


class Answer(NamedTuple):
    """What an engine sends in one try."""

    pieces: Sequence[bytes]
    """Each is read at once."""
    breaks: bool = False
    """Whether its connection breaks after them."""
    interval_s: float = 0.001
    """Time between two of them."""


class ScriptedSender(Sender):
    """Sends one stream to engines.

    :param answer: returns what an engine sends, by the number of the try and the id
        after which it has to go on
    :param route: the route of the request
    """

    def __init__(
        self, answer: Callable[[int, str], Answer], *, route: Route = ROUTE
    ) -> None:
        self.resumed_after: list[str] = []
        """The id after which each try had to go on."""
        self.writes: list[bytes] = []
        self.receive: Callable[[bytes], None] = self.writes.append
        """Called with each write to the caller."""
        self.whole = False
        self.status = 200
        self.decisions = RecordingDecisions()
        self.retry_budget = RetryBudget(RetryAllowance(0.0, 100.0, 60.0), lambda: 1)
        self._answer = answer
        self._route = route
        self._streams = make_stream_forwarder(
            self,
            SelectionFixture(HEADS, 0, 9),
            FactTable(),
            self.decisions,
            report=self.report,
        )

    @property
    def written(self) -> bytes:
        """What the caller has received."""
        return b"".join(self.writes)

    async def request(self) -> None:
        """Request the stream and collect what arrives."""
        began = loop_time()
        http = make_request("/s/x", {}, CallerWriter(lambda block: self.receive(block)))
        info = RequestInfo("a1", "", None, "small", 100, 100, "")
        deadline = began + DEADLINE_S
        call = Call(http, info, self._route, SERVICE, "", 1, b"", began, deadline)
        try:
            await self._streams.forward(call, self.retry_budget)
            self.whole = True
        except RefusalError as refusal:
            self.status = refusal.status
        except StreamAbortedError:
            pass

    async def send(self, call: Call, dispatch: Dispatch) -> UpstreamResponse:
        """Run the stream at an engine."""
        self.resumed_after.append(dispatch.resume_after)
        script = self._answer(len(self.resumed_after), dispatch.resume_after)
        answer = EmulatedResponse()
        task = asyncio.create_task(self._send_pieces(answer, script))
        answer.on_close = task.cancel
        info = ResponseInfo(200, False, True, call.id, False, None, "", False, "")
        return UpstreamResponse(cast(TrackedResponse, answer), info)

    async def _send_pieces(self, answer: EmulatedResponse, script: Answer) -> None:
        for piece in script.pieces:
            answer.put(piece)
            await asyncio.sleep(script.interval_s)
        answer.put(None if script.breaks else b"")

    async def report(self, host: Host) -> Host:
        """Return an engine's report; every engine is alive."""
        return host


def event(number: int) -> bytes:
    """Return a small event whose id is its number."""
    return b"id: %d\ndata: t%d\n\n" % (number, number)


def events(first: int, last: int = EVENTS) -> list[bytes]:
    """Return consecutive events."""
    return [event(number) for number in range(first, last + 1)]


def sound_answer(after: str) -> Answer:
    """Return all events after an id."""
    return Answer(events(int(after or 0) + 1))


def play(first_answer: Answer, *, route: Route = ROUTE) -> ScriptedSender:
    """Play a stream whose first try gets an answer, and later ones a sound one."""

    async def stream() -> ScriptedSender:
        sender = ScriptedSender(
            lambda tried, after: first_answer if tried == 1 else sound_answer(after),
            route=route,
        )
        await sender.request()
        return sender

    return cast(ScriptedSender, run_virtual(stream()))


def data_lines(written: bytes) -> list[bytes]:
    """Return the data of the events in some bytes, as a caller's parser reads them."""
    found: list[bytes] = []
    data: list[bytes] = []
    for line in re.split(rb"\r\n|\r|\n", written):
        if not line:
            if data:
                found.append(b"\n".join(data))
            data = []
        elif line.startswith(b"data"):
            data.append(line[4:].removeprefix(b":").removeprefix(b" "))
    return found


def tokens(*numbers: int) -> list[bytes]:
    """Return the data of some events."""
    return [b"t%d" % number for number in numbers]
