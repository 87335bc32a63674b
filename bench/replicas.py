"""Benchmark of group downtime and stranded hosts under faults by spare policy.

``python -m bench.replicas`` runs the planner, the reconciler and the watcher of one
failure domain on a virtual clock over small fakes, with seeded faults. It prints the
cost of each policy next to the baseline, which forms broken replicas anew.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable, Iterator
from concurrent.futures import ProcessPoolExecutor
from contextlib import contextmanager
from itertools import product
from statistics import mean
from typing import NamedTuple

import defopt
from rich.console import Console
from rich.table import Table

from auburnproxy.external import ModelSpec
from auburnproxy.replicas import Placement, Policy, planner
from features.fakes.replicas import FakeDaemon, FakePlatform
from features.machines.runner import run_virtual

DOMAIN = "d1"
HOSTS_BY_FABRIC = {"f1": 10, "f2": 10}
MODELS = (ModelSpec("large", "1", 4), ModelSpec("small", "1", 2))
WANTED = {"large": 2, "small": 3}
LOAD_S = 60.0
START_S = 10.0
LOADS_PER_MINUTE = 60
SETTLE_S = 300.0
RUN_S = 1800.0
HOST_LOSS_EVERY_S = 150.0
HOST_AWAY_S = (20.0, 600.0)
LIST_LAG_S = 5.0
RESTART_EVERY_S = 60.0
RESTART_AWAY_S = (3.0, 20.0)
FABRIC_AWAY_S = 600.0
DOMAIN_OUT_S = 600.0
LOG_AWAY_S = 600.0
POLICIES = {
    "anew": Policy(spares=1),
    "no spare": Policy(spares=0),
    "one spare": Policy(spares=1),
    "two spares": Policy(spares=2),
    "no filling": Policy(form_extra=False),
}
BASELINE = "anew"


class ReformPlacement(Placement):
    """Baseline: dissolves a broken replica and forms a new one from idle hosts."""

    def _repair(self) -> None:
        for replica in self._replicas:
            if not self._is_complete(replica) and replica.name not in self._dissolved:
                self._dissolve(replica)


class Cost(NamedTuple):
    """Costs of one run."""

    downtime_s: float
    """Seconds that wanted replicas did not serve, summed over replicas."""
    stranded: float
    """Fraction of the live hosts' time outside serving replicas."""
    loads: int
    """Number of loads from the weight store."""


class Simulation:
    """Simulation of one failure domain with faults."""

    def __init__(self, policy: Policy, seed: int) -> None:
        self.random = random.Random(seed)
        self.platform = FakePlatform(MODELS, loads_per_minute=LOADS_PER_MINUTE)
        for fabric, count in HOSTS_BY_FABRIC.items():
            self.platform.add(DOMAIN, fabric, count, load_s=LOAD_S, start_s=START_S)
        self.taken_out_domains: set[str] = set()
        self.daemon = FakeDaemon(
            self.platform,
            DOMAIN,
            WANTED,
            taken_out=self.taken_out_domains,
            policy=policy,
        )
        self.tasks: list[asyncio.Task[None]] = []

    async def lose(self, host: str, away_s: float, *, keeps_weights: bool) -> None:
        """Kill a host for a while; the platform's list is updated with a delay."""
        engine = self.platform.engines_by_host[host]
        if not engine.alive:
            return
        engine.alive = False
        await asyncio.sleep(LIST_LAG_S)
        self.platform.entries_by_host.pop(host)
        await asyncio.sleep(away_s - LIST_LAG_S)
        if not keeps_weights:
            engine.lose_disk()
        engine.restart()
        self.platform.entries_by_host[host] = engine.entry

    async def restart(self, host: str, away_s: float) -> None:
        """Restart the process of a host, which stays listed and keeps its weights."""
        engine = self.platform.engines_by_host[host]
        if engine.alive:
            engine.alive = False
            await asyncio.sleep(away_s)
            engine.restart()

    async def host_losses(self) -> None:
        """Lose one host after another; half of them return with their weights."""
        while True:
            await asyncio.sleep(self.random.expovariate(1 / HOST_LOSS_EVERY_S))
            host = self.random.choice(sorted(self.platform.engines_by_host))
            away_s = self.random.uniform(*HOST_AWAY_S)
            keeps = self.random.random() < 1 / 2
            loss = self.lose(host, away_s, keeps_weights=keeps)
            self.tasks.append(asyncio.create_task(loss))

    async def restarts(self) -> None:
        """Restart the process of one host after another."""
        while True:
            await asyncio.sleep(self.random.expovariate(1 / RESTART_EVERY_S))
            host = self.random.choice(sorted(self.platform.engines_by_host))
            away_s = self.random.uniform(*RESTART_AWAY_S)
            self.tasks.append(asyncio.create_task(self.restart(host, away_s)))

    async def fabric_loss(self) -> None:
        """Lose a whole fabric domain once."""
        fabric = self.random.choice(sorted(HOSTS_BY_FABRIC))
        entries = self.platform.entries_by_host.values()
        hosts = [e.name for e in entries if e.fabric_domain == fabric]
        losses = (self.lose(host, FABRIC_AWAY_S, keeps_weights=False) for host in hosts)
        await asyncio.gather(*losses)

    async def take_out_and_return(self) -> None:
        """Take the failure domain out and return it, and lose hosts meanwhile."""
        losses = asyncio.create_task(self.host_losses())
        self.taken_out_domains.add(DOMAIN)
        await asyncio.sleep(DOMAIN_OUT_S)
        losses.cancel()
        self.taken_out_domains.discard(DOMAIN)

    async def log_outage(self) -> None:
        """Lose hosts while the log is unavailable."""
        losses = asyncio.create_task(self.host_losses())
        self.platform.log_up = False
        await asyncio.sleep(LOG_AWAY_S)
        losses.cancel()
        self.platform.log_up = True

    async def measure(self, fault: Callable[[], Awaitable[None]]) -> Cost:
        """Let the replicas form, then inject the fault and return its costs."""
        self.daemon.start()
        await asyncio.sleep(SETTLE_S)
        before = self.cost()
        downtime = self.daemon.downtime
        live_s = downtime.live_host_s
        self.tasks.append(asyncio.ensure_future(fault()))
        await asyncio.sleep(RUN_S)
        after = self.cost()
        for task in self.tasks:
            task.cancel()
        await self.daemon.stop()
        return Cost(
            after.downtime_s - before.downtime_s,
            (after.stranded - before.stranded) / (downtime.live_host_s - live_s),
            after.loads - before.loads,
        )

    def cost(self) -> Cost:
        """Return the totals since the start."""
        downtime = self.daemon.downtime
        loads = sum(
            engine.load_count for engine in self.platform.engines_by_host.values()
        )
        return Cost(downtime.group_downtime_s, downtime.stranded_host_s, loads)


FAULTS = {
    "host losses": Simulation.host_losses,
    "restarts": Simulation.restarts,
    "fabric domain dark": Simulation.fabric_loss,
    "domain out and back": Simulation.take_out_and_return,
    "log away": Simulation.log_outage,
}


@contextmanager
def use_placement(placement_class: type[Placement]) -> Iterator[None]:
    """Replace the planner's placement class in this context."""
    original = planner.Placement
    planner.Placement = placement_class  # type: ignore[misc]
    try:
        yield
    finally:
        planner.Placement = original  # type: ignore[misc]


def run_one(job: tuple[str, str, int]) -> Cost:
    """Run one fault under one policy with one seed."""
    fault, policy, seed = job
    with use_placement(ReformPlacement if policy == BASELINE else Placement):
        simulation = Simulation(POLICIES[policy], seed)
        return run_virtual(simulation.measure(lambda: FAULTS[fault](simulation)))


def compare(
    *,
    seeds: int = 6,
    workers: int = 3,
    faults: tuple[str, ...] = tuple(FAULTS),
    policies: tuple[str, ...] = tuple(POLICIES),
) -> None:
    """Compare the policies.

    :param seeds: number of seeds, from 1
    :param workers: processes to run at once
    :param faults: names of the faults to run
    :param policies: names of the policies to run
    """
    jobs = list(product(faults, policies, range(1, seeds + 1)))
    with ProcessPoolExecutor(workers) as pool:
        costs = dict(zip(jobs, pool.map(run_one, jobs), strict=True))
    for name in faults:
        table = Table(title=f"{name}, mean of {seeds} seeds, {RUN_S:g} s")
        for column in ("policy", "downtime, s", "worst, s", "stranded", "loads"):
            table.add_column(column, justify="right")
        for policy in policies:
            runs = [costs[name, policy, seed] for seed in range(1, seeds + 1)]
            downtimes = [run.downtime_s for run in runs]
            table.add_row(
                policy,
                f"{mean(downtimes):.0f}",
                f"{max(downtimes):.0f}",
                f"{mean(run.stranded for run in runs):.1%}",
                f"{mean(run.loads for run in runs):.1f}",
            )
        Console(width=88).print(table)


if __name__ == "__main__":
    defopt.run(compare)
