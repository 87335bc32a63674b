"""HTTP applications and services of a daemon on the product's own platform."""

from __future__ import annotations

from typing import Any

from aiohttp import web

from ..operators import routes
from ..telemetry.exposition import exposition
from .daemon import Daemon
from .listener import DaemonService, Listener


def callers_application(daemon: Daemon) -> web.Application:
    """Return the application of the callers' listener."""
    application = daemon.frontend.caller_app()

    async def metrics(request: web.Request) -> web.Response:
        return web.Response(
            body=exposition(daemon.telemetry), content_type="text/plain"
        )

    application.router.add_get("/metrics", metrics)
    return application


def internal_application(daemon: Daemon) -> web.Application:
    """Return the application of the listener for peers and operators."""
    body_bytes = daemon.settings.calls.body_bytes
    application = web.Application(client_max_size=2 * body_bytes)
    application.add_routes(daemon.frontend.forward_routes())
    application.add_routes([_tracked(daemon, r) for r in operator_routes(daemon)])
    return application


def _tracked(daemon: Daemon, route: web.RouteDef) -> web.RouteDef:
    """Return a route whose requests are in flight until they are answered."""

    async def handle(http: web.Request) -> web.StreamResponse:
        with daemon.frontend.track(f"{http.method} {http.path}"):
            response = await route.handler(http)
            if daemon.frontend.draining:
                response.force_close()
            await response.prepare(http)
            await response.write_eof()
            return response

    return web.route(route.method, route.path, handle)


def operator_routes(daemon: Daemon) -> list[web.RouteDef]:
    """Return the routes of the operators' API."""
    return routes(
        daemon.configuration,
        daemon.journal,
        key=daemon.settings.operator_key,
        in_force=lambda: daemon.membership.versions_in_force,
        required_domains=lambda: daemon.roster.failure_domains,
        local=daemon.view,
        overview=daemon.overview,
        hosts=lambda: daemon.watcher.all_entries_by_name,
    )


def services(daemon: Daemon) -> list[Any]:
    """Return all services that the daemon's process runs."""
    listen = daemon.settings.listen
    return [
        DaemonService(daemon),
        Listener(listen.callers, callers_application(daemon), daemon),
        Listener(listen.internal, internal_application(daemon), daemon),
    ]
