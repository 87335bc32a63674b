"""Whether a process that was sent something has ended, by connections alone.

Answers beliefs that are taken back. A host whose registration has lapsed, whose replica
is being ended or that is silent towards its streams may live and run what it was sent.
What relaxes a bound rests on this in their place.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from enum import StrEnum

from ..clock import loop_time
from ..errors import PlatformError, Ran, UpstreamError
from ..telemetry.decisions import Decisions
from .host import Host

LOOKS = 3
"""Connections in a row that come to nothing at a host that is dark or cut off; packets
of single ones get lost."""
LEAST_LOOK_S, LONGEST_LOOK_S = 0.2, 0.4
"""Times of a look outside of which no connection timed out: this process stood still,
or could not open one."""


class Sighting(StrEnum):
    """What one connection to a process shows of it."""

    LIVES = "lives"
    """It took the connection, or nothing shows that it did not."""
    ENDED = "ended"
    """The connection was refused."""
    UNREACHED = "unreached"
    """There was no connection in time."""


async def sighted(host: Host, report: Callable[[Host], Awaitable[Host]]) -> Sighting:
    """Return what asking a process for its report shows.

    Another process that answers shows no end: it may be the one that was sent to, since
    registrations are read later than they are written.

    :param host: the process as it was last known
    :param report: asks for the report over a new connection
    """
    try:
        await report(host)
    except UpstreamError as error:
        if error.nothing_listens:
            return Sighting.ENDED
        timed_out = error.ran is Ran.NO and isinstance(error.__cause__, TimeoutError)
        return Sighting.UNREACHED if timed_out else Sighting.LIVES
    except PlatformError:
        # A report that cannot be read is an answer.
        return Sighting.LIVES
    return Sighting.LIVES


class Lookout:
    """Looks for processes by new connections to them.

    :param report: asks a process for its report over a new connection
    :param heard_at: returns the loop's time at which a daemon last heard from a host
    :param decisions: takes a line for each process that is found to be absent
    """

    def __init__(
        self,
        report: Callable[[Host], Awaitable[Host]],
        heard_at: Callable[[str], float],
        decisions: Decisions,
    ) -> None:
        self._report = report
        self._heard_at = heard_at
        self._decisions = decisions

    async def absent(self, host: Host) -> bool:
        """Return whether a process has ended or is cut off from here.

        A refusal shows it at once, else :data:`LOOKS` connections that time out while
        no daemon hears from it.
        """
        began = loop_time()
        for _ in range(LOOKS):
            looked_at = loop_time()
            sighting = await sighted(host, self._report)
            if sighting is Sighting.ENDED:
                break
            timed_out = LEAST_LOOK_S <= loop_time() - looked_at <= LONGEST_LOOK_S
            heard = self._heard_at(host.id) > began
            if sighting is Sighting.LIVES or heard or not timed_out:
                return False
        self._decisions.belief("upstream_absent", upstream=host.id, sighting=sighting)
        return True
