"""Handlers of the signals that stop the process, from its start to its exit."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Callable
from types import FrameType
from typing import NamedTuple

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class StopRequest(NamedTuple):
    """When the process was first asked to stop, as times of the event loop."""

    noticed_at: float
    last_ran_at: float
    """Last time before that at which the process is known to have run."""


class StopSignals:
    """Turns the first stop signal into a request to stop, and reports each signal.

    The handlers are not those of the event loop, which restores the default handlers
    when it closes: a signal at that moment would kill the process.

    :param loop: the event loop on which the request is made
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.on_signal: Callable[[str], None] = _ignore
        """Called on the event loop with the name of each signal."""
        self.last_ran_at: Callable[[], float] = loop.time
        """Returns the last time at which the process is known to have run."""
        self.on_first_signal: Callable[[StopRequest], None] = lambda request: None
        """Called in the handler of the first signal, also if the event loop hangs."""
        self._loop = loop
        self._signalled = False
        self._attached = True
        self._request: StopRequest | None = None
        self._requested = asyncio.Event()

    def install(self) -> None:
        """Install the handlers."""
        for number in STOP_SIGNALS:
            signal.signal(number, self._handle)

    def detach(self) -> None:
        """Ignore further signals, because the event loop is about to close.

        The handlers stay: Python reports an error if a signal arrives while a handler
        is replaced by ``SIG_IGN``.
        """
        self._attached = False

    def request_stop(self) -> None:
        """Request a stop for another reason than a signal."""
        now = self._loop.time()
        self._record(StopRequest(now, now))

    async def wait(self) -> StopRequest:
        """Wait until the process is asked to stop."""
        await self._requested.wait()
        assert self._request is not None
        return self._request

    def _handle(self, number: int, frame: FrameType | None) -> None:
        if not self._attached:
            return
        # Read here: a process that was suspended would else be noticed to run first.
        last_ran_at = self.last_ran_at()
        if not self._signalled:
            self._signalled = True
            self.on_first_signal(StopRequest(self._loop.time(), last_ran_at))
        name = signal.Signals(number).name
        self._loop.call_soon_threadsafe(self._notice, name, last_ran_at)

    def _notice(self, name: str, last_ran_at: float) -> None:
        self.on_signal(name)
        self._record(StopRequest(self._loop.time(), last_ran_at))

    def _record(self, request: StopRequest) -> None:
        if self._request is None:
            self._request = request
            self._requested.set()


def _ignore(name: str) -> None:
    """Do nothing with the name of a signal; default of ``on_signal``."""
