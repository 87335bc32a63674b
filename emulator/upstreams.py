"""Emulated engine connections: responses, events, refusals and silence."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from functools import partial
from types import TracebackType
from typing import Any, Self, cast

from aiohttp import ClientPayloadError
from multidict import CIMultiDict, CIMultiDictProxy

from auburnproxy.clock import loop_time
from auburnproxy.errors import Ran
from auburnproxy.gateway.call import CONNECT_TIMEOUT_S, AttemptError, Call
from auburnproxy.gateway.header_codec import Dispatch, ResponseInfo
from auburnproxy.gateway.sender import Sender, UpstreamResponse
from auburnproxy.upstreams.client import TrackedResponse

from .fleet import DEADLY_PROMPT_PART, Fleet
from .network import Location, Network
from .replica import Job

CONNECT_TRIPS = 3
"""One-way trips until a request on a new connection arrives."""
ACCEPT_S = 0.001
BLOCK_INTERVAL_S = 1e-6
"""Minimum time between two blocks, since timers of the same instant have no order."""
OK, REFUSED, MISDIRECTED = 200, 503, 421


class EmulatedResponse:
    """In-memory response in place of the HTTP client's."""

    status = OK
    headers: CIMultiDictProxy[str] = CIMultiDictProxy(CIMultiDict())
    content_length = None
    framed = True

    def __init__(self) -> None:
        self.complete = False
        self.content = self
        self.started = asyncio.Event()
        """Set with the first block, or once the response is aborted."""
        self.on_close: Callable[[], None] = lambda: None
        """Called when the daemon closes the connection."""
        self._blocks: deque[bytes | None] = deque()
        self._data_available = asyncio.Event()

    def put(self, block: bytes | None) -> None:
        """Add a block: empty at the end of the body, None if it is aborted."""
        self._blocks.append(block)
        self.started.set()
        self._data_available.set()

    async def readany(self) -> bytes:
        """Wait until data is available and return all of it."""
        while not self._blocks:
            self._data_available.clear()
            await self._data_available.wait()
        found = []
        while self._blocks:
            block = self._blocks[0]
            if block:
                found.append(cast(bytes, self._blocks.popleft()))
                continue
            if found:
                break
            if block is None:
                raise ClientPayloadError("response aborted before the end of its body")
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
        self.on_close()


class EmulatedSender(Sender):
    """Sender that passes requests to an emulated fleet.

    :param location: location of the daemon
    :param links: links between processes
    :param fleet: emulated engines
    :param sender_arguments: arguments of :class:`Sender`
    """

    def __init__(
        self, location: Location, links: Network, fleet: Fleet, **sender_arguments: Any
    ) -> None:
        super().__init__(cast(Any, None), **sender_arguments)
        self._location = location
        self._links = links
        self._fleet = fleet

    async def send(self, call: Call, dispatch: Dispatch) -> UpstreamResponse:
        """Send a request to an engine and return its response.

        :raises AttemptError: if the engine sends none
        """
        host, fleet = dispatch.host, self._fleet
        delay_s = self._links.delay_s(self._location, fleet.location(host.id))
        if delay_s is None or host.id in fleet.unresponsive:
            await asyncio.sleep(CONNECT_TIMEOUT_S)
            raise AttemptError("unreachable", ran=Ran.NO, sent=False)
        await asyncio.sleep(CONNECT_TRIPS * delay_s + ACCEPT_S)
        if host.id in fleet.stopped:
            raise AttemptError(
                "unreachable", ran=Ran.NO, sent=False, connection_refused=True
            )
        limit_per_s, sent_at = fleet.limit_by_id.get(host.id), loop_time()
        if limit_per_s:
            fleet.sent_at_by_id[host.id].append(sent_at)
        send = self._send_plain if host.id in fleet.plain_by_id else self._send_stream
        response = await send(call, dispatch, delay_s)
        limit = f"{limit_per_s:.2f}" if limit_per_s else ""
        self._limits.record(host, limit, sent_at=sent_at)
        return response

    async def _send_stream(
        self, call: Call, dispatch: Dispatch, delay_s: float
    ) -> UpstreamResponse:
        host, answer = dispatch.host, EmulatedResponse()
        loop = asyncio.get_running_loop()
        resume_after = int(dispatch.resume_after or 0)
        last_arrival_at = 0.0

        is_deadly = DEADLY_PROMPT_PART in call.info.prompt_parts

        def on_event(number: int) -> None:
            nonlocal last_arrival_at
            if is_deadly and number > 0:
                self._fleet.crash(host.id)
                return
            block: bytes | None = b"id: %d\ndata: x\n\n" % (resume_after + number)
            if number <= 0:
                block = b"" if number == 0 else None
            current_delay_s = self._links.delay_s(
                self._location, self._fleet.location(host.id)
            )
            if current_delay_s is None or host.id in self._fleet.unresponsive:
                return
            arrives_at = (
                loop.time() + current_delay_s + self._links.retransmission_delay_s()
            )
            last_arrival_at = max(last_arrival_at + BLOCK_INTERVAL_S, arrives_at)
            loop.call_at(last_arrival_at, answer.put, block)

        job = Job(
            call.info.prompt_tokens,
            max(call.info.answer_tokens - resume_after, 1),
            urgency=dispatch.urgency,
            on_event=on_event,
        )
        await asyncio.sleep(self._fleet.prefill.admission_delay_s)
        status = self._fleet.admit(host, job)
        if status != OK:
            await asyncio.sleep(delay_s)
            return UpstreamResponse(
                cast(TrackedResponse, answer), _response_info(call, status)
            )
        answer.on_close = partial(self._fleet.drop, host.id, job)
        try:
            await answer.started.wait()
        except asyncio.CancelledError:
            answer.on_close()
            raise
        return UpstreamResponse(cast(TrackedResponse, answer), _response_info(call, OK))

    async def _send_plain(
        self, call: Call, dispatch: Dispatch, delay_s: float
    ) -> UpstreamResponse:
        plain = self._fleet.plain_by_id[dispatch.host.id]
        answer = EmulatedResponse()
        async with plain.slots:
            await asyncio.sleep(plain.work_s())
        if dispatch.host.id in self._fleet.stopped:
            raise AttemptError("broken", ran=Ran.UNKNOWN)
        await asyncio.sleep(delay_s)
        answer.put(b"done")
        answer.put(b"")
        return UpstreamResponse(cast(TrackedResponse, answer), _response_info(call, OK))


def _response_info(call: Call, status: int) -> ResponseInfo:
    """Return the decoded response head for a status."""
    not_run = status in (REFUSED, MISDIRECTED)
    return ResponseInfo(status, not_run, True, call.id, False, None, "", False, "")
