"""A fact that one daemon has learned and all daemons hold until it ends."""

from __future__ import annotations

from enum import StrEnum
from math import inf
from typing import NamedTuple

MAX_TEXT_BYTES = 128
"""Longest subject or origin; a fact with a longer one is not told."""
MAX_TTL_S = 3600.0
"""Longest time for which a fact is held; daemons of other builds may ask for more."""


class FactKind(StrEnum):
    """What a fact is about."""

    EXIT = "exit"
    """A process, the subject, has ended, or listens again if the value is zero."""
    CRASH = "crash"
    """A process has ended before it began an answer on a prompt part, the subject. The
    origin names the process and the request."""
    VERDICT = "verdict"
    """A prompt part, the subject, is blocked for a number of seconds, or not blocked if
    the value is zero."""
    TRIAL = "trial"
    """A request with a blocked prompt part, the subject, is being tried."""
    LIMIT = "limit"
    """A process, the subject, takes a number of requests a second from all daemons, or
    any number if the value is zero."""
    CLAIM = "claim"
    """A daemon has sent a process, the subject, one of the requests that it takes; the
    value is the number that was left."""
    FAILURE = "failure"
    """A daemon, the origin, fails at a process, the subject; the value, up to 1, is the
    weight of that."""
    DISTRUST = "distrust"
    """A process, the subject, fails what it gets. The value is the number of times that
    this was found, or zero if it is believed again."""
    PROBATION = "probation"
    """A distrusted process, the subject, is being tried with a single request."""


KINDS = frozenset(FactKind)
"""Kinds that this build knows; others are not held."""


DIRECT_KINDS = frozenset({FactKind.FAILURE, FactKind.PROBATION})
"""Kinds that only the daemon that told them sends, and only while they are new: they
end soon, and one that is missed changes little."""


class FactKey(NamedTuple):
    """Identity of a fact; the newest version of it counts."""

    kind: str
    subject: str
    origin: str
    """Distinguishes facts on the same subject; empty if there can be only one."""


class Fact(NamedTuple):
    """One version of a fact, as sent to another daemon."""

    kind: str
    subject: str
    origin: str
    version: int
    """Increases with each change. Of two facts with the same version the one with the
    lower value counts, at all daemons alike."""
    value: float
    age_ms: int
    ttl_ms: int
    """Time from its beginning after which it is dropped."""

    @property
    def key(self) -> FactKey:
        """Return the identity of this fact."""
        return FactKey(self.kind, self.subject, self.origin)


def is_acceptable(fact: Fact) -> bool:
    """Return whether a received fact is within the limits.

    :param fact: a fact from another daemon
    """
    texts_fit = len(fact.subject) <= MAX_TEXT_BYTES and len(fact.origin) <= (
        MAX_TEXT_BYTES
    )
    known = fact.kind in KINDS
    times_fit = 0 <= fact.age_ms < fact.ttl_ms <= MAX_TTL_S * 1000
    return known and texts_fit and times_fit and 0 <= fact.value < inf
