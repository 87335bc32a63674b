"""The journal's cost for each record, and the time that a new process needs.

``python -m bench.journal`` folds records of the ledger, then starts processes on
logs of several lengths, with and without a checkpoint in them.
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
TAIL = 500
ROUNDS = 3
TIMEOUT_S = 60.0
MS_PER_S = 1_000


class MemoryLog(LogService):
    """A log that answers at once."""

    def __init__(self, payloads: Sequence[bytes], *, start: int = 1) -> None:
        self._payloads = payloads
        self._start = start

    async def append(self, payload: bytes) -> int:
        """Refuse: no process writes here."""
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

    :param count: their number
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


def fold(encoded: Sequence[bytes]) -> StateMachine:
    """Return the fold of encoded records.

    :param encoded: the payloads from offset 1 on
    """
    folded = StateMachine([Ledger()])
    for offset, payload in enumerate(encoded, start=1):
        folded.apply_entry(Entry(offset, decode_record(payload)))
    return folded


def timed_fold(encoded: Sequence[bytes]) -> tuple[StateMachine, float]:
    """Return the fold of encoded records, and the least of a few times in ms.

    :param encoded: the payloads from offset 1 on
    """
    times = []
    for _ in range(ROUNDS):
        began = time.perf_counter()
        folded = fold(encoded)
        times.append(time.perf_counter() - began)
    return folded, min(times) * MS_PER_S


def with_checkpoint(encoded: list[bytes]) -> tuple[list[bytes], int]:
    """Return a log that ends in a checkpoint and some records, and its first offset.

    :param encoded: the payloads before the checkpoint
    """
    folded = fold(encoded)
    parts = checkpoints.split(checkpoints.encode(folded.snapshot()), folded.offset)
    records = [checkpoints.part_record(part, "bench") for part in parts]
    tail = payloads(len(encoded) + TAIL)[len(encoded) :]
    return encoded + [encode_record(r) for r in records] + tail, len(encoded)


async def rejoin(log: LogService) -> float:
    """Return the seconds that a new process needs to become ready.

    :param log: the log that it reads
    """
    journal = Journal(log, [Ledger()], author="bench")
    began = time.perf_counter()
    task = asyncio.create_task(journal.run())
    async with asyncio.timeout(TIMEOUT_S):
        await journal.changed(0)
    took_s = time.perf_counter() - began
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    return took_s


def fastest(log: LogService) -> float:
    """Return the least of a few times to rejoin, in ms.

    :param log: the log that is read
    """
    return min(asyncio.run(rejoin(log)) for _ in range(ROUNDS)) * MS_PER_S


def main(*, sizes: tuple[int, ...] = SIZES) -> None:
    """Measure the journal.

    :param sizes: numbers of records
    """
    logger.remove()
    encoded_by_size = {size: payloads(size) for size in sizes}
    folds, replays, loads, volumes = [], [], [], []
    for encoded in encoded_by_size.values():
        folded, took_ms = timed_fold(encoded)
        folds.append(took_ms)
        volumes.append(len(checkpoints.encode(folded.snapshot())) / 1000)
        replays.append(fastest(MemoryLog(encoded)))
        log, start = with_checkpoint(encoded)
        loads.append(fastest(MemoryLog(log, start=start)))
    length = sum(map(len, encoded_by_size[sizes[0]])) / sizes[0]
    print(f"a record of one claim is {length:.0f} bytes")
    print_fit("Fold of records", "records", sizes, folds, "ms")
    print_fit("Rejoin by replay of the whole log", "records", sizes, replays, "ms")
    title = f"Rejoin by a checkpoint and {TAIL} records"
    print_fit(title, "records before it", sizes, loads, "ms")
    print_fit("Size of a checkpoint", "records before it", sizes, volumes, "kB")


if __name__ == "__main__":
    defopt.run(main)
