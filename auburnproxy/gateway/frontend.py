"""HTTP frontend of a daemon that routes by host name and path."""

from __future__ import annotations

import asyncio
import math
from collections import Counter as Counts
from collections.abc import Callable, Iterator
from functools import partial

from aiohttp import web

from ..clock import loop_time
from ..errors import Ran, RefusalError
from ..in_flight import InFlightRequest, InFlightRequests, Phase
from ..telemetry import Counter, Gauge, GaugeReading, Measure, Telemetry
from ..telemetry.decisions import DecisionLog
from .body_memory import BodyMemory, HeldBody
from .body_reader import BodyReader
from .call import HELD_ANSWER, IN_FLIGHT, Call
from .caller_response import CallerResponse
from .directory import Directory
from .header_codec import FORWARDED, HeaderCodec, RequestInfo
from .peer_forwarder import PeerForwarder
from .plain_forwarder import PlainForwarder
from .reachability import UpstreamReachability
from .retry_budget import RetryAllowance
from .retry_budgets import CurrentRetryLimit, RetryBudgets
from .route import RouteKind
from .stream_forwarder import StreamAbortedError, StreamForwarder
from .unfinished_response import abort_response

MAX_RETRY_AFTER_FRACTION = 0.25
"""Upper bound of Retry-After as a fraction of the caller's deadline; the rest is needed
for the retry."""
DRAINING_RETRY_S = 0.05
"""Retry-After of a draining daemon: the caller's next connection goes to another
one."""
START_HOLD_S = 0.8
"""Time from the start during which requests wait for the configuration and the hosts.
Both are usually read within a third of it; by then many callers have no retry left, so
a refusal would be final."""
START_POLL_S = 0.02
UNCONFIGURED_RETRY_S = 0.5
"""Retry-After until a started daemon has usually read its configuration."""


class HttpFrontend:
    """Handles the requests of callers.

    :param directory: configuration and hosts
    :param header_codec: reads and writes headers
    :param plain: forwards requests of plain routes
    :param streams: forwards requests of streamed routes
    :param allowance: retry budget of all daemons together
    :param body_memory: memory for the bodies of all requests
    :param answer_memory: memory for the answers that are held whole
    :param daemons: returns how many daemons share that budget
    :param full_slack_at: the loop's time from which the full slack of the budget may be
        used
    :param informed: returns whether everything that routing needs has been read
    :param reachability: whether this daemon reaches upstreams
    :param peers: forwards requests to peers while it does not
    :param decisions: log, with a line for each request
    :param telemetry: histograms and counters
    """

    def __init__(
        self,
        directory: Directory,
        header_codec: HeaderCodec,
        plain: PlainForwarder,
        streams: StreamForwarder,
        *,
        allowance: RetryAllowance,
        body_memory: BodyMemory,
        answer_memory: BodyMemory,
        daemons: Callable[[], int],
        full_slack_at: float = 0.0,
        informed: Callable[[], bool] = lambda: True,
        reachability: UpstreamReachability,
        peers: PeerForwarder,
        decisions: DecisionLog,
        telemetry: Telemetry,
    ) -> None:
        self.draining = False
        """Whether connections are closed after their next response."""
        self.refuse_at = math.inf
        """The loop's time from which new requests are refused, since they might not
        finish before the exit."""
        self.served = 0
        """Requests routed to a service since the start."""
        self._directory = directory
        self._header_codec = header_codec
        self._plain = plain
        self._streams = streams
        self._body_memory = body_memory
        self._answer_memory = answer_memory
        self._body_reader = BodyReader()
        self._informed = informed
        self._reachability = reachability
        self._peers = peers
        self._hold_until = loop_time() + START_HOLD_S
        self._decisions = decisions
        self._telemetry = telemetry
        self.retry_budgets = RetryBudgets(
            allowance,
            daemons,
            full_slack_at=full_slack_at,
            on_retry=self._count_retry,
        )
        self.requests = InFlightRequests()

    def application(self) -> web.Application:
        """Return the web application of the callers' listener."""
        app = web.Application()
        app.router.add_route("*", "/{path:.*}", self.handle)
        return app

    async def handle(self, http: web.Request) -> web.StreamResponse:
        """Handle one request and write its response.

        It is in flight until the kernel has taken the whole response.
        """
        info = self._header_codec.read_request(http.headers)
        if info.malformed:
            self._decisions.request(
                "headers_ignored", info.request_id, names=info.malformed
            )
        if http.transport is not None and not http.transport.is_closing():
            http.transport.set_write_buffer_limits(high=0)
        with (
            self.requests.track(info.request_id) as request,
            self._body_memory.hold() as held,
            self._answer_memory.hold() as http[HELD_ANSWER],
        ):
            http[IN_FLIGHT] = request
            request.transport = http.transport
            try:
                return await self._respond(http, info, request, held)
            except (asyncio.CancelledError, ConnectionError):
                if request.cut_off:
                    return await self._respond_cut_off(http, info, request)
                self._decisions.request(
                    "caller_left",
                    info.request_id,
                    phase=request.phase,
                    after_s=_elapsed_s(request.arrived_at),
                )
                self._telemetry.count(Counter.CANCELLED, "", "")
                raise
            except Exception as error:
                self._log_failure(request, error)
                raise

    async def _respond(
        self,
        http: web.Request,
        info: RequestInfo,
        request: InFlightRequest,
        held: HeldBody,
    ) -> web.StreamResponse:
        try:
            call = await self._route(http, info, request, held)
            response = await self._forward(call)
        except RefusalError as refusal:
            response = self._refusal_response(info, refusal, request.arrived_at)
            await self._write(http, response, request)
            return response
        except StreamAbortedError as aborted:
            self._telemetry.count(Counter.UNKNOWN, "", "", aborted.reason)
            return aborted.response
        await self._write(http, response, request)
        self._record_answer(call, response)
        return response

    async def _forward(self, call: Call) -> web.StreamResponse:
        """Forward a request to an upstream, or to a peer while none can be reached."""
        response = await self._forward_to_peer(call)
        if response is not None:
            return response
        try:
            return await self._forward_to_upstream(call)
        except RefusalError as refusal:
            # The daemon may have found out that it is isolated by this request.
            if refusal.ran is Ran.NO:
                response = await self._forward_to_peer(call)
            if response is None:
                raise
            return response

    async def _forward_to_peer(self, call: Call) -> web.StreamResponse | None:
        """Forward a request to a peer if this daemon is isolated and a peer takes it.

        A request that a peer has forwarded stays here, so that none circulates.
        """
        if not self._reachability.isolated or FORWARDED in call.http.headers:
            return None
        response = await self._peers.forward(call)
        if response is not None:
            self._telemetry.count(Counter.FORWARDED, call.account, call.service)
        return response

    async def _forward_to_upstream(self, call: Call) -> web.StreamResponse:
        self.served += 1
        self.retry_budgets.budget(call.service).record_request()
        service = partial(self._directory.service, call)
        retry_limit = CurrentRetryLimit(self.retry_budgets, service)
        if call.route.kind is RouteKind.STREAM:
            return await self._streams.forward(call, retry_limit)
        return await self._plain.forward(call, retry_limit)

    async def _write(
        self, http: web.Request, response: web.StreamResponse, request: InFlightRequest
    ) -> None:
        """Write a response until the kernel has taken all of it."""
        unread = not http.content.is_eof()
        if (self.draining or unread) and not response.prepared:
            response.force_close()
        request.phase = Phase.CALLER
        request.begin_answer()
        await response.prepare(http)
        await response.write_eof()
        await http.writer.drain()

    def _record_answer(self, call: Call, response: web.StreamResponse) -> None:
        took_s = _elapsed_s(call.arrived_at)
        self._decisions.request(
            "answered",
            call.id,
            account=call.account,
            route=call.route.name,
            configuration=self._directory.configuration.version,
            status=response.status,
            took_s=took_s,
        )
        self._telemetry.observe(
            Measure.WHOLE_ANSWER, call.account, call.service, took_s
        )
        self._telemetry.count(Counter.ANSWERED, call.account, call.service)

    def cut_off(self) -> None:
        """End all requests in flight, with a log line for each.

        A caller that has received nothing is answered; any other response is aborted,
        so that it does not look complete.
        """
        for request in self.requests:
            self._decisions.request(
                "request_cut_off",
                request.id,
                phase=request.phase,
                upstream=request.upstream,
                ran=request.ran,
                answer_begun=request.answer_begun,
                unsent_bytes=request.unsent_bytes,
                age_s=_elapsed_s(request.arrived_at),
                remaining_s=_remaining_s(request.deadline),
            )
            request.cut()

    async def _respond_cut_off(
        self, http: web.Request, info: RequestInfo, request: InFlightRequest
    ) -> web.StreamResponse:
        """Answer a request that was cut off, or abort the response that has begun.

        :raises CancelledError: if the response was aborted
        """
        if request.answer_begun:
            abort_response(http)
            raise asyncio.CancelledError
        task = asyncio.current_task()
        assert task is not None
        task.uncancel()
        refusal = _draining_refusal()
        if request.ran is Ran.UNKNOWN:
            message = "The daemon stopped before the upstream had answered."
            refusal = RefusalError("cut_off", message, status=502, ran=Ran.UNKNOWN)
        response = self._refusal_response(info, refusal, request.arrived_at)
        await self._write(http, response, request)
        return response

    def _log_failure(self, request: InFlightRequest, error: Exception) -> None:
        self._decisions.request(
            "handler_failed",
            request.id,
            phase=request.phase,
            upstream=request.upstream,
            error=repr(error),
            after_s=_elapsed_s(request.arrived_at),
        )

    async def _route(
        self,
        http: web.Request,
        info: RequestInfo,
        request: InFlightRequest,
        held: HeldBody,
    ) -> Call:
        """Return a request with its route and account.

        :raises RefusalError: if it cannot be routed or authenticated
        """
        arrived_at = request.arrived_at
        deadline = math.inf
        if info.deadline_s is not None:
            deadline = arrived_at + info.deadline_s
        limits = self._directory.configuration.limits
        body = await self._body_reader.read(http, held, limits, deadline=deadline)
        if loop_time() >= self.refuse_at:
            raise _draining_refusal()
        request.phase = Phase.CONFIGURATION
        await self._wait_until_informed(arrived_at, info)
        configuration = self._directory.configuration
        if configuration.version < 0:
            message = "This daemon has no configuration yet."
            raise RefusalError(
                "unconfigured", message, retry_after_s=UNCONFIGURED_RETRY_S
            )
        host = http.headers.get("Host", "").partition(":")[0]
        route = configuration.route(host, http.raw_path.partition("?")[0])
        if route is None:
            raise RefusalError("no_route", "There is no such route.", status=404)
        account = configuration.account_by_key.get(info.key) if info.key else None
        if configuration.requires_keys and account is None and not route.public:
            raise RefusalError("unauthenticated", "The key is not known.", status=401)
        service = route.service(info.request_id)
        if service is None:
            message = "The route has no target with a positive weight."
            raise RefusalError("no_target", message, retry_after_s=UNCONFIGURED_RETRY_S)
        urgency = route.priority
        if account is not None and account.priority is not None:
            urgency = account.priority
        timeout_s = route.timeout_s
        if info.deadline_s is not None:
            timeout_s = min(timeout_s, info.deadline_s)
        request.phase = Phase.UPSTREAM
        request.deadline = arrived_at + timeout_s
        return Call(
            http=http,
            info=info,
            route=route,
            service=service,
            account=account.name if account else "",
            urgency=min(max(urgency, 0), 9),
            body=body,
            arrived_at=arrived_at,
            deadline=request.deadline,
        )

    async def _wait_until_informed(self, arrived_at: float, info: RequestInfo) -> None:
        """Wait after the start until requests can be routed.

        Needed when all daemons restart at once: callers that could not connect retry at
        the moment at which the daemons have not read anything yet.
        """
        until = self._hold_until
        if info.deadline_s is not None:
            until = min(until, arrived_at + info.deadline_s)
        while not self._informed() and loop_time() < until:
            await self._directory.changed.wait(START_POLL_S)

    def _refusal_response(
        self, info: RequestInfo, refusal: RefusalError, arrived_at: float
    ) -> web.StreamResponse:
        self._decisions.request(
            "refused",
            info.request_id,
            code=refusal.code,
            status=refusal.status,
            ran=refusal.ran,
            retry_after_s=refusal.retry_after_s,
            configuration=self._directory.configuration.version,
            after_s=_elapsed_s(arrived_at),
            **refusal.inputs,
        )
        counter = Counter.REFUSED if refusal.ran is Ran.NO else Counter.UNKNOWN
        self._telemetry.count(counter, "", "", refusal.code)
        headers = self._header_codec.response_headers(info.request_id)
        retry_after_s = refusal.retry_after_s
        if retry_after_s is not None:
            if refusal.retry_within_deadline and info.deadline_s:
                max_retry_after_s = MAX_RETRY_AFTER_FRACTION * info.deadline_s
                retry_after_s = min(retry_after_s, max_retry_after_s)
            headers["Retry-After"] = f"{retry_after_s:.2f}"
        return CallerResponse(
            status=refusal.status, headers=headers, text=f"{refusal.code}: {refusal}\n"
        )

    def _count_retry(self, service: str, reason: str, allowed: bool) -> None:
        counter = Counter.RETRIED if allowed else Counter.RETRY_DENIED
        self._telemetry.count(counter, "", service, reason)

    def readings(self) -> Iterator[GaugeReading]:
        """Yield the current gauge values of this package."""
        configuration = self._directory.configuration
        yield GaugeReading(Gauge.CONFIGURATION_VERSION, configuration.version)
        if configuration.version >= 0:
            age_s = _elapsed_s(self._directory.configured_at)
            yield GaugeReading(Gauge.CONFIGURATION_AGE, age_s)
        services = Counts(host.service for host in self._directory.hosts.values())
        for service, count in services.items():
            yield GaugeReading(Gauge.HOSTS, count, service)
        yield GaugeReading(Gauge.IN_FLIGHT, self.requests.count)
        for service, remaining in self.retry_budgets.remaining():
            yield GaugeReading(Gauge.RETRIES_LEFT, remaining, service)


def _draining_refusal() -> RefusalError:
    message = "This daemon is shutting down."
    return RefusalError("draining", message, retry_after_s=DRAINING_RETRY_S)


def _remaining_s(deadline: float | None) -> float | None:
    return None if deadline is None else round(deadline - loop_time(), 4)


def _elapsed_s(arrived_at: float) -> float:
    return round(loop_time() - arrived_at, 4)
