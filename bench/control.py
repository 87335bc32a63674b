"""Benchmark of an idle daemon's CPU time and memory by the size of its domain.

``python -m bench.control`` starts one failure domain of each size with one daemon
and prints its CPU time, its memory and a linear fit of each.
"""

from __future__ import annotations

import asyncio
import tempfile
from pathlib import Path
from typing import NamedTuple

import defopt

from standins.deployment import Shape, write_deployment
from standins.processes import Processes, processes, until_listens

from .fit import print_fit
from .process import cpu_s, memory_mb

ENGINES = (4, 8, 16, 32, 64)
TARGET_ENGINES = 89
SETTLE_S = 4.0
MEASURE_S = 8.0
START_TIMEOUT_S = 15.0


class Usage(NamedTuple):
    """Resources used by one daemon."""

    core_percent: float
    memory_mb: float


async def measure(engines: int, running: Processes, folder: Path) -> Usage:
    """Return the usage of an idle daemon with a number of engines.

    :param engines: number of engines in its failure domain
    :param running: starts and stops the processes
    :param folder: folder of the settings files
    """
    shape = Shape((), (), failure_domains=1, daemons=1, engines=engines)
    deployment = write_deployment(shape, folder)
    domain = deployment.domains[0]
    starts = (
        ("platform", "standins.platform", "platform", deployment.log),
        ("upstreams", "standins.upstreams", domain.name, domain.control),
        (
            "daemon",
            "auburnproxy.daemon",
            domain.daemons[0].name,
            domain.daemons[0].callers,
        ),
    )
    for name, module, settings, address in starts:
        path = str(deployment.settings_file(settings))
        await running.start(name, module, "--settings", path)
        await until_listens(address, timeout_s=START_TIMEOUT_S)
    pid = running.by_name["daemon"].pid
    await asyncio.sleep(SETTLE_S)
    before = cpu_s(pid)
    await asyncio.sleep(MEASURE_S)
    return Usage((cpu_s(pid) - before) / MEASURE_S * 100, memory_mb(pid))


async def measure_all(sizes: tuple[int, ...]) -> list[Usage]:
    """Return the usage at each size.

    :param sizes: numbers of engines
    """
    usages = []
    for engines in sizes:
        with tempfile.TemporaryDirectory() as name:
            folder = Path(name)
            async with processes(folder) as running:
                usages.append(await measure(engines, running, folder))
    return usages


def main(*, sizes: tuple[int, ...] = ENGINES, target: int = TARGET_ENGINES) -> None:
    """Measure an idle daemon at several sizes.

    :param sizes: numbers of engines in its failure domain
    :param target: number of engines to extrapolate the usage to
    """
    usages = asyncio.run(measure_all(sizes))
    core = [usage.core_percent for usage in usages]
    memory = [usage.memory_mb for usage in usages]
    print_fit("Idle daemon, core", "engines", sizes, core, "% of a core", target=target)
    print_fit("Idle daemon, memory", "engines", sizes, memory, "MB", target=target)


if __name__ == "__main__":
    defopt.run(main)
