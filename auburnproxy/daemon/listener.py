"""HTTP listeners and a daemon's components as aiomisc services of one process."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import Protocol

from aiohttp import web
from aiomisc import Service
from aiomisc.service.aiohttp import AIOHTTPService
from aiomisc.utils import bind_socket

from ..binding import bind_when_free
from ..clock import loop_time
from ..gateway.caller_connections import CallerConnections, ConnectionLimits
from ..stop_budget import StopBudget
from .stop_signals import StopRequest

CONNECTION_CLOSE_S = 2
"""Timeout for closing connections once all calls have been answered."""
HANDLER_CLOSE_S = 0.05
"""Time in which a handler that is still running may end by itself, and once more the
time in which it may end after its connection has been closed."""
FLUSH_POLL_S = 0.01
LISTEN_BACKLOG = 128
"""Connections that wait to be accepted; aiohttp sets the same number."""
IDLE_TIMEOUT_S = 75.0
"""Seconds after which a connection without a complete request head is closed."""
MAX_LINE_BYTES = 65_536
"""Maximum line length in a request head; the applications limit whole heads."""
READ_BUFFER_BYTES = 16_384
"""Bytes of a body that are buffered before its reading is paused."""
SOCKET_BUFFER_BYTES = 65_536
"""Bytes that the kernel buffers for a connection, in each direction: what it holds
counts as memory of the host."""


class DrainingDaemon(Protocol):
    """Interface of a daemon that a listener waits for at a shutdown."""

    @property
    def drained(self) -> asyncio.Event:
        """Set once every request has been answered at a shutdown."""

    def log_held(self, address: str, error: OSError) -> None:
        """Log that a listener waits for its address.

        :param address: IP number and port
        :param error: why it cannot be bound
        """


class RunnableDaemon(DrainingDaemon, Protocol):
    """Interface of a daemon that can be started and stopped."""

    request_stop: Callable[[], None]
    """Requests an ordinary stop of the process."""

    def start(self) -> None:
        """Start the tasks of the components."""

    def log_failed_start(self, error: Exception) -> None:
        """Log why the process ends before it has started.

        :param error: what failed
        """

    @property
    def failed_task(self) -> str:
        """Return the name of a task whose error stops the daemon, empty for none."""

    @property
    def last_ran_at(self) -> float:
        """Return the loop's time before which a signal noticed now was not sent."""

    def begin_stop(self, request: StopRequest) -> StopBudget:
        """Begin to drain and return the budget of the stop.

        :param request: when the process was asked to stop
        """

    async def stop(self) -> None:
        """Drain requests and cancel the tasks, within the budget."""

    def log_signal(self, name: str) -> None:
        """Log that a stop signal arrived; all but the first change nothing.

        :param name: name of the signal
        """

    def log_overrun(self, what: str) -> None:
        """Log that something did not stop within the budget and was left as it is.

        :param what: name of what did not stop
        """

    def log_stopped(self) -> None:
        """Log that the daemon has stopped, after everything else that it logs."""

    def flush_logs(self, timeout_s: float) -> None:
        """Write the log lines that are still held back.

        :param timeout_s: longest wait in seconds for a slow reader of the log
        """


class _BoundedSite(web.SockSite):
    """Accepts connections and bounds what they hold.

    :param runner: runs the application
    :param listening: the listening socket
    :param connections: all connections
    """

    __slots__ = ("_connections",)

    def __init__(
        self,
        runner: web.BaseRunner,
        listening: socket.socket,
        connections: CallerConnections,
    ) -> None:
        super().__init__(runner, listening, backlog=LISTEN_BACKLOG)
        self._connections = connections

    async def start(self) -> None:
        """Accept connections."""
        await web.BaseSite.start(self)
        assert self._runner.server is not None
        self._server = await asyncio.get_running_loop().create_server(
            self._connections.protocol(self._runner.server),
            sock=self._sock,
            backlog=self._backlog,
        )


class DaemonService(Service):
    """Runs the components of a daemon.

    :param daemon: the daemon
    """

    def __init__(self, daemon: RunnableDaemon) -> None:
        super().__init__()
        self._daemon = daemon

    async def start(self) -> None:
        """Start the tasks of the components."""
        self._daemon.start()

    async def stop(self, exception: Exception | None = None) -> None:
        """Drain requests and stop the daemon."""
        await self._daemon.stop()


class Listener(AIOHTTPService):
    """An HTTP listener that stays open until the daemon has drained.

    :param address: IP number and port
    :param application: the application to serve
    :param daemon: the daemon
    :param idle_s: seconds that a connection may take to send a request head
    :param close_s: seconds that connections may take to close at a shutdown
    :param decompress: whether the application gets bodies without their encoding
    :param connections: bounds of all connections, None for the ordinary ones
    """

    def __init__(
        self,
        address: str,
        application: web.Application,
        daemon: DrainingDaemon,
        *,
        idle_s: float = IDLE_TIMEOUT_S,
        close_s: float = CONNECTION_CLOSE_S,
        decompress: bool = True,
        connections: CallerConnections | None = None,
    ) -> None:
        super().__init__(
            # Replaced by a bound one in start, which waits for the address.
            sock=socket.socket(),
            shutdown_timeout=HANDLER_CLOSE_S,  # type: ignore[arg-type]
            handler_cancellation=True,
            runner_kwargs={
                "access_log": None,
                "auto_decompress": decompress,
                "keepalive_timeout": idle_s,
                "max_line_size": MAX_LINE_BYTES,
                "max_field_size": MAX_LINE_BYTES,
                "read_bufsize": READ_BUFFER_BYTES,
            },
        )
        self.listening = False
        """Whether connections are accepted."""
        self._address = address
        self._application = application
        self._daemon = daemon
        self._close_s = close_s
        self._connections = connections or CallerConnections(
            ConnectionLimits(), lambda reason: None
        )

    async def create_application(self) -> web.Application:
        """Return the application to serve."""
        return self._application

    async def create_site(self) -> web.SockSite:
        """Return the site that accepts connections."""
        return _BoundedSite(self.runner, self.socket, self._connections)

    async def start(self) -> None:
        """Accept connections, once the address is free."""
        unbound = self.socket
        self.socket = await bind_when_free(
            self._bind, lambda error: self._daemon.log_held(self._address, error)
        )
        unbound.close()
        await super().start()
        self.listening = True

    async def _bind(self) -> socket.socket:
        """Return a listening socket.

        :raises OSError: if the address is held by a socket that does not share it
        """
        host, _, port = self._address.rpartition(":")
        bound = bind_socket(address=host.strip("[]"), port=int(port))
        try:
            for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
                bound.setsockopt(socket.SOL_SOCKET, option, SOCKET_BUFFER_BYTES)
            bound.listen(LISTEN_BACKLOG)
        except OSError:
            bound.close()
            raise
        return bound

    def set_idle_timeout(self, idle_s: float) -> None:
        """Set the timeout for request heads on connections opened from now on.

        :param idle_s: seconds that a connection may take to send a request head
        """
        self.runner_kwargs["keepalive_timeout"] = idle_s
        if hasattr(self, "runner") and self.runner.server is not None:
            # aiohttp reads the timeout only when it creates the server.
            self.runner.server._kwargs["keepalive_timeout"] = idle_s

    async def stop(self, exception: Exception | None = None) -> None:
        """Close once no request is in flight and all that was written is sent."""
        if not hasattr(self, "site"):
            await self._stop_half_started()
            return
        await self._daemon.drained.wait()
        await self.site.stop()
        await self._flush()
        await self.runner.cleanup()

    async def _stop_half_started(self) -> None:
        """Close a listener whose start was cancelled."""
        if hasattr(self, "runner"):
            await self.runner.cleanup()
        self.socket.close()

    async def _flush(self) -> None:
        """Wait until callers have taken what was written, unless they are too slow."""
        closed_by = loop_time() + self._close_s
        while loop_time() < closed_by:
            if not self._unsent_bytes():
                return
            await asyncio.sleep(FLUSH_POLL_S)

    def _unsent_bytes(self) -> int:
        server = self.runner.server
        if server is None:
            return 0
        transports = (connection.transport for connection in server.connections)
        return sum(t.get_write_buffer_size() for t in transports if t is not None)
