"""The HTTP face of a daemon that routes by host name and path."""

from __future__ import annotations

import asyncio
from collections import Counter as Counts
from collections.abc import Callable, Iterator
from functools import partial

from aiohttp import web

from ..clock import loop_time
from ..errors import Ran, RefusalError
from ..in_flight import InFlight
from ..telemetry import Counter, Gauge, Measure, Reading, Telemetry
from ..telemetry.decisions import Decisions
from .call import Call
from .dialect import Ask, Dialect
from .directory import Directory
from .plain import Plain
from .resends import Allowance, Resends
from .route import RouteKind
from .streams import StreamAbortedError, Streams

RETURN_PART = 0.25
"""Greatest part of a caller's time that it is asked to wait; it needs the rest."""
CLOSED_RETRY_S = 0.05
"""Wait of a caller whose next connection goes to another daemon."""
START_HOLD_S = 0.8
"""Time from the start in which requests wait for the configuration and the hosts, which
are mostly read within a third of it; many callers have no further try by then."""
START_LOOK_S = 0.02
UNCONFIGURED_RETRY_S = 0.5
"""Wait until a started daemon has usually read its configuration."""


class RoutedFace:
    """Answers callers.

    :param directory: configuration and hosts
    :param dialect: reads and writes headers
    :param plain: sends requests of plain routes
    :param streams: sends requests of streamed routes
    :param allowance: bound on resends
    :param daemons: returns how many daemons share that bound
    :param slack_from: the loop's time from which the whole slack may be used
    :param informed: returns whether all is known that requests need
    :param decisions: takes a line for each request
    :param telemetry: histograms and counters
    """

    def __init__(
        self,
        directory: Directory,
        dialect: Dialect,
        plain: Plain,
        streams: Streams,
        *,
        allowance: Allowance,
        daemons: Callable[[], int],
        slack_from: float = 0.0,
        informed: Callable[[], bool] = lambda: True,
        decisions: Decisions,
        telemetry: Telemetry,
    ) -> None:
        self.draining = False
        """Whether connections are closed with their next answer."""
        self.closed = False
        """Whether further requests are refused, since they might not end in time."""
        self.served = 0
        """Requests that were routed to a service since the start."""
        self._directory = directory
        self._dialect = dialect
        self._plain = plain
        self._streams = streams
        self._allowance = allowance
        self._daemons = daemons
        self._slack_from = slack_from
        self._informed = informed
        self._hold_until = loop_time() + START_HOLD_S
        self._decisions = decisions
        self._telemetry = telemetry
        self._resends_by_service: dict[str, Resends] = {}
        self.requests = InFlight()

    def application(self) -> web.Application:
        """Return the application of the callers' listener."""
        app = web.Application(
            client_max_size=self._directory.configuration.bounds.body_bytes
        )
        app.router.add_route("*", "/{path:.*}", self.handle)
        return app

    async def handle(self, http: web.Request) -> web.StreamResponse:
        """Answer one request."""
        arrived = loop_time()
        ask = self._dialect.read_ask(http.headers)
        if ask.odd:
            self._decisions.request("headers_ignored", ask.request_id, names=ask.odd)
        with self.requests.counted():
            try:
                response = await self._answered(http, ask, arrived)
            except RefusalError as refusal:
                response = self._refused(ask, refusal, arrived)
            except StreamAbortedError as aborted:
                self._telemetry.count(Counter.UNKNOWN, "", "", aborted.reason)
                return aborted.response
            except (asyncio.CancelledError, ConnectionError):
                self._decisions.request(
                    "caller_left", ask.request_id, after_s=_since(arrived)
                )
                self._telemetry.count(Counter.CANCELLED, "", "")
                raise
            if self.draining and not response.prepared:
                response.force_close()
            return response

    async def _answered(
        self, http: web.Request, ask: Ask, arrived: float
    ) -> web.StreamResponse:
        call = await self._routed(http, ask, arrived)
        self.served += 1
        resends = self._resends(call.service)
        resends.request()
        if call.route.kind is RouteKind.STREAM:
            response = await self._streams.answer(call, resends)
        else:
            response = await self._plain.answer(call, resends)
        self._decisions.request(
            "answered",
            call.id,
            account=call.account,
            route=call.route.name,
            configuration=self._directory.configuration.version,
            status=response.status,
            took_s=_since(arrived),
        )
        self._telemetry.observe(
            Measure.WHOLE_ANSWER, call.account, call.service, _since(arrived)
        )
        self._telemetry.count(Counter.ANSWERED, call.account, call.service)
        return response

    async def _routed(self, http: web.Request, ask: Ask, arrived: float) -> Call:
        """Return a request with its route and account.

        :raises RefusalError: if it has none
        """
        body = await self._body(http)
        if self.closed:
            message = "This daemon is shutting down."
            raise RefusalError("draining", message, retry_after_s=CLOSED_RETRY_S)
        await self._hold(arrived, ask)
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
        account = configuration.account_by_key.get(ask.key) if ask.key else None
        if configuration.checks_keys and account is None and not route.public:
            raise RefusalError("unauthenticated", "The key is not known.", status=401)
        urgency = route.priority
        if account is not None and account.priority is not None:
            urgency = account.priority
        waits_s = route.timeout_s
        if ask.deadline_s is not None:
            waits_s = min(waits_s, ask.deadline_s)
        return Call(
            http=http,
            ask=ask,
            route=route,
            service=route.service(ask.request_id),
            account=account.name if account else "",
            urgency=min(max(urgency, 0), 9),
            body=body,
            arrived=arrived,
            deadline=arrived + waits_s,
        )

    async def _hold(self, arrived: float, ask: Ask) -> None:
        """Wait right after the start until requests can be routed.

        Answers a restart of everything: callers who found nobody come back in the
        moment in which the daemons have not read anything yet.
        """
        until = self._hold_until
        if ask.deadline_s is not None:
            until = min(until, arrived + ask.deadline_s)
        while not self._informed() and loop_time() < until:
            await self._directory.changed.wait(START_LOOK_S)

    async def _body(self, http: web.Request) -> bytes:
        """Return a request's body.

        :raises RefusalError: if it or the head is longer than is allowed
        """
        bounds = self._directory.configuration.bounds
        if sum(len(k) + len(v) for k, v in http.raw_headers) > bounds.header_bytes:
            message = "The head is too long."
            raise RefusalError("head_too_long", message, status=431)
        if http.client_max_size != bounds.body_bytes:
            http = http.clone(client_max_size=bounds.body_bytes)
        try:
            return await http.read()
        except web.HTTPRequestEntityTooLarge:
            message = "The body is too long."
            raise RefusalError("body_too_long", message, status=413) from None

    def _refused(
        self, ask: Ask, refusal: RefusalError, arrived: float
    ) -> web.StreamResponse:
        self._decisions.request(
            "refused",
            ask.request_id,
            code=refusal.code,
            status=refusal.status,
            ran=refusal.ran,
            retry_after_s=refusal.retry_after_s,
            configuration=self._directory.configuration.version,
            after_s=_since(arrived),
            **refusal.inputs,
        )
        counter = Counter.REFUSED if refusal.ran is Ran.NO else Counter.UNKNOWN
        self._telemetry.count(counter, "", "", refusal.code)
        headers = self._dialect.answer_headers(ask.request_id)
        if refusal.retry_after_s is not None:
            longest_s = RETURN_PART * (ask.deadline_s or refusal.retry_after_s)
            retry_after_s = min(refusal.retry_after_s, longest_s)
            headers["Retry-After"] = f"{retry_after_s:.2f}"
        return web.Response(
            status=refusal.status, headers=headers, text=f"{refusal.code}: {refusal}\n"
        )

    def _resends(self, service: str) -> Resends:
        found = self._resends_by_service.get(service)
        if found is None:
            note = partial(self._note_resend, service)
            found = Resends(
                self._allowance, self._daemons, slack_from=self._slack_from, note=note
            )
            self._resends_by_service[service] = found
        return found

    def _note_resend(self, service: str, reason: str, allowed: bool) -> None:
        counter = Counter.RETRIED if allowed else Counter.RETRY_DENIED
        self._telemetry.count(counter, "", service, reason)

    def readings(self) -> Iterator[Reading]:
        """Yield what the gauges of this slice show."""
        configuration = self._directory.configuration
        yield Reading(Gauge.CONFIGURATION_VERSION, configuration.version)
        if configuration.version >= 0:
            age_s = _since(self._directory.configured_at)
            yield Reading(Gauge.CONFIGURATION_AGE, age_s)
        services = Counts(host.service for host in self._directory.hosts.values())
        for service, count in services.items():
            yield Reading(Gauge.HOSTS, count, service)
        yield Reading(Gauge.IN_FLIGHT, self.requests.count)
        for service, resends in self._resends_by_service.items():
            yield Reading(Gauge.RETRIES_LEFT, resends.left, service)


def _since(arrived: float) -> float:
    return round(loop_time() - arrived, 4)
