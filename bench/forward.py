"""Benchmark of forwarding: direct, through a minimal proxy and through the daemon.

``python -m bench.forward`` starts a fake engine behind each and prints the CPU
time per chunk and per request, and the time to the first byte. The costs are derived
from short and long answers; the CPU time of an idle process is subtracted.
"""

from __future__ import annotations

import asyncio
import statistics
import time
from collections.abc import Callable
from typing import NamedTuple

import defopt
import msgspec
import uvloop
from aiohttp import ClientSession, TCPConnector
from rich.console import Console
from rich.table import Table

from standins.deployment import Addresses, ModelShape, PlanShape, Shape
from standins.load import PlanLoad
from standins.processes import until_listens
from standins.trial import Trial, trial

from .process import cpu_s

MODEL = "quilt"
KEY = "bench-key"
CHAT_PATH = "/v1/chat/completions"
MAX_CHUNK_COST_RATIO = 1.3
"""Bound on the daemon's CPU time per chunk, relative to the minimal proxy."""
MAX_REQUEST_COST_RATIO = 2.5
MAX_FIRST_BYTE_RATIO = 2.0
LONG_TOKENS = 400
SHORT_TOKENS = 1
START_TIMEOUT_S = 15.0
IDLE_S = 2.0
US_PER_S = 1_000_000
MS_PER_S = 1000
SHAPE = Shape(
    models=(ModelShape(MODEL, 1, 1),),
    plans=(PlanShape(PlanLoad("bench", KEY, (MODEL,), "depot"), 1000, queue=1000),),
    failure_domains=1,
    daemons=1,
    engines=1,
    fabric_domains=1,
    engine={
        "slots": 64,
        "cold_slots": 64,
        "step_ms": 1.0,
        "step_growth": 0.3,
        "prefill_steps": 0,
        "load_s": 0.05,
    },
)


class Target(NamedTuple):
    """One path to the engine."""

    name: str
    url: str
    pid: int | None
    """Process id of the proxy between client and engine, if there is one."""


class Round(NamedTuple):
    """Measurements of one round of calls."""

    cpu_s: float
    """CPU time of the proxy process without its idle usage."""
    calls: int
    first_bytes_s: tuple[float, ...]


class Cost(NamedTuple):
    """Measured costs of a target."""

    chunk_us: float
    request_us: float
    first_byte_ms: float
    """Median."""


class Client:
    """Sends calls in a closed loop and counts the response events."""

    def __init__(self, session: ClientSession) -> None:
        self._session = session
        self._numbers = iter(range(1_000_000_000))

    async def call(self, target: Target, tokens: int) -> float:
        """Return the time to the first byte of one complete response, in seconds."""
        messages = [{"role": "user", "content": f"call {next(self._numbers)}"}]
        body = msgspec.json.encode(
            {"model": MODEL, "stream": True, "max_tokens": tokens, "messages": messages}
        )
        headers = {"Authorization": f"Bearer {KEY}", "Content-Type": "application/json"}
        started, first, events = time.perf_counter(), 0.0, 0
        async with self._session.post(
            target.url, data=body, headers=headers
        ) as response:
            async for block in response.content.iter_any():
                first = first or time.perf_counter()
                events += block.count(b"\n\n")
        if events != tokens + 1:
            text = f"{target.name} sent {events} events, status {response.status}"
            raise RuntimeError(text)
        return first - started

    async def measure(
        self, target: Target, *, calls: int, workers: int, tokens: int, idle: float
    ) -> Round:
        """Send calls from several workers and return the measurements.

        :param idle: CPU time of the idle target per second
        """
        loop = asyncio.get_running_loop()
        remaining_calls = iter(range(calls))
        first_bytes_s: list[float] = []

        async def work() -> None:
            for _ in remaining_calls:
                first_bytes_s.append(await self.call(target, tokens))

        started_at, used = loop.time(), cpu_s(target.pid)
        await asyncio.gather(*(work() for _ in range(workers)))
        duration_s = loop.time() - started_at
        used = cpu_s(target.pid) - used - idle * duration_s
        return Round(used, calls, tuple(first_bytes_s))


class Measured(NamedTuple):
    """The rounds of one target."""

    short: list[Round]
    long: list[Round]
    single: list[Round]
    """Short calls, one at a time."""

    def cost(self) -> Cost:
        """Return the costs; those per chunk and request are solved from both sizes."""
        short, long = _cpu_per_call(self.short), _cpu_per_call(self.long)
        chunk = (long - short) / (LONG_TOKENS - SHORT_TOKENS)
        request = short - chunk * SHORT_TOKENS
        first_bytes_s = [first for each in self.single for first in each.first_bytes_s]
        first_ms = statistics.median(first_bytes_s) * MS_PER_S
        return Cost(chunk * US_PER_S, request * US_PER_S, first_ms)


def _cpu_per_call(rounds: list[Round]) -> float:
    return statistics.median(each.cpu_s / each.calls for each in rounds)


async def idle_rate(target: Target) -> float:
    """Return the CPU time that an idle target uses per second."""
    before = cpu_s(target.pid)
    await asyncio.sleep(IDLE_S)
    return (cpu_s(target.pid) - before) / IDLE_S


async def measure(targets: list[Target], *, rounds: int) -> dict[str, Cost]:
    """Return the cost of each target, measured in alternating rounds."""
    measured = {target.name: Measured([], [], []) for target in targets}
    async with ClientSession(connector=TCPConnector(limit=0)) as session:
        client = Client(session)
        idle = {target.name: await idle_rate(target) for target in targets}
        for _ in range(rounds):
            for target in targets:
                await _run_round(
                    client, target, measured[target.name], idle[target.name]
                )
    return {name: each.cost() for name, each in measured.items()}


async def _run_round(
    client: Client, target: Target, measured: Measured, idle: float
) -> None:
    single = await client.measure(target, calls=40, workers=1, tokens=1, idle=idle)
    short = await client.measure(
        target, calls=600, workers=16, tokens=SHORT_TOKENS, idle=idle
    )
    long = await client.measure(
        target, calls=32, workers=32, tokens=LONG_TOKENS, idle=idle
    )
    measured.single.append(single)
    measured.short.append(short)
    measured.long.append(long)


async def start(running: Trial) -> list[Target]:
    """Start all processes and return the targets.

    :param running: the deployment
    """
    await running.start()
    await running.apply()
    await running.until_all_serve()
    deployment = running.deployment
    daemon, engine = deployment.daemons[0], deployment.domains[0].engine_addresses[0]
    bare = Addresses().take()
    arguments = ("--listen", bare, "--engine", engine)
    passthrough = await running.processes.start("bare", "bench.passthrough", *arguments)
    await until_listens(bare, timeout_s=START_TIMEOUT_S)
    pid = running.processes.by_name[daemon.name].pid
    return [
        Target("direct", f"http://{engine}/generate", None),
        Target("bare", f"http://{bare}{CHAT_PATH}", passthrough.pid),
        Target("daemon", f"http://{daemon.callers}{CHAT_PATH}", pid),
    ]


def table(costs: dict[str, Cost]) -> Table:
    """Return the costs as a table."""
    result = Table("target", "us a chunk", "us a request", "first byte p50 ms")
    for name, cost in costs.items():
        result.add_row(name, *(f"{value:.2f}" for value in cost))
    return result


def check_bounds(costs: dict[str, Cost]) -> list[str]:
    """Return one line per bound that says whether it is met."""
    bare, daemon = costs["bare"], costs["daemon"]
    lines: list[tuple[str, Callable[[Cost], float], float]] = [
        ("a chunk", lambda cost: cost.chunk_us, MAX_CHUNK_COST_RATIO),
        ("a request", lambda cost: cost.request_us, MAX_REQUEST_COST_RATIO),
        ("the first byte", lambda cost: cost.first_byte_ms, MAX_FIRST_BYTE_RATIO),
    ]
    return [
        f"{name}: {value(daemon) / value(bare):.2f} x bare, bound {max_ratio}: "
        + ("met" if value(daemon) <= max_ratio * value(bare) else "NOT met")
        for name, value, max_ratio in lines
    ]


async def run(rounds: int) -> dict[str, Cost]:
    """Measure in a separate deployment and stop all its processes.

    :param rounds: rounds for each target
    """
    async with trial(SHAPE) as running:
        return await measure(await start(running), rounds=rounds)


def main(*, rounds: int = 5) -> None:
    """Measure and print the costs.

    :param rounds: rounds for each target
    """
    costs = uvloop.run(run(rounds))
    console = Console()
    console.print(table(costs))
    for line in check_bounds(costs):
        console.print(line)


if __name__ == "__main__":
    defopt.run(main)
