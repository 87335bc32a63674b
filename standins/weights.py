"""Simulated weight store, which serves loads at a limited rate."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable

import msgspec
from aiohttp import web

from auburnproxy.external import ModelSpec

from .listener import abort_connection, json_answer

S_PER_MINUTE = 60


class WeightFault(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Change of the load rate or the availability of the store."""

    loads_per_minute: int | None = None
    dark_s: float = 0.0
    """Seconds for which connections are aborted without a response."""


class Weights:
    """Model catalogue and load rate limit.

    :param models: models in the catalogue
    :param loads_per_minute: single-host loads served per minute at load cost 1
    """

    def __init__(self, models: Iterable[ModelSpec], *, loads_per_minute: int) -> None:
        self._models_by_name = {model.name: model for model in models}
        self._loads_per_minute = loads_per_minute
        self._next_slot_at = 0.0
        self._dark_until = 0.0

    @property
    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    async def load(self, model: str) -> None:
        """Wait until the rate limit admits one host's load.

        :param model: name of the model
        """
        cost_s = S_PER_MINUTE * self._models_by_name[model].load_cost
        start = max(self._now, self._next_slot_at)
        self._next_slot_at = start + cost_s / self._loads_per_minute
        await asyncio.sleep(self._next_slot_at - self._now)

    async def _handle_models(self, request: web.Request) -> web.StreamResponse:
        if self._now < self._dark_until:
            return abort_connection(request)
        return json_answer(tuple(self._models_by_name.values()))

    async def _handle_rate(self, request: web.Request) -> web.StreamResponse:
        if self._now < self._dark_until:
            return abort_connection(request)
        return json_answer(self._loads_per_minute)

    async def _handle_load(self, request: web.Request) -> web.StreamResponse:
        await self.load(request.match_info["model"])
        if self._now < self._dark_until:
            return abort_connection(request)
        return web.Response()

    async def _handle_fault(self, request: web.Request) -> web.StreamResponse:
        fault = msgspec.json.decode(await request.read(), type=WeightFault)
        if fault.loads_per_minute is not None:
            self._loads_per_minute = fault.loads_per_minute
        self._dark_until = self._now + fault.dark_s
        return web.Response()

    def app(self) -> web.Application:
        """Return the application that serves the catalogue and the loads."""
        app = web.Application()
        app.router.add_get("/models", self._handle_models)
        app.router.add_get("/loads-per-minute", self._handle_rate)
        app.router.add_post("/loads/{model}", self._handle_load)
        app.router.add_post("/fault", self._handle_fault)
        return app


def make_weights(models: Iterable[ModelSpec], *, loads_per_minute: int) -> Weights:
    """Return a weight store.

    :param models: the models on offer
    :param loads_per_minute: loads of one host that are served a minute
    """
    return Weights(models, loads_per_minute=loads_per_minute)
