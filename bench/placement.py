"""Benchmark of the CPU time of planning, reconciling and readiness by engines.

``python -m bench.placement`` forms replicas over 16 hosts in failure domains of
several sizes and prints the CPU time per second of a daemon that does all the work.
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
FORMATION_S = 60.0
REPEATS = 200
PER_S = {"planner": 1, "custodian": 2, "downtime": 1, "readiness": 40}
"""Runs of each part per second in a daemon; readiness runs once per call."""
MICROSECONDS = 1_000_000


async def cost_us(work: Callable[[], Awaitable[object]], *, runs_per_s: int) -> float:
    """Return the mean CPU time of one run, in microseconds.

    :param work: function to measure; the hosts are polled between its runs
    :param runs_per_s: runs per second
    """
    used_s = 0.0
    for _ in range(REPEATS):
        before = time.process_time()
        await work()
        used_s += time.process_time() - before
        await asyncio.sleep(1 / runs_per_s)
    return used_s / REPEATS * MICROSECONDS


async def measure(engines: int) -> dict[str, float]:
    """Return the CPU time of one run of each part, in microseconds.

    :param engines: number of engines in the failure domain
    """
    platform = FakePlatform((MODEL,), loads_per_minute=100_000)
    for first in range(0, engines, FABRIC_HOSTS):
        count = min(FABRIC_HOSTS, engines - first)
        platform.add(DOMAIN, f"f{first}", count, load_s=1, start_s=1)
    daemon = FakeDaemon(platform, DOMAIN, {MODEL.name: 1}, taken_out=set())
    daemon.start()
    await asyncio.sleep(FORMATION_S)
    await daemon.pause()

    async def order() -> None:
        daemon.reconciler.step()

    async def sample() -> None:
        daemon.downtime.sample(1.0)

    async def choose() -> None:
        daemon.readiness.serving(MODEL.name)

    work_by_part = {
        "planner": daemon.planner.step,
        "custodian": order,
        "downtime": sample,
        "readiness": choose,
    }
    costs = {
        part: await cost_us(work, runs_per_s=PER_S[part])
        for part, work in work_by_part.items()
    }
    await daemon.stop()
    return costs


def main() -> None:
    """Measure each size and print a linear fit for each part."""
    costs = [run_virtual(measure(engines)) for engines in ENGINES]
    for part, runs_per_s in PER_S.items():
        percents = [cost[part] * runs_per_s / MICROSECONDS * 100 for cost in costs]
        title = f"{part}, {runs_per_s} a second"
        print_fit(
            title, "engines", ENGINES, percents, "% of a core", target=TARGET_ENGINES
        )


if __name__ == "__main__":
    defopt.run(main)
