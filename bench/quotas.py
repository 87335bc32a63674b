"""Benchmark of the usable part of a limit during faults against a fixed split.

``python -m bench.quotas`` runs two failure domains of three daemons for each
fault, all on loopback and with more calls than slots, and prints the fraction
of the limits that is in use.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Awaitable, Callable
from statistics import fmean
from typing import NamedTuple

import defopt
import uvloop
from loguru import logger
from rich.console import Console
from rich.table import Table

from auburnproxy.membership import Member, Membership, Roster
from auburnproxy.quotas import SlotLimiters
from features.fakes.journal import FakeJournal, FakeLog

from .peers import free_addresses

DOMAINS = ("a", "b")
DAEMONS = 3
UPSTREAM, PLAN = "upstream/a-engine", "plan/gold"
LIMIT_BY_KEY = {UPSTREAM: 24, PLAN: 60}
MEAN_CALL_S = 1.0
ACQUIRE_INTERVAL_S = 0.01
SAMPLE_INTERVAL_S = 0.05
SETTLE_S = 6.0
AVERAGING_WINDOW_S = 1.0
FULL_USE_FRACTION = 0.95
"""Fraction of a limit, as a mean of one second, that counts as full use."""


class Daemon:
    """One daemon, and callers that keep its limiters full."""

    def __init__(self, name: str, incarnation: str, log: FakeLog, address: str) -> None:
        self.me = Member(name, incarnation, name[0], address, "127.0.0.1:1")
        roster = Roster()
        self.journal = FakeJournal(log, roster)
        self.membership = Membership(self.me, roster, self.journal, secret=b"bench")
        self.limiters = SlotLimiters(lambda: self.membership.window, self.me.id)
        for key, limit in LIMIT_BY_KEY.items():
            self.limiters.limiter(key).limit = limit
        self.membership.attach_limits(self.limiters)
        work = [self.journal.run(), self.membership.run()]
        keys = LIMIT_BY_KEY if self.me.failure_domain == "a" else [PLAN]
        work += [self.call(key) for key in keys]
        self.tasks = [asyncio.create_task(each) for each in work]

    async def call(self, key: str) -> None:
        """Start a call whenever a slot is free."""
        limiter = self.limiters.limiter(key)
        call_random = random.Random(f"{self.me.id}/{key}")
        loop = asyncio.get_running_loop()
        while True:
            while limiter.try_acquire():
                loop.call_later(
                    call_random.expovariate(1 / MEAN_CALL_S), limiter.release
                )
            await asyncio.sleep(ACQUIRE_INTERVAL_S)

    def in_flight(self, key: str) -> int:
        """Return the slots in use."""
        return self.limiters.limiter(key).in_flight

    async def stop(self) -> None:
        """Cancel every task, as a kill does."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


class Cluster:
    """Six daemons that share a log."""

    def __init__(self) -> None:
        self.log = FakeLog()
        self.by_name: dict[str, Daemon] = {}
        self.servers: list[asyncio.Server] = []

    def start(self, name: str, incarnation: str = "1", address: str = "") -> None:
        """Start a daemon."""
        chosen = address or free_addresses(1)[0]
        self.by_name[name] = Daemon(name, incarnation, self.log, chosen)

    async def kill(self, name: str) -> Daemon:
        """Stop a daemon without a leave message."""
        daemon = self.by_name.pop(name)
        await daemon.stop()
        return daemon

    def used_fraction(self, key: str) -> float:
        """Return the fraction of a limit in use by running daemons."""
        return sum(d.in_flight(key) for d in self.by_name.values()) / LIMIT_BY_KEY[key]


async def no_fault(cluster: Cluster) -> None:
    """Inject no fault."""


async def freeze(cluster: Cluster) -> None:
    """Stop a daemon; its address still listens."""
    daemon = await cluster.kill("a0")
    host, _, port = daemon.me.peer_address.rpartition(":")
    cluster.servers.append(
        await asyncio.start_server(lambda r, w: None, host, int(port))
    )


async def kill(cluster: Cluster) -> None:
    """Kill a daemon for good."""
    await cluster.kill("a0")


async def restart(cluster: Cluster) -> None:
    """Kill a daemon and start it again on its address."""
    daemon = await cluster.kill("a0")
    cluster.start("a0", "2", daemon.me.peer_address)


async def join(cluster: Cluster) -> None:
    """Add a daemon."""
    cluster.start("a3")


async def partition_domain(cluster: Cluster) -> None:
    """Partition a failure domain from the log and from the other domain."""
    for daemon in cluster.by_name.values():
        if daemon.me.failure_domain == "b":
            daemon.journal.up = False
            daemon.membership.secret = b"another"
            for link in daemon.membership.links:
                if link.peer.failure_domain == "a":
                    link.close()


FAULTS: dict[str, tuple[Callable[[Cluster], Awaitable[None]], dict[str, float]]] = {
    "calm": (no_fault, {UPSTREAM: 1, PLAN: 1}),
    "one frozen": (freeze, {UPSTREAM: 2 / 3, PLAN: 5 / 6}),
    "one killed": (kill, {UPSTREAM: 2 / 3, PLAN: 5 / 6}),
    "one restarted": (restart, {UPSTREAM: 1, PLAN: 1}),
    "one joins": (join, {UPSTREAM: 1, PLAN: 1}),
    "domain cut off": (partition_domain, {UPSTREAM: 1, PLAN: 1}),
}
"""Each fault, and the fraction that an equal fixed split leaves usable."""


class Result(NamedTuple):
    """Measured use of one limit after one fault."""

    mean: float
    least: float
    most: float
    recovery_s: float
    """Seconds until it stayed in full use; inf if it never did."""


def result(samples: list[tuple[float, float]]) -> Result:
    """Summarize samples, each a time since the fault and a fraction in use."""
    used = [part for _, part in samples]
    width = round(AVERAGING_WINDOW_S / SAMPLE_INTERVAL_S)
    means = [fmean(used[max(end - width, 0) : end]) for end in range(1, len(used) + 1)]
    below_full_at = [
        at
        for (at, _), part in zip(samples, means, strict=True)
        if part < FULL_USE_FRACTION
    ]
    recovery_s = max(below_full_at, default=0.0)
    never = bool(below_full_at) and recovery_s > samples[-1][0] - 1.0
    return Result(
        fmean(used), min(used), max(used), float("inf") if never else recovery_s
    )


async def measure(
    fault: Callable[[Cluster], Awaitable[None]], seconds: float
) -> dict[str, Result]:
    """Return the results after a fault by key."""
    cluster = Cluster()
    for domain in DOMAINS:
        for index in range(DAEMONS):
            cluster.start(f"{domain}{index}")
    await asyncio.sleep(SETTLE_S)
    await fault(cluster)
    start = time.monotonic()
    samples: dict[str, list[tuple[float, float]]] = {key: [] for key in LIMIT_BY_KEY}
    while (at := time.monotonic() - start) < seconds:
        for key, seen in samples.items():
            seen.append((at, cluster.used_fraction(key)))
        await asyncio.sleep(SAMPLE_INTERVAL_S)
    for name in list(cluster.by_name):
        await cluster.kill(name)
    return {key: result(seen) for key, seen in samples.items()}


def main(*, seconds: float = 20.0) -> None:
    """Measure the use of each limit after each fault.

    :param seconds: length of the measurement after each fault
    """
    logger.remove()
    uvloop.install()
    table = Table(title=f"In use of a limit within {seconds:g} s of a fault")
    for column in ("fault", "limit", "mean", "least", "most", "full after", "fixed"):
        table.add_column(column, justify="left" if column == "fault" else "right")
    for name, (fault, fixed) in FAULTS.items():
        for key, seen in asyncio.run(measure(fault, seconds)).items():
            parts = [f"{part:.1%}" for part in seen[:3]]
            table.add_row(
                name, key, *parts, f"{seen.recovery_s:.1f} s", f"{fixed[key]:.1%}"
            )
    Console(width=88).print(table)


if __name__ == "__main__":
    defopt.run(main)
