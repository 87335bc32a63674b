"""Calls to plain services: retried if repeatable, otherwise run at most once."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable, Collection
from contextlib import AsyncExitStack, asynccontextmanager, suppress
from typing import NamedTuple

import msgspec
from aiohttp import web
from loguru import logger

from ..admission import Admission
from ..configuration import Grant, Plan, TargetKind
from ..errors import CallTimeoutError, Ran, RefusalError, UpstreamError
from ..in_flight import InFlightRequest
from ..ledger import AtMostOnceRunner
from ..membership import Member
from ..routing import Router
from ..routing._protocols import Watcher
from ..telemetry import Counter, Measure, Telemetry
from ..upstreams.observation import Observation, Result
from ..upstreams.service import PlainAnswer, PlainCall
from ._cut_off import log_cut_off
from ._labels import IN_FLIGHT, TARGET
from .endpoints import ServiceEndpoint
from .forward import Forwarder
from .limits import RequestLimits
from .peer_selector import PeerSelector, queueing_exclusion
from .refusal import with_unknown_outcome
from .request_parsing import (
    RequestHeaders,
    may_wait,
    parse_headers,
    raise_findings,
    read_request_body,
)
from .retry_budget import RetryBudgets

NO_LOCAL_SLOT_CODES = frozenset({"no_slot", "no_service", "draining"})
BUSY_STATUSES = frozenset({429, 503})
SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})
RETRY_AFTER_S = 1.0
log = logger.bind(part="serving")
UseEndpoint = Callable[[ServiceEndpoint], Awaitable[PlainAnswer]]


class ServiceRequest(NamedTuple):
    """A plain call with the data needed to place and answer it."""

    plan: Plan
    grant: Grant
    deadline: float
    """Time of the event loop, in seconds, by which the request must be answered."""
    call: PlainCall
    may_forward: bool
    """Whether it may be forwarded; False for a call that a peer forwarded."""
    in_flight: InFlightRequest
    """How far it has got."""
    may_wait: bool = True
    """Whether it may queue for a slot on this daemon."""

    @property
    def target(self) -> str:
        """Return the target as ``service/NAME``."""
        return f"{TargetKind.SERVICE}/{self.grant.target}"

    @property
    def repeatable(self) -> bool:
        """Return whether the call may be run more than once."""
        method, path = self.call.method, self.call.path
        if method in SAFE_METHODS:
            return True
        return any(
            _grant_matches(entry, method, path.partition("?")[0])
            for entry in self.grant.repeatable
        )


class ServiceCallHandler:
    """Handles plain calls from callers and from peers.

    Repeatable calls are retried within a retry budget. Other calls go through the
    ledger, which dispatches each idempotency key at most once.
    """

    def __init__(
        self,
        admission: Admission,
        router: Router,
        watcher: Watcher,
        ledger: AtMostOnceRunner,
        peer_selector: PeerSelector,
        forwarder: Forwarder,
        telemetry: Telemetry,
        *,
        limits: RequestLimits,
    ) -> None:
        self._admission = admission
        self._router = router
        self._watcher = watcher
        self._ledger = ledger
        self._peer_selector = peer_selector
        self._forwarder = forwarder
        self._telemetry = telemetry
        self._limits = limits
        self._budgets = RetryBudgets()
        self._request_by_task: dict[asyncio.Task[PlainAnswer], InFlightRequest] = {}

    async def handle_call(self, http: web.Request, plan: Plan) -> web.Response:
        """Answer a caller's ``/v1/services/NAME/...``.

        :raises RefusalError: if the call gets no answer
        """
        now = asyncio.get_running_loop().time()
        headers, findings = parse_headers(http, self._limits, now=now)
        body = await read_request_body(http, self._limits)
        raise_findings(findings)
        grant = self._admission.authorize(
            plan, TargetKind.SERVICE, http.match_info["service"]
        )
        path = "/" + http.match_info["path"]
        query = http.rel_url.raw_query_string
        call = PlainCall(
            headers.request_id,
            http.method,
            f"{path}?{query}" if query else path,
            body,
            http.headers.get("Content-Type", ""),
            headers.idempotency_key,
            headers.deadline - now,
        )
        request = ServiceRequest(
            plan, grant, headers.deadline, call, True, http[IN_FLIGHT]
        )
        http[TARGET] = request.target
        answer = await self.run(request)
        took_s = asyncio.get_running_loop().time() - now
        self._telemetry.observe(Measure.WHOLE_ANSWER, plan.name, request.target, took_s)
        self._telemetry.count(Counter.ANSWERED, plan.name, request.target)
        return _response(answer, headers)

    async def handle_forwarded(self, http: web.Request, plan: Plan) -> web.Response:
        """Answer a call that a peer forwarded.

        :raises RefusalError: if the call gets no answer
        """
        now = asyncio.get_running_loop().time()
        headers, findings = parse_headers(http, self._limits, now=now)
        raise_findings([f for f in findings if f.key != "Idempotency-Key"])
        grant = self._admission.authorize(
            plan, TargetKind.SERVICE, http.headers["X-Target"]
        )
        call = PlainCall(
            headers.request_id,
            http.headers["X-Method"],
            http.headers["X-Path"],
            await http.read(),
            http.headers.get("X-Call-Type", ""),
            headers.idempotency_key,
            headers.deadline - now,
        )
        wait = may_wait(http.headers)
        request = ServiceRequest(
            plan, grant, headers.deadline, call, False, http[IN_FLIGHT], wait
        )
        answer = await self.run(request)
        return web.Response(body=msgspec.msgpack.encode(answer))

    async def wait_finished(self, until: float | None = None) -> bool:
        """Wait for calls that run at most once, and return whether all have ended.

        They go on when their callers disconnect.

        :param until: the loop's time at which the wait ends, None for no limit
        """
        try:
            async with asyncio.timeout_at(until):
                while self._request_by_task:
                    await asyncio.wait(self._request_by_task)
        except TimeoutError:
            return False
        return True

    async def wait_recorded(self, *, timeout_s: float) -> None:
        """Wait until the outcomes of calls that run at most once are recorded.

        :param timeout_s: longest wait in seconds
        """
        with suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self._ledger.wait_settled()

    def cut_off(self) -> None:
        """End calls that run at most once; what may have run stays unknown."""
        for task, request in self._request_by_task.items():
            if not request.cut_off:  # its caller has disconnected
                log_cut_off(request)
            task.cancel()

    async def run(self, request: ServiceRequest) -> PlainAnswer:
        """Return the answer of a call.

        :raises RefusalError: if the call gets no answer
        """
        if request.repeatable:
            return await self._run_with_retries(request)
        task = asyncio.create_task(self._run_at_most_once(request))
        self._request_by_task[task] = request.in_flight
        task.add_done_callback(self._discard_task)
        try:
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            if not request.in_flight.cut_off:
                task.add_done_callback(_log_end)
            raise

    def _discard_task(self, task: asyncio.Task[PlainAnswer]) -> None:
        """Remove a finished task.

        Its exception is retrieved here, since nobody awaits it after the caller
        has disconnected; ``_log_end`` logs it.
        """
        self._request_by_task.pop(task, None)
        if not task.cancelled():
            task.exception()

    async def _run_with_retries(self, request: ServiceRequest) -> PlainAnswer:
        budget = self._budgets.budget(request.plan.name, request.target)
        budget.deposit()
        excluded: set[str] = set()
        ran = Ran.NO
        for attempt in range(1, self._limits.max_attempts + 1):
            last = attempt == self._limits.max_attempts
            try:
                return await self._attempt(request, excluded, last=last)
            except UpstreamError as error:
                if error.ran is Ran.UNKNOWN:
                    ran = Ran.UNKNOWN
                if last or not budget.try_withdraw():
                    raise _final_refusal(ran) from error
            except RefusalError as refusal:
                if ran is Ran.UNKNOWN:
                    raise with_unknown_outcome(refusal) from refusal
                raise
        raise _final_refusal(ran)

    async def _attempt(
        self, request: ServiceRequest, excluded: set[str], *, last: bool
    ) -> PlainAnswer:
        remaining_s = _remaining_s(request)

        async def use_endpoint(endpoint: ServiceEndpoint) -> PlainAnswer:
            excluded.add(endpoint.host)
            timeout_s = remaining_s if last else remaining_s / 2
            return await self._send(endpoint, request, timeout_s)

        return await self._run_on_slot(request, excluded, use_endpoint)

    async def _run_at_most_once(self, request: ServiceRequest) -> PlainAnswer:
        """Return the answer of a call that is dispatched at most once.

        Its key is claimed before a slot is acquired, so that calls which wait for
        the log don't block others. A forwarded call is dispatched under the
        claim of the daemon that forwarded it.
        """

        async def use_endpoint(endpoint: ServiceEndpoint) -> PlainAnswer:
            return await self._send(endpoint, request, _remaining_s(request))

        async def dispatch(call: PlainCall) -> PlainAnswer:
            return await self._run_on_slot(request, (), use_endpoint)

        if request.may_forward:
            if request.call.idempotency_key:
                # An earlier call with the key may have run, also at another daemon.
                request.in_flight.ran = Ran.UNKNOWN
            plan, service = request.plan.name, request.grant.target
            return await self._ledger.run(plan, request.call, dispatch, service=service)
        try:
            return await dispatch(request.call)
        except UpstreamError as error:
            raise _final_refusal(error.ran) from error

    async def _run_on_slot(
        self,
        request: ServiceRequest,
        excluded: Collection[str],
        use_endpoint: UseEndpoint,
    ) -> PlainAnswer:
        """Run a call on a free local slot, at a peer, or here after queueing."""
        request.in_flight.await_upstream()
        plan = request.plan.name
        peer = (
            self._peer_selector.choose_for_forwarding(plan, request.target)
            if request.may_forward
            else None
        )
        if peer is not None:
            with suppress(_NoSlotError):
                async with self._reserve_local(
                    request, excluded, wait=False
                ) as endpoint:
                    return await use_endpoint(endpoint)
            with suppress(_NoSlotError):
                return await self._forward(request, peer, wait=False)
        excluded_peers: set[str] = set()
        while (
            queueing_peer := self._queueing_peer(request, excluded_peers)
        ) is not None:
            excluded_peers.add(queueing_exclusion(queueing_peer))
            with suppress(_NoSlotError):
                return await self._forward(request, queueing_peer, wait=True)
        wait = self._may_queue_here(request)
        try:
            async with self._reserve_local(request, excluded, wait=wait) as endpoint:
                return await use_endpoint(endpoint)
        except _NoSlotError as error:
            if wait and request.may_forward:
                return await self._reroute(request, error.refusal)
            raise error.refusal from None

    async def _reroute(
        self, request: ServiceRequest, refusal: RefusalError
    ) -> PlainAnswer:
        """Forward a call whose target became unavailable here while it was queued.

        :raises RefusalError: ``refusal``, if no peer accepts the call
        """
        plan, target = request.plan.name, request.target
        peer = self._peer_selector.choose_for_forwarding(
            plan, target
        ) or self._peer_selector.choose_for_queueing(plan, target)
        if peer is not None:
            with suppress(_NoSlotError):
                return await self._forward(request, peer, wait=True)
        raise refusal

    def _queueing_peer(
        self, request: ServiceRequest, excluded_peers: Collection[str]
    ) -> Member | None:
        """Return a peer to queue the call at.

        None if the call can queue here or was forwarded already.
        """
        if not request.may_forward:
            return None
        plan, target = request.plan.name, request.target
        return self._peer_selector.choose_for_queueing(
            plan, target, exclude=excluded_peers
        )

    def _may_queue_here(self, request: ServiceRequest) -> bool:
        plan, target = request.plan.name, request.target
        return request.may_wait and self._peer_selector.may_queue_here(plan, target)

    async def _forward(
        self, request: ServiceRequest, peer: Member, *, wait: bool
    ) -> PlainAnswer:
        """Forward a call to a peer and return the peer's answer.

        :param wait: whether the call may queue at the peer for a slot
        :raises _NoSlotError: if the peer is busy or unreachable and has not run it
        """
        plan, service = request.plan.name, request.grant.target
        self._telemetry.count(Counter.FORWARDED, plan, request.target)
        call = request.call._replace(deadline_s=_remaining_s(request))
        request.in_flight.send_to(peer.name)
        try:
            return await self._forwarder.call(peer, plan, service, call, wait=wait)
        except RefusalError as refusal:
            if refusal.ran is Ran.NO and refusal.status in BUSY_STATUSES:
                request.in_flight.mark_not_run()
                self._peer_selector.record_refusal(peer, plan, request.target)
                raise _NoSlotError(refusal) from None
            raise
        except UpstreamError as error:
            log.info("Call {} failed: {}", request.call.request_id, error)
            if error.ran is Ran.NO:
                request.in_flight.mark_not_run()
                self._peer_selector.record_refusal(peer, plan, request.target)
                raise _NoSlotError(_final_refusal(error.ran)) from error
            raise

    @asynccontextmanager
    async def _reserve_local(
        self, request: ServiceRequest, excluded: Collection[str], *, wait: bool
    ) -> AsyncIterator[ServiceEndpoint]:
        def acquire() -> ServiceEndpoint | None:
            host = self._router.acquire_service_host(
                request.grant.target, exclude=excluded
            )
            return ServiceEndpoint(host, self._router, self._watcher) if host else None

        reservation = self._admission.reserve_slots(
            request.plan, request.target, request.deadline, acquire, wait=wait
        )
        async with AsyncExitStack() as stack:
            try:
                endpoint = await stack.enter_async_context(reservation)
            except RefusalError as refusal:
                if refusal.code in NO_LOCAL_SLOT_CODES:
                    raise _NoSlotError(refusal) from None
                raise
            yield endpoint

    async def _send(
        self, endpoint: ServiceEndpoint, request: ServiceRequest, timeout_s: float
    ) -> PlainAnswer:
        """Send a call to a host, once.

        :raises UpstreamError: if no complete answer arrives in time
        """
        loop = asyncio.get_running_loop()
        started = loop.time()
        result = Result.FAILED
        request.in_flight.send_to(endpoint.host)
        try:
            async with asyncio.timeout(timeout_s):
                call = request.call._replace(deadline_s=timeout_s)
                answer = await endpoint.call(call)
            result = Result.COMPLETED
            return answer
        except TimeoutError:
            raise _HostTimeoutError(
                f"{endpoint.host}: no answer before the timeout"
            ) from None
        except UpstreamError as error:
            log.info("Call {} failed: {}", request.call.request_id, error)
            if error.ran is Ran.NO:
                closed = error.connection_refused
                result = Result.CLOSED if closed else Result.REFUSED
                request.in_flight.mark_not_run()
            raise
        finally:
            endpoint.observe(Observation(result, loop.time() - started))


class _HostTimeoutError(CallTimeoutError, UpstreamError):
    """A host did not answer in time; it may have run the call."""


class _NoSlotError(Exception):
    """No slot was free; the call has not been run.

    :param refusal: what to answer if no other slot is found
    """

    def __init__(self, refusal: RefusalError) -> None:
        super().__init__(str(refusal))
        self.refusal = refusal


def _log_end(task: asyncio.Task[PlainAnswer]) -> None:
    """Log how a call ended whose caller had disconnected."""
    if task.cancelled():
        return
    error = task.exception()
    if error is None:
        log.info("Call answered with {} after its caller left.", task.result().status)
    elif isinstance(error, RefusalError):
        log.info("Call ended as {} after its caller left.", error.code)
    else:
        log.opt(exception=error).error("Unhandled error after the caller left.")


def _remaining_s(request: ServiceRequest) -> float:
    return max(request.deadline - asyncio.get_running_loop().time(), 0.0)


def _final_refusal(ran: Ran) -> RefusalError:
    if ran is Ran.NO:
        message = "No host of the service could be reached."
        return RefusalError(
            "upstream_unreachable", message, retry_after_s=RETRY_AFTER_S
        )
    message = "The service gave no whole answer; it may have run the call."
    return RefusalError("outcome_unknown", message, status=502, ran=ran)


def _grant_matches(entry: str, method: str, path: str) -> bool:
    """Return whether a ``METHOD /path-prefix`` entry of a grant matches a call."""
    granted_method, _, prefix = entry.partition(" ")
    prefix = prefix.strip().rstrip("/")
    if granted_method.upper() != method or ".." in path:
        return False
    return path == prefix or path.startswith(prefix + "/")


def _response(answer: PlainAnswer, headers: RequestHeaders) -> web.Response:
    return web.Response(
        status=answer.status,
        body=answer.body,
        headers={
            "X-Request-Id": headers.request_id,
            "Content-Type": answer.content_type,
        },
    )
