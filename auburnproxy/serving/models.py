"""Model calls: checked, placed, streamed, resumed."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable, Collection
from contextlib import (
    AbstractAsyncContextManager,
    AsyncExitStack,
    asynccontextmanager,
)
from itertools import count
from typing import NamedTuple

from aiohttp import web

from ..admission import Admission
from ..configuration import Plan, TargetKind
from ..errors import RefusalError
from ..membership import Member
from ..replicas import Replica
from ..routing import Router, prefix_digests
from ..routing._protocols import Readiness, Watcher
from ..telemetry import Counter, Measure, Telemetry
from ..upstreams.engine import ChunkKind, ModelCall
from ._frames import frame
from ._labels import TARGET
from .budget import Budgets
from .forward import Forwarder, PeerReplica
from .intake import Headers, check, may_wait, read_body, read_chat, read_headers
from .limits import Limits
from .placement import LocalReplica, ModelPlacement
from .refusal import error_event
from .spill import Spill
from .stream import ENGINE_ERROR, Stream

EVENT_STREAM = "text/event-stream"
DONE_EVENT = b"data: [DONE]\n\n"
NO_SLOT_HERE = frozenset({"no_slot", "no_replica", "no_service"})


class Request(NamedTuple):
    """A model call and what its answer needs."""

    plan: Plan
    headers: Headers
    call: ModelCall
    stream: bool
    prefixes: tuple[str, ...]
    started: float
    """The loop's time in seconds at which the call came in."""
    may_spill: bool
    """False for a call that was forwarded to this daemon."""
    may_wait: bool = True
    """Whether it may wait here for a slot."""

    @property
    def target(self) -> str:
        """Return the kind and name of the target."""
        return f"{TargetKind.MODEL}/{self.call.model}"


class Models:
    """Takes model calls from callers and from peers.

    :param incarnation: makes the ids of calls unique among all daemons
    """

    def __init__(
        self,
        admission: Admission,
        router: Router,
        readiness: Readiness,
        watcher: Watcher,
        spill: Spill,
        forwarder: Forwarder,
        telemetry: Telemetry,
        *,
        limits: Limits,
        incarnation: str,
    ) -> None:
        self._admission = admission
        self._router = router
        self._readiness = readiness
        self._watcher = watcher
        self._spill = spill
        self._forwarder = forwarder
        self._telemetry = telemetry
        self._limits = limits
        self._incarnation = incarnation
        self._budgets = Budgets()
        self._numbers = count()

    async def chat(self, http: web.Request, plan: Plan) -> web.StreamResponse:
        """Answer a caller's ``/v1/chat/completions``.

        :raises RefusalError: before any byte of the answer was sent
        """
        now = asyncio.get_running_loop().time()
        headers, findings = read_headers(http, self._limits, now=now)
        content = await read_body(http, self._limits)
        body, more = read_chat(content)
        check(findings + more)
        self._admission.allow(plan, TargetKind.MODEL, body.model)
        call = ModelCall(
            request_id=f"{headers.request_id}.{self._incarnation}.{next(self._numbers)}",
            model=body.model,
            body=content,
            priority=plan.weight,
            deadline_s=0.0,
        )
        prefixes = prefix_digests(body.prompt)
        request = Request(plan, headers, call, body.stream, prefixes, now, True)
        http[TARGET] = request.target
        if body.stream:
            return await self._streamed(http, request)
        return await self._whole(request)

    async def forwarded(self, http: web.Request, plan: Plan) -> web.StreamResponse:
        """Answer a call that a peer forwarded, as frames.

        :raises RefusalError: before any byte of the answer was sent
        """
        now = asyncio.get_running_loop().time()
        headers, findings = read_headers(http, self._limits, now=now)
        content = await http.read()
        body, more = read_chat(content)
        check(findings + more)
        self._admission.allow(plan, TargetKind.MODEL, body.model)
        call = ModelCall(
            request_id=headers.request_id,
            model=body.model,
            body=content,
            priority=plan.weight,
            deadline_s=0.0,
            resume_from=int(http.headers.get("X-Resume-From", "0")),
        )
        prefixes = prefix_digests(body.prompt)
        wait = may_wait(http.headers)
        request = Request(plan, headers, call, body.stream, prefixes, now, False, wait)
        return await self._framed(http, request)

    async def _streamed(
        self, http: web.Request, request: Request
    ) -> web.StreamResponse:
        response = web.StreamResponse(headers={"X-Request-Id": _id(request)})
        response.content_type = EVENT_STREAM
        response.headers["Cache-Control"] = "no-cache"

        async def write(data: bytes) -> None:
            if not response.prepared:
                self._first_chunk(request)
                await response.prepare(http)
            await response.write(b"data: %b\n\n" % data)

        try:
            await self.run(request, write)
        except RefusalError as refusal:
            if not response.prepared:
                raise
            self._count(Counter.UNKNOWN, request, refusal.code)
            await response.write(error_event(refusal, _id(request)))
        else:
            if not response.prepared:
                await response.prepare(http)
            await response.write(DONE_EVENT)
        await response.write_eof()
        return response

    async def _whole(self, request: Request) -> web.Response:
        parts: list[bytes] = []

        async def write(data: bytes) -> None:
            if not parts:
                self._first_chunk(request)
            parts.append(data)

        await self.run(request, write)
        return web.Response(
            body=b"".join(parts),
            content_type="application/json",
            headers={"X-Request-Id": _id(request)},
        )

    async def _framed(self, http: web.Request, request: Request) -> web.StreamResponse:
        response = web.StreamResponse()
        response.content_type = "application/octet-stream"
        position = request.call.resume_from

        async def write(data: bytes) -> None:
            nonlocal position
            if not response.prepared:
                await response.prepare(http)
            place, position = position, position + 1
            await response.write(frame(place, ChunkKind.TOKEN, data))

        try:
            await self.run(request, write)
        except RefusalError as refusal:
            if not response.prepared:
                raise
            if refusal.code == ENGINE_ERROR:
                await response.write(frame(position, ChunkKind.ERROR))
            # Without an end, the daemon that forwarded the call resumes it.
        else:
            if not response.prepared:
                await response.prepare(http)
            await response.write(frame(position, ChunkKind.END))
        await response.write_eof()
        return response

    async def run(
        self, request: Request, write: Callable[[bytes], Awaitable[None]]
    ) -> None:
        """Pass the whole answer of a call on.

        :param request: the call
        :param write: passes the bytes of one chunk on
        :raises RefusalError: if that can't be done
        """
        budget = self._budgets.budget(request.plan.name, request.target)
        budget.earn()
        limits = self._limits
        if not request.may_spill:
            # The daemon that forwarded the call counts its attempts and repeats it.
            limits = limits._replace(attempts=1)
        stream = Stream(
            request.call,
            lambda avoid: self._place(request, avoid),
            write,
            deadline=request.headers.deadline,
            budget=budget,
            limits=limits,
            between=self._telemetry.recorder(
                Measure.BETWEEN_CHUNKS, request.plan.name, request.target
            ),
        )
        await stream.run()
        self._observe(Measure.WHOLE_ANSWER, request)
        self._count(Counter.ANSWERED, request, "")

    @asynccontextmanager
    async def _place(
        self, request: Request, avoid: Collection[str]
    ) -> AsyncIterator[ModelPlacement]:
        """Hold a slot here, or go to a peer that has one, or wait for one here."""
        peer, holder = self._peers(request, avoid)
        wait = peer is None and holder is None and self._waits_here(request)
        async with AsyncExitStack() as stack:
            placement: ModelPlacement
            try:
                ticket = self._ticket(request, avoid, wait=wait)
                placement = await stack.enter_async_context(ticket)
                self._observe(Measure.QUEUE_WAIT, request)
            except RefusalError as refusal:
                if refusal.code not in NO_SLOT_HERE:
                    raise
                if wait:  # the target went out while the call waited
                    peer, holder = self._peers(request, avoid)
                other = peer or holder
                if other is None:
                    raise
                placement = self._remote(other, request, wait=peer is None)
            yield placement

    def _waits_here(self, request: Request) -> bool:
        plan, target = request.plan.name, request.target
        return request.may_wait and self._spill.waits_here(plan, target)

    def _peers(
        self, request: Request, avoid: Collection[str]
    ) -> tuple[Member | None, Member | None]:
        """Return a peer that may have a free slot, else one to wait at, or neither."""
        if not request.may_spill:
            return None, None
        plan, target = request.plan.name, request.target
        peer = self._spill.choose(plan, target, exclude=avoid)
        if peer is not None:
            return peer, None
        return None, self._spill.holder(plan, target, exclude=avoid)

    def _remote(self, peer: Member, request: Request, *, wait: bool) -> PeerReplica:
        self._count(Counter.FORWARDED, request, "")
        plan, target = request.plan.name, request.target
        return PeerReplica(
            self._forwarder,
            peer,
            plan,
            stream=request.stream,
            wait=wait,
            on_refused=lambda: self._spill.refused(peer, plan, target),
        )

    def _ticket(
        self, request: Request, avoid: Collection[str], *, wait: bool
    ) -> AbstractAsyncContextManager[LocalReplica]:
        def choose() -> LocalReplica | None:
            replica = self._router.choose_replica(
                request.call.model, request.prefixes, exclude=avoid
            )
            return self._local(replica) if replica else None

        return self._admission.ticket(
            request.plan, request.target, request.headers.deadline, choose, wait=wait
        )

    def _local(self, replica: Replica) -> LocalReplica:
        return LocalReplica(replica, self._router, self._watcher, self._readiness)

    def _first_chunk(self, request: Request) -> None:
        self._observe(Measure.FIRST_CHUNK, request)

    def _observe(self, measure: Measure, request: Request) -> None:
        took_s = asyncio.get_running_loop().time() - request.started
        self._telemetry.observe(measure, request.plan.name, request.target, took_s)

    def _count(self, counter: Counter, request: Request, code: str) -> None:
        self._telemetry.count(counter, request.plan.name, request.target, code)


def _id(request: Request) -> str:
    return request.headers.request_id
