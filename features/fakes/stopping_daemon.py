"""A daemon process without listeners, whose stop or whose task fails."""

from __future__ import annotations

import asyncio
import sys
import time

from auburnproxy.clock import loop_time
from auburnproxy.daemon.listener import DaemonService
from auburnproxy.daemon.main import _run
from auburnproxy.daemon.stop_signals import StopRequest
from auburnproxy.daemon.tasks import Tasks
from auburnproxy.stop_budget import StopBudget, plan_stop
from auburnproxy.telemetry.decisions import open_decision_log

BLOCK_S = 60.0
FAIL_AFTER_S = 0.1


class StoppingDaemon:
    """Blocks the event loop when it stops, or has a task that fails.

    :param mode: ``block`` or ``fail``
    :param grace_s: seconds from the stop signal until its process would be killed
    """

    def __init__(self, mode: str, grace_s: float) -> None:
        self.request_stop = lambda: None
        self.last_ran_at = loop_time()
        self._mode, self._grace_s = mode, grace_s
        self._decisions = open_decision_log("d")
        self._tasks = Tasks(lambda task: None, lambda: self.request_stop())

    def start(self) -> None:
        """Start the task that fails."""
        if self._mode == "fail":
            self._tasks.spawn("failing", self._fail())
        self._decisions.belief("started")

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
        return plan_stop(noticed_at=now, last_ran_at=now, grace_s=self._grace_s)

    async def stop(self) -> None:
        """Stop, or block the event loop."""
        if self._mode == "block":
            time.sleep(BLOCK_S)  # noqa: ASYNC251
        await self._tasks.cancel()

    def log_signal(self, name: str) -> None:
        """Log a stop signal."""
        self._decisions.belief("stop_signal", name=name)

    def log_overrun(self, what: str) -> None:
        """Log what did not stop."""
        self._decisions.belief("stop_overrun", what=what)

    def log_stopped(self) -> None:
        """Log that the daemon has stopped."""
        self._decisions.belief("stopped")

    def flush_logs(self, timeout_s: float) -> None:
        """Write the lines that are held back."""
        self._decisions.flush(timeout_s)


if __name__ == "__main__":
    mode, grace_s = sys.argv[1], float(sys.argv[2])
    sys.exit(
        _run(
            lambda: StoppingDaemon(mode, grace_s),
            lambda daemon: [DaemonService(daemon)],
        )
    )
