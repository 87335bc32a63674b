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
from ..notifier import Notifier
from ..telemetry.decisions import DecisionLog
from ..unreadable_values import UnreadableValues
from .call_pacing import CallPacing, PausedError
from .store import Change, ExpiredError, NewestRecords, Store

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
PREVIOUS_ERA_OFFSET = -1
"""Offset of records carried over from the previous era; any record read is newer."""


class TopicUpdate(NamedTuple):
    """All records of a topic, or its recent changes, as sent between daemons."""

    changes: tuple[Change, ...]
    end: int
    complete: bool
    """Whether the records cover all keys that have a value, not only recent changes."""
    failure_age_s: float | None = None
    """Seconds since the sender's last failed read of the store, None without one."""
    era: int = 0
    """Era of the store to which the offsets belong."""
    previous_era_end: int = PREVIOUS_ERA_OFFSET
    """End of the sender's copy in the previous era, which it has carried over."""
    transition_end: int = 0
    """End of the topic when the sender entered the era; it has merged all before it."""
    awaiting_writer: bool = False
    """Whether no writer has filled the topic of this era yet."""


class _FormerValue(NamedTuple):
    """Former value of a key."""

    key: str
    digest: bytes
    """Digest of its significant part; there may be many long values."""
    end: int
    """Offset of the record that replaced it."""


class EraChangePolicy(Enum):
    """How a copy changes when the store is restored without its newest records."""

    KEEP_MISSING = "kept"
    """Keys that the store lacks are kept until they are written again."""
    DROP_MISSING = "lapsed"
    """Keys that the store lacks count as deleted; live hosts register again."""
    NEW_TOPIC = "replaced"
    """Each era has a separate topic, to which one writer writes all that it knows.
    So no append that was based on another history can succeed."""


class Follower:
    """Maintains a copy of a topic and reports each key that changes.

    :param store: the log service
    :param topic: the topic's name
    :param decisions: logs each lost and regained connection
    :param wait_s: seconds that a read waits for a record
    :param pause_s: returns the seconds between two reads
    :param should_read: returns whether to read the log; otherwise this daemon gets
        the records from peers through :meth:`apply_update`
    :param significant_part: returns a part of a value; a change of the rest is
        not reported
    :param peer_wait_s: seconds after the start to wait for a copy from a peer if this
        daemon does not read the log itself
    :param era_policy: how the copy changes when the store has been restored
    :param supersedes: returns whether a known record is newer than another one of its
        key, regardless of their offsets
    :param pacing: of all calls of this daemon, if it pauses them
    """

    def __init__(
        self,
        store: Store,
        topic: str,
        decisions: DecisionLog,
        *,
        wait_s: float = 0.0,
        pause_s: Callable[[], float] = lambda: 0.0,
        should_read: Callable[[], bool] = lambda: True,
        significant_part: Callable[[bytes], bytes] = bytes,
        peer_wait_s: float = 0.0,
        era_policy: EraChangePolicy = EraChangePolicy.KEEP_MISSING,
        supersedes: Callable[[Change, Change], bool] = lambda known, other: False,
        pacing: CallPacing | None = None,
    ) -> None:
        self.era = 0
        """Era of the store to which the offsets of this copy belong."""
        self.previous_era_end = PREVIOUS_ERA_OFFSET
        """End of this copy in the previous era; negative if nothing is carried over."""
        self.awaiting_writer = False
        """Whether no writer has filled the topic of this era yet."""
        self.end = 0
        """Offset of the next record to read."""
        self.complete = False
        """Whether the copy has been complete at least once."""
        self.current_at = -1.0
        """The loop's time in seconds at which the last successful read was sent, or at
        which an update was applied."""
        self.last_failure_at = -1.0
        """The loop's time in seconds until which reads have failed last."""
        self.changed = Notifier()
        self.on_change: Callable[[Change], None] = lambda change: None
        """Called with each change. An error that it raises is logged with the key, and
        the next change follows."""
        self.on_unchanged: Callable[[Change], None] | None = None
        """Called instead of ``on_change`` if the significant part is unchanged."""
        self._store = store
        self._topic = topic
        self._decisions = decisions
        self._wait_s = wait_s
        self._pause_s = pause_s
        self._should_read = should_read
        self._significant_part = significant_part
        self._peer_wait_s = peer_wait_s
        self._era_policy = era_policy
        self._supersedes = supersedes
        self._pacing = pacing
        self._unreadable = UnreadableValues("record_unreadable", "key", decisions)
        self._source_failed_at = -1.0
        """Until when reads of whoever read these records had failed last; what this
        daemon alone is denied says nothing to those that get them from it."""
        self._transition_end = 0
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
        return self.complete and self.era == self._store.era.number

    def is_current_era(self, era: int) -> bool:
        """Return whether an era is the newest one that this daemon knows."""
        return era == self._store.era.number

    @property
    def topic(self) -> str:
        """Return the topic to which writers append in the current era."""
        return self._topic_of_era(self.era)

    def _topic_of_era(self, era: int) -> str:
        has_own_topic = era and self._era_policy is EraChangePolicy.NEW_TOPIC
        return f"{self._topic}-{era}" if has_own_topic else self._topic

    @property
    def up(self) -> bool:
        """Return whether the copy is complete and the last read succeeded."""
        return self.complete and self._last_read_succeeded

    @property
    def store_reachable(self) -> bool:
        """Return whether the last read succeeded and no pending read is late."""
        if not self.up or self._read_started_at is None:
            return self.up
        age_s = loop_time() - self._read_started_at
        return age_s <= self._wait_s + READ_LATE_S

    @property
    def read_overdue(self) -> bool:
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
                self.complete or loop_time() < peer_wait_until
            ) and not self._should_read():
                self._trust_other_calls()
                await asyncio.sleep(ROLE_CHECK_INTERVAL_S)
                continue
            self._read_started_at, is_load = loop_time(), not self.current
            try:
                await self.read_once()
            except PlatformError:
                took_s = loop_time() - self._read_started_at
                self._read_started_at = None
                await self._wait_before_retry(max(RETRY_S - took_s, 0.0))
                continue
            finally:
                self._read_started_at = None
            if not is_load:
                await asyncio.sleep(self._pause_s())

    async def _wait_before_retry(self, seconds: float) -> None:
        if self._pacing is None:
            await asyncio.sleep(seconds)
        else:
            await self._pacing.before_retry(seconds)

    def _trust_other_calls(self) -> None:
        """Take the store for up again if it has answered another call since."""
        if self._last_read_succeeded or self._pacing is None:
            return
        if self._pacing.answered_sent_at > self.last_failure_at:
            self._record_outcome(up=True)

    async def read_once(self, *, wait: bool = True) -> None:
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
            if not isinstance(error, PausedError) or error.after_failure:
                self._record_outcome(up=False, error=error)
            raise
        if not self._last_read_succeeded:
            # The pause since the failed read may have been long.
            self.last_failure_at = sent_at
        self._source_failed_at = self.last_failure_at
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
        if self._store.era.number != era or (self.awaiting_writer and page.changes):
            await self._load()
            return
        newer = [change for change in page.changes if not self._reflects(change)]
        if len(newer) < len(page.changes):
            self._decisions.belief(
                "read_overtaken",
                topic=self._topic,
                skipped=len(page.changes) - len(newer),
                end=self.end,
            )
        for change in newer:
            self._apply_if_newer(change)
        self.end = max(self.end, page.next_offset)
        if newer:
            self.changed.notify()

    async def _load(self) -> None:
        era, newest = await self._read_all()
        if newest.end or not era or self._era_policy is not EraChangePolicy.NEW_TOPIC:
            self.apply_update(
                TopicUpdate(newest.changes, newest.end, complete=True, era=era),
                from_store=True,
            )
        else:
            await self._use_previous_era(era)

    async def _read_all(self) -> tuple[int, NewestRecords]:
        """Return the era and its records, and retry if the era changes meanwhile."""
        while True:
            era = self._store.era.number
            newest = await self._store.newest(self._topic_of_era(era))
            if self._store.era.number == era:
                return era, newest

    async def _use_previous_era(self, era: int) -> None:
        """Use the known records until a writer has filled the topic of an era."""
        if self.complete:
            if self.era != era:
                self._enter_era(
                    TopicUpdate((), 0, complete=True, era=era, awaiting_writer=True)
                )
            return
        records = await self._previous_records(era)
        if self._store.era.number != era:
            return
        self._by_key = {c.key: c for c in records}
        self._start_era(era, end=0)
        self.awaiting_writer, self.complete = bool(records), True
        for change in self._by_key.values():
            self._report_change(change)
        self.changed.notify()

    async def _previous_records(self, era: int) -> Sequence[Change]:
        """Return the records of the latest previous era that has any, for a startup."""
        for number in sorted({*range(max(era - MAX_PREVIOUS_ERAS, 0), era), 0})[::-1]:
            newest = await self._store.newest(self._topic_of_era(number))
            if newest.changes:
                return newest.changes
        return ()

    def _start_era(self, era: int, *, end: int) -> None:
        """Start an era, and mark the known records as those of the previous one."""
        if self.complete:
            self.previous_era_end = self.end
        self._by_key = {
            k: c._replace(offset=PREVIOUS_ERA_OFFSET) for k, c in self._by_key.items()
        }
        self._recent.clear()
        self.era, self.end = era, end
        self._recent_start = self._transition_end = end

    def changes_since(
        self, offset: int, *, previous_era_end: int | None = None
    ) -> TopicUpdate:
        """Return the changes since an offset, or all records if those are not kept.

        :param offset: end of a peer's copy
        :param previous_era_end: end of the peer's copy in the previous era, None to
            ignore what was carried over
        """
        now = loop_time()
        failure_age_s = (
            now - self._source_failed_at if self._source_failed_at >= 0 else None
        )
        known = previous_era_end is None or previous_era_end >= self.previous_era_end
        complete = not (known and self._recent_start <= offset <= self.end)
        if complete:
            changes = list(self._by_key.values())
        else:
            changes = [c for c in self._recent.values() if c.offset >= offset]
        return TopicUpdate(
            tuple(changes),
            self.end,
            complete=complete,
            failure_age_s=failure_age_s,
            era=self.era,
            previous_era_end=self.previous_era_end,
            transition_end=self._transition_end,
            awaiting_writer=self.awaiting_writer,
        )

    def apply_update(self, update: TopicUpdate, *, from_store: bool = False) -> None:
        """Apply records from a peer or the store, unless this copy is newer.

        :param update: all keys that have a value, or the changes since this end
        :param from_store: whether the records come from the store itself, so that they
            prevail over this copy
        """
        self._store.era.advance(update.era, source="peer")
        if update.era != self._store.era.number:
            return
        copy_is_older = self.complete and self.era != update.era
        if not update.complete and (self.awaiting_writer or copy_is_older):
            return
        if update.awaiting_writer and self.current and not self.awaiting_writer:
            # The topic has been written; a sender that still waits for that is behind.
            return
        if copy_is_older:
            self._enter_era(update)
        else:
            sender_carries_more = (
                update.complete and update.previous_era_end > self.previous_era_end
            )
            becomes_filled = (
                self.awaiting_writer and not update.awaiting_writer and update.complete
            )
            if self.complete and update.end < self.end and not sender_carries_more:
                return
            if becomes_filled:
                self._replace_all(update)
            else:
                self._merge_same_era(
                    update,
                    sender_carries_more=sender_carries_more,
                    from_store=from_store,
                )
            if sender_carries_more:
                self.previous_era_end = update.previous_era_end
                self._transition_end = update.transition_end
            self.awaiting_writer = (
                update.awaiting_writer if update.complete else self.awaiting_writer
            )
        now = loop_time()
        if update.failure_age_s is not None:
            self._source_failed_at = now - update.failure_age_s
            self.last_failure_at = max(self.last_failure_at, self._source_failed_at)
        else:
            self._source_failed_at = -1.0
        self.era = update.era
        self.end = max(self.end, update.end)
        self.current_at = now
        self.complete = True
        self.changed.notify()

    def _merge_same_era(
        self, update: TopicUpdate, *, sender_carries_more: bool, from_store: bool
    ) -> None:
        """Apply records of the same era.

        :param sender_carries_more: of the records from the previous era
        :param from_store: whether they come from the store itself
        """
        if update.complete:
            present_keys = {change.key for change in update.changes}
            for key, known in list(self._by_key.items()):
                stays = known.offset == PREVIOUS_ERA_OFFSET and not sender_carries_more
                if key not in present_keys and known.offset < update.end and not stays:
                    self._apply_if_newer(Change(key, b"", max(update.end, 0)))
        for change in update.changes:
            if change.offset != PREVIOUS_ERA_OFFSET:
                if from_store or not self._reflects(change):
                    self._apply_if_newer(change)
            elif self._lacks_previous(change.key, update.transition_end) and (
                sender_carries_more or not self.complete
            ):
                self._apply(change)
        if update.complete:
            self._recent.clear()
            self._recent_start = max(update.end, self.end)

    def _reflects(self, change: Change) -> bool:
        """Return whether this copy already contains the effect of a record of its era.

        It does for all records before its end. What it says of their keys is as new or
        newer, also where it says nothing: a deleted key leaves no record.
        """
        return self.complete and change.offset < self.end

    def _lacks_previous(self, key: str, transition_end: int) -> bool:
        """Return whether a peer's record from the previous era may be new to this copy.

        :param key: key of the record
        :param transition_end: end of the records that the peer has merged with it
        """
        known = self._by_key.get(key)
        if known is None:
            return key not in self._recent
        return known.offset < transition_end

    def _enter_era(self, update: TopicUpdate) -> None:
        """Move this copy to the era of the given records."""
        before = self.era
        sender_carries_more = update.previous_era_end > self.end
        self.last_failure_at = loop_time()
        self._start_era(update.era, end=update.end)
        if update.awaiting_writer:
            if sender_carries_more:
                self._replace_all(update)
            self.awaiting_writer = bool(self._by_key)
        elif self._era_policy is EraChangePolicy.NEW_TOPIC:
            self._replace_all(update)
        else:
            self._merge_new_era(update, sender_carries_more=sender_carries_more)
        if sender_carries_more:
            self.previous_era_end = update.previous_era_end
        self._former_values.clear()
        self._recent.clear()
        self._decisions.belief(
            "era_entered",
            topic=self._topic,
            era=self.era,
            before=before,
            end_before=self.previous_era_end,
            end=self.end,
            kept=sum(c.offset == PREVIOUS_ERA_OFFSET for c in self._by_key.values()),
            vacant=self.awaiting_writer,
        )

    def _replace_all(self, update: TopicUpdate) -> None:
        """Replace all known records by the given ones."""
        present_keys = {change.key for change in update.changes}
        for key in self._by_key.keys() - present_keys:
            self._apply(Change(key, b"", update.end))
        for change in update.changes:
            self._apply(change)
        self.awaiting_writer = update.awaiting_writer
        self._recent.clear()
        self._recent_start = update.end

    def _merge_new_era(self, update: TopicUpdate, *, sender_carries_more: bool) -> None:
        """Apply records that are new, except values replaced before the restore."""
        former_values = tuple(self._former_values)
        present_keys = {change.key for change in update.changes}
        if self._era_policy is EraChangePolicy.DROP_MISSING:
            for key in self._by_key.keys() - present_keys:
                self._apply_if_newer(Change(key, b"", max(update.end, 0)))
        for change in update.changes:
            known = self._by_key.get(change.key)
            if known is not None and self._supersedes(known, change):
                continue
            if change.offset == PREVIOUS_ERA_OFFSET:
                if sender_carries_more or known is None:
                    self._apply(change)
            elif not self._is_former_value(change, former_values):
                self._apply_if_newer(change)

    def _apply_if_newer(self, change: Change) -> None:
        known = self._by_key.get(change.key)
        if known is None or known.offset < change.offset:
            self._apply(change)

    def _apply(self, change: Change) -> None:
        known = self._by_key.get(change.key)
        if known is None or self._significant_part(
            known.value
        ) != self._significant_part(change.value):
            self._keep_recent(change)
            if known is not None:
                digest = self._digest(known)
                self._former_values.append(
                    _FormerValue(change.key, digest, change.offset)
                )
        elif known.offset == PREVIOUS_ERA_OFFSET or self.on_unchanged is not None:
            self._by_key[change.key] = change
            if self.on_unchanged is not None:
                self.on_unchanged(change)
            return
        if change.value:
            self._by_key[change.key] = change
        elif known is None:
            return
        else:
            del self._by_key[change.key]
        self._report_change(change)

    def _report_change(self, change: Change) -> None:
        """Call ``on_change``; an error costs this record alone, whoever wrote it."""
        try:
            self.on_change(change)
        except Exception as error:
            self._unreadable.report(change.key, error)
        else:
            self._unreadable.clear(change.key)

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
        return xxh3_128_digest(self._significant_part(change.value))

    def _keep_recent(self, change: Change) -> None:
        """Keep the latest change of a key for peers that are slightly behind."""
        self._recent.pop(change.key, None)
        if len(self._recent) >= MAX_RECENT_CHANGES:
            oldest = self._recent.pop(next(iter(self._recent)))
            self._recent_start = oldest.offset + 1
        self._recent[change.key] = change

    def _record_outcome(self, *, up: bool, error: Exception | None = None) -> None:
        if not up:
            self.last_failure_at = loop_time()
        if up == self._last_read_succeeded:
            return
        self._last_read_succeeded = up
        kind = "dependency_regained" if up else "dependency_lost"
        reason = repr(error) if error else ""
        self._decisions.belief(kind, dependency=f"store/{self._topic}", reason=reason)
