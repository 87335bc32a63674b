"""The HTTP listeners and the slices as services of one entry point."""

from __future__ import annotations

from typing import Any

from aiohttp import web
from aiomisc import Service
from aiomisc.service.aiohttp import AIOHTTPService

from ..operators import routes
from ..telemetry.exposition import exposition
from .daemon import Daemon

CLOSE_S = 2
"""Seconds that connections may take to close once all calls are answered."""
IDLE_S = 75.0
"""Seconds after which a connection without a whole request head is closed."""


class SliceService(Service):
    """Runs the daemon's slices.

    :param daemon: the daemon
    """

    def __init__(self, daemon: Daemon) -> None:
        super().__init__()
        self._daemon = daemon

    async def start(self) -> None:
        """Start the tasks of the slices."""
        self._daemon.start()

    async def stop(self, exception: Exception | None = None) -> None:
        """Drain and leave."""
        await self._daemon.stop()


class Listener(AIOHTTPService):
    """An HTTP listener that stays open until the daemon has drained.

    :param address: IP number and port
    :param application: what it serves
    :param daemon: the daemon
    :param idle_s: seconds that a connection may take for the head of a request
    """

    def __init__(
        self,
        address: str,
        application: web.Application,
        daemon: Daemon,
        *,
        idle_s: float = IDLE_S,
    ) -> None:
        host, _, port = address.rpartition(":")
        super().__init__(
            host.strip("[]"),
            int(port),
            shutdown_timeout=CLOSE_S,
            handler_cancellation=True,
            runner_kwargs={"access_log": None, "keepalive_timeout": idle_s},
        )
        self._application = application
        self._daemon = daemon

    async def create_application(self) -> web.Application:
        """Return the application that was given."""
        return self._application

    async def stop(self, exception: Exception | None = None) -> None:
        """Close once nothing is in flight any more."""
        await self._daemon.drained.wait()
        await super().stop(exception)


def callers_application(daemon: Daemon) -> web.Application:
    """Return what the callers' listener serves."""
    application = daemon.face.caller_app()

    async def metrics(request: web.Request) -> web.Response:
        return web.Response(
            body=exposition(daemon.telemetry), content_type="text/plain"
        )

    application.router.add_get("/metrics", metrics)
    return application


def internal_application(daemon: Daemon) -> web.Application:
    """Return what the listener for peers and operators serves."""
    body_bytes = daemon.settings.calls.body_bytes
    application = web.Application(client_max_size=2 * body_bytes)
    application.add_routes(daemon.face.forward_routes())
    application.add_routes(operator_routes(daemon))
    return application


def operator_routes(daemon: Daemon) -> list[web.RouteDef]:
    """Return the operators' calls to a daemon."""
    return routes(
        daemon.configuration,
        daemon.journal,
        key=daemon.settings.operator_key,
        in_force=lambda: daemon.membership.in_force,
        wanted=lambda: daemon.roster.failure_domains,
        local=daemon.view,
        overview=daemon.overview,
        hosts=lambda: daemon.watcher.listed_by_name,
    )


def services(daemon: Daemon) -> list[Any]:
    """Return all services of a daemon's entry point."""
    listen = daemon.settings.listen
    return [
        SliceService(daemon),
        Listener(listen.callers, callers_application(daemon), daemon),
        Listener(listen.internal, internal_application(daemon), daemon),
    ]
