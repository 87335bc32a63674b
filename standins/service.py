"""Simulated plain service with stock lookups and fabric orders."""

from __future__ import annotations

import asyncio
import secrets

import msgspec
import xxhash
from aiohttp import web
from aiohttp.typedefs import Handler
from loguru import logger

from auburnproxy.upstreams.service import ServiceReport

from .listener import abort_connection, json_answer
from .runs import Runs
from .settings import ServiceSettings
from .warmth import Warmth

log = logger.bind(part="standin")
BAD_REQUEST = 400
CREATED = 201
MS_PER_S = 1000
STOCK_RANGE = 1000


class StockAnswer(msgspec.Struct, frozen=True):
    """Response to a lookup, derived from the item's name."""

    item: str
    stock: int


class PlacedOrder(msgspec.Struct, frozen=True):
    """Response to an order."""

    order: str
    run: int
    """Runs of this order, including this one; the service does not deduplicate."""


def stock_of(item: str) -> StockAnswer:
    """Return the stock of an item, derived from a hash of its name.

    :param item: name of the item
    """
    return StockAnswer(item, xxhash.xxh32_intdigest(item.encode()) % STOCK_RANGE)


class Service:
    """Plain service on one host.

    :param settings: the service's settings
    :param runs: run counters shared by the process
    """

    def __init__(self, settings: ServiceSettings, *, runs: Runs) -> None:
        self.settings = settings
        self.is_up = True
        self.slowness = 1.0
        self.resumed = asyncio.Event()
        self.resumed.set()
        self._runs = runs
        self._in_flight = 0
        self._reset_state()

    def _reset_state(self) -> None:
        settings = self.settings
        self.incarnation = secrets.token_hex(8)
        self._is_leaving = False
        self.warmth = Warmth(
            slots=settings.slots,
            cold_slots=settings.cold_slots,
            warm_calls=settings.warm_calls,
            warm_s=settings.warm_s,
        )
        self._published = self._snapshot()

    def _snapshot(self) -> ServiceReport:
        return ServiceReport(
            self.settings.name, self.incarnation, self._is_leaving, self._in_flight
        )

    def stop(self) -> None:
        """Simulate a crash: drop all state."""
        self.is_up = False
        self._reset_state()

    def start(self) -> None:
        """Accept requests again, under the new incarnation."""
        self.is_up = True

    def forget_weights(self) -> None:
        """Do nothing: a plain service has no weights."""

    def leave(self) -> None:
        """Report the host as leaving; calls are still served."""
        self._is_leaving = True

    async def _restart(self) -> None:
        log.warning(
            "Cold host {} crashed under load; {}.", self.settings.name, self.warmth
        )
        self._runs.collapses[self.settings.name] += 1
        self.stop()
        await asyncio.sleep(self.settings.restart_s)
        self.start()

    async def run(self) -> None:
        """Publish reports until cancelled."""
        while True:
            await asyncio.sleep(self.settings.report_every_s)
            await self.resumed.wait()
            self._published = self._snapshot()

    async def _handle_report(self, request: web.Request) -> web.StreamResponse:
        return json_answer(self._published)

    async def _simulate_work(self) -> None:
        answer_s = self.settings.answer_ms / MS_PER_S
        await asyncio.sleep(answer_s * self.slowness)
        await self.resumed.wait()

    async def _handle_stock(self, request: web.Request) -> web.StreamResponse:
        self._runs.count(request.path_qs)
        await self._simulate_work()
        return json_answer(stock_of(request.match_info["item"]))

    async def _handle_order(self, request: web.Request) -> web.StreamResponse:
        body = await request.read()
        try:
            order = msgspec.json.decode(body, type=dict[str, str])["order"]
        except (msgspec.MsgspecError, KeyError):
            return web.Response(status=BAD_REQUEST)
        run = self._runs.count(order, order=True)
        await self._simulate_work()
        return json_answer(PlacedOrder(order, run), CREATED)

    @web.middleware
    async def _admit(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        await self.resumed.wait()
        if not self.is_up:
            return abort_connection(request)
        if request.path == "/report":
            return await handler(request)
        if self._is_leaving:
            self._runs.late[self.settings.name] += 1
        if self.warmth.overloaded_by(self._in_flight + 1):
            await asyncio.shield(asyncio.create_task(self._restart()))
            return abort_connection(request)
        return await self._track_in_flight(request, handler)

    async def _track_in_flight(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        incarnation = self.incarnation
        self._in_flight += 1
        try:
            response = await handler(request)
        finally:
            self._in_flight -= 1
        if incarnation != self.incarnation:
            return abort_connection(request)
        self.warmth.record_served_call()
        return response

    def app(self) -> web.Application:
        """Return the web application that serves the plain service."""
        app = web.Application(middlewares=[self._admit])
        app.router.add_get("/report", self._handle_report)
        app.router.add_get("/calls/stock/{item}", self._handle_stock)
        app.router.add_post("/calls/orders", self._handle_order)
        return app
