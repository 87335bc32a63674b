"""Benchmark of a daemon's CPU time for one call by the length of the answer.

``python -m bench.answers`` fits a line: its slope is the cost of a chunk, its
intercept the cost of a request.
"""

from __future__ import annotations

import statistics
from typing import NamedTuple

import defopt
import uvloop
from aiohttp import ClientSession, TCPConnector

from standins.trial import trial

from .fit import print_fit
from .forward import SHAPE, US_PER_S, Client, Target, idle_rate, start

ANSWER_TOKENS = (1, 50, 100, 200, 400)
"""Lengths of the answers in tokens."""
CALLS = 96
WORKERS = 32
CHUNKS_PER_DAEMON_S = 18_250
"""Chunks per second of one daemon at the target load."""


class Point(NamedTuple):
    """Cost of one call with a given answer length."""

    tokens: int
    call_us: float
    """Median CPU time over the rounds."""


async def measure(target: Target, *, rounds: int) -> list[Point]:
    """Return the cost of a call at each length.

    :param target: the daemon
    :param rounds: rounds for each length
    """
    points = []
    async with ClientSession(connector=TCPConnector(limit=0)) as session:
        client = Client(session)
        idle = await idle_rate(target)
        for tokens in ANSWER_TOKENS:
            costs = []
            for _ in range(rounds):
                result = await client.measure(
                    target, calls=CALLS, workers=WORKERS, tokens=tokens, idle=idle
                )
                costs.append(result.cpu_s / result.calls * US_PER_S)
            points.append(Point(tokens, statistics.median(costs)))
    return points


async def run(rounds: int) -> list[Point]:
    """Measure in a separate deployment and stop all its processes.

    :param rounds: rounds for each length
    """
    async with trial(SHAPE) as running:
        targets = {target.name: target for target in await start(running)}
        return await measure(targets["daemon"], rounds=rounds)


def main(*, rounds: int = 3) -> None:
    """Measure and print a linear fit over the answer lengths.

    :param rounds: rounds for each length
    """
    points = uvloop.run(run(rounds))
    lengths = [point.tokens for point in points]
    costs = [point.call_us for point in points]
    line = print_fit("Daemon, one call", "tokens", lengths, costs, "us")
    core = line.slope * CHUNKS_PER_DAEMON_S / US_PER_S
    print(f"{CHUNKS_PER_DAEMON_S} chunks a second: {core:.0%} of a core")


if __name__ == "__main__":
    defopt.run(main)
