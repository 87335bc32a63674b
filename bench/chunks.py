"""Benchmark of the CPU time that the serving path adds per chunk and request.

``python -m bench.chunks`` runs in one process. It sends the same calls directly to a
fake engine, through a minimal proxy (``bare``) and through the daemon's frontend
(``face``), and prints the CPU time that each of the two adds. The cost per chunk is
derived from long and short answers.
"""

from __future__ import annotations

import asyncio
import statistics
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import NamedTuple

import defopt
import uvloop
from aiohttp import ClientSession, TCPConnector, web
from rich.console import Console
from rich.table import Table

from auburnproxy.upstreams.engine import Chunk, ChunkKind
from auburnproxy.upstreams.events import encode_event
from auburnproxy.upstreams.http_engine import HttpEngine
from bench import passthrough
from features.fakes.serving import FakeUpstreams, make_frontend, make_plan, make_site

SHORT, LONG = 1, 200
PAUSE_S = 0.001
"""Pause between two chunks, so that each is read separately."""
HEADERS = {"Authorization": "Bearer alpha"}
US_PER_S = 1e6


class Cost(NamedTuple):
    """CPU time that a path adds to a direct call."""

    chunk_us: float
    request_us: float


async def generate(request: web.Request) -> web.StreamResponse:
    """Stream as many tokens as ``n`` in the body says, one write per token."""
    count = (await request.json())["n"]
    number = request.headers.get("X-Request-Id", "r").encode()
    response = web.StreamResponse()
    await response.prepare(request)
    data = b'{"choices":[{"delta":{"content":" token"}}]}'
    for i in range(count):
        await response.write(encode_event(Chunk(number, i, data, ChunkKind.TOKEN)))
        await asyncio.sleep(PAUSE_S)
    await response.write(encode_event(Chunk(number, count, b"", ChunkKind.END)))
    await response.write_eof()
    return response


@asynccontextmanager
async def listening(app: web.Application) -> AsyncIterator[str]:
    """Serve an application on a free loopback port."""
    runner = web.AppRunner(app, access_log=None, handler_cancellation=True)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    yield f"127.0.0.1:{runner.addresses[0][1]}"
    await runner.cleanup()


@asynccontextmanager
async def engine_at(address: str) -> AsyncIterator[HttpEngine]:
    """Connect to an engine."""
    engine = HttpEngine(address)
    yield engine
    await engine.close()


async def cpu_s_per_call(
    session: ClientSession, url: str, tokens: int, calls: int
) -> float:
    """Return the CPU time of this process per call, in seconds."""
    body = b'{"model":"m","stream":true,"messages":[{"role":"user"}],"n":%d}' % tokens

    async def send_call() -> None:
        async with session.post(url, data=body, headers=HEADERS) as response:
            assert response.status == 200, await response.text()
            async for _ in response.content.iter_any():
                pass

    await send_call()
    before = time.process_time()
    for _ in range(calls // 8):
        await asyncio.gather(*(send_call() for _ in range(8)))
    return (time.process_time() - before) / (calls // 8 * 8)


async def run(rounds: int) -> dict[str, list[Cost]]:
    """Return the costs of each path in each round."""
    engine_app = web.Application()
    engine_app.router.add_post("/generate", generate)
    engine_app.router.add_post("/v1/chat/completions", generate)
    async with (
        listening(engine_app) as engine,
        ClientSession(connector=TCPConnector(limit=0)) as session,
    ):
        passthrough_app = web.Application()
        passthrough_app[passthrough.ENGINE_KEY] = engine
        passthrough_app[passthrough.SESSION_KEY] = session
        passthrough_app.router.add_post("/v1/chat/completions", passthrough.forward)
        async with (
            engine_at(engine) as adapter,
            listening(passthrough_app) as passthrough_address,
        ):
            upstreams = FakeUpstreams({"e0": adapter}, slots=64)
            site = make_site([make_plan("alpha", concurrent=64)], upstreams)
            async with listening(make_frontend(site).caller_app()) as frontend_address:
                address_by_path = {
                    "direct": engine,
                    "bare": passthrough_address,
                    "face": frontend_address,
                }
                return await measure_paths(session, address_by_path, rounds)


async def measure_paths(
    session: ClientSession, address_by_path: dict[str, str], rounds: int
) -> dict[str, list[Cost]]:
    """Return the costs of each path minus those of the direct path."""
    costs: dict[str, list[Cost]] = {"bare": [], "face": []}
    for _ in range(rounds):
        cost_by_path = {}
        for path, address in address_by_path.items():
            url = f"http://{address}/v1/chat/completions"
            short = await cpu_s_per_call(session, url, SHORT, 400)
            long = await cpu_s_per_call(session, url, LONG, 48)
            chunk = (long - short) / (LONG - SHORT)
            cost_by_path[path] = Cost(chunk * US_PER_S, (short - chunk) * US_PER_S)
        for path, path_costs in costs.items():
            direct, cost = cost_by_path["direct"], cost_by_path[path]
            path_costs.append(Cost(cost[0] - direct[0], cost[1] - direct[1]))
    return costs


def main(*, rounds: int = 5) -> None:
    """Measure and print the costs.

    :param rounds: number of rounds; the median is printed
    """
    costs = uvloop.run(run(rounds))
    table = Table("path", "us for a chunk", "us for a request")
    for path, path_costs in costs.items():
        medians = [
            statistics.median(values) for values in zip(*path_costs, strict=True)
        ]
        table.add_row(path, *(f"{value:.1f}" for value in medians))
    Console().print(table)


if __name__ == "__main__":
    defopt.run(main)
