"""Plain calls: repeated where that is allowed, else run at most once."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable, Collection
from contextlib import AsyncExitStack, asynccontextmanager, suppress
from typing import NamedTuple

import msgspec
from aiohttp import web

from ..admission import Admission
from ..configuration import Grant, Plan, TargetKind
from ..errors import Ran, RefusalError, SilenceError, UpstreamError
from ..ledger import LedgerRunner
from ..membership import Member
from ..routing import Router
from ..routing._protocols import Watcher
from ..telemetry import Counter, Measure, Telemetry
from ..upstreams.observation import Observation, Result
from ..upstreams.service import PlainAnswer, PlainCall
from ._labels import TARGET
from .budget import Budgets
from .forward import Forwarder
from .intake import Headers, check, may_wait, read_body, read_headers
from .limits import Limits
from .placement import LocalService
from .refusal import may_have_run
from .spill import Spill, waiting_at

NO_SLOT_HERE = frozenset({"no_slot", "no_service"})
BUSY = frozenset({429, 503})
READ_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})
RETRY_AFTER_S = 1.0
SETTLE_S = 5.0
"""Seconds that a shutdown waits for the log to take what became of calls."""
Use = Callable[[LocalService], Awaitable[PlainAnswer]]


class Request(NamedTuple):
    """A plain call and what its answer needs."""

    plan: Plan
    grant: Grant
    deadline: float
    """The loop's time in seconds by which the request is to be answered."""
    call: PlainCall
    may_spill: bool
    """False for a call that was forwarded to this daemon."""
    may_wait: bool = True
    """Whether it may wait here for a slot."""

    @property
    def target(self) -> str:
        """Return the kind and name of the target."""
        return f"{TargetKind.SERVICE}/{self.grant.target}"

    @property
    def repeatable(self) -> bool:
        """Return whether the call may be run more than once."""
        method, path = self.call.method, self.call.path
        if method in READ_METHODS:
            return True
        return any(
            _covers(entry, method, path.partition("?")[0])
            for entry in self.grant.repeatable
        )


class Services:
    """Takes plain calls from callers and from peers."""

    def __init__(
        self,
        admission: Admission,
        router: Router,
        watcher: Watcher,
        ledger: LedgerRunner,
        spill: Spill,
        forwarder: Forwarder,
        telemetry: Telemetry,
        *,
        limits: Limits,
    ) -> None:
        self._admission = admission
        self._router = router
        self._watcher = watcher
        self._ledger = ledger
        self._spill = spill
        self._forwarder = forwarder
        self._telemetry = telemetry
        self._limits = limits
        self._budgets = Budgets()
        self._tasks: set[asyncio.Task[PlainAnswer]] = set()

    async def called(self, http: web.Request, plan: Plan) -> web.Response:
        """Answer a caller's ``/v1/services/NAME/...``.

        :raises RefusalError: if the call is given up
        """
        now = asyncio.get_running_loop().time()
        headers, findings = read_headers(http, self._limits, now=now)
        body = await read_body(http, self._limits)
        check(findings)
        grant = self._admission.allow(
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
        request = Request(plan, grant, headers.deadline, call, True)
        http[TARGET] = request.target
        answer = await self.run(request)
        took_s = asyncio.get_running_loop().time() - now
        self._telemetry.observe(Measure.WHOLE_ANSWER, plan.name, request.target, took_s)
        self._telemetry.count(Counter.ANSWERED, plan.name, request.target)
        return _response(answer, headers)

    async def forwarded(self, http: web.Request, plan: Plan) -> web.Response:
        """Answer a call that a peer forwarded.

        :raises RefusalError: if the call is given up
        """
        now = asyncio.get_running_loop().time()
        headers, findings = read_headers(http, self._limits, now=now)
        check([f for f in findings if f.key != "Idempotency-Key"])
        grant = self._admission.allow(
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
        request = Request(plan, grant, headers.deadline, call, False, wait)
        answer = await self.run(request)
        return web.Response(body=msgspec.msgpack.encode(answer))

    async def finished(self) -> None:
        """Wait until calls that may not be repeated have run to their end."""
        while self._tasks:
            await asyncio.wait(self._tasks)
        with suppress(TimeoutError):
            async with asyncio.timeout(SETTLE_S):
                await self._ledger.settled()

    async def run(self, request: Request) -> PlainAnswer:
        """Return the answer of a call.

        :raises RefusalError: if the call is given up
        """
        if request.repeatable:
            return await self._repeated(request)
        task = asyncio.create_task(self._once(request))
        self._tasks.add(task)
        task.add_done_callback(self._forget)
        return await asyncio.shield(task)

    def _forget(self, task: asyncio.Task[PlainAnswer]) -> None:
        """Drop a task, also when its caller has left and nobody reads its error."""
        self._tasks.discard(task)
        if not task.cancelled():
            task.exception()

    async def _repeated(self, request: Request) -> PlainAnswer:
        budget = self._budgets.budget(request.plan.name, request.target)
        budget.earn()
        avoid: set[str] = set()
        ran = Ran.NO
        for attempt in range(1, self._limits.attempts + 1):
            last = attempt == self._limits.attempts
            try:
                return await self._attempt(request, avoid, last=last)
            except UpstreamError as error:
                if error.ran is Ran.UNKNOWN:
                    ran = Ran.UNKNOWN
                if last or not budget.spend():
                    raise _given_up(ran) from error
            except RefusalError as refusal:
                if ran is Ran.UNKNOWN:
                    raise may_have_run(refusal) from refusal
                raise
        raise _given_up(ran)

    async def _attempt(
        self, request: Request, avoid: set[str], *, last: bool
    ) -> PlainAnswer:
        remaining_s = _remaining_s(request)

        async def use(place: LocalService) -> PlainAnswer:
            avoid.add(place.host)
            patience_s = remaining_s if last else remaining_s / 2
            return await self._sent(place, request.call, patience_s)

        return await self._placed(request, avoid, use)

    async def _once(self, request: Request) -> PlainAnswer:
        """Return the answer of a call that is dispatched at most once.

        Its key is claimed before a slot is taken, so that calls which wait for
        the log keep no others waiting. A daemon that a call was forwarded to
        dispatches it under the claim of the one that it came from.
        """

        async def use(place: LocalService) -> PlainAnswer:
            return await self._sent(place, request.call, _remaining_s(request))

        async def dispatch(call: PlainCall) -> PlainAnswer:
            return await self._placed(request, (), use)

        if request.may_spill:
            plan, service = request.plan.name, request.grant.target
            return await self._ledger.run(plan, request.call, dispatch, service=service)
        try:
            return await dispatch(request.call)
        except UpstreamError as error:
            raise _given_up(error.ran) from error

    async def _placed(
        self, request: Request, avoid: Collection[str], use: Use
    ) -> PlainAnswer:
        """Use a slot here, or go to a peer that has one, or wait for one here."""
        plan = request.plan.name
        peer = self._spill.choose(plan, request.target) if request.may_spill else None
        if peer is not None:
            with suppress(_NoSlotError):
                async with self._ticket(request, avoid, wait=False) as place:
                    return await use(place)
            with suppress(_NoSlotError):
                return await self._elsewhere(request, peer, wait=False)
        tried: set[str] = set()
        while (holder := self._holder(request, tried)) is not None:
            tried.add(waiting_at(holder))
            with suppress(_NoSlotError):
                return await self._elsewhere(request, holder, wait=True)
        wait = self._waits_here(request)
        try:
            async with self._ticket(request, avoid, wait=wait) as place:
                return await use(place)
        except _NoSlotError as error:
            if wait and request.may_spill:
                return await self._rerouted(request, error.refusal)
            raise error.refusal from None

    async def _rerouted(self, request: Request, refusal: RefusalError) -> PlainAnswer:
        """Return a peer's answer to a call whose target went out while it waited.

        :raises RefusalError: the given one, if no peer takes the call
        """
        plan, target = request.plan.name, request.target
        peer = self._spill.choose(plan, target) or self._spill.holder(plan, target)
        if peer is not None:
            with suppress(_NoSlotError):
                return await self._elsewhere(request, peer, wait=True)
        raise refusal

    def _holder(self, request: Request, tried: Collection[str]) -> Member | None:
        """Return a peer to wait at, None if the call can wait here or was forwarded."""
        if not request.may_spill:
            return None
        plan, target = request.plan.name, request.target
        return self._spill.holder(plan, target, exclude=tried)

    def _waits_here(self, request: Request) -> bool:
        plan, target = request.plan.name, request.target
        return request.may_wait and self._spill.waits_here(plan, target)

    async def _elsewhere(
        self, request: Request, peer: Member, *, wait: bool
    ) -> PlainAnswer:
        """Return a peer's answer.

        :raises _NoSlotError: if the peer has not run it and is busy
        """
        plan, service = request.plan.name, request.grant.target
        self._telemetry.count(Counter.FORWARDED, plan, request.target)
        call = request.call._replace(deadline_s=_remaining_s(request))
        try:
            return await self._forwarder.call(peer, plan, service, call, wait=wait)
        except RefusalError as refusal:
            if refusal.ran is Ran.NO and refusal.status in BUSY:
                self._spill.refused(peer, plan, request.target)
                raise _NoSlotError(refusal) from None
            raise
        except UpstreamError as error:
            if error.ran is Ran.NO:
                self._spill.refused(peer, plan, request.target)
                raise _NoSlotError(_given_up(error.ran)) from error
            raise

    @asynccontextmanager
    async def _ticket(
        self, request: Request, avoid: Collection[str], *, wait: bool
    ) -> AsyncIterator[LocalService]:
        def choose() -> LocalService | None:
            host = self._router.choose_service(request.grant.target, exclude=avoid)
            return LocalService(host, self._router, self._watcher) if host else None

        ticket = self._admission.ticket(
            request.plan, request.target, request.deadline, choose, wait=wait
        )
        async with AsyncExitStack() as stack:
            try:
                place = await stack.enter_async_context(ticket)
            except RefusalError as refusal:
                if refusal.code in NO_SLOT_HERE:
                    raise _NoSlotError(refusal) from None
                raise
            yield place

    async def _sent(
        self, place: LocalService, call: PlainCall, patience_s: float
    ) -> PlainAnswer:
        """Send a call to a host, once.

        :raises UpstreamError: if there is no whole answer in time
        """
        loop = asyncio.get_running_loop()
        started = loop.time()
        result = Result.FAILED
        try:
            async with asyncio.timeout(patience_s):
                answer = await place.call(call._replace(deadline_s=patience_s))
            result = Result.COMPLETED
            return answer
        except TimeoutError:
            raise _SilentHostError(f"{place.host}: no answer in time") from None
        except UpstreamError as error:
            if error.ran is Ran.NO:
                closed = error.nothing_listens
                result = Result.CLOSED if closed else Result.REFUSED
            raise
        finally:
            place.observe(Observation(result, loop.time() - started))


class _SilentHostError(SilenceError, UpstreamError):
    """A host gave no answer in time; it may have run the call."""


class _NoSlotError(Exception):
    """No slot was free; the call has not been run."""

    def __init__(self, refusal: RefusalError) -> None:
        super().__init__(str(refusal))
        self.refusal = refusal


def _remaining_s(request: Request) -> float:
    return max(request.deadline - asyncio.get_running_loop().time(), 0.0)


def _given_up(ran: Ran) -> RefusalError:
    if ran is Ran.NO:
        message = "No host of the service could be reached."
        return RefusalError(
            "upstream_unreachable", message, retry_after_s=RETRY_AFTER_S
        )
    message = "The service gave no whole answer; it may have run the call."
    return RefusalError("outcome_unknown", message, status=502, ran=ran)


def _covers(entry: str, method: str, path: str) -> bool:
    """Return whether a ``METHOD /path-prefix`` of a grant covers a call."""
    wanted, _, prefix = entry.partition(" ")
    prefix = prefix.strip().rstrip("/")
    if wanted.upper() != method or ".." in path:
        return False
    return path == prefix or path.startswith(prefix + "/")


def _response(answer: PlainAnswer, headers: Headers) -> web.Response:
    return web.Response(
        status=answer.status,
        body=answer.body,
        headers={
            "X-Request-Id": headers.request_id,
            "Content-Type": answer.content_type,
        },
    )
