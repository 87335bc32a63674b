"""Rate limits that upstreams name in their answers, for all daemons together."""

from __future__ import annotations

import re
from collections.abc import Iterator

from ..clock import loop_time
from ..gossip import FactKind, FactTable, HeldFact
from ..telemetry import Gauge, GaugeReading
from ..telemetry.decisions import DecisionLog
from .host import Host, Incarnation
from .process_exits import process_name

LIMIT_PATTERN = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?")
MAX_LOGGED_CHARACTERS = 40
NAMED_S = 60.0
"""Least time for which a limit holds after an answer that named it. An answer that does
not name it ends it sooner."""
NAMED_REQUESTS = 3
"""The same as a number of requests at the limit, for low limits."""
MAX_NAMED_S = 600.0
RENEWAL_FRACTION = 1 / 3
"""Fraction of that time after which the next answer that names the limit renews it."""


class NamedLimits:
    """The limits that upstreams have named, by process and at all daemons alike.

    :param facts: facts shared with the other daemons
    :param decisions: log of each limit that is named or no longer named
    """

    def __init__(self, facts: FactTable, decisions: DecisionLog) -> None:
        self._facts = facts
        self._decisions = decisions
        facts.observe(FactKind.LIMIT, self._log_told)

    def limit(self, incarnation: Incarnation) -> HeldFact | None:
        """Return the limit of a process, whose value is a rate in requests a second."""
        if not self._facts.count(FactKind.LIMIT):
            return None
        fact = self._facts.get(FactKind.LIMIT, process_name(incarnation))
        return fact if fact is not None and fact.value > 0 else None

    def record(self, host: Host, text: str, *, sent_at: float) -> None:
        """Record what an answer says about its upstream's limit.

        :param host: the upstream
        :param text: requests a second as written, empty if the answer names no limit;
            an invalid value is only logged
        :param sent_at: the loop's time at which the request was sent; an answer to one
            that was sent before the limit was named does not end it
        """
        known, per_s = self.limit(host.incarnation), parse_limit(text)
        if text and per_s is None:
            self._decisions.belief(
                "limit_unreadable",
                upstream=host.id,
                limit=text[:MAX_LOGGED_CHARACTERS],
            )
        elif per_s is not None:
            if known is None or known.value != per_s or _is_due(known):
                self._tell(host, per_s, known=known)
        elif known is not None and sent_at > known.began_at:
            self._tell(host, 0.0, known=known)

    def readings(self) -> Iterator[GaugeReading]:
        """Yield the current gauge values of this module."""
        limits = [f.value for f in self._facts.facts(FactKind.LIMIT) if f.value]
        yield GaugeReading(Gauge.UPSTREAM_LIMITS, len(limits))
        yield GaugeReading(Gauge.UPSTREAM_LIMITS_PER_S, sum(limits))

    def _tell(self, host: Host, per_s: float, *, known: HeldFact | None) -> None:
        ttl_s = NAMED_S
        if per_s:
            ttl_s = min(max(NAMED_S, NAMED_REQUESTS / per_s), MAX_NAMED_S)
        process = process_name(host.incarnation)
        self._facts.tell(FactKind.LIMIT, process, ttl_s=ttl_s, value=per_s)
        if known is None or known.value != per_s:
            _log(self._decisions, process, per_s, by="answer")

    def _log_told(self, fact: HeldFact) -> None:
        _log(self._decisions, fact.key.subject, fact.value, by="daemon")


def parse_limit(text: str) -> float | None:
    """Return the requests a second of a limit, None if it is not a positive number."""
    text = text.strip()
    if not LIMIT_PATTERN.fullmatch(text) or not float(text):
        return None
    return float(text)


def _is_due(known: HeldFact) -> bool:
    """Return whether a limit is to be renewed by an answer that names it."""
    ttl_s = known.ends_at - known.began_at
    return loop_time() - known.began_at > RENEWAL_FRACTION * ttl_s


def _log(decisions: DecisionLog, process: str, per_s: float, *, by: str) -> None:
    if per_s:
        decisions.belief("upstream_limited", process=process, per_s=per_s, by=by)
    else:
        decisions.belief("upstream_unlimited", process=process, by=by)
