"""Upstream processes that are known to have ended, at all daemons alike.

A registration outlives its process by seconds. Until it is renewed or removed, requests
would be sent to an address at which nothing listens.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from ..clock import loop_time
from ..errors import AuburnError
from ..gossip import FactKind, FactTable
from ..telemetry.decisions import DecisionLog
from .host import Host, Incarnation
from .liveness import Liveness, check_liveness
from .reachability import UpstreamReachability

CHECK_WAIT_S = 0.1
"""Longest wait for a check; a connection is refused within a round trip."""
EXIT_S = 5.0
"""Time for which an exit is remembered; a registration lapses in less."""
RECHECKS_S = (0.25, 0.25, 0.5, 1.0, 2.0)
"""Pauses before further checks: a process that lives may refuse connections for a
while."""
ENDED, LISTENS = 1.0, 0.0


class ProcessExits:
    """Tells ended processes by refused connections.

    :param facts: facts shared with the other daemons
    :param report: requests a process's report over a new connection
    :param decisions: log of each process that has ended
    :param reachability: whether refused connections say anything about processes
    """

    def __init__(
        self,
        facts: FactTable,
        report: Callable[[Host], Awaitable[Host]],
        decisions: DecisionLog,
        reachability: UpstreamReachability,
    ) -> None:
        self._facts = facts
        self._report = report
        self._decisions = decisions
        self._reachability = reachability
        reachability.on_change.append(self._withdraw_unfounded)
        self._recorded_at: dict[Incarnation, float] = {}
        """The loop's time at which this daemon recorded each recent exit."""
        self._checks: dict[Incarnation, asyncio.Task[bool]] = {}
        self._rechecks: set[asyncio.Task[None]] = set()

    def has_ended(self, incarnation: Incarnation) -> bool:
        """Return whether a process is known to have ended."""
        exit_fact = self._facts.get(FactKind.EXIT, process_name(incarnation))
        return exit_fact is not None and exit_fact.value == ENDED

    def record(self, host: Host, *, reason: str) -> None:
        """Record that a process has ended, unless that is known or unfounded.

        :param host: the process
        :param reason: what showed it, for the log
        """
        if self.has_ended(host.incarnation) or self._reachability.doubtful:
            return
        now = loop_time()
        recent = {i: at for i, at in self._recorded_at.items() if now - at < EXIT_S}
        self._recorded_at = recent | {host.incarnation: now}
        self._tell(host.incarnation, ENDED)
        self._decisions.belief("upstream_exited", upstream=host.id, reason=reason)
        recheck = asyncio.create_task(self._recheck(host))
        self._rechecks.add(recheck)
        recheck.add_done_callback(self._rechecks.discard)

    async def check(self, host: Host, on_exit: Callable[[], None]) -> bool:
        """Check a process whose connection was lost, and return whether it has ended.

        :param host: the process
        :param on_exit: called if it has ended, possibly after this returns
        """
        if self.has_ended(host.incarnation):
            on_exit()
            return True
        check = self._checks.get(host.incarnation)
        if check is None:
            check = asyncio.create_task(self._check(host))
            self._checks[host.incarnation] = check
            check.add_done_callback(lambda _: self._checks.pop(host.incarnation))

        def call_back(done: asyncio.Task[bool]) -> None:
            if not done.cancelled() and done.exception() is None and done.result():
                on_exit()

        check.add_done_callback(call_back)
        await asyncio.wait({check}, timeout=CHECK_WAIT_S)
        return self.has_ended(host.incarnation)

    def close(self) -> None:
        """Cancel all checks."""
        for task in (*self._checks.values(), *self._rechecks):
            task.cancel()

    def _withdraw_unfounded(self) -> None:
        """Withdraw the exits recorded since an upstream last answered, if isolated."""
        if not self._reachability.isolated:
            return
        for incarnation, at in self._recorded_at.items():
            if at >= self._reachability.answered_at:
                self._tell(incarnation, LISTENS)
                self._decisions.belief("exit_withdrawn", upstream=incarnation[0])
        self._recorded_at.clear()

    def _tell(self, incarnation: Incarnation, state: float) -> None:
        process = process_name(incarnation)
        self._facts.tell(FactKind.EXIT, process, ttl_s=EXIT_S, value=state)

    async def _recheck(self, host: Host) -> None:
        """Withdraw the exit of a process that listens again."""
        for pause_s in RECHECKS_S:
            await asyncio.sleep(pause_s)
            if not self.has_ended(host.incarnation):
                return
            try:
                reported = await self._report(host)
            except AuburnError:
                continue
            if reported.incarnation == host.incarnation:
                self._tell(host.incarnation, LISTENS)
                self._decisions.belief("upstream_listens", upstream=host.id)
            return

    async def _check(self, host: Host) -> bool:
        if await check_liveness(host, self._report) is Liveness.ENDED:
            self.record(host, reason="connection lost")
        return self.has_ended(host.incarnation)


def process_name(incarnation: Incarnation) -> str:
    """Return the name of a process in facts."""
    return f"{incarnation[0]}@{incarnation[1]}"
