"""Benchmark of log appends and latency of orders in the ledger, on a virtual clock.

``python -m bench.orders`` sends orders at several rates through one daemon whose log
takes a fixed time for an append and a read, and prints the cost of an order.
"""

from __future__ import annotations

import asyncio
import random
import statistics

import defopt
from rich.console import Console
from rich.table import Table

from auburnproxy.upstreams.service import PlainCall
from features.fakes.ledger import (
    APPEND_S,
    APPLY_LAG_S,
    FakeDaemon,
    FakeLog,
    FakeOrderService,
)
from features.machines.runner import run_virtual

RATES = (1.0, 10.0, 100.0, 1000.0)
SERVICE_TIME_S = 0.02


async def measure(rate: float, orders: int, seed: int) -> tuple[float, list[float]]:
    """Return the appends per order, and the seconds that the ledger added to each."""
    loop = asyncio.get_running_loop()
    log, order_service, arrivals = FakeLog(), FakeOrderService(), random.Random(seed)
    daemon = FakeDaemon(log, "d")
    added: list[float] = []

    async def order(number: int) -> None:
        started = loop.time()
        call = PlainCall(f"r{number}", "POST", "/orders", b"x", "", f"k{number}", 30.0)
        await daemon.runner.run("p", call, daemon.dispatch_to(order_service))
        added.append(loop.time() - started - SERVICE_TIME_S)

    async with asyncio.TaskGroup() as group:
        for number in range(orders):
            await asyncio.sleep(arrivals.expovariate(rate))
            group.create_task(order(number))
    await daemon.runner.wait_settled()
    return len(log.records) / orders, added


def main(*, orders: int = 500, seed: int = 1) -> None:
    """Measure each rate.

    :param orders: number of orders in each run
    :param seed: seed of the arrivals
    """
    table = Table(
        "orders a second", "appends for each", "p50 added, ms", "p99 added, ms"
    )
    for rate in RATES:
        appends, added = run_virtual(measure(rate, orders, seed))
        p50 = statistics.median(added) * 1e3
        p99 = statistics.quantiles(added, n=100)[98] * 1e3
        table.add_row(f"{rate:g}", f"{appends:.2f}", f"{p50:.0f}", f"{p99:.0f}")
    Console().print(table)
    print(f"append {APPEND_S * 1e3:g} ms, read back {APPLY_LAG_S * 1e3:g} ms later")


if __name__ == "__main__":
    defopt.run(main)
