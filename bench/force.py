"""How long a change takes until it is in force in every process.

``python -m bench.force`` plays several faults on a virtual clock: the seconds are
those of timers and of the stated latency, not of this machine.
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
WAIT_S = 30.0
OUTAGE_S = 20.6
LIMIT_S = 120.0


class Case(NamedTuple):
    """One fault, and the processes that the change has to reach."""

    name: str
    break_it: Callable[[Cluster], None]
    reach: range
    """Places of the processes."""


def nothing(site: Cluster) -> None:
    """Break nothing."""


def lose_answers(site: Cluster) -> None:
    """Lose the answers of the next two appends."""
    site.processes[0].port.lost_responses = 2


def cut_domain(site: Cluster) -> None:
    """Cut one failure domain from the log, not from its peers."""
    for place in (2, 5):
        site.cut_log(place)


def cut_all(site: Cluster) -> None:
    """Cut one failure domain from everything; it is connected again later."""
    cut_domain(site)
    for place in (2, 5):
        for other in (0, 1, 3, 4):
            site.cut_link(place, other)
    site.loop.call_later(OUTAGE_S, site.heal)


def away_for_all(site: Cluster) -> None:
    """Cut everyone but the operator's daemon from the log, and from it, for a while."""
    for place in range(1, PROCESSES):
        site.cut_log(place)
        site.cut_link(0, place)
    site.loop.call_later(OUTAGE_S, site.heal)


CASES = (
    Case("nothing has failed", nothing, range(PROCESSES)),
    Case("two answers of the log are lost", lose_answers, range(PROCESSES)),
    Case("a domain is cut from the log", cut_domain, range(PROCESSES)),
    Case("a domain is cut from all for 20.6 s", cut_all, range(PROCESSES)),
    Case("the log is away for 20.6 s for all but one", away_for_all, range(PROCESSES)),
)


class Times(NamedTuple):
    """Virtual seconds from the operator's call."""

    in_force_s: float
    """Until every process has the change in force."""
    answered_s: float
    """Until the operator is told that it is accepted, or pending."""


async def until_in_force(site: Cluster, places: range) -> float:
    """Return the time at which the last process has the change in force.

    :param site: the processes
    :param places: those that it has to reach
    """
    for place in places:
        await site.processes[place].journal.changed(0)
    return site.loop.time()


def measure(case: Case, latency_s: float) -> Times:
    """Return how long one change takes.

    :param case: what fails
    :param latency_s: seconds of one way to the log
    """
    loop = async_solipsism.EventLoop()
    site = Cluster(loop, processes=PROCESSES)

    async def play() -> Times:
        for process in site.processes:
            process.port.latency_s = latency_s
        await asyncio.sleep(3)
        case.break_it(site)
        await asyncio.sleep(1)
        began = loop.time()
        changes = site.processes[0].changes
        change = changes.apply(
            lists_of(1), change_id="bench", version=None, wait_s=WAIT_S
        )
        task = asyncio.create_task(change)
        async with asyncio.timeout(LIMIT_S):
            in_force_at = await until_in_force(site, case.reach)
        await task
        times = Times(in_force_at - began, loop.time() - began)
        await site.close()
        return times

    try:
        return loop.run_until_complete(play())
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
