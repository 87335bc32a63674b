"""HTTP front end of a daemon, for callers and for peers."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable
from contextlib import AbstractContextManager, suppress

import msgspec
from aiohttp import web
from loguru import logger

from ..admission import Admission
from ..admission._protocols import Configuration
from ..configuration import Plan, TargetKind
from ..errors import DocumentError, Ran, RefusalError
from ..in_flight import InFlightRequest, InFlightRequests, Phase
from ..ledger import AtMostOnceRunner
from ..routing import Router
from ..routing._protocols import Readiness, Watcher
from ..telemetry import Counter, Telemetry
from ._cut_off import (
    cut_off_refusal,
    draining_refusal,
    log_cut_off,
)
from ._labels import IN_FLIGHT, PLAN, REQUEST, TARGET
from .forward import MODEL_PATH, SERVICE_PATH, Forwarder
from .limits import RequestLimits
from .model_calls import ModelCallHandler
from .peer_selector import PeerSelector
from .refusal import failure_refusal, findings_response, refusal_response
from .request_parsing import bearer_key, request_id
from .service_calls import ServiceCallHandler
from .signature import Signer

REFRESH_INTERVAL_S = 0.5
"""Seconds between two updates of the concurrency limits."""
RETRY_AFTER_S = 1.0

log = logger.bind(part="serving")
Handler = Callable[[web.Request, Plan], Awaitable[web.StreamResponse]]
RawHandler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class Frontend:
    """Serves the HTTP requests of callers and peers.

    :param configuration: the operators' lists in force
    :param admission: authenticates callers and grants slots
    :param router: chooses upstreams
    :param readiness: which replicas serve
    :param watcher: observed state of the upstreams
    :param ledger: runs non-repeatable calls, each at most once
    :param peer_selector: chooses peers to forward calls to
    :param telemetry: histograms and counters
    :param secret: secret shared by the daemons
    :param incarnation: id of this process, unique for every start
    :param ready: returns whether the daemon is able to serve
    :param limits: limits for requests
    """

    def __init__(
        self,
        configuration: Configuration,
        admission: Admission,
        router: Router,
        readiness: Readiness,
        watcher: Watcher,
        ledger: AtMostOnceRunner,
        peer_selector: PeerSelector,
        telemetry: Telemetry,
        *,
        secret: bytes,
        incarnation: str,
        ready: Callable[[], bool],
        limits: RequestLimits | None = None,
    ) -> None:
        limits = limits or RequestLimits()
        self.draining = False
        """Whether the daemon stops: it is not ready, and closes each connection after
        its next response."""
        self.closed = False
        """Whether new requests are refused, since they might not finish before the
        exit."""
        self._configuration = configuration
        self._admission = admission
        self._router = router
        self._telemetry = telemetry
        self._ready = ready
        self._limits = limits
        self._signer = Signer(secret)
        self._forwarder = Forwarder(self._signer)
        self._model_calls = ModelCallHandler(
            admission,
            router,
            readiness,
            watcher,
            peer_selector,
            self._forwarder,
            telemetry,
            limits=limits,
            incarnation=incarnation,
        )
        self._service_calls = ServiceCallHandler(
            admission,
            router,
            watcher,
            ledger,
            peer_selector,
            self._forwarder,
            telemetry,
            limits=limits,
        )
        self._requests = InFlightRequests()

    @property
    def in_flight(self) -> int:
        """Return the number of requests in flight."""
        return self._requests.count

    async def run(self) -> None:
        """Refresh the concurrency limits periodically until cancelled."""
        while True:
            self._admission.refresh()
            self._router.refresh()
            await asyncio.sleep(REFRESH_INTERVAL_S)

    def caller_app(self) -> web.Application:
        """Return the application for the callers' listener.

        Its runner must be created with ``handler_cancellation=True``, so that a
        caller that disconnects releases its slots.
        """
        app = web.Application(client_max_size=self._limits.body_bytes)
        any_method = "*"
        app.router.add_get("/v1/models", self._caller_handler(self._list_models))
        app.router.add_post(
            "/v1/chat/completions", self._caller_handler(self._model_calls.handle_chat)
        )
        app.router.add_route(
            any_method,
            "/v1/services/{service}/{path:.*}",
            self._caller_handler(self._service_calls.handle_call),
        )
        app.router.add_get("/healthz", self._health)
        app.router.add_get("/readyz", self._readiness)
        return app

    def forward_routes(self) -> list[web.RouteDef]:
        """Return the routes of the internal listener for calls forwarded by peers."""
        return [
            web.post(
                MODEL_PATH, self._peer_handler(self._model_calls.handle_forwarded)
            ),
            web.post(
                SERVICE_PATH, self._peer_handler(self._service_calls.handle_forwarded)
            ),
        ]

    def track(self, request_id: str) -> AbstractContextManager[InFlightRequest]:
        """Count a request that this frontend does not serve as in flight.

        :param request_id: name of the request in logs
        """
        return self._requests.track(request_id)

    def announce_stop(self, cut_at: float) -> None:
        """Count as not ready from now on; new requests are still accepted.

        :param cut_at: the loop's time at which requests will be cut off; those that
            can't be answered by then go to peers or are refused
        """
        self.draining = True
        self._admission.stop_by(cut_at)

    async def drain(
        self, *, cut_at: float | None = None, answered_at: float | None = None
    ) -> None:
        """Refuse new requests and wait for those in flight to complete.

        :param cut_at: the loop's time at which requests that are not complete are
            ended and their callers told so, None for no limit
        :param answered_at: the loop's time until which these answers are waited for
        """
        self.draining = self.closed = True
        log.info("Draining: waiting for {} requests in flight.", self.in_flight)
        if not await self._wait_idle(cut_at):
            self._cut_off()
            await self._wait_idle(answered_at)
        log.info("Drained.")

    async def wait_recorded(self, *, timeout_s: float) -> None:
        """Wait until the outcomes of calls that run at most once are recorded.

        :param timeout_s: longest wait in seconds; outcomes that the log has not taken
            by then stay unknown
        """
        await self._service_calls.wait_recorded(timeout_s=timeout_s)

    async def _wait_idle(self, until: float | None) -> bool:
        idle = await self._requests.wait_idle(until)
        return await self._service_calls.wait_finished(until) and idle

    def _cut_off(self) -> None:
        for request in self._requests:
            log_cut_off(request)
            request.cut()
        self._service_calls.cut_off()

    async def close(self) -> None:
        """Close every connection to a peer."""
        await self._forwarder.close()

    def _caller_handler(self, handler: Handler) -> RawHandler:
        async def handle(http: web.Request) -> web.StreamResponse:
            plan = self._admission.authenticate(bearer_key(http.headers))
            http[PLAN] = plan.name
            return await handler(http, plan)

        return self._tracked(handle)

    def _peer_handler(self, handler: Handler) -> RawHandler:
        async def handle(http: web.Request) -> web.StreamResponse:
            body = await http.read()
            self._signer.verify(
                http.method, http.path, http.headers, body, now_s=time.time()
            )
            name = http.headers.get("X-Plan", "")
            plan = self._configuration.plans_by_name.get(name)
            if plan is None:
                message = "The plan is not known here."
                raise RefusalError("unknown_plan", message, status=503)
            return await handler(http, plan)

        return self._tracked(handle)

    def _tracked(self, handler: RawHandler) -> RawHandler:
        """Wrap a handler: track requests in flight and turn errors into responses.

        A request is in flight until the kernel has taken its whole response.
        """

        async def tracked(http: web.Request) -> web.StreamResponse:
            http[REQUEST] = request_id(http.headers)
            if http.transport is not None and not http.transport.is_closing():
                http.transport.set_write_buffer_limits(high=0)
            log_context = logger.contextualize(request=f" [{http[REQUEST]}]")
            with self._requests.track(http[REQUEST]) as request, log_context:
                http[IN_FLIGHT] = request
                response = await self._respond(handler, http)
                if self.draining:
                    response.force_close()
                request.phase = Phase.CALLER
                request.begin_answer()
                # The caller may have disconnected before reading the response.
                with suppress(ConnectionError):
                    if not response.prepared:
                        await response.prepare(http)
                    await response.write_eof()
                return response

        return tracked

    async def _respond(
        self, handler: RawHandler, http: web.Request
    ) -> web.StreamResponse:
        """Return the handler's response, or one that reports its error."""
        try:
            self._refuse_unless_ready()
            return await handler(http)
        except RefusalError as error:
            refusal = error
        except DocumentError as error:
            return findings_response(error, http[REQUEST])
        except (asyncio.CancelledError, ConnectionError):
            request = http[IN_FLIGHT]
            if not request.cut_off or request.answer_begun:
                plan, target = http.get(PLAN, ""), http.get(TARGET, "")
                self._telemetry.count(Counter.CANCELLED, plan, target)
                raise
            refusal = cut_off_refusal(request)
        except Exception:
            log.exception("Unhandled error in a request handler.")
            refusal = failure_refusal()
        self._count_refusal(http, refusal)
        return refusal_response(refusal, http[REQUEST])

    def _count_refusal(self, http: web.Request, refusal: RefusalError) -> None:
        log.debug("Request refused with code {}, ran: {}.", refusal.code, refusal.ran)
        counter = Counter.REFUSED if refusal.ran is Ran.NO else Counter.UNKNOWN
        plan, target = http.get(PLAN, ""), http.get(TARGET, "")
        self._telemetry.count(counter, plan, target, refusal.code)

    def _refuse_unless_ready(self) -> None:
        if self.closed:
            raise draining_refusal()
        if not self._ready():
            message = "This daemon takes no requests now."
            raise RefusalError("not_ready", message, retry_after_s=RETRY_AFTER_S)

    async def _list_models(self, http: web.Request, plan: Plan) -> web.Response:
        grants = self._configuration.lists.grants
        names = sorted(
            grant.target
            for grant in grants
            if grant.plan == plan.name and grant.kind is TargetKind.MODEL
        )
        data = [{"id": name, "object": "model"} for name in names]
        body = msgspec.json.encode({"object": "list", "data": data})
        return web.Response(body=body, content_type="application/json")

    async def _health(self, http: web.Request) -> web.Response:
        return web.Response(text="ok\n")

    async def _readiness(self, http: web.Request) -> web.Response:
        ready = self._ready() and not self.draining
        return web.Response(
            status=200 if ready else 503, text="ready\n" if ready else "not ready\n"
        )
