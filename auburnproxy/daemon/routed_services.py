"""The services of a routed daemon's entry point."""

from __future__ import annotations

from typing import Any

from .listener import Listener, SliceService
from .routed import CLOSE_S, RoutedDaemon


def callers_listener(daemon: RoutedDaemon) -> Listener:
    """Return the callers' listener, which keeps to the configuration's bounds."""
    listener = Listener(
        daemon.settings.callers,
        daemon.callers_application(),
        daemon,
        close_s=CLOSE_S,
    )
    daemon.on_limits = lambda limits: listener.bound_idle(limits.idle_s)
    return listener


def services(daemon: RoutedDaemon) -> list[Any]:
    """Return all services of a daemon's entry point."""
    settings = daemon.settings
    internal = (
        (settings.readiness, daemon.readiness_application()),
        (settings.internal, daemon.peer_sync.application()),
        (settings.metrics, daemon.metrics_application()),
    )
    return [
        SliceService(daemon),
        *(
            Listener(address, application, daemon, close_s=CLOSE_S)
            for address, application in internal
        ),
        callers_listener(daemon),
    ]
