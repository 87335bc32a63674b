"""Simulated model engine on one host."""

from __future__ import annotations

import asyncio
import secrets
from collections import OrderedDict
from collections.abc import Awaitable, Callable, Mapping

import msgspec
import xxhash
from aiohttp import web
from aiohttp.typedefs import Handler
from loguru import logger

from auburnproxy.upstreams.engine import (
    Assignment,
    ChunkKind,
    EngineReport,
    EngineState,
    FencingToken,
    Order,
)
from auburnproxy.upstreams.events import encode_event

from .batch import Batch, Stream
from .listener import abort_connection, json_answer
from .runs import Runs
from .settings import EngineSettings
from .tokens import Prompt, read_prompt
from .warmth import Warmth

log = logger.bind(part="standin")
ACCEPTED = 202
BAD_REQUEST = 400
CONFLICT = 409
BUSY = 429
UNAVAILABLE = 503
MS_PER_S = 1000
PEER_CHECK_INTERVAL_S = 0.05
CACHED_LOAD_TIME_FRACTION = 0.1
"""Fraction of the load time that remains if the host already has the weights."""
NO_FENCE = FencingToken(0, 0)


class Engine:
    """Engine of one host; engines in a process detect each other's failures.

    :param settings: the engine's settings
    :param engines_by_address: all engines in this process, by address
    :param fetch: downloads a model's weights; returns once the store served them
    :param runs: run counters shared by the process
    """

    def __init__(
        self,
        settings: EngineSettings,
        *,
        engines_by_address: Mapping[str, Engine],
        fetch: Callable[[str], Awaitable[None]],
        runs: Runs,
    ) -> None:
        self.settings = settings
        self.is_up = True
        self.slowness = 1.0
        self.resumed = asyncio.Event()
        self.resumed.set()
        self._engines_by_address = engines_by_address
        self._fetch = fetch
        self._runs = runs
        self._weights: set[str] = set()
        self._batch = Batch(settings.slots, self._step_s, self.resumed)
        self._load: asyncio.Task[None] | None = None
        self._reset_state()

    def _reset_state(self) -> None:
        settings = self.settings
        self.incarnation = secrets.token_hex(8)
        self.state = EngineState.IDLE
        self.assignment: Assignment | None = None
        self._fence = NO_FENCE
        self._prefixes: OrderedDict[str, None] = OrderedDict()
        self.warmth = Warmth(
            slots=settings.slots,
            cold_slots=settings.cold_slots,
            warm_calls=settings.warm_calls,
            warm_s=settings.warm_s,
        )
        self._published = self._snapshot()

    def _step_s(self, calls: int) -> float:
        growth = 1 + self.settings.step_growth * (calls - 1)
        return self.settings.step_ms * growth * self.slowness / MS_PER_S

    def _snapshot(self) -> EngineReport:
        return EngineReport(
            host=self.settings.name,
            incarnation=self.incarnation,
            state=self.state,
            fence=self._fence,
            assignment=self.assignment,
            in_flight=self._batch.in_flight,
            queued=self._batch.queued,
            weights=tuple(sorted(self._weights)),
            prefixes=tuple(reversed(self._prefixes)),
            prefix_gaps=0,
        )

    def stop(self) -> None:
        """Simulate a crash: drop all state except the weights on the host."""
        self.is_up = False
        self._cancel_load()
        self._batch.abort_all()
        self._reset_state()

    def start(self) -> None:
        """Accept requests again, under the new incarnation."""
        self.is_up = True
        self._published = self._snapshot()

    def forget_weights(self) -> None:
        """Drop the cached weights too, as if the host had been replaced."""
        self._weights.clear()

    def leave(self) -> None:
        """Report the host as leaving; calls are still served."""
        self.state = EngineState.LEAVING

    async def _restart(self) -> None:
        log.warning(
            "Cold host {} crashed under load; {}.", self.settings.name, self.warmth
        )
        self._runs.collapses[self.settings.name] += 1
        self.stop()
        await asyncio.sleep(self.settings.restart_s)
        self.start()

    async def run(self) -> None:
        """Run the batch, publish reports and check replica peers until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._batch.run())
            group.create_task(self._publish())
            group.create_task(self._watch_replica())

    async def _publish(self) -> None:
        while True:
            await asyncio.sleep(self.settings.report_every_s)
            await self.resumed.wait()
            self._published = self._snapshot()

    async def _watch_replica(self) -> None:
        while True:
            await asyncio.sleep(PEER_CHECK_INTERVAL_S)
            if self.state is EngineState.READY and not self._is_replica_complete:
                self._batch.fail(b"member_lost")

    @property
    def serves(self) -> bool:
        """Tell whether the host is up, ready and part of a complete replica."""
        return (
            self.is_up and self.state is EngineState.READY and self._is_replica_complete
        )

    @property
    def _is_replica_complete(self) -> bool:
        """Tell whether every host of the replica is up and holds its assigned rank."""
        if self.assignment is None:
            return False
        return all(
            self._peer_holds_rank(address, rank)
            for rank, address in enumerate(self.assignment.addresses)
        )

    def _peer_holds_rank(self, address: str, rank: int) -> bool:
        own = self.assignment
        peer = self._engines_by_address.get(address)
        if own is None or peer is None or not peer.is_up:
            return False
        if not peer.resumed.is_set() or peer.state is EngineState.LOADING:
            return False
        return peer.assignment == own._replace(rank=rank)

    def _cancel_load(self) -> None:
        if self._load is not None:
            self._load.cancel()
            self._load = None

    def apply_order(self, order: Order) -> bool:
        """Apply an order; return False if its fencing token is stale.

        :param order: assignment to switch to, with its fencing token
        """
        if self.settings.checks_fence and order.fence < self._fence:
            return False
        self._fence = order.fence
        if order.assignment != self.assignment:
            self._switch_assignment(order.assignment)
        return True

    def _switch_assignment(self, assignment: Assignment | None) -> None:
        self._cancel_load()
        self._batch.fail(b"reassigned")
        self.assignment = assignment
        if assignment is None:
            self.state = EngineState.IDLE
            return
        self.state = EngineState.LOADING
        self._load = asyncio.create_task(self._load_model(assignment.model))

    async def _load_model(self, model: str) -> None:
        load_s = self.settings.load_s
        if model in self._weights:
            load_s *= CACHED_LOAD_TIME_FRACTION
        else:
            await self._fetch(model)
        await asyncio.sleep(load_s)
        self._weights.add(model)
        self.warmth.mark_cold()
        self.state = EngineState.READY

    def _rejection_status(self, request: web.Request) -> int:
        """Return the HTTP status to reject a call with, or 0 to accept it."""
        headers = request.headers
        assignment = self.assignment
        if self.state is EngineState.LEAVING:
            self._runs.late[self.settings.name] += 1
        if headers.get("X-Incarnation", "") not in ("", self.incarnation):
            return CONFLICT
        if assignment is None or assignment.rank != 0:
            return CONFLICT
        if headers.get("X-Generation", "0") not in ("0", str(assignment.generation)):
            return CONFLICT
        if headers.get("X-Model", assignment.model) != assignment.model:
            return CONFLICT
        if self.state is EngineState.LOADING or not self._is_replica_complete:
            return UNAVAILABLE
        full = self._batch.queued >= self.settings.queue
        return BUSY if full else 0

    def _prefill_steps(self, prompt: Prompt) -> int:
        """Cache the prompt's blocks; return the prefill steps for the uncached ones."""
        missing = sum(block not in self._prefixes for block in prompt.blocks)
        for block in prompt.blocks:
            self._prefixes[block] = None
            self._prefixes.move_to_end(block)
        while len(self._prefixes) > self.settings.cached_prefixes:
            self._prefixes.popitem(last=False)
        missing_fraction = missing / len(prompt.blocks) if prompt.blocks else 1.0
        return round(self.settings.prefill_steps * missing_fraction)

    async def _handle_report(self, request: web.Request) -> web.StreamResponse:
        return json_answer(self._published)

    async def _handle_order(self, request: web.Request) -> web.StreamResponse:
        order = msgspec.json.decode(await request.read(), type=Order)
        return web.Response(status=ACCEPTED if self.apply_order(order) else CONFLICT)

    async def _handle_generate(self, request: web.Request) -> web.StreamResponse:
        body = await request.read()
        status = self._rejection_status(request)
        if status == CONFLICT:
            self._runs.refused[self.settings.name] += 1
        if status:
            return web.Response(status=status)
        try:
            prompt = read_prompt(body)
        except ValueError:
            return web.Response(status=BAD_REQUEST)
        calls = self._batch.in_flight + self._batch.queued + 1
        if self.warmth.overloaded_by(calls):
            restart = asyncio.create_task(self._restart())
            await asyncio.shield(restart)
            return abort_connection(request)
        self._runs.count(xxhash.xxh64_hexdigest(body))
        return await self._stream(request, prompt)

    async def _stream(self, request: web.Request, prompt: Prompt) -> web.StreamResponse:
        stream = Stream(
            request.headers.get("X-Request-Id", ""),
            prompt,
            position=int(request.headers.get("X-Resume-From", "0")),
            prefill_steps=self._prefill_steps(prompt),
        )
        self._batch.add(stream, int(request.headers.get("X-Priority", "0")))
        response = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
        try:
            await response.prepare(request)
            return await self._write(request, response, stream)
        finally:
            self._batch.cancel(stream)

    async def _write(
        self, request: web.Request, response: web.StreamResponse, stream: Stream
    ) -> web.StreamResponse:
        while True:
            chunk = await stream.chunks.get()
            if chunk is None:
                return abort_connection(request)
            await response.write(encode_event(chunk))
            if chunk.kind is ChunkKind.TOKEN:
                continue
            if chunk.kind is ChunkKind.END:
                self.warmth.record_served_call()
            return response

    @web.middleware
    async def _require_up(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        await self.resumed.wait()
        if not self.is_up:
            return abort_connection(request)
        return await handler(request)

    def app(self) -> web.Application:
        """Return the web application that serves the engine."""
        app = web.Application(middlewares=[self._require_up])
        app.router.add_get("/report", self._handle_report)
        app.router.add_post("/order", self._handle_order)
        app.router.add_post("/generate", self._handle_generate)
        return app
