"""Checks whether a process that received a request has ended, by new connections only.

Registrations, replica records and silent streams may be revised later: a host whose
registration has lapsed, whose replica is being dissolved or whose streams are silent
may still be alive and run what it received. Code that raises a limit because an
upstream is gone, such as the count of attempts, relies on this check instead.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from enum import StrEnum

from ..clock import loop_time
from ..errors import PlatformError, Ran, UpstreamError
from ..telemetry.decisions import DecisionLog
from .host import Host

TIMEOUTS_TO_CONFIRM = 3
"""Connection timeouts in a row after which a host counts as down or unreachable; a
single connection may fail through packet loss."""
MIN_TIMEOUT_S, MAX_TIMEOUT_S = 0.2, 0.4
"""Bounds on the duration of a connection timeout. Outside of them the connection did
not time out: this process was stalled, or could not open a connection."""


class Liveness(StrEnum):
    """What one connection attempt shows about a process."""

    ALIVE = "lives"
    """It accepted the connection, or nothing shows that it did not."""
    ENDED = "ended"
    """The connection was refused."""
    UNREACHABLE = "unreached"
    """The connection timed out."""


async def check_liveness(
    host: Host, report: Callable[[Host], Awaitable[Host]]
) -> Liveness:
    """Return what requesting a process's report shows about the process.

    A report from another run of the process doesn't show that the known one has ended.
    It may be the one that received the request, since registrations are read later than
    they are written.

    :param host: the process as last known
    :param report: requests the report over a new connection
    """
    try:
        await report(host)
    except UpstreamError as error:
        if error.connection_refused:
            return Liveness.ENDED
        timed_out = error.ran is Ran.NO and isinstance(error.__cause__, TimeoutError)
        return Liveness.UNREACHABLE if timed_out else Liveness.ALIVE
    except PlatformError:
        # An unreadable report is still an answer.
        return Liveness.ALIVE
    return Liveness.ALIVE


class LivenessChecker:
    """Checks by new connections whether processes are still alive.

    :param report: requests a process's report over a new connection
    :param heard_at: returns the loop's time at which any daemon last received data from
        a host
    :param decisions: log of the processes found to be absent
    """

    def __init__(
        self,
        report: Callable[[Host], Awaitable[Host]],
        heard_at: Callable[[str], float],
        decisions: DecisionLog,
    ) -> None:
        self._report = report
        self._heard_at = heard_at
        self._decisions = decisions

    async def confirm_absent(self, host: Host) -> bool:
        """Return whether a process has ended or is unreachable from this daemon.

        A refused connection shows this at once. Otherwise it takes
        :data:`TIMEOUTS_TO_CONFIRM` connection timeouts during which no daemon receives
        data from the process.
        """
        began = loop_time()
        for _ in range(TIMEOUTS_TO_CONFIRM):
            probed_at = loop_time()
            liveness = await check_liveness(host, self._report)
            if liveness is Liveness.ENDED:
                break
            timed_out = MIN_TIMEOUT_S <= loop_time() - probed_at <= MAX_TIMEOUT_S
            heard_meanwhile = self._heard_at(host.id) > began
            if liveness is Liveness.ALIVE or heard_meanwhile or not timed_out:
                return False
        self._decisions.belief("upstream_absent", upstream=host.id, sighting=liveness)
        return True
