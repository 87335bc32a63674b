"""Simulated upstreams: ``python -m standins.upstreams --settings FILE``.

One process simulates many hosts, each on its own address. On the control address,
``POST /fault`` injects faults, ``GET /runs`` returns the run counts and
``GET /hosts`` the current state of the engine hosts.
"""

from __future__ import annotations

import asyncio
from enum import StrEnum
from pathlib import Path
from typing import NamedTuple

import defopt
import msgspec
from aiohttp import ClientError, ClientSession, web

from .engine import Engine
from .listener import json_answer, listen, listening, run_until_signal
from .runs import Runs
from .service import Service
from .settings import UpstreamSettings, read

RETRY_FETCH_S = 0.5


class FaultKind(StrEnum):
    """Fault or state change that can be injected into a host."""

    DEAD = "dead"
    """The listener is closed; state and weights are lost."""
    ALIVE = "alive"
    """A dead host restarts; a paused or slow one recovers."""
    PAUSED = "paused"
    """The host accepts connections but does not respond."""
    SLOW = "slow"
    COLD = "cold"
    """The host becomes cold and keeps its incarnation."""
    LEAVING = "leaving"


class UpstreamFault(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Fault to inject into hosts."""

    fault: FaultKind
    hosts: tuple[str, ...]
    slowness: float = 5.0
    """Factor by which a slow host's steps or responses take longer."""


class HostView(NamedTuple):
    """Current state of an engine host, without the delay of its reports."""

    host: str
    up: bool
    serves: bool
    """Whether the host is ready and its replica is complete."""
    model: str
    rank: int


def _view(engine: Engine) -> HostView:
    assignment = engine.assignment
    model, rank = (assignment.model, assignment.rank) if assignment else ("", 0)
    return HostView(engine.settings.name, engine.is_up, engine.serves, model, rank)


class Upstreams:
    """Simulated hosts of one process.

    :param settings: settings of the hosts
    """

    def __init__(self, settings: UpstreamSettings) -> None:
        self._settings = settings
        self.runs = Runs()
        self._engines_by_address: dict[str, Engine] = {}
        self._upstreams_by_host: dict[str, Engine | Service] = {}
        self._runners_by_host: dict[str, web.AppRunner] = {}
        self._session: ClientSession | None = None

    @property
    def addresses_by_host(self) -> dict[str, str]:
        """Return the address of each host."""
        settings = [each.settings for each in self._upstreams_by_host.values()]
        return {each.name: each.address for each in settings}

    async def run(self) -> None:
        """Serve every host until cancelled."""
        async with ClientSession() as self._session, asyncio.TaskGroup() as group:
            self._create_upstreams()
            for upstream in self._upstreams_by_host.values():
                group.create_task(upstream.run())
                await self._start_listener(upstream)
            async with listening(self._control_app(), self._settings.control):
                await asyncio.Event().wait()

    def _create_upstreams(self) -> None:
        for settings in self._settings.engines:
            engine = Engine(
                settings,
                engines_by_address=self._engines_by_address,
                fetch=self._fetch,
                runs=self.runs,
            )
            self._engines_by_address[settings.address] = engine
            self._upstreams_by_host[settings.name] = engine
        for plain in self._settings.services:
            self._upstreams_by_host[plain.name] = Service(plain, runs=self.runs)

    async def _start_listener(self, upstream: Engine | Service) -> None:
        settings = upstream.settings
        runner = await listen(upstream.app(), settings.address)
        self._runners_by_host[settings.name] = runner

    async def _fetch(self, model: str) -> None:
        assert self._session is not None
        url = f"{self._settings.weights}/loads/{model}"
        while True:
            try:
                async with self._session.post(url) as response:
                    if response.ok:
                        return
            except ClientError:
                pass
            await asyncio.sleep(RETRY_FETCH_S)

    async def fail(self, fault: UpstreamFault) -> None:
        """Inject a fault.

        :param fault: the fault and the hosts that it applies to
        """
        for host in fault.hosts:
            upstream = self._upstreams_by_host[host]
            if fault.fault is FaultKind.DEAD:
                await self._kill(upstream)
            elif fault.fault is FaultKind.ALIVE:
                await self._revive(upstream)
            elif fault.fault is FaultKind.PAUSED:
                upstream.resumed.clear()
            elif fault.fault is FaultKind.SLOW:
                upstream.slowness = fault.slowness
            elif fault.fault is FaultKind.COLD:
                upstream.warmth.mark_cold()
            else:
                upstream.leave()

    async def _kill(self, upstream: Engine | Service) -> None:
        upstream.stop()
        upstream.forget_weights()
        runner = self._runners_by_host.pop(upstream.settings.name, None)
        if runner is not None:
            await runner.cleanup()

    async def _revive(self, upstream: Engine | Service) -> None:
        upstream.slowness = 1.0
        upstream.resumed.set()
        upstream.start()
        if upstream.settings.name not in self._runners_by_host:
            await self._start_listener(upstream)

    async def _handle_fault(self, request: web.Request) -> web.StreamResponse:
        body = await request.read()
        await self.fail(msgspec.json.decode(body, type=UpstreamFault))
        return web.Response()

    async def _handle_runs(self, request: web.Request) -> web.StreamResponse:
        return json_answer(self.runs.report())

    async def _handle_hosts(self, request: web.Request) -> web.StreamResponse:
        return json_answer([_view(each) for each in self._engines_by_address.values()])

    def _control_app(self) -> web.Application:
        app = web.Application()
        app.router.add_post("/fault", self._handle_fault)
        app.router.add_get("/runs", self._handle_runs)
        app.router.add_get("/hosts", self._handle_hosts)
        return app


def main(*, settings: Path) -> None:
    """Stand in for upstreams.

    :param settings: the YAML settings
    """
    run_until_signal(Upstreams(read(settings, UpstreamSettings)).run())


if __name__ == "__main__":
    defopt.run(main)
