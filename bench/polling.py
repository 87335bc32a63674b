"""Benchmark of upstream polling: its cost, and the time to detect a failed engine.

``python -m bench.polling`` starts one failure domain of each size, and prints the
usage of an idle daemon: CPU time, bytes that it reads and writes, and the time from
the failure of an engine until every daemon has stopped using it.
"""

from __future__ import annotations

import asyncio
import re
import tempfile
from collections.abc import Sequence
from datetime import datetime
from operator import mul
from pathlib import Path
from statistics import mean
from typing import NamedTuple

import defopt
import msgspec
from aiohttp import ClientSession
from rich.console import Console
from rich.table import Table

from auburnproxy.upstreams.report_sharing import (
    MAX_SHARE_INTERVAL_S,
    SHARE_INTERVAL_PER_PEER_S,
)
from auburnproxy.upstreams.watcher import REPORT_INTERVAL_S
from standins.deployment import Deployment, Shape, write_deployment
from standins.processes import Processes, processes, until_listens
from standins.upstreams import FaultKind, UpstreamFault

from .control import START_TIMEOUT_S
from .fit import fit_terms
from .process import cpu_s, memory_mb

DAEMONS = (1, 2, 4, 8)
ENGINES = (16, 32, 64)
TARGET_DAEMONS, TARGET_ENGINES = 22, 89
SETTLE_S = 6.0
MEASURE_S = 8.0
KILLED_ENGINES = 8
KILL_INTERVAL_S = 1.13
"""Seconds between two failures; not a multiple of the poll interval."""
DETECTION_WAIT_S = 4.0
KB = 1000
_UNREACHABLE_LINE = re.compile(r"^(\S+) .*Host (\S+) does not answer")


class Usage(NamedTuple):
    """Resources used by a daemon, as the mean of all daemons."""

    core_percent: float
    read_kb_s: float
    written_kb_s: float
    memory_mb: float


class Row(NamedTuple):
    """Measurements at one size."""

    daemons: int
    engines: int
    usage: Usage
    detection_s: Sequence[float]
    """Seconds until the last daemon detected each failure."""


def io_bytes(pid: int) -> tuple[int, int]:
    """Return the bytes that a process has read and written, sockets included.

    :param pid: process id
    """
    lines = Path(f"/proc/{pid}/io").read_text().splitlines()
    value_by_name = dict(line.split(": ") for line in lines)
    return int(value_by_name["rchar"]), int(value_by_name["wchar"])


async def start(deployment: Deployment, running: Processes) -> list[int]:
    """Start a failure domain and return the ids of its daemons' processes."""
    domain = deployment.domains[0]
    starts = [
        ("platform", "standins.platform", deployment.log),
        (domain.name, "standins.upstreams", domain.control),
        *((d.name, "auburnproxy.daemon", d.callers) for d in domain.daemons),
    ]
    for name, module, address in starts:
        path = str(deployment.settings_file(name))
        await running.start(name, module, "--settings", path)
        await until_listens(address, timeout_s=START_TIMEOUT_S)
    return [running.by_name[daemon.name].pid for daemon in domain.daemons]


async def measure_usage(pids: Sequence[int]) -> Usage:
    """Return the mean usage of processes."""
    before = [(cpu_s(pid), *io_bytes(pid)) for pid in pids]
    await asyncio.sleep(MEASURE_S)
    after = [(cpu_s(pid), *io_bytes(pid)) for pid in pids]
    cpu, read, written = (
        mean(b[index] - a[index] for a, b in zip(before, after, strict=True))
        / MEASURE_S
        for index in range(3)
    )
    memory = mean(memory_mb(pid) for pid in pids)
    return Usage(cpu * 100, read / KB, written / KB, memory)


async def kill(deployment: Deployment, hosts: Sequence[str]) -> dict[str, float]:
    """Kill engines one after the other and return the time of each kill."""
    killed_at_by_host = {}
    control = deployment.domains[0].control
    async with ClientSession() as session:
        for host in hosts:
            killed_at_by_host[host] = datetime.now().timestamp()
            fault = msgspec.json.encode(UpstreamFault(FaultKind.DEAD, (host,)))
            async with session.post(f"http://{control}/fault", data=fault) as answer:
                answer.raise_for_status()
            await asyncio.sleep(KILL_INTERVAL_S)
    await asyncio.sleep(DETECTION_WAIT_S)
    return killed_at_by_host


def unreachable_at(log: Path) -> dict[str, float]:
    """Return when a daemon's log first says that each host does not answer."""
    times: dict[str, float] = {}
    today = datetime.now().date().isoformat()
    for line in log.read_text().splitlines():
        if match := _UNREACHABLE_LINE.match(line):
            at = datetime.fromisoformat(f"{today}T{match[1]}")
            times.setdefault(match[2], at.timestamp())
    return times


async def measure(daemons: int, engines: int) -> Row:
    """Return the measurements at one size."""
    shape = Shape((), (), failure_domains=1, daemons=daemons, engines=engines)
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        deployment = write_deployment(shape, folder)
        async with processes(folder) as running:
            pids = await start(deployment, running)
            await asyncio.sleep(SETTLE_S)
            usage = await measure_usage(pids)
            hosts = [f"fd1-e{number:02}" for number in range(1, KILLED_ENGINES + 1)]
            killed_at_by_host = await kill(deployment, hosts)
            logs = [unreachable_at(running.log(d.name)) for d in deployment.daemons]
    detection_s = [
        max(log[h] for log in logs) - at for h, at in killed_at_by_host.items()
    ]
    return Row(daemons, engines, usage, detection_s)


def print_rows(rows: Sequence[Row]) -> None:
    """Print the rows as a table."""
    table = Table(title="An idle daemon, by the size of its failure domain")
    headers = ("daemons", "engines", "% of a core", "kB/s read", "kB/s written", "MB")
    for header in (*headers, "seen s, mean", "seen s, most"):
        table.add_column(header, justify="right")
    for row in rows:
        usage = [f"{value:.2f}" for value in row.usage]
        seen = [f"{mean(row.detection_s):.2f}", f"{max(row.detection_s):.2f}"]
        table.add_row(str(row.daemons), str(row.engines), *usage, *seen)
    Console(width=100).print(table)


def terms(daemons: int, engines: int) -> tuple[float, ...]:
    """Return the terms of the cost: a constant, polled and all hosts, frames."""
    peers = daemons - 1
    interval_s = min(
        MAX_SHARE_INTERVAL_S, max(REPORT_INTERVAL_S, SHARE_INTERVAL_PER_PEER_S * peers)
    )
    return 1.0, engines / daemons, engines, peers / interval_s


def extrapolate(rows: Sequence[Row]) -> None:
    """Print the cost at the target size, extrapolated by a fit of the rows.

    :param rows: rows of at least five sizes
    """
    sizes = [terms(row.daemons, row.engines) for row in rows]
    target = terms(TARGET_DAEMONS, TARGET_ENGINES)
    print(f"Worked out for {TARGET_DAEMONS} daemons and {TARGET_ENGINES} engines:")
    for index, unit in enumerate(("% of a core", "kB/s read", "kB/s written")):
        values = [row.usage[index] for row in rows]
        factors = fit_terms(sizes, values)
        fitted = [sum(map(mul, factors, size)) for size in sizes]
        residual = max(abs(v - f) for v, f in zip(values, fitted, strict=True))
        total = sum(map(mul, factors, target))
        shown = ", ".join(f"{factor:.4g}" for factor in factors)
        print(f"  {total:.2f} {unit}; factors {shown}; residual {residual:.2f}")


def main(
    *, daemons: tuple[int, ...] = DAEMONS, engines: tuple[int, ...] = ENGINES
) -> None:
    """Measure failure domains of several sizes.

    :param daemons: numbers of daemons
    :param engines: numbers of engines, each with each number of daemons
    """
    rows = [asyncio.run(measure(d, e)) for d in daemons for e in engines]
    print_rows(rows)
    if len(rows) > len(terms(1, 1)):
        extrapolate(rows)


if __name__ == "__main__":
    defopt.run(main)
