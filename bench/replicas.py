"""Group downtime and stranded accelerators through faults, for each spare policy.

``python -m bench.replicas`` runs the planner, the reconciler and the watcher of one
failure domain on a virtual clock over small fakes, with seeded faults, and prints
what each policy costs against forming broken replicas anew.
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
FABRICS = {"f1": 10, "f2": 10}
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


class Anew(Placement):
    """The baseline: a broken replica is dissolved and formed from idle hosts."""

    def _repair(self) -> None:
        for replica in self._replicas:
            if not self._is_complete(replica) and replica.name not in self._dissolved:
                self._dissolve(replica)


class Cost(NamedTuple):
    """What one run cost."""

    downtime_s: float
    """Seconds that wanted replicas did not serve, summed over replicas."""
    stranded: float
    """Part of the live hosts' time outside serving replicas."""
    loads: int
    """Loads from the weight store."""


class Bed:
    """One failure domain with its faults."""

    def __init__(self, policy: Policy, seed: int) -> None:
        self.chance = random.Random(seed)
        self.platform = FakePlatform(MODELS, loads_per_minute=LOADS_PER_MINUTE)
        for fabric, count in FABRICS.items():
            self.platform.add(DOMAIN, fabric, count, load_s=LOAD_S, start_s=START_S)
        self.marks: set[str] = set()
        self.daemon = FakeDaemon(
            self.platform, DOMAIN, WANTED, taken_out=self.marks, policy=policy
        )
        self.tasks: list[asyncio.Task[None]] = []

    async def lose(self, host: str, away_s: float, *, keeps_weights: bool) -> None:
        """Kill a host for a while; the platform's list follows late."""
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
        """Lose one host after another; half come back with their weights."""
        while True:
            await asyncio.sleep(self.chance.expovariate(1 / HOST_LOSS_EVERY_S))
            host = self.chance.choice(sorted(self.platform.engines_by_host))
            away_s = self.chance.uniform(*HOST_AWAY_S)
            keeps = self.chance.random() < 1 / 2
            loss = self.lose(host, away_s, keeps_weights=keeps)
            self.tasks.append(asyncio.create_task(loss))

    async def restarts(self) -> None:
        """Restart the process of one host after another."""
        while True:
            await asyncio.sleep(self.chance.expovariate(1 / RESTART_EVERY_S))
            host = self.chance.choice(sorted(self.platform.engines_by_host))
            away_s = self.chance.uniform(*RESTART_AWAY_S)
            self.tasks.append(asyncio.create_task(self.restart(host, away_s)))

    async def fabric_loss(self) -> None:
        """Lose a whole fabric domain once."""
        fabric = self.chance.choice(sorted(FABRICS))
        entries = self.platform.entries_by_host.values()
        hosts = [e.name for e in entries if e.fabric_domain == fabric]
        losses = (self.lose(host, FABRIC_AWAY_S, keeps_weights=False) for host in hosts)
        await asyncio.gather(*losses)

    async def out_and_back(self) -> None:
        """Take the failure domain out and bring it back, with hosts lost meanwhile."""
        losses = asyncio.create_task(self.host_losses())
        self.marks.add(DOMAIN)
        await asyncio.sleep(DOMAIN_OUT_S)
        losses.cancel()
        self.marks.discard(DOMAIN)

    async def log_away(self) -> None:
        """Lose hosts while the log is away."""
        losses = asyncio.create_task(self.host_losses())
        self.platform.log_up = False
        await asyncio.sleep(LOG_AWAY_S)
        losses.cancel()
        self.platform.log_up = True

    async def measure(self, fault: Callable[[], Awaitable[None]]) -> Cost:
        """Let the replicas form, then run the fault and return what it cost."""
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
        """Return the running totals."""
        downtime = self.daemon.downtime
        loads = sum(
            engine.load_count for engine in self.platform.engines_by_host.values()
        )
        return Cost(downtime.group_downtime_s, downtime.stranded_host_s, loads)


FAULTS = {
    "host losses": Bed.host_losses,
    "restarts": Bed.restarts,
    "fabric domain dark": Bed.fabric_loss,
    "domain out and back": Bed.out_and_back,
    "log away": Bed.log_away,
}


@contextmanager
def placing(kind: type[Placement]) -> Iterator[None]:
    """Let the planner use another choice of hosts."""
    used = planner.Placement
    planner.Placement = kind  # type: ignore[misc]
    try:
        yield
    finally:
        planner.Placement = used  # type: ignore[misc]


def run_one(job: tuple[str, str, int]) -> Cost:
    """Run one fault under one policy with one seed."""
    fault, policy, seed = job
    with placing(Anew if policy == BASELINE else Placement):
        bed = Bed(POLICIES[policy], seed)
        return run_virtual(bed.measure(lambda: FAULTS[fault](bed)))


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
