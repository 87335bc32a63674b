"""A local copy of one topic, kept current by reading its log."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable, Mapping, Sequence
from enum import Enum
from types import MappingProxyType
from typing import NamedTuple

from xxhash import xxh3_128_digest

from ..clock import loop_time
from ..errors import PlatformError
from ..pulse import Pulse
from ..telemetry.decisions import Decisions
from .store import Change, ExpiredError, Newest, Store

RETRY_S = 0.25
"""Seconds between two tries while the service does not answer."""
OVERDUE_S = 0.5
"""Seconds beyond the pause between two readings after which one is missed."""
LATE_S = 0.6
"""Seconds beyond its wait after which a reading that is still under way counts as
unanswered; the answers of a slow store take a third of that."""
IDLE_S = 0.2
"""Seconds between two looks at whether this daemon is to read the log itself."""
RECENT_CHANGES = 2048
"""Keys whose changes are kept for peers; operators' records have a few, hosts are
hundreds."""
MOST_ERAS_BACK = 3
"""Eras before the current one whose topics are looked for at a start; more than one
drill without a writer in between is rare."""
CARRIED = -1
"""Offset of records that are known from the era before; any that is read is newer."""


class Shared(NamedTuple):
    """A topic, or its newest changes, as one daemon tells another."""

    changes: tuple[Change, ...]
    end: int
    whole: bool
    """Whether these are all keys that have a value, and not the changes alone."""
    away_s: float | None = None
    """Seconds since the store last failed the teller, None if it never has."""
    era: int = 0
    """Era of the store that the offsets are of."""
    carried_end: int = CARRIED
    """End of the teller's copy in the era before, which it has carried over."""
    renewed_end: int = 0
    """End of the topic when it did so; what lies before it, it has judged."""
    vacant: bool = False
    """Whether the topic of this era has still to be written."""


class _Past(NamedTuple):
    """A value that a key has had and has no more."""

    key: str
    digest: bytes
    """Of its essence; values may be long and many."""
    end: int
    """Offset of the record that replaced it."""


class Renewal(Enum):
    """What becomes of a copy when the store comes back without its newest records."""

    KEPT = "kept"
    """Keys that the store lacks stay until they are written again."""
    LAPSED = "lapsed"
    """Keys that the store lacks count as dropped; who lives registers again."""
    REPLACED = "replaced"
    """Each era has a topic of its own, into which one writer puts all that it knows.
    So no append that was decided on another history can succeed."""


class Follower:
    """Follows a topic and tells of each key that changes.

    :param store: the log service
    :param topic: the topic's name
    :param decisions: takes a line for each lost and regained connection
    :param wait_s: seconds that a reading waits for a record
    :param pause_s: returns the seconds between two readings
    :param reads: whether this daemon reads the log itself; others get the records
        from peers through :meth:`adopt`
    :param essence: returns what of a value is news to anybody
    :param patience_s: seconds after the start for which a copy from a peer is waited
        for if this daemon is not to read the log
    :param renewal: what becomes of the copy when the store comes back older
    :param outranks: returns whether a known record is newer than another of its key,
        whatever their offsets
    """

    def __init__(
        self,
        store: Store,
        topic: str,
        decisions: Decisions,
        *,
        wait_s: float = 0.0,
        pause_s: Callable[[], float] = lambda: 0.0,
        reads: Callable[[], bool] = lambda: True,
        essence: Callable[[bytes], bytes] = bytes,
        patience_s: float = 0.0,
        renewal: Renewal = Renewal.KEPT,
        outranks: Callable[[Change, Change], bool] = lambda known, other: False,
    ) -> None:
        self.era = 0
        """Era of the store that the offsets of this copy are of."""
        self.carried_end = CARRIED
        """End of this copy in the era before, negative if nothing was carried over."""
        self.vacant = False
        """Whether the topic of this era has still to be written."""
        self.end = 0
        """Offset of the next record to be read."""
        self.whole = False
        """Whether the copy has ever been complete."""
        self.current_at = -1.0
        """The loop's time in seconds at which the newest answered reading was sent."""
        self.away_at = -1.0
        """The loop's time in seconds of the newest failed reading."""
        self.changed = Pulse()
        self.on_change: Callable[[Change], None] = lambda change: None
        self.on_repeat: Callable[[Change], None] | None = None
        """Called in place of ``on_change`` with a record that is no news to anybody."""
        self._store = store
        self._topic = topic
        self._decisions = decisions
        self._wait_s = wait_s
        self._pause_s = pause_s
        self._reads = reads
        self._essence = essence
        self._patience_s = patience_s
        self._renewal = renewal
        self._outranks = outranks
        self._renewed_end = 0
        self._past: deque[_Past] = deque(maxlen=RECENT_CHANGES)
        self._recent: dict[str, Change] = {}
        """The newest change of each key, in the order of their offsets."""
        self._recent_from = 0
        self._by_key: dict[str, Change] = {}
        self._up = True
        self._asked_at: float | None = None

    @property
    def by_key(self) -> Mapping[str, Change]:
        """Return the newest record of each key that has a value."""
        return MappingProxyType(self._by_key)

    @property
    def current(self) -> bool:
        """Return whether the copy is whole and of the store's current era."""
        return self.whole and self.era == self._store.era.number

    def knows_era(self, era: int) -> bool:
        """Return whether an era is the newest one that this daemon knows of."""
        return era == self._store.era.number

    @property
    def topic(self) -> str:
        """Return the topic that a writer appends to."""
        return self._topic_in(self.era)

    def _topic_in(self, era: int) -> str:
        named = era and self._renewal is Renewal.REPLACED
        return f"{self._topic}-{era}" if named else self._topic

    @property
    def up(self) -> bool:
        """Return whether the service answered the last time."""
        return self.whole and self._up

    @property
    def reaches(self) -> bool:
        """Return whether the service has answered, and is not late to answer again."""
        if not self.up or self._asked_at is None:
            return self.up
        age_s = loop_time() - self._asked_at
        return age_s <= self._wait_s + LATE_S

    @property
    def overdue(self) -> bool:
        """Return whether a record that is there should have been read by now.

        A reading that waits for records returns with the first one.
        """
        if self._wait_s or not self._up or not self._reads():
            return True
        age_s = loop_time() - self.current_at
        return age_s > self._pause_s() + OVERDUE_S

    async def run(self) -> None:
        """Follow until cancelled."""
        patient_until = loop_time() + self._patience_s
        while True:
            if (self.whole or loop_time() < patient_until) and not self._reads():
                await asyncio.sleep(IDLE_S)
                continue
            self._asked_at, loads = loop_time(), not self.current
            try:
                await self.step()
            except PlatformError:
                took_s = loop_time() - self._asked_at
                await asyncio.sleep(max(RETRY_S - took_s, 0.0))
                continue
            finally:
                self._asked_at = None
            if not loads:
                await asyncio.sleep(self._pause_s())

    async def step(self, *, wait: bool = True) -> None:
        """Read once.

        :param wait: whether to wait for a record if there is none yet
        :raises PlatformError: if the service does not answer
        """
        sent_at = loop_time()
        try:
            if self.current:
                await self._read(self._wait_s if wait else 0.0)
            else:
                await self._load()
        except PlatformError as error:
            self._note(up=False, error=error)
            raise
        self._note(up=True)
        self.current_at = sent_at

    async def _read(self, wait_s: float) -> None:
        era = self.era
        try:
            page = await self._store.read(self.topic, self.end, wait_s=wait_s)
        except ExpiredError:
            if self._store.era.number == era:
                self._decisions.belief(
                    "history_lost", topic=self._topic, offset=self.end
                )
            await self._load()
            return
        if self._store.era.number != era or (self.vacant and page.changes):
            await self._load()
            return
        for change in page.changes:
            self._take(change)
        self.end = max(self.end, page.next_offset)
        if page.changes:
            self.changed.send()

    async def _load(self) -> None:
        era, newest = await self._newest()
        if newest.end or not era or self._renewal is not Renewal.REPLACED:
            self.adopt(Shared(newest.changes, newest.end, whole=True, era=era))
        else:
            await self._await_writer(era)

    async def _newest(self) -> tuple[int, Newest]:
        """Return the records of the era that is current when they have been read."""
        while True:
            era = self._store.era.number
            newest = await self._store.newest(self._topic_in(era))
            if self._store.era.number == era:
                return era, newest

    async def _await_writer(self, era: int) -> None:
        """Go on with what is known until a writer has filled the topic of an era."""
        if self.whole:
            if self.era != era:
                self._renew(Shared((), 0, whole=True, era=era, vacant=True))
            return
        older = await self._older(era)
        if self._store.era.number != era:
            return
        self._by_key = {c.key: c for c in older}
        self._begin(era, end=0)
        self.vacant, self.whole = bool(older), True
        for change in self._by_key.values():
            self.on_change(change)
        self.changed.send()

    async def _older(self, era: int) -> Sequence[Change]:
        """Return the records of the newest era that has any, for a daemon's start."""
        for number in sorted({*range(max(era - MOST_ERAS_BACK, 0), era), 0})[::-1]:
            newest = await self._store.newest(self._topic_in(number))
            if newest.changes:
                return newest.changes
        return ()

    def _begin(self, era: int, *, end: int) -> None:
        """Take what is known for records of the era before."""
        if self.whole:
            self.carried_end = self.end
        self._by_key = {k: c._replace(offset=CARRIED) for k, c in self._by_key.items()}
        self._recent.clear()
        self.era, self.end = era, end
        self._recent_from = self._renewed_end = end

    def since(self, offset: int, *, carried_end: int | None = None) -> Shared:
        """Return the keys that have changed since an offset, or all that there are.

        :param offset: end of a peer's copy
        :param carried_end: what it has carried over from the era before, None if that
            is not to be compared
        """
        now = loop_time()
        away_s = now - self.away_at if self.away_at >= 0 else None
        known = carried_end is None or carried_end >= self.carried_end
        whole = not (known and self._recent_from <= offset <= self.end)
        if whole:
            changes = list(self._by_key.values())
        else:
            changes = [c for c in self._recent.values() if c.offset >= offset]
        return Shared(
            tuple(changes),
            self.end,
            whole=whole,
            away_s=away_s,
            era=self.era,
            carried_end=self.carried_end,
            renewed_end=self._renewed_end,
            vacant=self.vacant,
        )

    def adopt(self, shared: Shared) -> None:
        """Take what a peer or the store tells, unless this copy is newer.

        :param shared: every key that has a value, or what changed since this end
        """
        self._store.era.learn(shared.era, told_by="peer")
        if shared.era != self._store.era.number:
            return
        past = self.whole and self.era != shared.era
        if not shared.whole and (self.vacant or past):
            return
        if shared.vacant and self.current and not self.vacant:
            # Its topic has been written, whatever a teller knows that waits for that.
            return
        if past:
            self._renew(shared)
        else:
            newer = shared.whole and shared.carried_end > self.carried_end
            filled = self.vacant and not shared.vacant and shared.whole
            if self.whole and shared.end < self.end and not newer:
                return
            if filled:
                self._replace(shared)
            else:
                self._merge(shared, newer=newer)
            if newer:
                self.carried_end = shared.carried_end
                self._renewed_end = shared.renewed_end
            self.vacant = shared.vacant if shared.whole else self.vacant
        now = loop_time()
        if shared.away_s is not None:
            self.away_at = max(self.away_at, now - shared.away_s)
        self.era = shared.era
        self.end = max(self.end, shared.end)
        self.current_at = now
        self.whole = True
        self.changed.send()

    def _merge(self, shared: Shared, *, newer: bool) -> None:
        """Take records of the same era.

        :param newer: whether the teller has carried more over from the era before
        """
        if shared.whole:
            present = {change.key for change in shared.changes}
            for key, known in list(self._by_key.items()):
                stays = known.offset == CARRIED and not newer
                if key not in present and known.offset < shared.end and not stays:
                    self._take(Change(key, b"", max(shared.end, 0)))
        for change in shared.changes:
            known_change = self._by_key.get(change.key)
            judged = known_change is None or known_change.offset < shared.renewed_end
            if change.offset != CARRIED:
                self._take(change)
            elif judged and (newer or not self.whole):
                self._put(change)
        if shared.whole:
            self._recent.clear()
            self._recent_from = shared.end

    def _renew(self, shared: Shared) -> None:
        """Carry this copy over into the era of these records."""
        before = self.era
        newer = shared.carried_end > self.end
        self.away_at = loop_time()
        self._begin(shared.era, end=shared.end)
        if shared.vacant:
            if newer:
                self._replace(shared)
            self.vacant = bool(self._by_key)
        elif self._renewal is Renewal.REPLACED:
            self._replace(shared)
        else:
            self._carry(shared, newer=newer)
        if newer:
            self.carried_end = shared.carried_end
        self._past.clear()
        self._recent.clear()
        self._decisions.belief(
            "era_entered",
            topic=self._topic,
            era=self.era,
            before=before,
            end_before=self.carried_end,
            end=self.end,
            kept=sum(c.offset == CARRIED for c in self._by_key.values()),
            vacant=self.vacant,
        )

    def _replace(self, shared: Shared) -> None:
        """Take these records in place of all that is known."""
        present = {change.key for change in shared.changes}
        for key in self._by_key.keys() - present:
            self._put(Change(key, b"", shared.end))
        for change in shared.changes:
            self._put(change)
        self.vacant = shared.vacant
        self._recent.clear()
        self._recent_from = shared.end

    def _carry(self, shared: Shared, *, newer: bool) -> None:
        """Take what the store has gained, and leave what it has gone back to."""
        past = tuple(self._past)
        present = {change.key for change in shared.changes}
        if self._renewal is Renewal.LAPSED:
            for key in self._by_key.keys() - present:
                self._take(Change(key, b"", max(shared.end, 0)))
        for change in shared.changes:
            known = self._by_key.get(change.key)
            if known is not None and self._outranks(known, change):
                continue
            if change.offset == CARRIED:
                if newer or known is None:
                    self._put(change)
            elif not self._is_past(change, past):
                self._take(change)

    def _take(self, change: Change) -> None:
        known = self._by_key.get(change.key)
        if known is None or known.offset < change.offset:
            self._put(change)

    def _put(self, change: Change) -> None:
        known = self._by_key.get(change.key)
        if known is None or self._essence(known.value) != self._essence(change.value):
            self._keep(change)
            if known is not None:
                digest = self._digest(known)
                self._past.append(_Past(change.key, digest, change.offset))
        elif known.offset == CARRIED or self.on_repeat is not None:
            self._by_key[change.key] = change
            if self.on_repeat is not None:
                self.on_repeat(change)
            return
        if change.value:
            self._by_key[change.key] = change
        elif known is None:
            return
        else:
            del self._by_key[change.key]
        self.on_change(change)

    def _is_past(self, change: Change, past: Sequence[_Past]) -> bool:
        """Return whether a record is one that was known and replaced before."""
        digest = self._digest(change)
        return any(
            (each.key, each.digest) == (change.key, digest) and change.offset < each.end
            for each in past
        )

    def _digest(self, change: Change) -> bytes:
        return xxh3_128_digest(self._essence(change.value))

    def _keep(self, change: Change) -> None:
        """Keep the newest change of a key for peers that are a little behind."""
        self._recent.pop(change.key, None)
        if len(self._recent) >= RECENT_CHANGES:
            oldest = self._recent.pop(next(iter(self._recent)))
            self._recent_from = oldest.offset + 1
        self._recent[change.key] = change

    def _note(self, *, up: bool, error: Exception | None = None) -> None:
        if not up:
            self.away_at = loop_time()
        if up == self._up:
            return
        self._up = up
        kind = "dependency_regained" if up else "dependency_lost"
        reason = repr(error) if error else ""
        self._decisions.belief(kind, dependency=f"store/{self._topic}", reason=reason)
