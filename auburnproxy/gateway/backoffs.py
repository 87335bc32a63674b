"""Upstreams that sent a Retry-After, and get no requests until it has passed.

Relieves an overloaded upstream whose refusals cost it as much as the work itself: until
the requested time has passed, this daemon sends it no request, probe or order.
"""

from __future__ import annotations

from ..clock import loop_time
from ..retry_after import parse_retry_after
from ..telemetry.decisions import DecisionLog
from .host import Incarnation

MAX_BACKOFF_S = 30.0
"""Upper bound of a requested wait; registrations show a change long before that."""


class UpstreamBackoffs:
    """The waits in progress, by process: a restarted process is not affected.

    :param decisions: log of each wait
    """

    def __init__(self, decisions: DecisionLog) -> None:
        self._decisions = decisions
        self._backoff_until: dict[Incarnation, float] = {}

    def record(self, incarnation: Incarnation, text: str) -> None:
        """Record the wait that an upstream requested in a refusal.

        :param incarnation: the process that requested it
        :param text: seconds as written; an invalid value is only logged
        """
        asked_s = parse_retry_after(text)
        if asked_s is None:
            self._decisions.belief(
                "rest_unreadable", upstream=incarnation[0], asked=text[:40]
            )
            return
        now, backoff_s = loop_time(), min(asked_s, MAX_BACKOFF_S)
        self._forget(now)
        if now + backoff_s <= self._backoff_until.get(incarnation, now):
            return
        self._backoff_until[incarnation] = now + backoff_s
        self._decisions.belief(
            "upstream_rests", upstream=incarnation[0], asked_s=asked_s, rest_s=backoff_s
        )

    def remaining_s(self, incarnation: Incarnation) -> float:
        """Return the seconds left of a process's wait, 0 if there is none."""
        until = self._backoff_until.get(incarnation)
        return 0.0 if until is None else max(until - loop_time(), 0.0)

    def _forget(self, now: float) -> None:
        ended = [
            incarnation
            for incarnation, until in self._backoff_until.items()
            if until <= now
        ]
        for incarnation in ended:
            del self._backoff_until[incarnation]
