"""What a daemon's requests meet at the engines: heads, events, refusals, silence."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from functools import partial
from types import TracebackType
from typing import Any, Self, cast

from aiohttp import ClientPayloadError
from multidict import CIMultiDict, CIMultiDictProxy

from auburnproxy.errors import Ran
from auburnproxy.gateway.call import CONNECT_TIMEOUT_S, AttemptError, Call
from auburnproxy.gateway.header_codec import Dispatch, ResponseInfo
from auburnproxy.gateway.sender import Sender, UpstreamResponse
from auburnproxy.upstreams.client import TrackedResponse

from .fleet import Fleet
from .network import Location, Network
from .replica import Job

HANDSHAKE_TRIPS = 3
"""Ways that a new connection and the request on it take."""
ACCEPT_S = 0.001
BLOCK_S = 1e-6
"""Time between two blocks; timers of the same moment have no order."""
OK, REFUSED, MISDIRECTED = 200, 503, 421


class EmulatedAnswer:
    """The body of an answer, in place of the HTTP client's."""

    status = OK
    headers: CIMultiDictProxy[str] = CIMultiDictProxy(CIMultiDict())
    content_length = None

    def __init__(self) -> None:
        self.complete = False
        self.content = self
        self.began = asyncio.Event()
        """Set with the first block, or once the answer is cut off."""
        self.on_left: Callable[[], None] = lambda: None
        """Called once the daemon has closed the connection."""
        self._blocks: deque[bytes | None] = deque()
        self._news = asyncio.Event()

    def put(self, block: bytes | None) -> None:
        """Take a block, an empty one at the end, None if the answer is cut off."""
        self._blocks.append(block)
        self.began.set()
        self._news.set()

    async def readany(self) -> bytes:
        """Return what has arrived, as soon as something has."""
        while not self._blocks:
            self._news.clear()
            await self._news.wait()
        found = []
        while self._blocks:
            block = self._blocks[0]
            if block:
                found.append(cast(bytes, self._blocks.popleft()))
                continue
            if found:
                break
            if block is None:
                raise ClientPayloadError("the answer was cut off")
            self.complete = True
            return b""
        return b"".join(found)

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.on_left()


class EmulatedSender(Sender):
    """Sends requests over the network to the fleet.

    :param location: where the daemon runs
    :param links: the network
    :param fleet: the engines
    :param parts: what every sender has
    """

    def __init__(
        self, location: Location, links: Network, fleet: Fleet, **parts: Any
    ) -> None:
        super().__init__(cast(Any, None), **parts)
        self._location = location
        self._links = links
        self._fleet = fleet

    async def send(self, call: Call, dispatch: Dispatch) -> UpstreamResponse:
        """Send a request to an engine and return the head of its answer.

        :raises AttemptError: if there is none
        """
        host, fleet = dispatch.host, self._fleet
        delay_s = self._links.delay_s(self._location, fleet.location(host.id))
        if delay_s is None or host.id in fleet.dark:
            await asyncio.sleep(CONNECT_TIMEOUT_S)
            raise AttemptError("unreachable", ran=Ran.NO, sent=False)
        await asyncio.sleep(HANDSHAKE_TRIPS * delay_s + ACCEPT_S)
        if host.id in fleet.stopped:
            raise AttemptError("unreachable", ran=Ran.NO, sent=False)
        if host.id in fleet.plain_by_id:
            return await self._plain(call, dispatch, delay_s)
        return await self._stream(call, dispatch, delay_s)

    async def _stream(
        self, call: Call, dispatch: Dispatch, delay_s: float
    ) -> UpstreamResponse:
        host, answer = dispatch.host, EmulatedAnswer()
        loop = asyncio.get_running_loop()
        after = int(dispatch.resume_after or 0)
        ready_at = 0.0

        def on_event(number: int) -> None:
            nonlocal ready_at
            block: bytes | None = b"id: %d\ndata: x\n\n" % (after + number)
            if number <= 0:
                block = b"" if number == 0 else None
            now_s = self._links.delay_s(self._location, self._fleet.location(host.id))
            if now_s is None or host.id in self._fleet.dark:
                return
            arrives_at = loop.time() + now_s + self._links.loss_s()
            ready_at = max(ready_at + BLOCK_S, arrives_at)
            loop.call_at(ready_at, answer.put, block)

        job = Job(
            call.info.prompt_tokens,
            max(call.info.answer_tokens - after, 1),
            urgency=dispatch.urgency,
            on_event=on_event,
        )
        await asyncio.sleep(self._fleet.prefill.intake_s)
        status = self._fleet.admit(host, job)
        if status != OK:
            await asyncio.sleep(delay_s)
            return UpstreamResponse(
                cast(TrackedResponse, answer), _response_info(call, status)
            )
        answer.on_left = partial(self._fleet.drop, host.id, job)
        try:
            await answer.began.wait()
        except asyncio.CancelledError:
            answer.on_left()
            raise
        return UpstreamResponse(cast(TrackedResponse, answer), _response_info(call, OK))

    async def _plain(
        self, call: Call, dispatch: Dispatch, delay_s: float
    ) -> UpstreamResponse:
        plain = self._fleet.plain_by_id[dispatch.host.id]
        answer = EmulatedAnswer()
        async with plain.slots:
            await asyncio.sleep(plain.work_s())
        if dispatch.host.id in self._fleet.stopped:
            raise AttemptError("broken", ran=Ran.UNKNOWN)
        await asyncio.sleep(delay_s)
        answer.put(b"done")
        answer.put(b"")
        return UpstreamResponse(cast(TrackedResponse, answer), _response_info(call, OK))


def _response_info(call: Call, status: int) -> ResponseInfo:
    """Return what a head of an answer says."""
    not_run = status in (REFUSED, MISDIRECTED)
    return ResponseInfo(status, not_run, True, call.id, False, None, "", False, "")
