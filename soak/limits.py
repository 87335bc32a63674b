"""Limits that engines name, and the check that all daemons together hold them."""

from __future__ import annotations

import asyncio
import time
from random import Random
from typing import NamedTuple

from .site import SoakSite

WINDOW_S = 4.0
SETTLE_S = 3.0
"""Time after an engine first named its limit from which the limit counts."""
OVERSHOOT, SLACK = 1.5, 5
RESTART_S = 5.0
"""Time around a disruption of a daemon for which its requests are excused."""


class NamedLimit(NamedTuple):
    """A limit that an engine named for some time."""

    engine: str
    per_s: float
    begin: float
    end: float


class Limits:
    """Lets engines name limits, each for some seconds.

    :param site: the deployment under test
    :param random: chooses the engines, the limits and the times
    """

    def __init__(self, site: SoakSite, random: Random) -> None:
        self._site = site
        self._random = random
        self._named: list[NamedLimit] = []

    async def play(self) -> str:
        """Let an engine name a limit, and return what it was once it no longer does."""
        free = [name for name, e in self._site.engines.items() if not e.limit]
        if not free:
            return "no further limit"
        name, per_s = self._random.choice(sorted(free)), self._random.uniform(0.5, 3.0)
        engine, begin = self._site.engines[name], time.monotonic()
        engine.limit = f"{per_s:.2f}"
        await asyncio.sleep(self._random.uniform(5.0, 10.0))
        engine.limit = ""
        self._named.append(NamedLimit(name, per_s, begin, time.monotonic()))
        return f"limit of {per_s:.2f} a second at {name}"

    def violations(self) -> list[str]:
        """Return a violation for each engine that got more than its limit allows."""
        found = []
        for named in self._named:
            ran_at = self._site.engines[named.engine].ran_at
            times = [at for at in ran_at if named.begin + SETTLE_S <= at <= named.end]
            for start in times:
                count = sum(start <= at < start + WINDOW_S for at in times)
                allowed = OVERSHOOT * WINDOW_S * named.per_s + SLACK
                if count > allowed + SLACK * self._disrupted(start):
                    found.append(f"{count} requests in 4 s for {named}, {allowed:.1f}")
                    break
        return found

    def _disrupted(self, start: float) -> int:
        """Return how many daemons were disrupted around a window."""
        names = {daemon.name for daemon in self._site.daemons}
        return sum(
            disruption.subject in names
            and disruption.begin - RESTART_S < start + WINDOW_S
            and start < disruption.end + RESTART_S
            for disruption in self._site.disruptions
        )
