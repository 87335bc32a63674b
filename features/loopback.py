"""Stand-ins and adapters on loopback for steps that need real sockets."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator

from auburnproxy.configuration import Configuration, read_lists
from auburnproxy.configuration.configuration import LISTS_KEY, LISTS_KIND
from auburnproxy.external import ModelSpec
from auburnproxy.external.http import connect_log
from auburnproxy.journal import Journal
from auburnproxy.upstreams.engine import Assignment, FencingToken, ModelCall, Order
from standins.deployment import Addresses
from standins.listener import listening
from standins.processes import until_listens
from standins.settings import EngineSettings, ServiceSettings, UpstreamSettings
from standins.trial import Trial, trial
from standins.upstreams import Upstreams
from standins.weights import make_weights

MODEL = ModelSpec("quilt", "1", 2)
TIMEOUT_S = 10.0


def free_addresses(count: int) -> list[str]:
    """Return unused loopback addresses."""
    addresses = Addresses()
    return [addresses.take() for _ in range(count)]


@contextlib.asynccontextmanager
async def running_upstreams() -> AsyncIterator[Upstreams]:
    """Run two engines and a plain service in this process."""
    store, control, *addresses = free_addresses(5)
    names = ["e0", "e1"]
    engines = tuple(
        EngineSettings(name, address, load_s=0.02, report_every_s=0.02)
        for name, address in zip(names, addresses, strict=False)
    )
    services = (ServiceSettings("s0", addresses[2]),)
    settings = UpstreamSettings(control, f"http://{store}", engines, services)
    upstreams = Upstreams(settings)
    weights = make_weights([MODEL], loads_per_minute=60_000)
    async with listening(weights.app(), store):
        task = asyncio.create_task(upstreams.run())
        await until_listens(control, timeout_s=TIMEOUT_S)
        yield upstreams
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task


async def form(engines, addresses, *, generation=1) -> None:
    """Order engines to form a replica and wait until each is ready."""
    for rank, engine in enumerate(engines):
        part = Assignment("r0", generation, MODEL.name, rank, tuple(addresses))
        await engine.order(Order(FencingToken(generation, 0), part))
    for engine in engines:
        await until_reported(engine, lambda report: report.state == "ready")


async def until_reported(engine, predicate) -> None:
    """Wait until an engine's report satisfies a predicate."""
    async with asyncio.timeout(TIMEOUT_S):
        while True:
            if predicate(await engine.report()):
                return
            await asyncio.sleep(0.01)


async def apply_lists(deployment) -> None:
    """Apply a deployment's lists through a record in the log."""
    texts = deployment.plans_file.read_text(), deployment.grants_file.read_text()
    log = connect_log(f"http://{deployment.log}")
    journal = Journal(log, [Configuration()], author="operator")
    following = asyncio.create_task(journal.run())
    lists = {"lists": read_lists(*texts)}
    expects = {LISTS_KEY: 0}
    outcome = await journal.propose(
        LISTS_KIND, lists, expects=expects, timeout_s=TIMEOUT_S
    )
    following.cancel()
    await asyncio.gather(following, return_exceptions=True)
    await log.close()
    assert outcome.accepted, outcome


@contextlib.asynccontextmanager
async def serving(shape) -> AsyncIterator[Trial]:
    """Run a deployment of real processes until and while all its replicas serve."""
    async with trial(shape) as running:
        await running.start()
        await apply_lists(running.deployment)
        await running.until_all_serve()
        yield running


def model_call(*, tokens=4, request_id="q1", **options) -> ModelCall:
    """Return a model call for a number of tokens."""
    body = b'{"max_tokens":%d,"messages":[{"content":"%b"}]}'
    body %= (tokens, request_id.encode())
    return ModelCall(request_id, MODEL.name, body, 0, TIMEOUT_S, **options)
