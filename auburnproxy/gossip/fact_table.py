"""The facts that a daemon holds, merged from those that other daemons tell it."""

from __future__ import annotations

import heapq
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Iterator, Sequence
from itertools import islice
from typing import NamedTuple

from ..clock import loop_time
from .fact import (
    DIRECT_KINDS,
    MAX_TEXT_BYTES,
    MAX_TTL_S,
    Fact,
    FactKey,
    FactKind,
    is_acceptable,
)

MS_PER_S = 1000
MAX_FACTS_PER_KIND = 512
"""Facts of one kind; of more, those that end first are dropped."""
EVICTED_AT_ONCE = 32
MAX_RECENT = 24
"""Changed facts in one heartbeat."""
MAX_REPEATED = 8
"""Other facts in one heartbeat, in turn, for daemons that have missed them."""
RECENT_S = 0.5
"""Time for which a change is part of every heartbeat, since datagrams get lost."""


class HeldFact(NamedTuple):
    """A fact with times of this daemon's clock."""

    key: FactKey
    version: int
    value: float
    began_at: float
    """The loop's time in seconds at which it became true."""
    ends_at: float
    learned_at: float
    told_here: bool = False
    """Whether this daemon has told this version."""


class FactTable:
    """Holds facts until they end, whichever daemon has told them.

    Facts are relayed by all daemons, so that one that starts later learns them from
    any other. They are compared by version, which makes the order in which they arrive
    irrelevant. Of two copies of the same version the older one counts, so that the time
    on the way does not prolong a fact that is relayed again and again.

    :param on_told: called when this daemon tells a fact that must reach all at once
    """

    def __init__(self, *, on_told: Callable[[], None] = lambda: None) -> None:
        self.on_told = on_told
        self._facts: dict[str, dict[str, dict[str, HeldFact]]] = {}
        """The facts by kind, subject and origin."""
        self._counts: Counter[str] = Counter()
        """Number of facts by kind."""
        self._observers: defaultdict[str, list[Callable[[HeldFact], None]]] = (
            defaultdict(list)
        )
        self._next_repeated = 0
        self.dropped = 0
        """Facts that were dropped before their end, since there were too many."""

    def observe(self, kind: FactKind, observer: Callable[[HeldFact], None]) -> None:
        """Call a function with each fact of a kind that other daemons tell.

        :param kind: what the facts are about
        :param observer: called once for each new version
        """
        self._observers[kind].append(observer)

    def tell(
        self,
        kind: FactKind,
        subject: str,
        *,
        ttl_s: float,
        value: float = 0.0,
        origin: str = "",
        at_once: bool = True,
    ) -> None:
        """Hold a fact that is true from now on, and tell other daemons.

        :param kind: what it is about
        :param subject: what it says something of
        :param ttl_s: seconds until it is dropped
        :param value: what it says
        :param origin: distinguishes facts on the same subject
        :param at_once: whether to tell all daemons now, instead of in heartbeats
        """
        if max(len(subject), len(origin)) > MAX_TEXT_BYTES:
            return
        key = FactKey(kind, subject, origin)
        known = self._find(key)
        version = known.version + 1 if known else 1
        now = loop_time()
        ends_at = now + min(ttl_s, MAX_TTL_S)
        self._hold(HeldFact(key, version, value, now, ends_at, now, True))
        if at_once:
            self.on_told()

    def merge(self, facts: Iterable[Fact]) -> None:
        """Merge the facts of another daemon's heartbeat."""
        now = loop_time()
        news = []
        for fact in facts:
            if not is_acceptable(fact):
                continue
            began_at = now - fact.age_ms / MS_PER_S
            ends_at = began_at + fact.ttl_ms / MS_PER_S
            held = HeldFact(fact.key, fact.version, fact.value, began_at, ends_at, now)
            known = self._find(held.key)
            if known is None or _supersedes(held, known):
                self._hold(held)
                news.append(held)
            elif held[1:3] == known[1:3] and held.began_at < known.began_at:
                self._hold(known._replace(began_at=began_at, ends_at=ends_at))
        for held in news:
            for observer in self._observers[held.key.kind]:
                observer(held)

    def count(self, kind: FactKind) -> int:
        """Return the number of facts of a kind, some of which may have ended."""
        return self._counts[kind]

    def facts(self, kind: FactKind) -> Sequence[HeldFact]:
        """Return the facts of a kind that have not ended."""
        now = loop_time()
        return [held for held in self._of_kind(kind) if held.ends_at > now]

    def facts_on(self, kind: FactKind, subject: str) -> Sequence[HeldFact]:
        """Return the facts of a kind on a subject that have not ended."""
        now, by_origin = loop_time(), self._facts.get(kind, {}).get(subject, {})
        return [held for held in by_origin.values() if held.ends_at > now]

    def get(self, kind: FactKind, subject: str, *, origin: str = "") -> HeldFact | None:
        """Return a fact, None if there is none or it has ended."""
        held = self._find(FactKey(kind, subject, origin))
        return held if held is not None and held.ends_at > loop_time() else None

    def outgoing(self) -> list[Fact]:
        """Return the facts for the next heartbeat: recent changes and some others."""
        now = loop_time()
        recent: list[HeldFact] = []
        others: list[HeldFact] = []
        for kind in tuple(self._facts):
            self._expire(kind)
            for held in self._of_kind(kind):
                is_recent = now - held.learned_at < RECENT_S
                if kind in DIRECT_KINDS and not (is_recent and held.told_here):
                    continue
                (recent if is_recent else others).append(held)
        chosen = heapq.nlargest(MAX_RECENT, recent, key=lambda held: held.learned_at)
        if others:
            first = self._next_repeated % len(others)
            rotated = others[first:] + others[:first]
            chosen += islice(rotated, MAX_REPEATED)
            self._next_repeated = first + MAX_REPEATED
        return [_to_fact(held, now) for held in chosen]

    def _find(self, key: FactKey) -> HeldFact | None:
        return self._facts.get(key.kind, {}).get(key.subject, {}).get(key.origin)

    def _of_kind(self, kind: str) -> Iterator[HeldFact]:
        by_subject = self._facts.get(kind, {})
        return (
            held for by_origin in by_subject.values() for held in by_origin.values()
        )

    def _hold(self, held: HeldFact) -> None:
        kind, subject, origin = held.key
        is_new = self._find(held.key) is None
        self._facts.setdefault(kind, {}).setdefault(subject, {})[origin] = held
        self._counts[kind] += is_new
        if self._counts[kind] > MAX_FACTS_PER_KIND:
            self._expire(kind)
        if self._counts[kind] > MAX_FACTS_PER_KIND:
            facts = self._of_kind(kind)
            first = heapq.nsmallest(EVICTED_AT_ONCE, facts, key=lambda f: f.ends_at)
            for each in first:
                self._drop(each.key)
            self.dropped += len(first)

    def _drop(self, key: FactKey) -> None:
        by_subject = self._facts[key.kind]
        del by_subject[key.subject][key.origin]
        if not by_subject[key.subject]:
            del by_subject[key.subject]
        self._counts[key.kind] -= 1

    def _expire(self, kind: str) -> None:
        now = loop_time()
        for held in [held for held in self._of_kind(kind) if held.ends_at <= now]:
            self._drop(held.key)


def _supersedes(held: HeldFact, known: HeldFact) -> bool:
    return (held.version, -held.value) > (known.version, -known.value)


def _to_fact(held: HeldFact, now: float) -> Fact:
    age_s, ttl_s = now - held.began_at, held.ends_at - held.began_at
    return Fact(
        *held.key,
        held.version,
        held.value,
        round(age_s * MS_PER_S),
        round(ttl_s * MS_PER_S),
    )
