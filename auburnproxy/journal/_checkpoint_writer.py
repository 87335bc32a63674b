"""Schedule by which processes write checkpoints to the log."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from loguru import logger

from ..errors import AppendUncertainError, PlatformError
from . import checkpoint as checkpoints
from ._codec import encode_record
from ._log_access import LogAccess
from .state_machine import StateMachine

CHECK_INTERVAL_S = 5.0
RANK_DELAY_S = 5.0
"""Delay between ranks when a checkpoint is urgent."""
JITTER_FRACTION = 0.25
"""Maximum random delay as a fraction of the period."""
APPEND_ATTEMPTS = 3

log = logger.bind(part="journal")


class CheckpointWriter:
    """Writes a checkpoint if no process of a lower rank has written one.

    Rank 0 writes one each period; rank ``n`` waits ``n`` further periods without
    a checkpoint, so that one is written even if all lower ranks have failed.

    :param access: client of the log
    :param state_machine: state machine of this process
    :param author: id of this process
    :param rank: position of this process among its peers, from 0
    :param period_s: seconds between checkpoints, well below the log's retention
    """

    def __init__(
        self,
        access: LogAccess,
        state_machine: StateMachine,
        *,
        author: str,
        rank: Callable[[], int],
        period_s: float,
    ) -> None:
        self._access = access
        self._state_machine = state_machine
        self._author = author
        self._rank = rank
        self._period_s = period_s
        self._random = random.Random(author)
        self._newest_offset = 0
        self._newest_since: float | None = None
        self._requested_since: float | None = None

    def record_checkpoint(self, offset: int) -> None:
        """Record the offset of the first part of a complete checkpoint."""
        if offset > self._newest_offset:
            self._newest_offset = offset
            self._newest_since = asyncio.get_running_loop().time()
            self._requested_since = None

    def record_log_bounds(self, start: int, end: int) -> None:
        """Request a checkpoint once the newest one is in the older half of the log."""
        is_old = start > 1 and self._newest_offset < (start + end) // 2
        if is_old and self._requested_since is None:
            self._requested_since = asyncio.get_running_loop().time()

    async def run(self, is_caught_up: Callable[[], bool]) -> None:
        """Write checkpoints until cancelled.

        :param is_caught_up: returns whether the state is at the end of the log
        """
        loop = asyncio.get_running_loop()
        self._newest_since = self._newest_since or loop.time()
        jitter_s = self._random.random() * JITTER_FRACTION * self._period_s
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            if is_caught_up() and self._due(loop.time(), jitter_s):
                await self._write()
                jitter_s = self._random.random() * JITTER_FRACTION * self._period_s

    def _due(self, now: float, jitter_s: float) -> bool:
        rank = self._rank()
        if self._requested_since is not None and self._state_machine.offset:
            return now >= self._requested_since + rank * RANK_DELAY_S
        assert self._newest_since is not None
        due_at = self._newest_since + (1 + rank) * self._period_s + jitter_s
        return bool(self._state_machine.offset) and now >= due_at

    async def _write(self) -> None:
        offset = self._state_machine.offset
        data = checkpoints.encode(self._state_machine.snapshot())
        self._requested_since = None
        self._newest_since = asyncio.get_running_loop().time()
        try:
            for part in checkpoints.split(data, offset):
                record = checkpoints.part_record(part, self._author)
                await self._append(encode_record(record))
        except PlatformError as error:
            log.warning("Failed to write all parts of a checkpoint: {}", error)
            return
        log.info("Wrote a checkpoint of {} bytes at offset {}.", len(data), offset)

    async def _append(self, payload: bytes) -> None:
        for _ in range(APPEND_ATTEMPTS - 1):
            try:
                await self._access.append(payload)
            except AppendUncertainError:
                continue
            return
        await self._access.append(payload)
