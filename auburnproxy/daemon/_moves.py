"""The service that callers got while a failure domain left or returned."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import NamedTuple

from ..configuration import Configuration
from ..operators import MoveReport
from ..telemetry import Counter, Telemetry

TICK_S = 0.25
WATCHED_S = 20.0
"""Seconds after a change for which its service is counted."""
KEPT = 64
"""Moves that are kept, the newest."""


class Counts(NamedTuple):
    """Calls that ended, by how they did."""

    answered: int
    refused: int
    unknown: int


class Move:
    """One failure domain that leaves or returns.

    :param before: the counts when it began
    :param began: the loop's time in seconds
    """

    def __init__(
        self, version: int, failure_domain: str, out: bool, before: Counts, began: float
    ) -> None:
        self.version = version
        self.failure_domain = failure_domain
        self.out = out
        self.began = began
        self.ended = began
        self._before = before
        self._after = before

    def see(self, counts: Counts, now: float) -> None:
        """Take the counts, as long as the move is watched."""
        if now - self.began <= WATCHED_S:
            self._after, self.ended = counts, now

    def report(self) -> MoveReport:
        """Return what was counted."""
        answered, refused, unknown = (
            after - before
            for after, before in zip(self._after, self._before, strict=True)
        )
        return MoveReport(
            version=self.version,
            failure_domain=self.failure_domain,
            out=self.out,
            seconds=self.ended - self.began,
            answered=answered,
            refused=refused,
            unknown=unknown,
        )


class Moves:
    """Watches the marks of failure domains.

    :param configuration: the marks in force
    :param telemetry: counts how calls end
    """

    def __init__(self, configuration: Configuration, telemetry: Telemetry) -> None:
        self._configuration = configuration
        self._telemetry = telemetry
        self._out = configuration.out_domains
        self._moves: deque[Move] = deque(maxlen=KEPT)

    async def run(self) -> None:
        """Watch until cancelled."""
        while True:
            self.step()
            await asyncio.sleep(TICK_S)

    def step(self) -> None:
        """Look once at the marks and the counts."""
        now, counts = asyncio.get_running_loop().time(), self._counts()
        for move in self._moves:
            move.see(counts, now)
        out = self._configuration.out_domains
        version = self._configuration.version
        for domain in sorted(out ^ self._out):
            self._moves.append(Move(version, domain, domain in out, counts, now))
        self._out = out

    def report(self) -> list[MoveReport]:
        """Return the newest moves, oldest first."""
        return [move.report() for move in self._moves]

    def _counts(self) -> Counts:
        total = dict.fromkeys(Counter, 0)
        for key, count in self._telemetry.count_by_key.items():
            total[key.counter] += count
        return Counts(
            total[Counter.ANSWERED], total[Counter.REFUSED], total[Counter.UNKNOWN]
        )
