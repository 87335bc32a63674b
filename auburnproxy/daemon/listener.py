"""HTTP listeners and a daemon's slices as services of one entry point."""

from __future__ import annotations

import asyncio
from typing import Protocol

from aiohttp import web
from aiomisc import Service
from aiomisc.service.aiohttp import AIOHTTPService

CLOSE_S = 2
"""Seconds that connections may take to close once all calls are answered."""
IDLE_S = 75.0
"""Seconds after which a connection without a whole request head is closed."""
FIELD_BYTES = 65_536
"""Longest line of a request's head that is read; who serves it bounds whole heads."""


class Drains(Protocol):
    """What a listener needs of its daemon."""

    @property
    def drained(self) -> asyncio.Event:
        """Set once every request has been answered at a shutdown."""


class Slices(Drains, Protocol):
    """A daemon whose slices can be started and stopped."""

    def start(self) -> None:
        """Start the tasks of the slices."""

    async def stop(self) -> None:
        """Drain and end the tasks."""


class SliceService(Service):
    """Runs the daemon's slices.

    :param daemon: the daemon
    """

    def __init__(self, daemon: Slices) -> None:
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
    :param close_s: seconds that connections may take to close at the end
    """

    def __init__(
        self,
        address: str,
        application: web.Application,
        daemon: Drains,
        *,
        idle_s: float = IDLE_S,
        close_s: float = CLOSE_S,
    ) -> None:
        host, _, port = address.rpartition(":")
        super().__init__(
            host.strip("[]"),
            int(port),
            shutdown_timeout=close_s,  # type: ignore[arg-type]
            handler_cancellation=True,
            runner_kwargs={
                "access_log": None,
                "keepalive_timeout": idle_s,
                "max_line_size": FIELD_BYTES,
                "max_field_size": FIELD_BYTES,
            },
        )
        self._application = application
        self._daemon = daemon

    async def create_application(self) -> web.Application:
        """Return the application that was given."""
        return self._application

    def bound_idle(self, idle_s: float) -> None:
        """Bound the wait for a head on connections that are opened from now on.

        :param idle_s: seconds that a connection may take for the head of a request
        """
        self.runner_kwargs["keepalive_timeout"] = idle_s
        if hasattr(self, "runner") and self.runner.server is not None:
            # The library takes the bound when it makes a server, and never again.
            self.runner.server._kwargs["keepalive_timeout"] = idle_s

    async def stop(self, exception: Exception | None = None) -> None:
        """Close once nothing is in flight any more."""
        await self._daemon.drained.wait()
        await super().stop(exception)
