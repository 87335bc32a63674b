"""Upstreams that sent a Retry-After, and get no requests until it has passed.

Relieves an overloaded upstream whose refusals cost it as much as the work itself: until
the requested time has passed, this daemon sends it no request, probe or order.
"""

from __future__ import annotations

import math

from ..clock import loop_time
from ..telemetry.decisions import Decisions
from .host import Life

MAX_BACKOFF_S = 30.0
"""Upper bound of a requested wait; registrations show a change long before that."""


class UpstreamBackoffs:
    """The waits in progress, by process: a restarted process is not affected.

    :param decisions: log of each wait
    """

    def __init__(self, decisions: Decisions) -> None:
        self._decisions = decisions
        self._until_by_life: dict[Life, float] = {}

    def record(self, life: Life, text: str) -> None:
        """Record the wait that an upstream requested in a refusal.

        :param life: the process that requested it
        :param text: seconds as written; an invalid value is only logged
        """
        asked_s = _parse_seconds(text)
        if asked_s is None:
            self._decisions.belief("rest_unreadable", upstream=life[0], asked=text[:40])
            return
        now, backoff_s = loop_time(), min(asked_s, MAX_BACKOFF_S)
        self._forget(now)
        if now + backoff_s <= self._until_by_life.get(life, now):
            return
        self._until_by_life[life] = now + backoff_s
        self._decisions.belief(
            "upstream_rests", upstream=life[0], asked_s=asked_s, rest_s=backoff_s
        )

    def remaining_s(self, life: Life) -> float:
        """Return the seconds left of a process's wait, 0 if there is none."""
        return max(self._until_by_life.get(life, 0.0) - loop_time(), 0.0)

    def _forget(self, now: float) -> None:
        ended = [life for life, until in self._until_by_life.items() if until <= now]
        for life in ended:
            del self._until_by_life[life]


def _parse_seconds(text: str) -> float | None:
    try:
        seconds = float(text)
    except ValueError:
        return None
    return seconds if math.isfinite(seconds) and seconds >= 0 else None
