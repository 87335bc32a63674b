"""Connection to the in-memory store whose answers are held up."""

from __future__ import annotations

import asyncio

from auburnproxy.store import NewestRecords, Page
from features.fakes.store import FakeStore, FakeTopics


class HeldStore(FakeStore):
    """Store whose answers are as of the moment of the call, and arrive when released.

    :param topics: records of all topics
    """

    def __init__(self, topics: FakeTopics) -> None:
        super().__init__(topics)
        self.holding = False
        """Whether answers to later calls are held up."""
        self.held: list[asyncio.Event] = []
        """Answers that have not arrived, in the order of their calls."""

    async def newest(self, topic: str) -> NewestRecords:
        records = await super().newest(topic)
        await self._wait()
        return records

    async def read(self, topic: str, offset: int, *, wait_s: float) -> Page:
        page = await super().read(topic, offset, wait_s=wait_s)
        await self._wait()
        return page

    def release(self, number: int = 0) -> None:
        """Let a held answer arrive.

        :param number: its place among those that are held
        """
        self.held[number].set()

    async def _wait(self) -> None:
        if not self.holding:
            return
        arrived = asyncio.Event()
        self.held.append(arrived)
        await arrived.wait()
        self.held.remove(arrived)
