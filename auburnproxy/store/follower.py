"""Local copy of one topic, kept current by reading its log."""

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
"""Seconds between two attempts while the store does not respond."""
READ_OVERDUE_S = 0.5
"""Seconds beyond the pause between two reads after which a read counts as overdue."""
READ_LATE_S = 0.6
"""Seconds beyond its wait after which a pending read counts as unanswered; a slow
store responds within a third of that."""
ROLE_CHECK_INTERVAL_S = 0.2
"""Seconds between two checks whether this daemon should read the log itself."""
MAX_RECENT_CHANGES = 2048
"""Keys whose changes are kept for peers; operators' records have a few keys, hosts
hundreds."""
MAX_PREVIOUS_ERAS = 3
"""Previous eras whose topics are searched at startup; several restores of the store
without a write in between are rare."""
CARRIED = -1
"""Offset of records carried over from the previous era; any record read is newer."""


class Shared(NamedTuple):
    """All records of a topic, or its recent changes, as sent between daemons."""

    changes: tuple[Change, ...]
    end: int
    whole: bool
    """Whether the records cover all keys that have a value, not only recent changes."""
    away_s: float | None = None
    """Seconds since the sender's last failed read of the store, None without one."""
    era: int = 0
    """Era of the store to which the offsets belong."""
    carried_end: int = CARRIED
    """End of the sender's copy in the previous era, which it has carried over."""
    renewed_end: int = 0
    """End of the topic at that time; the sender has merged the records before it."""
    vacant: bool = False
    """Whether no writer has filled the topic of this era yet."""


class _FormerValue(NamedTuple):
    """Former value of a key."""

    key: str
    digest: bytes
    """Digest of its significant part; there may be many long values."""
    end: int
    """Offset of the record that replaced it."""


class Renewal(Enum):
    """How a copy changes when the store is restored without its newest records."""

    KEPT = "kept"
    """Keys that the store lacks are kept until they are written again."""
    LAPSED = "lapsed"
    """Keys that the store lacks count as deleted; live hosts register again."""
    REPLACED = "replaced"
    """Each era has a separate topic, to which one writer writes all that it knows.
    So no append that was based on another history can succeed."""


class Follower:
    """Maintains a copy of a topic and reports each key that changes.

    :param store: the log service
    :param topic: the topic's name
    :param decisions: logs each lost and regained connection
    :param wait_s: seconds that a read waits for a record
    :param pause_s: returns the seconds between two reads
    :param reads: returns whether this daemon reads the log itself; otherwise it gets
        the records from peers through :meth:`adopt`
    :param essence: returns the significant part of a value: a change of the rest is
        not reported
    :param patience_s: seconds after the start to wait for a copy from a peer if this
        daemon does not read the log itself
    :param renewal: how the copy changes when the store is restored from an older copy
    :param outranks: returns whether a known record supersedes another one of its key
        regardless of their offsets
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
        """Era of the store to which the offsets of this copy belong."""
        self.carried_end = CARRIED
        """End of this copy in the previous era; negative if nothing is carried over."""
        self.vacant = False
        """Whether no writer has filled the topic of this era yet."""
        self.end = 0
        """Offset of the next record to read."""
        self.whole = False
        """Whether the copy has been complete at least once."""
        self.current_at = -1.0
        """The loop's time in seconds at which the last successful read was sent."""
        self.away_at = -1.0
        """The loop's time in seconds of the last failed read."""
        self.changed = Pulse()
        self.on_change: Callable[[Change], None] = lambda change: None
        self.on_repeat: Callable[[Change], None] | None = None
        """Called instead of ``on_change`` if the significant part is unchanged."""
        self._store = store
        self._topic = topic
        self._decisions = decisions
        self._wait_s = wait_s
        self._pause_s = pause_s
        self._should_read = reads
        self._significant = essence
        self._peer_wait_s = patience_s
        self._renewal = renewal
        self._supersedes = outranks
        self._renewed_end = 0
        self._former_values: deque[_FormerValue] = deque(maxlen=MAX_RECENT_CHANGES)
        self._recent: dict[str, Change] = {}
        """Latest change of each key, in the order of the offsets."""
        self._recent_start = 0
        self._by_key: dict[str, Change] = {}
        self._last_read_succeeded = True
        self._read_started_at: float | None = None

    @property
    def by_key(self) -> Mapping[str, Change]:
        """Return the latest record of each key that has a value."""
        return MappingProxyType(self._by_key)

    @property
    def current(self) -> bool:
        """Return whether the copy is complete and of the store's current era."""
        return self.whole and self.era == self._store.era.number

    def knows_era(self, era: int) -> bool:
        """Return whether an era is the newest one that this daemon knows."""
        return era == self._store.era.number

    @property
    def topic(self) -> str:
        """Return the topic to which writers append in the current era."""
        return self._topic_of_era(self.era)

    def _topic_of_era(self, era: int) -> str:
        has_own_topic = era and self._renewal is Renewal.REPLACED
        return f"{self._topic}-{era}" if has_own_topic else self._topic

    @property
    def up(self) -> bool:
        """Return whether the copy is complete and the last read succeeded."""
        return self.whole and self._last_read_succeeded

    @property
    def reaches(self) -> bool:
        """Return whether the last read succeeded and no pending read is late."""
        if not self.up or self._read_started_at is None:
            return self.up
        age_s = loop_time() - self._read_started_at
        return age_s <= self._wait_s + READ_LATE_S

    @property
    def overdue(self) -> bool:
        """Return whether any existing record should have been read by now.

        This always holds for reads that wait, as they return with the first record.
        """
        if self._wait_s or not self._last_read_succeeded or not self._should_read():
            return True
        age_s = loop_time() - self.current_at
        return age_s > self._pause_s() + READ_OVERDUE_S

    async def run(self) -> None:
        """Keep the copy current until cancelled."""
        peer_wait_until = loop_time() + self._peer_wait_s
        while True:
            if (
                self.whole or loop_time() < peer_wait_until
            ) and not self._should_read():
                await asyncio.sleep(ROLE_CHECK_INTERVAL_S)
                continue
            self._read_started_at, is_load = loop_time(), not self.current
            try:
                await self.step()
            except PlatformError:
                took_s = loop_time() - self._read_started_at
                await asyncio.sleep(max(RETRY_S - took_s, 0.0))
                continue
            finally:
                self._read_started_at = None
            if not is_load:
                await asyncio.sleep(self._pause_s())

    async def step(self, *, wait: bool = True) -> None:
        """Read the store once.

        :param wait: whether to wait for a record if there is no new one
        :raises PlatformError: if the store does not respond
        """
        sent_at = loop_time()
        try:
            if self.current:
                await self._read(self._wait_s if wait else 0.0)
            else:
                await self._load()
        except PlatformError as error:
            self._record_outcome(up=False, error=error)
            raise
        self._record_outcome(up=True)
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
            self._apply_if_newer(change)
        self.end = max(self.end, page.next_offset)
        if page.changes:
            self.changed.send()

    async def _load(self) -> None:
        era, newest = await self._read_all()
        if newest.end or not era or self._renewal is not Renewal.REPLACED:
            self.adopt(Shared(newest.changes, newest.end, whole=True, era=era))
        else:
            await self._use_previous_era(era)

    async def _read_all(self) -> tuple[int, Newest]:
        """Return the era and its records, and retry if the era changes meanwhile."""
        while True:
            era = self._store.era.number
            newest = await self._store.newest(self._topic_of_era(era))
            if self._store.era.number == era:
                return era, newest

    async def _use_previous_era(self, era: int) -> None:
        """Use the known records until a writer has filled the topic of an era."""
        if self.whole:
            if self.era != era:
                self._enter_era(Shared((), 0, whole=True, era=era, vacant=True))
            return
        records = await self._previous_records(era)
        if self._store.era.number != era:
            return
        self._by_key = {c.key: c for c in records}
        self._start_era(era, end=0)
        self.vacant, self.whole = bool(records), True
        for change in self._by_key.values():
            self.on_change(change)
        self.changed.send()

    async def _previous_records(self, era: int) -> Sequence[Change]:
        """Return the records of the latest previous era that has any, for a startup."""
        for number in sorted({*range(max(era - MAX_PREVIOUS_ERAS, 0), era), 0})[::-1]:
            newest = await self._store.newest(self._topic_of_era(number))
            if newest.changes:
                return newest.changes
        return ()

    def _start_era(self, era: int, *, end: int) -> None:
        """Start an era, and mark the known records as those of the previous one."""
        if self.whole:
            self.carried_end = self.end
        self._by_key = {k: c._replace(offset=CARRIED) for k, c in self._by_key.items()}
        self._recent.clear()
        self.era, self.end = era, end
        self._recent_start = self._renewed_end = end

    def since(self, offset: int, *, carried_end: int | None = None) -> Shared:
        """Return the changes since an offset, or all records if those are not kept.

        :param offset: end of a peer's copy
        :param carried_end: end of the peer's copy in the previous era, None to ignore
            what was carried over
        """
        now = loop_time()
        away_s = now - self.away_at if self.away_at >= 0 else None
        known = carried_end is None or carried_end >= self.carried_end
        whole = not (known and self._recent_start <= offset <= self.end)
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
        """Apply records from a peer or the store, unless this copy is newer.

        :param shared: all keys that have a value, or the changes since this end
        """
        self._store.era.learn(shared.era, told_by="peer")
        if shared.era != self._store.era.number:
            return
        is_older = self.whole and self.era != shared.era
        if not shared.whole and (self.vacant or is_older):
            return
        if shared.vacant and self.current and not self.vacant:
            # The topic has been written; a sender that still waits for that is behind.
            return
        if is_older:
            self._enter_era(shared)
        else:
            newer = shared.whole and shared.carried_end > self.carried_end
            becomes_filled = self.vacant and not shared.vacant and shared.whole
            if self.whole and shared.end < self.end and not newer:
                return
            if becomes_filled:
                self._replace_all(shared)
            else:
                self._merge_same_era(shared, newer=newer)
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

    def _merge_same_era(self, shared: Shared, *, newer: bool) -> None:
        """Apply records of the same era.

        :param newer: whether the sender has carried over more from the previous era
        """
        if shared.whole:
            present = {change.key for change in shared.changes}
            for key, known in list(self._by_key.items()):
                stays = known.offset == CARRIED and not newer
                if key not in present and known.offset < shared.end and not stays:
                    self._apply_if_newer(Change(key, b"", max(shared.end, 0)))
        for change in shared.changes:
            known_change = self._by_key.get(change.key)
            replaceable = (
                known_change is None or known_change.offset < shared.renewed_end
            )
            if change.offset != CARRIED:
                self._apply_if_newer(change)
            elif replaceable and (newer or not self.whole):
                self._apply(change)
        if shared.whole:
            self._recent.clear()
            self._recent_start = shared.end

    def _enter_era(self, shared: Shared) -> None:
        """Move this copy to the era of the given records."""
        before = self.era
        newer = shared.carried_end > self.end
        self.away_at = loop_time()
        self._start_era(shared.era, end=shared.end)
        if shared.vacant:
            if newer:
                self._replace_all(shared)
            self.vacant = bool(self._by_key)
        elif self._renewal is Renewal.REPLACED:
            self._replace_all(shared)
        else:
            self._merge_new_era(shared, newer=newer)
        if newer:
            self.carried_end = shared.carried_end
        self._former_values.clear()
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

    def _replace_all(self, shared: Shared) -> None:
        """Replace all known records by the given ones."""
        present = {change.key for change in shared.changes}
        for key in self._by_key.keys() - present:
            self._apply(Change(key, b"", shared.end))
        for change in shared.changes:
            self._apply(change)
        self.vacant = shared.vacant
        self._recent.clear()
        self._recent_start = shared.end

    def _merge_new_era(self, shared: Shared, *, newer: bool) -> None:
        """Apply records that are new, except values replaced before the restore."""
        former_values = tuple(self._former_values)
        present = {change.key for change in shared.changes}
        if self._renewal is Renewal.LAPSED:
            for key in self._by_key.keys() - present:
                self._apply_if_newer(Change(key, b"", max(shared.end, 0)))
        for change in shared.changes:
            known = self._by_key.get(change.key)
            if known is not None and self._supersedes(known, change):
                continue
            if change.offset == CARRIED:
                if newer or known is None:
                    self._apply(change)
            elif not self._is_former_value(change, former_values):
                self._apply_if_newer(change)

    def _apply_if_newer(self, change: Change) -> None:
        known = self._by_key.get(change.key)
        if known is None or known.offset < change.offset:
            self._apply(change)

    def _apply(self, change: Change) -> None:
        known = self._by_key.get(change.key)
        if known is None or self._significant(known.value) != self._significant(
            change.value
        ):
            self._keep_recent(change)
            if known is not None:
                digest = self._digest(known)
                self._former_values.append(
                    _FormerValue(change.key, digest, change.offset)
                )
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

    def _is_former_value(
        self, change: Change, former_values: Sequence[_FormerValue]
    ) -> bool:
        """Return whether a record holds a value that had been replaced before."""
        digest = self._digest(change)
        return any(
            (each.key, each.digest) == (change.key, digest) and change.offset < each.end
            for each in former_values
        )

    def _digest(self, change: Change) -> bytes:
        return xxh3_128_digest(self._significant(change.value))

    def _keep_recent(self, change: Change) -> None:
        """Keep the latest change of a key for peers that are slightly behind."""
        self._recent.pop(change.key, None)
        if len(self._recent) >= MAX_RECENT_CHANGES:
            oldest = self._recent.pop(next(iter(self._recent)))
            self._recent_start = oldest.offset + 1
        self._recent[change.key] = change

    def _record_outcome(self, *, up: bool, error: Exception | None = None) -> None:
        if not up:
            self.away_at = loop_time()
        if up == self._last_read_succeeded:
            return
        self._last_read_succeeded = up
        kind = "dependency_regained" if up else "dependency_lost"
        reason = repr(error) if error else ""
        self._decisions.belief(kind, dependency=f"store/{self._topic}", reason=reason)
