"""When a checkpoint is written to the log, and by whom."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from loguru import logger

from ..errors import AppendUncertainError, PlatformError
from . import checkpoint as checkpoints
from ._access import LogAccess
from ._codec import encode_record
from .fold import Fold

TICK_S = 5.0
STEP_S = 5.0
"""Between ranks, where a checkpoint is wanted at once."""
JITTER = 0.25
"""Greatest random delay, as a fraction of the period."""
TRIES = 3

log = logger.bind(part="journal")


class Writer:
    """Writes a checkpoint when those that come first stay silent.

    Rank 0 writes one each period; rank ``n`` after ``n`` further periods of
    silence, so that any process writes in the end.

    :param access: the log
    :param fold: the state
    :param author: id of this process
    :param rank: order of this process among its peers, from 0
    :param period_s: seconds between checkpoints, well within the log's retention
    """

    def __init__(
        self,
        access: LogAccess,
        fold: Fold,
        *,
        author: str,
        rank: Callable[[], int],
        period_s: float,
    ) -> None:
        self._access = access
        self._fold = fold
        self._author = author
        self._rank = rank
        self._period_s = period_s
        self._random = random.Random(author)
        self._seen_at = 0
        self._seen_since: float | None = None
        self._wanted_since: float | None = None

    def saw_checkpoint(self, offset: int) -> None:
        """Note the place of the first part of a whole checkpoint in the log."""
        if offset > self._seen_at:
            self._seen_at = offset
            self._seen_since = asyncio.get_running_loop().time()
            self._wanted_since = None

    def saw_bounds(self, start: int, end: int) -> None:
        """Want a checkpoint once the newest one is in the older half of the log."""
        old = start > 1 and self._seen_at < (start + end) // 2
        if old and self._wanted_since is None:
            self._wanted_since = asyncio.get_running_loop().time()

    async def run(self, current: Callable[[], bool]) -> None:
        """Write checkpoints until cancelled.

        :param current: whether the state follows the log at this moment
        """
        loop = asyncio.get_running_loop()
        self._seen_since = self._seen_since or loop.time()
        jitter_s = self._random.random() * JITTER * self._period_s
        while True:
            await asyncio.sleep(TICK_S)
            if current() and self._due(loop.time(), jitter_s):
                await self._write()
                jitter_s = self._random.random() * JITTER * self._period_s

    def _due(self, now: float, jitter_s: float) -> bool:
        rank = self._rank()
        if self._wanted_since is not None and self._fold.offset:
            return now >= self._wanted_since + rank * STEP_S
        assert self._seen_since is not None
        due = self._seen_since + (1 + rank) * self._period_s + jitter_s
        return bool(self._fold.offset) and now >= due

    async def _write(self) -> None:
        offset = self._fold.offset
        data = checkpoints.encode(self._fold.snapshot())
        self._wanted_since = None
        self._seen_since = asyncio.get_running_loop().time()
        try:
            for part in checkpoints.split(data, offset):
                record = checkpoints.part_record(part, self._author)
                await self._append(encode_record(record))
        except PlatformError as error:
            log.warning("A checkpoint was not written whole: {}", error)
            return
        log.info("A checkpoint of {} bytes was written at {}.", len(data), offset)

    async def _append(self, payload: bytes) -> None:
        for _ in range(TRIES - 1):
            try:
                await self._access.append(payload)
            except AppendUncertainError:
                continue
            return
        await self._access.append(payload)
