"""Benchmark of the time until a change is in force in every process.

``python -m bench.force`` runs several faults on a virtual clock: the seconds come
from timers and the stated latency, not from this machine.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import NamedTuple

import async_solipsism
import defopt
from loguru import logger
from rich.console import Console
from rich.table import Table

from features.fakes.cluster import Cluster
from features.machines.configuration import lists_of

LATENCIES_S = (0.005, 0.02, 0.1, 0.4)
PROCESSES = 6
APPLY_WAIT_S = 30.0
OUTAGE_S = 20.6
LIMIT_S = 120.0


class Case(NamedTuple):
    """A fault, and the processes that the change has to reach."""

    name: str
    inject_fault: Callable[[Cluster], None]
    reach: range
    """Indexes of the processes."""


def no_fault(site: Cluster) -> None:
    """Inject no fault."""


def lose_answers(site: Cluster) -> None:
    """Lose the responses to the next two appends."""
    site.processes[0].port.lost_responses = 2


def cut_domain_from_log(site: Cluster) -> None:
    """Partition one failure domain from the log, not from its peers."""
    for index in (2, 5):
        site.cut_log(index)


def cut_domain_from_all(site: Cluster) -> None:
    """Partition one failure domain from everything for `OUTAGE_S` seconds."""
    cut_domain_from_log(site)
    for index in (2, 5):
        for other in (0, 1, 3, 4):
            site.cut_link(index, other)
    site.loop.call_later(OUTAGE_S, site.heal)


def cut_log_from_others(site: Cluster) -> None:
    """Partition all others from the log and the operator's daemon for `OUTAGE_S`."""
    for index in range(1, PROCESSES):
        site.cut_log(index)
        site.cut_link(0, index)
    site.loop.call_later(OUTAGE_S, site.heal)


CASES = (
    Case("nothing has failed", no_fault, range(PROCESSES)),
    Case("two answers of the log are lost", lose_answers, range(PROCESSES)),
    Case("a domain is cut from the log", cut_domain_from_log, range(PROCESSES)),
    Case("a domain is cut from all for 20.6 s", cut_domain_from_all, range(PROCESSES)),
    Case(
        "the log is away for 20.6 s for all but one",
        cut_log_from_others,
        range(PROCESSES),
    ),
)


class Times(NamedTuple):
    """Virtual seconds since the operator's request."""

    in_force_s: float
    """Time until every process has the change in force."""
    answered_s: float
    """Time until the operator is told that it is accepted or pending."""


async def until_in_force(site: Cluster, indexes: range) -> float:
    """Return the time at which the last process has the change in force.

    :param site: the processes
    :param indexes: those that it has to reach
    """
    for index in indexes:
        await site.processes[index].journal.changed(0)
    return site.loop.time()


def measure(case: Case, latency_s: float) -> Times:
    """Return how long one change takes.

    :param case: the fault
    :param latency_s: one-way latency to the log in seconds
    """
    loop = async_solipsism.EventLoop()
    site = Cluster(loop, processes=PROCESSES)

    async def run_case() -> Times:
        for process in site.processes:
            process.port.latency_s = latency_s
        await asyncio.sleep(3)
        case.inject_fault(site)
        await asyncio.sleep(1)
        started_at = loop.time()
        changes = site.processes[0].changes
        change = changes.apply(
            lists_of(1), change_id="bench", version=None, wait_s=APPLY_WAIT_S
        )
        task = asyncio.create_task(change)
        async with asyncio.timeout(LIMIT_S):
            in_force_at = await until_in_force(site, case.reach)
        await task
        times = Times(in_force_at - started_at, loop.time() - started_at)
        await site.close()
        return times

    try:
        return loop.run_until_complete(run_case())
    finally:
        loop.close()


def main() -> None:
    """Print the times of every case at every latency."""
    logger.remove()
    columns = [f"{latency_s * 1000:g} ms" for latency_s in LATENCIES_S]
    table = Table("fault", *columns, title="In force / answered after, s")
    for case in CASES:
        times = [measure(case, latency_s) for latency_s in LATENCIES_S]
        table.add_row(
            case.name, *(f"{t.in_force_s:.2f} / {t.answered_s:.2f}" for t in times)
        )
    Console(width=88).print(table)


if __name__ == "__main__":
    defopt.run(main)
