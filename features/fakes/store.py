"""In-memory store of keyed records with fault injection per daemon."""

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
from auburnproxy.telemetry.decisions import DecisionLog

LATENCY_S = 0.004
RESPONSE_TIMEOUT_S = 5.5
"""Seconds after which a call to an unresponsive store fails."""


class FakeTopics:
    """Records of all topics, shared by the fake stores of a fleet.

    The oldest records may expire; the newest one of each key stays available.
    :param era: initial era in the responses, 0 to send none
    """

    def __init__(self, *, era: int = 0) -> None:
        self.era = era
        self.records_by_topic: dict[str, list[Change]] = {}
        self.first_retained_by_topic: dict[str, int] = {}
        self.appended = asyncio.Event()
        self._topic_by_append: list[str] = []
        self._token_count = 0

    def unique_token(self) -> str:
        """Return a different text on each call."""
        self._token_count += 1
        return f"t{self._token_count}"

    @property
    def era_header(self) -> str | None:
        """Return the value of the era header in responses."""
        return str(self.era) if self.era else None

    def restore_older_copy(self, lost: int) -> None:
        """Lose the records that were appended last, and start a new era."""
        for topic in self._topic_by_append[len(self._topic_by_append) - lost :]:
            self.records(topic).pop()
        del self._topic_by_append[len(self._topic_by_append) - lost :]
        self.era += 1
        self._notify_readers()

    def records(self, topic: str) -> list[Change]:
        return self.records_by_topic.setdefault(topic, [])

    def append(self, topic: str, changes: Sequence[Change]) -> int:
        records = self.records(topic)
        for change in changes:
            records.append(change._replace(offset=len(records)))
            self._topic_by_append.append(topic)
        self._notify_readers()
        return len(records)

    def _notify_readers(self) -> None:
        appended, self.appended = self.appended, asyncio.Event()
        appended.set()

    def expire(self, topic: str) -> None:
        self.first_retained_by_topic[topic] = len(self.records(topic))

    def newest(self, topic: str) -> NewestRecords:
        by_key: dict[str, Change] = {}
        for change in self.records(topic):
            by_key[change.key] = change
        records = tuple(change for change in by_key.values() if change.value)
        return NewestRecords(records, len(self.records(topic)))


class FakeStore(Store):
    """Connection of one daemon to the store."""

    def __init__(self, topics: FakeTopics) -> None:
        self.topics = topics
        self.rejecting = False
        self.unresponsive = False
        self.lose_answers = 0
        self.calls = 0
        self._era = EraTracker()

    @property
    def era(self) -> EraTracker:
        return self._era

    async def newest(self, topic: str) -> NewestRecords:
        await self._round_trip()
        return self.topics.newest(topic)

    async def read(self, topic: str, offset: int, *, wait_s: float) -> Page:
        await self._round_trip()
        first, era = self.topics.first_retained_by_topic.get(topic, 0), self.topics.era
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
        if self.rejecting or self.topics.era != era:
            raise PlatformError("store rejected the call")
        records = tuple(self.topics.records(topic)[offset:])
        return Page(records, offset + len(records))

    async def append(
        self, topic: str, changes: Sequence[Change], *, expected_end: int | None = None
    ) -> int:
        await self._round_trip()
        end = len(self.topics.records(topic))
        if expected_end is not None and expected_end != end:
            raise ConflictError(end)
        end = self.topics.append(topic, changes)
        if self.lose_answers:
            self.lose_answers -= 1
            raise AppendUncertainError("response lost after the append")
        return end

    async def close(self) -> None:
        pass

    async def _round_trip(self) -> None:
        self.calls += 1
        await asyncio.sleep(RESPONSE_TIMEOUT_S if self.unresponsive else LATENCY_S)
        if self.rejecting or self.unresponsive:
            raise PlatformError("store rejected the call")
        self._era.observe_header(self.topics.era_header)


@cache
def devnull() -> int:
    """Return a shared file descriptor of the null device."""
    return os.open(os.devnull, os.O_WRONLY)


def null_decisions() -> DecisionLog:
    """Return a decision log whose lines are discarded."""
    return DecisionLog("test", descriptor=devnull())
