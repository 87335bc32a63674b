"""Whether this daemon reaches upstreams at all.

A daemon that is partitioned from all upstreams sees each of them fail, which says
nothing about them.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from random import Random

from ..clock import loop_time
from ..telemetry.decisions import DecisionLog

MIN_UNREACHABLE = 3
"""Upstreams that accept no connection, without an answer of any other in between, after
which a daemon counts as isolated."""
PROBE_INTERVAL_S = 0.25
"""Seconds between two probes by an isolated daemon."""


class UpstreamReachability:
    """Upstreams that accepted no connection since one of them last answered.

    Only answers over new connections count, since a partition may leave established
    connections intact.

    :param decisions: log of the beginning and the end of each isolation
    """

    def __init__(self, decisions: DecisionLog) -> None:
        self.isolated = False
        """Whether this daemon seems to be partitioned from all upstreams."""
        self.answered_at = -1.0
        """The loop's time at which an upstream last answered, negative if none has."""
        self.on_change: list[Callable[[], None]] = []
        """Called when an isolation begins or ends."""
        self._decisions = decisions
        self._unreachable: set[str] = set()

    @property
    def doubtful(self) -> bool:
        """Return whether several upstreams were unreachable and none answered since."""
        return len(self._unreachable) > 1

    def record_answer(self) -> None:
        """Record that an upstream has answered over a new connection."""
        self.answered_at = loop_time()
        if self.isolated:
            self._set_isolated(False)
        self._unreachable.clear()

    def record_unreachable(self, host_id: str) -> None:
        """Record that an upstream accepted no connection.

        :param host_id: id of the upstream
        """
        self._unreachable.add(host_id)
        if len(self._unreachable) >= MIN_UNREACHABLE and not self.isolated:
            self._set_isolated(True)

    def _set_isolated(self, isolated: bool) -> None:
        self.isolated = isolated
        kind = "upstreams_unreachable" if isolated else "upstreams_reachable"
        self._decisions.belief(kind, failed=len(self._unreachable))
        for callback in self.on_change:
            callback()


async def probe_while_isolated(
    reachability: UpstreamReachability,
    upstreams: Callable[[], Sequence[str]],
    probe: Callable[[str], Awaitable[bool]],
    *,
    random: Random,
) -> None:
    """Find out when each isolation ends, until cancelled.

    :param reachability: is told of an upstream that answers
    :param upstreams: returns the ids of the upstreams that can be probed
    :param probe: returns whether an upstream answers over a new connection
    :param random: selects an upstream
    """
    while True:
        await asyncio.sleep(PROBE_INTERVAL_S)
        names = upstreams() if reachability.isolated else ()
        if names and await probe(random.choice(names)):
            reachability.record_answer()
