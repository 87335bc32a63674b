"""Benchmark of prefix affinity against least-loaded routing, on a virtual clock.

``python -m bench.affinity`` sends sessions whose prompts share their leading blocks
through the router to replicas with a small prefix cache and delayed reports. It
prints the cache hit ratio and the time to the first chunk for each affinity weight.
"""

from __future__ import annotations

import asyncio
import random
import statistics
from collections import OrderedDict
from typing import NamedTuple

import defopt
from rich.console import Console
from rich.table import Table

from auburnproxy.routing import Router
from features.fakes.serving import FakeEngine, FakeSlotLimiters, FakeUpstreams
from features.machines.runner import run_virtual

HOSTS = 8
SLOTS = 8
SESSIONS = 120
BLOCKS = 16
CACHED_BLOCKS = 480
REPORT_LAG_S = 1.0
BLOCK_PREFILL_S = 0.02
DECODE_S = 1.0
LOADS = (0.5, 0.8)
WEIGHTS = (0.0, 0.25, 0.5, 1.0, 2.0)


class Outcome(NamedTuple):
    """Results of one run with one affinity weight."""

    hit_ratio: float
    """Fraction of the prompts' blocks that were found in a cache."""
    first_p50_s: float
    first_p95_s: float


class ReplicaFleet:
    """Replicas behind one router, each with a prefix cache."""

    def __init__(self, weight: float, *, load: float, seed: int) -> None:
        self.random = random.Random(seed)
        hosts = [f"e{i}" for i in range(HOSTS)]
        engines = {host: FakeEngine() for host in hosts}
        self.upstreams = FakeUpstreams(engines, slots=SLOTS)
        limiters = FakeSlotLimiters()
        self.router = Router(
            self.upstreams, self.upstreams, limiters, affinity_weight=weight
        )
        self.cache_by_host: dict[str, OrderedDict[str, None]] = {
            host: OrderedDict() for host in hosts
        }
        call_s = DECODE_S + BLOCKS * BLOCK_PREFILL_S
        self.rate = load * HOSTS * SLOTS / call_s
        self.first_s: list[float] = []
        self.hits = 0
        self.slot_released = asyncio.Event()

    async def run(self, length_s: float) -> Outcome:
        """Send calls at the given rate and return the outcome."""
        loop = asyncio.get_running_loop()
        reporting = loop.create_task(self.report())
        async with asyncio.TaskGroup() as group:
            while loop.time() < length_s:
                await asyncio.sleep(self.random.expovariate(self.rate))
                group.create_task(self.call(self.random.randrange(SESSIONS)))
        reporting.cancel()
        quantiles_s = statistics.quantiles(self.first_s, n=20)
        hit_ratio = self.hits / (BLOCKS * len(self.first_s))
        return Outcome(hit_ratio, statistics.median(self.first_s), quantiles_s[18])

    async def report(self) -> None:
        """Publish the cache contents with a delay."""
        while True:
            await asyncio.sleep(REPORT_LAG_S)
            self.upstreams.prefixes_by_host = {
                host: tuple(reversed(cache))
                for host, cache in self.cache_by_host.items()
            }

    async def call(self, session: int) -> None:
        """Send one call of a session."""
        loop = asyncio.get_running_loop()
        started = loop.time()
        prefixes = tuple(f"{session}.{block}" for block in range(BLOCKS))
        while (replica := self.router.acquire_replica("m", prefixes)) is None:
            self.slot_released.clear()
            await self.slot_released.wait()
        cache = self.cache_by_host[replica.head]
        hits = next((i for i, p in enumerate(prefixes) if p not in cache), BLOCKS)
        self.hits += hits
        await asyncio.sleep((BLOCKS - hits) * BLOCK_PREFILL_S)
        self.first_s.append(loop.time() - started)
        for prefix in prefixes:
            cache[prefix] = None
            cache.move_to_end(prefix)
        while len(cache) > CACHED_BLOCKS:
            cache.popitem(last=False)
        await asyncio.sleep(DECODE_S)
        self.router.release(replica.head)
        self.slot_released.set()


async def _run_fleet(weight: float, load: float, seed: int, length_s: float) -> Outcome:
    return await ReplicaFleet(weight, load=load, seed=seed).run(length_s)


def main(*, seed: int = 1, length_s: float = 120.0) -> None:
    """Measure each weight at each load.

    :param seed: seed of the arrivals
    :param length_s: length of each run in virtual seconds
    """
    table = Table("load", "affinity", "blocks cached", "p50 first, s", "p95 first, s")
    for load in LOADS:
        for weight in WEIGHTS:
            outcome = run_virtual(_run_fleet(weight, load, seed, length_s))
            times = (f"{outcome.first_p50_s:.3f}", f"{outcome.first_p95_s:.3f}")
            cells = (f"{load:g}", f"{weight:g}", f"{outcome.hit_ratio:.2f}", *times)
            table.add_row(*cells)
    Console().print(table)


if __name__ == "__main__":
    defopt.run(main)
