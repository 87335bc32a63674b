"""Model calls: request validation, placement, streaming and resumption."""

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
from loguru import logger

from ..admission import Admission
from ..configuration import Plan, TargetKind
from ..errors import RefusalError
from ..in_flight import InFlightRequest
from ..membership import Member
from ..replicas import Replica
from ..routing import Router, prefix_digests
from ..routing._protocols import Readiness, Watcher
from ..telemetry import Counter, Measure, Telemetry
from ..upstreams.engine import ChunkKind, ModelCall
from ._chunk_encoding import encode_chunk
from ._cut_off import cut_off_refusal
from ._labels import IN_FLIGHT, TARGET
from ._watchdog import AttemptFailure
from .endpoints import ModelEndpoint, ReplicaEndpoint
from .forward import Forwarder, PeerEndpoint
from .limits import RequestLimits
from .peer_selector import PeerSelector
from .refusal import error_event, failure_refusal
from .request_parsing import (
    RequestHeaders,
    may_wait,
    parse_chat_body,
    parse_headers,
    raise_findings,
    read_request_body,
)
from .retry_budget import RetryBudgets
from .stream_relay import ENGINE_ERROR, AttemptError, StreamRelay

EVENT_STREAM = "text/event-stream"
DONE_EVENT = b"data: [DONE]\n\n"
NO_LOCAL_SLOT_CODES = frozenset({"no_slot", "no_replica", "no_service", "draining"})

log = logger.bind(part="serving")


class ModelRequest(NamedTuple):
    """A model call with the data needed to place and answer it."""

    plan: Plan
    headers: RequestHeaders
    call: ModelCall
    stream: bool
    prefixes: tuple[str, ...]
    started: float
    """Time of the event loop, in seconds, at which the call arrived."""
    may_forward: bool
    """Whether it may be forwarded; False for a call that a peer forwarded."""
    in_flight: InFlightRequest
    """How far it has got."""
    may_wait: bool = True
    """Whether it may queue for a slot on this daemon."""

    @property
    def target(self) -> str:
        """Return the target as ``model/NAME``."""
        return f"{TargetKind.MODEL}/{self.call.model}"


class ModelCallHandler:
    """Handles model calls from callers and from peers.

    :param incarnation: id of this process; makes request ids unique across daemons
    """

    def __init__(
        self,
        admission: Admission,
        router: Router,
        readiness: Readiness,
        watcher: Watcher,
        peer_selector: PeerSelector,
        forwarder: Forwarder,
        telemetry: Telemetry,
        *,
        limits: RequestLimits,
        incarnation: str,
    ) -> None:
        self._admission = admission
        self._router = router
        self._readiness = readiness
        self._watcher = watcher
        self._peer_selector = peer_selector
        self._forwarder = forwarder
        self._telemetry = telemetry
        self._limits = limits
        self._incarnation = incarnation
        self._budgets = RetryBudgets()
        self._call_numbers = count()

    async def handle_chat(self, http: web.Request, plan: Plan) -> web.StreamResponse:
        """Answer a caller's ``/v1/chat/completions``.

        :raises RefusalError: only before the first byte of the answer is sent
        """
        now = asyncio.get_running_loop().time()
        headers, findings = parse_headers(http, self._limits, now=now)
        content = await read_request_body(http, self._limits)
        body, more = parse_chat_body(content)
        raise_findings(findings + more)
        self._admission.authorize(plan, TargetKind.MODEL, body.model)
        call = ModelCall(
            request_id=f"{headers.request_id}.{self._incarnation}.{next(self._call_numbers)}",
            model=body.model,
            body=content,
            priority=plan.weight,
            deadline_s=0.0,
        )
        prefixes = prefix_digests(body.prompt)
        request = ModelRequest(
            plan, headers, call, body.stream, prefixes, now, True, http[IN_FLIGHT]
        )
        http[TARGET] = request.target
        if body.stream:
            return await self._respond_streaming(http, request)
        return await self._respond_whole(request)

    async def handle_forwarded(
        self, http: web.Request, plan: Plan
    ) -> web.StreamResponse:
        """Answer a call that a peer forwarded, as encoded chunks.

        :raises RefusalError: only before the first byte of the answer is sent
        """
        now = asyncio.get_running_loop().time()
        headers, findings = parse_headers(http, self._limits, now=now)
        content = await http.read()
        body, more = parse_chat_body(content)
        raise_findings(findings + more)
        self._admission.authorize(plan, TargetKind.MODEL, body.model)
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
        request = ModelRequest(
            plan,
            headers,
            call,
            body.stream,
            prefixes,
            now,
            False,
            http[IN_FLIGHT],
            wait,
        )
        return await self._respond_to_peer(http, request)

    async def _respond_streaming(
        self, http: web.Request, request: ModelRequest
    ) -> web.StreamResponse:
        response = web.StreamResponse(headers={"X-Request-Id": _request_id(request)})
        response.content_type = EVENT_STREAM
        response.headers["Cache-Control"] = "no-cache"

        async def write(data: bytes) -> None:
            if not response.prepared:
                self._observe_first_chunk(request)
                request.in_flight.begin_answer()
                await response.prepare(http)
            await response.write(b"data: %b\n\n" % data)

        try:
            await self.run(request, write)
        except RefusalError as refusal:
            if not response.prepared:
                raise
            self._count(Counter.UNKNOWN, request, refusal.code)
            await response.write(error_event(refusal, _request_id(request)))
        else:
            if not response.prepared:
                await response.prepare(http)
            await response.write(DONE_EVENT)
        await response.write_eof()
        return response

    async def _respond_whole(self, request: ModelRequest) -> web.Response:
        parts: list[bytes] = []

        async def write(data: bytes) -> None:
            if not parts:
                self._observe_first_chunk(request)
            parts.append(data)

        await self.run(request, write)
        return web.Response(
            body=b"".join(parts),
            content_type="application/json",
            headers={"X-Request-Id": _request_id(request)},
        )

    async def _respond_to_peer(
        self, http: web.Request, request: ModelRequest
    ) -> web.StreamResponse:
        response = web.StreamResponse()
        response.content_type = "application/octet-stream"
        position = request.call.resume_from

        async def write(data: bytes) -> None:
            nonlocal position
            if not response.prepared:
                request.in_flight.begin_answer()
                await response.prepare(http)
            chunk_position, position = position, position + 1
            await response.write(encode_chunk(chunk_position, ChunkKind.TOKEN, data))

        try:
            await self.run(request, write)
        except RefusalError as refusal:
            if not response.prepared:
                raise
            if refusal.code == ENGINE_ERROR:
                await response.write(encode_chunk(position, ChunkKind.ERROR))
            # Without an END chunk, the daemon that forwarded the call resumes it.
        else:
            if not response.prepared:
                await response.prepare(http)
            await response.write(encode_chunk(position, ChunkKind.END))
        await response.write_eof()
        return response

    async def run(
        self, request: ModelRequest, write: Callable[[bytes], Awaitable[None]]
    ) -> None:
        """Run a call and write its complete answer.

        :param request: the call
        :param write: sends the bytes of one chunk to the caller
        :raises RefusalError: if the answer can't be completed
        """
        budget = self._budgets.budget(request.plan.name, request.target)
        budget.deposit()
        limits = self._limits
        if not request.may_forward:
            # The daemon that forwarded the call counts the attempts and retries it.
            limits = limits._replace(max_attempts=1)
        stream = StreamRelay(
            request.call,
            lambda excluded: self._reserve_endpoint(request, excluded),
            write,
            deadline=request.headers.deadline,
            budget=budget,
            limits=limits,
            record_interval=self._telemetry.recorder(
                Measure.BETWEEN_CHUNKS, request.plan.name, request.target
            ),
        )
        await _run_reporting_failures(stream, request.in_flight)
        self._observe_elapsed(Measure.WHOLE_ANSWER, request)
        self._count(Counter.ANSWERED, request, "")

    @asynccontextmanager
    async def _reserve_endpoint(
        self, request: ModelRequest, excluded: Collection[str]
    ) -> AsyncIterator[ModelEndpoint]:
        """Yield a free local slot, a peer, or a local slot after queueing."""
        request.in_flight.await_upstream()
        peer, queueing_peer = self._choose_peers(request, excluded)
        wait = peer is None and queueing_peer is None and self._may_queue_here(request)
        async with AsyncExitStack() as stack:
            endpoint: ModelEndpoint
            try:
                reservation = self._reserve_local(request, excluded, wait=wait)
                endpoint = await stack.enter_async_context(reservation)
                self._observe_elapsed(Measure.QUEUE_WAIT, request)
            except RefusalError as refusal:
                if refusal.code not in NO_LOCAL_SLOT_CODES:
                    raise
                if wait:  # the target became unavailable while the call was queued
                    peer, queueing_peer = self._choose_peers(request, excluded)
                destination = peer or queueing_peer
                if destination is None:
                    raise
                endpoint = self._peer_endpoint(destination, request, wait=peer is None)
            request.in_flight.send_to(endpoint.host)
            try:
                yield endpoint
            except AttemptError as error:
                if error.cause is AttemptFailure.REFUSED:
                    request.in_flight.mark_not_run()
                raise

    def _may_queue_here(self, request: ModelRequest) -> bool:
        plan, target = request.plan.name, request.target
        return request.may_wait and self._peer_selector.may_queue_here(plan, target)

    def _choose_peers(
        self, request: ModelRequest, excluded: Collection[str]
    ) -> tuple[Member | None, Member | None]:
        """Return a peer that may have a free slot, else one to queue at, or neither."""
        if not request.may_forward:
            return None, None
        plan, target = request.plan.name, request.target
        peer = self._peer_selector.choose_for_forwarding(plan, target, exclude=excluded)
        if peer is not None:
            return peer, None
        return None, self._peer_selector.choose_for_queueing(
            plan, target, exclude=excluded
        )

    def _peer_endpoint(
        self, peer: Member, request: ModelRequest, *, wait: bool
    ) -> PeerEndpoint:
        self._count(Counter.FORWARDED, request, "")
        plan, target = request.plan.name, request.target
        return PeerEndpoint(
            self._forwarder,
            peer,
            plan,
            stream=request.stream,
            wait=wait,
            on_refused=lambda: self._peer_selector.record_refusal(peer, plan, target),
        )

    def _reserve_local(
        self, request: ModelRequest, excluded: Collection[str], *, wait: bool
    ) -> AbstractAsyncContextManager[ReplicaEndpoint]:
        def acquire() -> ReplicaEndpoint | None:
            replica = self._router.acquire_replica(
                request.call.model, request.prefixes, exclude=excluded
            )
            return self._replica_endpoint(replica) if replica else None

        return self._admission.reserve_slots(
            request.plan, request.target, request.headers.deadline, acquire, wait=wait
        )

    def _replica_endpoint(self, replica: Replica) -> ReplicaEndpoint:
        return ReplicaEndpoint(replica, self._router, self._watcher, self._readiness)

    def _observe_first_chunk(self, request: ModelRequest) -> None:
        self._observe_elapsed(Measure.FIRST_CHUNK, request)

    def _observe_elapsed(self, measure: Measure, request: ModelRequest) -> None:
        took_s = asyncio.get_running_loop().time() - request.started
        self._telemetry.observe(measure, request.plan.name, request.target, took_s)

    def _count(self, counter: Counter, request: ModelRequest, code: str) -> None:
        self._telemetry.count(counter, request.plan.name, request.target, code)


async def _run_reporting_failures(
    stream: StreamRelay, in_flight: InFlightRequest
) -> None:
    """Relay an answer; being cut off, or an unexpected error, becomes a refusal.

    The caller may have received a part of the answer, so that no response which
    reports the error can follow it.

    :raises RefusalError: if the answer can't be completed
    """
    try:
        await stream.run()
    except (RefusalError, ConnectionError):
        raise
    except asyncio.CancelledError:
        if in_flight.cut_off:
            raise cut_off_refusal(in_flight) from None
        raise
    except Exception as error:
        log.exception("Unhandled error while relaying an answer.")
        raise failure_refusal() from error


def _request_id(request: ModelRequest) -> str:
    return request.headers.request_id
