"""A local copy of one topic, kept current by reading its log."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import NamedTuple

from ..clock import loop_time
from ..errors import PlatformError
from ..pulse import Pulse
from ..telemetry.decisions import Decisions
from .store import Change, ExpiredError, Store

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
"""Changes kept for peers; a configuration with its marks has a few, hosts hundreds."""


class Shared(NamedTuple):
    """A topic, or its newest changes, as one daemon tells another."""

    changes: tuple[Change, ...]
    end: int
    whole: bool
    """Whether these are all keys that have a value, and not the changes alone."""
    away_s: float | None = None
    """Seconds since the store last failed the teller, None if it never has."""


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
    ) -> None:
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
        self._recent: deque[Change] = deque()
        self._recent_from = 0
        self._by_key: dict[str, Change] = {}
        self._up = True
        self._asked_at: float | None = None

    @property
    def by_key(self) -> Mapping[str, Change]:
        """Return the newest record of each key that has a value."""
        return MappingProxyType(self._by_key)

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
            self._asked_at, loads = loop_time(), not self.whole
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
            if self.whole:
                await self._read(self._wait_s if wait else 0.0)
            else:
                await self._load()
        except PlatformError as error:
            self._note(up=False, error=error)
            raise
        self._note(up=True)
        self.current_at = sent_at

    async def _read(self, wait_s: float) -> None:
        try:
            page = await self._store.read(self._topic, self.end, wait_s=wait_s)
        except ExpiredError:
            self._decisions.belief("history_lost", topic=self._topic, offset=self.end)
            await self._load()
            return
        for change in page.changes:
            self._take(change)
        self.end = max(self.end, page.next_offset)
        if page.changes:
            self.changed.send()

    async def _load(self) -> None:
        newest = await self._store.newest(self._topic)
        self.adopt(Shared(newest.changes, newest.end, whole=True))

    def since(self, offset: int) -> Shared:
        """Return the keys that have changed since an offset, or all that there are.

        :param offset: end of a peer's copy
        """
        now = loop_time()
        away_s = now - self.away_at if self.away_at >= 0 else None
        if self._recent_from <= offset <= self.end:
            newest = {c.key: c for c in self._recent if c.offset >= offset}
            changes = sorted(newest.values(), key=lambda change: change.offset)
            return Shared(tuple(changes), self.end, whole=False, away_s=away_s)
        return Shared(tuple(self._by_key.values()), self.end, whole=True, away_s=away_s)

    def adopt(self, shared: Shared) -> None:
        """Take what a peer or the store tells, unless this copy is newer.

        :param shared: every key that has a value, or what changed since this end
        """
        if self.whole and shared.end < self.end:
            return
        if shared.whole:
            present = {change.key for change in shared.changes}
            for key, known in list(self._by_key.items()):
                if key not in present and known.offset < shared.end:
                    self._take(Change(key, b"", shared.end))
        for change in shared.changes:
            self._take(change)
        if shared.whole:
            self._recent.clear()
            self._recent_from = shared.end
        now = loop_time()
        if shared.away_s is not None:
            self.away_at = max(self.away_at, now - shared.away_s)
        self.end = max(self.end, shared.end)
        self.current_at = now
        self.whole = True
        self.changed.send()

    def _take(self, change: Change) -> None:
        known = self._by_key.get(change.key)
        if known is not None and known.offset >= change.offset:
            return
        if known is None or self._essence(known.value) != self._essence(change.value):
            self._keep(change)
        elif self.on_repeat is not None:
            self._by_key[change.key] = change
            self.on_repeat(change)
            return
        if change.value:
            self._by_key[change.key] = change
        elif known is None:
            return
        else:
            del self._by_key[change.key]
        self.on_change(change)

    def _keep(self, change: Change) -> None:
        """Keep a change for peers that are a little behind."""
        if len(self._recent) >= RECENT_CHANGES:
            self._recent_from = self._recent.popleft().offset + 1
        self._recent.append(change)

    def _note(self, *, up: bool, error: Exception | None = None) -> None:
        if not up:
            self.away_at = loop_time()
        if up == self._up:
            return
        self._up = up
        kind = "dependency_regained" if up else "dependency_lost"
        reason = repr(error) if error else ""
        self._decisions.belief(kind, dependency=f"store/{self._topic}", reason=reason)
