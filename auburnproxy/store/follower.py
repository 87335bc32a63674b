"""A local copy of one topic, kept current by reading its log."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping, Sequence
from types import MappingProxyType

from ..errors import PlatformError
from ..pulse import Pulse
from ..telemetry.decisions import Decisions
from .store import Change, ExpiredError, Store

RETRY_S = 0.25
"""Seconds between two tries while the service does not answer."""
OVERDUE_S = 0.5
"""Seconds beyond the pause between two readings after which one is missed."""


class Follower:
    """Follows a topic and tells of each key that changes.

    :param store: the log service
    :param topic: the topic's name
    :param decisions: takes a line for each lost and regained connection
    :param wait_s: seconds that a reading waits for a record
    :param pause_s: returns the seconds between two readings
    """

    def __init__(
        self,
        store: Store,
        topic: str,
        decisions: Decisions,
        *,
        wait_s: float = 0.0,
        pause_s: Callable[[], float] = lambda: 0.0,
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
        self._store = store
        self._topic = topic
        self._decisions = decisions
        self._wait_s = wait_s
        self._pause_s = pause_s
        self._by_key: dict[str, Change] = {}
        self._up = True

    @property
    def by_key(self) -> Mapping[str, Change]:
        """Return the newest record of each key that has a value."""
        return MappingProxyType(self._by_key)

    @property
    def up(self) -> bool:
        """Return whether the service answered the last time."""
        return self.whole and self._up

    @property
    def overdue(self) -> bool:
        """Return whether a record that is there should have been read by now.

        A reading that waits for records returns with the first one.
        """
        if self._wait_s or not self._up:
            return True
        age_s = asyncio.get_running_loop().time() - self.current_at
        return age_s > self._pause_s() + OVERDUE_S

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            try:
                await self.step()
            except PlatformError:
                await asyncio.sleep(RETRY_S)
                continue
            await asyncio.sleep(self._pause_s())

    async def step(self, *, wait: bool = True) -> None:
        """Read once.

        :param wait: whether to wait for a record if there is none yet
        :raises PlatformError: if the service does not answer
        """
        sent_at = asyncio.get_running_loop().time()
        try:
            if not self.whole:
                await self._load()
            await self._read(self._wait_s if wait else 0.0)
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
        self.adopt(newest.changes, newest.end)

    def adopt(self, changes: Sequence[Change], end: int) -> None:
        """Take the newest record of each key, unless this copy is newer.

        :param changes: every key that has a value
        :param end: end of the topic at which no other key had one
        """
        if self.whole and end < self.end:
            return
        present = {change.key for change in changes}
        for key, known in list(self._by_key.items()):
            if key not in present and known.offset < end:
                self._take(Change(key, b"", end))
        for change in changes:
            self._take(change)
        self.end = max(self.end, end)
        self.whole = True
        self.changed.send()

    def _take(self, change: Change) -> None:
        known = self._by_key.get(change.key)
        if known is not None and known.offset >= change.offset:
            return
        if change.value:
            self._by_key[change.key] = change
        elif known is None:
            return
        else:
            del self._by_key[change.key]
        self.on_change(change)

    def _note(self, *, up: bool, error: Exception | None = None) -> None:
        if not up:
            self.away_at = asyncio.get_running_loop().time()
        if up == self._up:
            return
        self._up = up
        kind = "dependency_regained" if up else "dependency_lost"
        reason = repr(error) if error else ""
        self._decisions.belief(kind, dependency=f"store/{self._topic}", reason=reason)
