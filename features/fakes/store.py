"""A log of keyed records in memory, with one faulty connection for each daemon."""

from __future__ import annotations

import asyncio
import os
from collections.abc import Sequence
from functools import cache

from auburnproxy.errors import AppendUncertainError, PlatformError
from auburnproxy.store import (
    Change,
    ConflictError,
    EraTracker,
    ExpiredError,
    NewestRecords,
    Page,
    Store,
)
from auburnproxy.telemetry.decisions import Decisions

LATENCY_S = 0.004
SILENCE_S = 5.5
"""Seconds after which a caller gives up an answer that does not come."""


class FakeTopics:
    """The records of every topic; the oldest may expire, the newest of a key stay.

    :param era: what its answers tell of its era at first, 0 for nothing
    """

    def __init__(self, *, era: int = 0) -> None:
        self.era = era
        self.records_by_topic: dict[str, list[Change]] = {}
        self.first_by_topic: dict[str, int] = {}
        self.appended = asyncio.Event()
        self._topics_in_order: list[str] = []
        self._tokens = 0

    def token(self) -> str:
        """Return a text that is given once."""
        self._tokens += 1
        return f"t{self._tokens}"

    @property
    def header(self) -> str | None:
        """Return what an answer tells of the era."""
        return str(self.era) if self.era else None

    def come_back_older(self, lost: int) -> None:
        """Lose the newest records of all topics together and begin a new era."""
        for topic in self._topics_in_order[len(self._topics_in_order) - lost :]:
            self.records(topic).pop()
        del self._topics_in_order[len(self._topics_in_order) - lost :]
        self.era += 1
        self._wake()

    def records(self, topic: str) -> list[Change]:
        return self.records_by_topic.setdefault(topic, [])

    def take(self, topic: str, changes: Sequence[Change]) -> int:
        records = self.records(topic)
        for change in changes:
            records.append(change._replace(offset=len(records)))
            self._topics_in_order.append(topic)
        self._wake()
        return len(records)

    def _wake(self) -> None:
        turn, self.appended = self.appended, asyncio.Event()
        turn.set()

    def expire(self, topic: str) -> None:
        self.first_by_topic[topic] = len(self.records(topic))

    def newest(self, topic: str) -> NewestRecords:
        by_key: dict[str, Change] = {}
        for change in self.records(topic):
            by_key[change.key] = change
        found = tuple(change for change in by_key.values() if change.value)
        return NewestRecords(found, len(self.records(topic)))


class StorePort(Store):
    """One daemon's connection to the store."""

    def __init__(self, topics: FakeTopics) -> None:
        self.topics = topics
        self.away = False
        self.silent = False
        self.lose_answers = 0
        self.calls = 0
        self._era = EraTracker()

    @property
    def era(self) -> EraTracker:
        return self._era

    async def newest(self, topic: str) -> NewestRecords:
        await self._travel()
        return self.topics.newest(topic)

    async def read(self, topic: str, offset: int, *, wait_s: float) -> Page:
        await self._travel()
        first, era = self.topics.first_by_topic.get(topic, 0), self.topics.era
        if not first <= offset <= len(self.topics.records(topic)):
            raise ExpiredError(f"{topic} from {offset}")
        try:
            async with asyncio.timeout(wait_s):
                while (
                    self.topics.era == era and not self.topics.records(topic)[offset:]
                ):
                    await self.topics.appended.wait()
        except TimeoutError:
            pass
        if self.away or self.topics.era != era:
            raise PlatformError("away")
        found = tuple(self.topics.records(topic)[offset:])
        return Page(found, offset + len(found))

    async def append(
        self, topic: str, changes: Sequence[Change], *, expected_end: int | None = None
    ) -> int:
        await self._travel()
        end = len(self.topics.records(topic))
        if expected_end is not None and expected_end != end:
            raise ConflictError(end)
        end = self.topics.take(topic, changes)
        if self.lose_answers:
            self.lose_answers -= 1
            raise AppendUncertainError("the answer was lost")
        return end

    async def close(self) -> None:
        pass

    async def _travel(self) -> None:
        self.calls += 1
        await asyncio.sleep(SILENCE_S if self.silent else LATENCY_S)
        if self.away or self.silent:
            raise PlatformError("away")
        self._era.observe_header(self.topics.header)


@cache
def nowhere() -> int:
    """Return the descriptor of a file that keeps nothing, the same each time."""
    return os.open(os.devnull, os.O_WRONLY)


def quiet() -> Decisions:
    """Return decisions that nobody reads."""
    return Decisions("test", descriptor=nowhere())
