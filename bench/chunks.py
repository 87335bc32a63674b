"""What the serving path adds to each chunk and request, in one process.

``python -m bench.chunks`` sends the same calls straight to a stand-in engine, through
a bare pass-through and through the face, and prints the processor time that each of
the two adds. Costs for each chunk come from long and short answers.
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
"""Between two chunks, so that each is read by itself."""
HEADERS = {"Authorization": "Bearer alpha"}
US_PER_S = 1e6


class Cost(NamedTuple):
    """Processor time that a path adds to a direct call."""

    chunk_us: float
    request_us: float


async def generate(request: web.Request) -> web.StreamResponse:
    """Answer as many tokens as the body has in ``n``, one write for each."""
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


async def spent(session: ClientSession, url: str, tokens: int, calls: int) -> float:
    """Return the processor seconds of this process for each call."""
    body = b'{"model":"m","stream":true,"messages":[{"role":"user"}],"n":%d}' % tokens

    async def ask() -> None:
        async with session.post(url, data=body, headers=HEADERS) as response:
            assert response.status == 200, await response.text()
            async for _ in response.content.iter_any():
                pass

    await ask()
    before = time.process_time()
    for _ in range(calls // 8):
        await asyncio.gather(*(ask() for _ in range(8)))
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
        bare = web.Application()
        bare[passthrough.ENGINE_KEY] = engine
        bare[passthrough.SESSION_KEY] = session
        bare.router.add_post("/v1/chat/completions", passthrough.forward)
        async with engine_at(engine) as adapter, listening(bare) as bare_at:
            upstreams = FakeUpstreams({"e0": adapter}, slots=64)
            site = make_site([make_plan("alpha", concurrent=64)], upstreams)
            async with listening(make_frontend(site).caller_app()) as frontend_at:
                at_by_path = {"direct": engine, "bare": bare_at, "face": frontend_at}
                return await measured(session, at_by_path, rounds)


async def measured(
    session: ClientSession, at_by_path: dict[str, str], rounds: int
) -> dict[str, list[Cost]]:
    """Return the costs beyond those of the direct path."""
    costs: dict[str, list[Cost]] = {"bare": [], "face": []}
    for _ in range(rounds):
        took = {}
        for path, at in at_by_path.items():
            url = f"http://{at}/v1/chat/completions"
            short = await spent(session, url, SHORT, 400)
            long = await spent(session, url, LONG, 48)
            chunk = (long - short) / (LONG - SHORT)
            took[path] = Cost(chunk * US_PER_S, (short - chunk) * US_PER_S)
        for path, all_of in costs.items():
            direct, cost = took["direct"], took[path]
            all_of.append(Cost(cost[0] - direct[0], cost[1] - direct[1]))
    return costs


def main(*, rounds: int = 5) -> None:
    """Measure and print.

    :param rounds: repetitions; the median counts
    """
    costs = uvloop.run(run(rounds))
    table = Table("path", "us for a chunk", "us for a request")
    for path, all_of in costs.items():
        middle = [statistics.median(values) for values in zip(*all_of, strict=True)]
        table.add_row(path, *(f"{value:.1f}" for value in middle))
    Console().print(table)


if __name__ == "__main__":
    defopt.run(main)
