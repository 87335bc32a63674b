"""Processor time of planning, ordering and readiness, against the engines.

``python -m bench.placement`` forms replicas over 16 hosts in failure domains of
several sizes and prints what one daemon that holds them all spends a second.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable

import defopt

from auburnproxy.external import ModelSpec
from features.fakes.replicas import FakeDaemon, FakePlatform
from features.machines.runner import run_virtual

from .fit import print_fit

DOMAIN = "d1"
FABRIC_HOSTS = 40
MODEL = ModelSpec("large", "1", 16)
ENGINES = (40, 80, 120, 160)
TARGET_ENGINES = 89
FORMED_S = 60.0
REPEATS = 200
PER_S = {"planner": 1, "custodian": 2, "downtime": 1, "readiness": 40}
"""How often a daemon does each in a second; readiness once for each call."""
MICROSECONDS = 1_000_000


async def cost_us(work: Callable[[], Awaitable[object]], *, times: int) -> float:
    """Return the mean processor time of one run of some work, in microseconds.

    :param work: what is measured, while the hosts are polled in between
    :param times: runs a second
    """
    spent_s = 0.0
    for _ in range(REPEATS):
        before = time.process_time()
        await work()
        spent_s += time.process_time() - before
        await asyncio.sleep(1 / times)
    return spent_s / REPEATS * MICROSECONDS


async def measure(engines: int) -> dict[str, float]:
    """Return the processor time of each part of the slice, in microseconds.

    :param engines: engines of the failure domain
    """
    platform = FakePlatform((MODEL,), loads_per_minute=100_000)
    for first in range(0, engines, FABRIC_HOSTS):
        count = min(FABRIC_HOSTS, engines - first)
        platform.add(DOMAIN, f"f{first}", count, load_s=1, start_s=1)
    daemon = FakeDaemon(platform, DOMAIN, {MODEL.name: 1}, taken_out=set())
    daemon.start()
    await asyncio.sleep(FORMED_S)
    await daemon.pause()

    async def order() -> None:
        daemon.reconciler.step()

    async def sample() -> None:
        daemon.downtime.sample(1.0)

    async def choose() -> None:
        daemon.readiness.serving(MODEL.name)

    works = {
        "planner": daemon.planner.step,
        "custodian": order,
        "downtime": sample,
        "readiness": choose,
    }
    costs = {
        part: await cost_us(work, times=PER_S[part]) for part, work in works.items()
    }
    await daemon.stop()
    return costs


def main() -> None:
    """Measure each size and print the lines through them."""
    costs = [run_virtual(measure(engines)) for engines in ENGINES]
    for part, times in PER_S.items():
        percents = [cost[part] * times / MICROSECONDS * 100 for cost in costs]
        title = f"{part}, {times} a second"
        print_fit(
            title, "engines", ENGINES, percents, "% of a core", target=TARGET_ENGINES
        )


if __name__ == "__main__":
    defopt.run(main)
