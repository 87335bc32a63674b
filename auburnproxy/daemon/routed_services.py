"""The services of a routed daemon's entry point."""

from __future__ import annotations

from typing import Any

from .listener import Listener, SliceService
from .routed import CLOSE_S, RoutedDaemon


def services(daemon: RoutedDaemon) -> list[Any]:
    """Return all services of a daemon's entry point."""
    settings = daemon.settings
    listeners = (
        (settings.readiness, daemon.readiness_application()),
        (settings.internal, daemon.relay.application()),
        (settings.metrics, daemon.metrics_application()),
        (settings.callers, daemon.callers_application()),
    )
    return [
        SliceService(daemon),
        *(
            Listener(address, application, daemon, close_s=CLOSE_S)
            for address, application in listeners
        ),
    ]
