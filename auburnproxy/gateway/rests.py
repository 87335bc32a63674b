"""Upstreams that asked to be left alone for a while.

Answers an overloaded upstream whose refusals cost it as much as the work: until the
end of the time that it named it gets no request, probe or order from this daemon.
"""

from __future__ import annotations

import math

from ..clock import loop_time
from ..telemetry.decisions import Decisions
from .host import Life

LONGEST_REST_S = 30.0
"""Longest rest that is believed; the register tells of a change long before."""


class Rests:
    """The rests that are under way, by process: a restart ends them.

    :param decisions: takes a line for each rest
    """

    def __init__(self, decisions: Decisions) -> None:
        self._decisions = decisions
        self._until_by_life: dict[Life, float] = {}

    def take(self, life: Life, text: str) -> None:
        """Take the time that an upstream named with a refusal.

        :param life: the process that named it
        :param text: seconds as they were written; what is no number is only logged
        """
        asked_s = _seconds(text)
        if asked_s is None:
            self._decisions.belief("rest_unreadable", upstream=life[0], asked=text[:40])
            return
        now, rest_s = loop_time(), min(asked_s, LONGEST_REST_S)
        self._forget(now)
        if now + rest_s <= self._until_by_life.get(life, now):
            return
        self._until_by_life[life] = now + rest_s
        self._decisions.belief(
            "upstream_rests", upstream=life[0], asked_s=asked_s, rest_s=rest_s
        )

    def left_s(self, life: Life) -> float:
        """Return the seconds for which a process still rests, 0 if it does not."""
        return max(self._until_by_life.get(life, 0.0) - loop_time(), 0.0)

    def _forget(self, now: float) -> None:
        ended = [life for life, until in self._until_by_life.items() if until <= now]
        for life in ended:
            del self._until_by_life[life]


def _seconds(text: str) -> float | None:
    try:
        seconds = float(text)
    except ValueError:
        return None
    return seconds if math.isfinite(seconds) and seconds >= 0 else None
