"""A daemon process without listeners, whose start, stop or task fails or hangs."""

from __future__ import annotations

import asyncio
import contextlib
import ctypes
import sys
import time
from collections.abc import Sequence

from auburnproxy.clock import loop_time
from auburnproxy.daemon.listener import DaemonService
from auburnproxy.daemon.main import _run, end_process
from auburnproxy.daemon.stop_signals import StopRequest
from auburnproxy.daemon.tasks import Tasks
from auburnproxy.stop_budget import StopBudget, plan_stop
from auburnproxy.telemetry.decisions import open_decision_log

BLOCK_S = 60.0
FAIL_AFTER_S = 0.1
BUSY_AFTER_S = 0.05


async def _ignore_cancellation() -> None:
    while True:
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.sleep(BLOCK_S)


class StoppingDaemon:
    """Hangs in one of many ways while it runs or stops, or has a task that fails.

    :param mode: ``block`` the event loop at the stop; ``hold`` the interpreter's lock
        then; keep the event loop ``busy`` before it; ``linger``: leave a thread and a
        task that never end; ``start`` without an end; ``fail``
    :param grace_s: seconds from the stop signal until its process would be killed
    """

    def __init__(self, mode: str, grace_s: float) -> None:
        self.request_stop = lambda: None
        self.last_ran_at = loop_time()
        self.grace_s = grace_s
        self._mode = mode
        self._decisions = open_decision_log("d")
        self._tasks = Tasks(lambda task: None, lambda: self.request_stop())

    def start(self) -> None:
        """Start the task that fails or hangs."""
        loop = asyncio.get_running_loop()
        if self._mode == "fail":
            self._tasks.spawn("failing", self._fail())
        if self._mode == "busy":
            loop.call_later(BUSY_AFTER_S, self._keep_busy)
        if self._mode == "linger":
            loop.run_in_executor(None, time.sleep, BLOCK_S)
            self._lingering = asyncio.create_task(_ignore_cancellation())
        self._decisions.belief("started")

    def _keep_busy(self) -> None:
        until = time.monotonic() + BLOCK_S
        while time.monotonic() < until:
            pass

    async def _fail(self) -> None:
        await asyncio.sleep(FAIL_AFTER_S)
        raise RuntimeError("expected")

    @property
    def failed_task(self) -> str:
        """Return the name of the failed task."""
        return self._tasks.failed

    def begin_stop(self, request: StopRequest) -> StopBudget:
        """Return the budget of the stop."""
        self._decisions.begin_final_lines()
        now = request.noticed_at
        return plan_stop(noticed_at=now, last_ran_at=now, grace_s=self.grace_s)

    async def stop(self) -> None:
        """Stop, or block the event loop."""
        if self._mode == "block":
            time.sleep(BLOCK_S)  # noqa: ASYNC251
        if self._mode == "hold":
            ctypes.PyDLL(None).sleep(int(BLOCK_S))
        await self._tasks.cancel()

    def log_signal(self, name: str) -> None:
        """Log a stop signal."""
        self._decisions.belief("stop_signal", name=name)

    def log_overrun(self, what: str, *, where: Sequence[str] = ()) -> None:
        """Log what did not stop."""
        self._decisions.belief("stop_overrun", what=what, where=where)

    def log_stopped(self) -> None:
        """Log that the daemon has stopped."""
        self._decisions.belief("stopped")

    def flush_logs(self, timeout_s: float) -> None:
        """Write the lines that are held back."""
        self._decisions.flush(timeout_s)


class EndlessStart(DaemonService):
    """Starts the daemon, and never finishes doing so."""

    async def start(self) -> None:
        """Start without an end."""
        await super().start()
        await _ignore_cancellation()


if __name__ == "__main__":
    mode, grace_s = sys.argv[1], float(sys.argv[2])
    service = EndlessStart if mode == "start" else DaemonService
    end_process(
        _run(
            lambda: StoppingDaemon(mode, grace_s),
            lambda daemon: [service(daemon)],
        )
    )
