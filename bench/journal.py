"""Benchmark of the journal's cost per record and the catch-up time of a new process.

``python -m bench.journal`` applies records of the ledger, then starts processes on
logs of several lengths, with and without a checkpoint.
"""

from __future__ import annotations

import asyncio
import hashlib
import time
from collections.abc import Sequence

import defopt
from loguru import logger

from auburnproxy.external import LogPage, LogRecord, LogService
from auburnproxy.journal import Journal, Record
from auburnproxy.journal import checkpoint as checkpoints
from auburnproxy.journal._codec import decode_record, encode_record
from auburnproxy.journal.record import Entry
from auburnproxy.journal.state_machine import StateMachine
from auburnproxy.ledger import Ledger
from auburnproxy.ledger.ledger import CLAIM, Claim

from .fit import print_fit

SIZES = (1_000, 2_000, 4_000, 8_000, 16_000)
AUTHOR = "fd1-a@0123456789abcdef"
TAIL_RECORDS = 500
ROUNDS = 3
TIMEOUT_S = 60.0
MS_PER_S = 1_000


class MemoryLog(LogService):
    """In-memory log without latency."""

    def __init__(self, payloads: Sequence[bytes], *, start: int = 1) -> None:
        self._payloads = payloads
        self._start = start

    async def append(self, payload: bytes) -> int:
        """Raise an error: no process writes in this benchmark."""
        raise NotImplementedError

    async def read(self, offset: int, *, limit: int, wait_s: float) -> LogPage:
        """Return a page at once, or an empty one after the wait."""
        end = len(self._payloads) + 1
        if offset >= end:
            await asyncio.sleep(wait_s)
        first = max(offset, self._start)
        records = tuple(
            LogRecord(at, self._payloads[at - 1])
            for at in range(first, min(first + limit, end))
        )
        return LogPage(records, self._start, end)


def payloads(count: int) -> list[bytes]:
    """Return encoded records of the ledger.

    :param count: number of records
    """
    return [encode_record(claim_record(number)) for number in range(count)]


def claim_record(number: int) -> Record:
    """Return a record of one claim, with ids that do not compress.

    :param number: differs for every record
    """
    key, digest, token, record_id = (
        hashlib.blake2b(f"{part}/{number}".encode(), digest_size=16).hexdigest()
        for part in ("key", "digest", "token", "id")
    )
    body = {"claims": [Claim(key, digest, token)]}
    return Record(record_id, AUTHOR, CLAIM, body, {}, number)


def apply_records(encoded: Sequence[bytes]) -> StateMachine:
    """Return the state after applying encoded records.

    :param encoded: the payloads from offset 1 on
    """
    state = StateMachine([Ledger()])
    for offset, payload in enumerate(encoded, start=1):
        state.apply_entry(Entry(offset, decode_record(payload)))
    return state


def time_apply_records(encoded: Sequence[bytes]) -> tuple[StateMachine, float]:
    """Return the state after applying records, and the shortest of a few times in ms.

    :param encoded: the payloads from offset 1 on
    """
    times = []
    for _ in range(ROUNDS):
        started_at = time.perf_counter()
        state = apply_records(encoded)
        times.append(time.perf_counter() - started_at)
    return state, min(times) * MS_PER_S


def with_checkpoint(encoded: list[bytes]) -> tuple[list[bytes], int]:
    """Return a log that ends in a checkpoint and some records, and its first offset.

    :param encoded: the payloads before the checkpoint
    """
    state = apply_records(encoded)
    parts = checkpoints.split(checkpoints.encode(state.snapshot()), state.offset)
    records = [checkpoints.part_record(part, "bench") for part in parts]
    tail = payloads(len(encoded) + TAIL_RECORDS)[len(encoded) :]
    return encoded + [encode_record(r) for r in records] + tail, len(encoded)


async def rejoin(log: LogService) -> float:
    """Return the seconds that a new process needs to become ready.

    :param log: the log that it reads
    """
    journal = Journal(log, [Ledger()], author="bench")
    started_at = time.perf_counter()
    task = asyncio.create_task(journal.run())
    async with asyncio.timeout(TIMEOUT_S):
        await journal.changed(0)
    took_s = time.perf_counter() - started_at
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    return took_s


def min_rejoin_ms(log: LogService) -> float:
    """Return the shortest of a few times to rejoin, in ms.

    :param log: the log that is read
    """
    return min(asyncio.run(rejoin(log)) for _ in range(ROUNDS)) * MS_PER_S


def main(*, sizes: tuple[int, ...] = SIZES) -> None:
    """Measure the journal.

    :param sizes: numbers of records
    """
    logger.remove()
    encoded_by_size = {size: payloads(size) for size in sizes}
    apply_ms, replay_ms, restore_ms, checkpoint_kb = [], [], [], []
    for encoded in encoded_by_size.values():
        state, took_ms = time_apply_records(encoded)
        apply_ms.append(took_ms)
        checkpoint_kb.append(len(checkpoints.encode(state.snapshot())) / 1000)
        replay_ms.append(min_rejoin_ms(MemoryLog(encoded)))
        log, start = with_checkpoint(encoded)
        restore_ms.append(min_rejoin_ms(MemoryLog(log, start=start)))
    length = sum(map(len, encoded_by_size[sizes[0]])) / sizes[0]
    print(f"a record of one claim is {length:.0f} bytes")
    print_fit("Fold of records", "records", sizes, apply_ms, "ms")
    print_fit("Rejoin by replay of the whole log", "records", sizes, replay_ms, "ms")
    title = f"Rejoin by a checkpoint and {TAIL_RECORDS} records"
    print_fit(title, "records before it", sizes, restore_ms, "ms")
    print_fit("Size of a checkpoint", "records before it", sizes, checkpoint_kb, "kB")


if __name__ == "__main__":
    defopt.run(main)
