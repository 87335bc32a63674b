"""aiomisc services that a gateway daemon's process runs."""

from __future__ import annotations

from typing import Any

from ..gateway.route import RequestLimits
from .gateway_daemon import CONNECTION_CLOSE_S, GatewayDaemon
from .listener import DaemonService, Listener


def callers_listener(daemon: GatewayDaemon) -> Listener:
    """Return the callers' listener, which follows the configured idle timeout."""
    listener = Listener(
        daemon.settings.callers,
        daemon.callers_application(),
        daemon,
        close_s=CONNECTION_CLOSE_S,
        # Upstreams get the bytes that were sent, with the header that describes them.
        decompress=False,
        connections=daemon.connections,
    )

    def apply_limits(limits: RequestLimits) -> None:
        listener.set_idle_timeout(limits.idle_s)
        daemon.connections.set_request_limits(
            header_bytes=limits.header_bytes, idle_s=limits.idle_s
        )

    daemon.on_limits = apply_limits
    daemon.accepts_callers = lambda: listener.listening
    return listener


def services(daemon: GatewayDaemon) -> list[Any]:
    """Return all services that the daemon's process runs."""
    settings = daemon.settings
    operators = (
        (settings.readiness, daemon.readiness_application()),
        (settings.metrics, daemon.metrics_application()),
    )
    return [
        DaemonService(daemon),
        *(
            Listener(address, application, daemon, close_s=CONNECTION_CLOSE_S)
            for address, application in operators
        ),
        Listener(
            settings.internal,
            daemon.internal_application(),
            daemon,
            close_s=CONNECTION_CLOSE_S,
            decompress=False,
        ),
        callers_listener(daemon),
    ]
