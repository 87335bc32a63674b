"""Handlers of the signals that stop the process, from its start to its exit."""

from __future__ import annotations

import asyncio
import os
import signal
from collections.abc import Callable
from types import FrameType

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class StopSignals:
    """Turns the first stop signal into a request to stop, and reports each signal.

    The handlers are not those of the event loop, which restores the default handlers
    when it closes: a signal at that moment would kill the process.

    :param loop: the event loop on which the request is made
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.on_signal: Callable[[str], None] = _ignore
        """Called on the event loop with the name of each signal."""
        self._loop = loop
        self._requested = asyncio.Event()

    def install(self) -> None:
        """Install the handlers."""
        for number in STOP_SIGNALS:
            signal.signal(number, self._handle)

    def ignore_further(self) -> None:
        """Ignore further signals, because the event loop is about to close."""
        for number in STOP_SIGNALS:
            signal.signal(number, signal.SIG_IGN)

    def request_stop(self) -> None:
        """Request a stop for another reason than a signal."""
        self._requested.set()

    async def wait(self) -> None:
        """Wait until the process is asked to stop."""
        await self._requested.wait()

    def _handle(self, number: int, frame: FrameType | None) -> None:
        name = signal.Signals(number).name
        self._loop.call_soon_threadsafe(self._notice, name)

    def _notice(self, name: str) -> None:
        self.on_signal(name)
        self._requested.set()


def exit_until_installed() -> None:
    """End the process at a stop signal until the handlers above are installed.

    Nothing has been opened by then, and an exception could be caught by an import.
    """
    for number in STOP_SIGNALS:
        signal.signal(number, _exit)


def _exit(number: int, frame: FrameType | None) -> None:
    os._exit(0)


def _ignore(name: str) -> None:
    """Do nothing with the name of a signal; default of ``on_signal``."""
