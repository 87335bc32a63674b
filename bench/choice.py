"""Benchmark of the CPU time of one choice of a replica, by counts and by cost.

Run with ``python -m bench.choice``. Both scorings choose for the same requests in the
same fleet and by turns, so that a busy machine slows both.
"""

from __future__ import annotations

import asyncio
import statistics
import time
from itertools import product
from random import Random
from types import SimpleNamespace

import defopt
from rich.console import Console
from rich.table import Table

from auburnproxy.gateway.cost_model import RequestSize
from auburnproxy.gateway.health import UpstreamLoad
from auburnproxy.gateway.prompt_load import PromptLoad
from auburnproxy.heartbeats import Heartbeat
from bench.fleet import HEADS_PER_DAEMON, make_slices

SIZES = (6, 65, 195, 400)
SLOTS_TAKEN = (2, 4, 6)
"""Requests at each head on average, of 7 slots."""
WAITING_SHARE = 0.2
"""Share of the requests that have no event yet."""
REQUESTS = 500
US_PER_S = 1e6
SIZE = RequestSize(700, 170, 0.25, 0.2)


def make_load(size: int, slots: int, random: Random) -> dict[str, dict[str, int]]:
    """Return the requests of each other daemon at each head.

    :param slots: requests at each head on average
    """
    heads = [f"h{number}" for number in range(max(int(size * HEADS_PER_DAEMON), 6))]
    load: dict[str, dict[str, int]] = {}
    for _ in range(slots * len(heads)):
        at_daemon = load.setdefault(f"d{random.randrange(1, size)}", {})
        head = random.choice(heads)
        at_daemon[head] = at_daemon.get(head, 0) + 1
    return load


def make_site(size: int, slots: int, *, load_aware: bool) -> SimpleNamespace:
    """Return one daemon that has heard from all others."""
    site, random = make_slices(size, load_aware=load_aware), Random(1)
    for name, requests in make_load(size, slots, random).items():
        loads, prompts = {}, {}
        for head, count in requests.items():
            waiting = sum(random.random() < WAITING_SHARE for _ in range(count))
            loads[head] = UpstreamLoad(count, waiting, 40)
            prompts[head] = PromptLoad(700 * waiting, 900 * count)
        heartbeat = Heartbeat(name, False, True, True, loads, {}, [], [])
        if load_aware:
            heartbeat = heartbeat._replace(prompt_load_by_host=prompts)
        site.peer_group.receive(heartbeat)
    return site


def choose(site: SimpleNamespace) -> float:
    """Return the CPU time of one choice, in us."""
    started_s = time.process_time()
    for _ in range(REQUESTS):
        site.selector.select_replica("engines", "m", size=SIZE)
    return (time.process_time() - started_s) / REQUESTS * US_PER_S


def track(site: SimpleNamespace) -> float:
    """Return the CPU time of tracking one request at a chosen replica, in us."""
    replica = site.selector.select_replica("engines", "m", size=SIZE)
    now = asyncio.get_running_loop().time()
    started_s = time.process_time()
    for _ in range(REQUESTS):
        with site.selector.track(replica, SIZE) as progress:
            progress.record_events(1, at=now)
    return (time.process_time() - started_s) / REQUESTS * US_PER_S


async def run(size: int, slots: int, rounds: int) -> tuple[float, float, float]:
    """Return the median costs of a choice by counts and by cost, and of tracking."""
    sites = [make_site(size, slots, load_aware=aware) for aware in (False, True)]
    for site in sites:
        track(site)
    costs = [(*map(choose, sites), track(sites[1])) for _ in range(rounds)]
    counts, predicted, tracked = map(statistics.median, zip(*costs, strict=True))
    return counts, predicted, tracked


def main(*, rounds: int = 7) -> None:
    """Measure and print the costs.

    :param rounds: number of rounds; the median is printed
    """
    table = Table("daemons", "load", "us by counts", "us by cost", "ratio", "track")
    for size, slots in product(SIZES, SLOTS_TAKEN):
        counts, predicted, tracked = asyncio.run(run(size, slots, rounds))
        ratio = predicted / counts
        cells = f"{counts:.0f}", f"{predicted:.0f}", f"{ratio:.2f}", f"{tracked:.1f}"
        table.add_row(str(size), f"{slots} of 7", *cells)
    Console().print(table)


if __name__ == "__main__":
    defopt.run(main)
