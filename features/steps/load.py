"""Steps for the load tool: fake daemons with one fault each."""

import asyncio

import msgspec
import xxhash
from aiohttp import web
from behave import then

from features import loopback
from standins.callers import CallKind
from standins.listener import abort_connection, listening
from standins.load import LoadSettings, PlanLoad, run_load
from standins.runs import Runs
from standins.service import PlacedOrder, stock_of
from standins.tokens import Prompt, read_prompt, token_data

LOAD = PlanLoad(
    "p",
    "k",
    ("quilt",),
    "s",
    calls_per_s=20,
    lookups_per_s=20,
    orders_per_s=20,
    tokens=3,
)
REFUSAL = {"error": {"code": "full", "message": "", "ran": "no", "request_id": "q"}}


class FaultyDaemon:
    """Fake daemon that also acts as its upstreams, with the given fault."""

    def __init__(self, fault):
        self.fault = fault
        self.runs = Runs()

    def count(self, key, *, order=False):
        if self.fault == "answers without running":
            return
        for _ in range(1 + (order and self.fault == "runs an order twice")):
            self.runs.count(key, order=order)

    def refusal(self):
        return web.json_response(REFUSAL, status=503)

    async def model(self, request):
        body = await request.read()
        if self.fault == "refuses":
            return self.refusal()
        self.count(xxhash.xxh64_hexdigest(body))
        if self.fault == "refuses what it ran":
            return self.refusal()
        return await self.stream(request, read_prompt(body))

    async def stream(self, request, prompt):
        if self.fault == "answers for another request":
            prompt = Prompt("another", prompt.tokens)
        tokens = [token_data(prompt.seed, place) for place in range(prompt.tokens)]
        if self.fault == "drops a token":
            del tokens[1]
        if self.fault == "drops the last token":
            del tokens[-1]
        response = web.StreamResponse()
        await response.prepare(request)
        for token in tokens:
            await response.write(b"data: " + token + b"\n\n")
        if self.fault == "cuts the connection":
            return abort_connection(request)
        if self.fault == "ends each stream with an error":
            await response.write(b"event: error\ndata: {}\n\n")
        elif self.fault != "ends a stream without a marker":
            await response.write(b"data: [DONE]\n\n")
        return response

    async def lookup(self, request):
        if self.fault == "refuses":
            return self.refusal()
        tail = request.path_qs.partition("/s/")[2]
        self.count(f"/calls/{tail}")
        if self.fault == "refuses what it ran":
            return self.refusal()
        return web.Response(body=msgspec.json.encode(stock_of(request.match_info["i"])))

    async def order(self, request):
        if self.fault == "refuses":
            return self.refusal()
        order = (await request.json())["order"]
        if order not in self.runs.report()["orders_by_key"]:
            self.count(order, order=True)
        if self.fault == "refuses what it ran":
            return self.refusal()
        body = msgspec.json.encode(PlacedOrder(order, 1))
        return web.Response(body=body, status=201)

    async def report(self, request):
        return web.json_response(self.runs.report())

    def app(self):
        app = web.Application()
        app.router.add_post("/v1/chat/completions", self.model)
        app.router.add_get("/v1/services/s/stock/{i}", self.lookup)
        app.router.add_post("/v1/services/s/orders", self.order)
        app.router.add_get("/runs", self.report)
        return app


async def run_load_against(fault):
    (address,) = loopback.free_addresses(1)
    base = f"http://{address}"
    async with listening(FaultyDaemon(fault).app(), address):
        settings = LoadSettings((base,), (base,), (LOAD,), duration_s=0.4)
        return await run_load(settings)


@then("the load tool reports these failures for each daemon")
def check_each_daemon(context):
    for row in context.table:
        report = asyncio.run(run_load_against(row["daemon"]))
        kinds = {each.kind for each in report.audits[0].answers}
        assert kinds == set(CallKind), (row["daemon"], kinds)
        failures = report.failures
        assert bool(failures) == bool(row["failures"]), (row["daemon"], failures)
        assert all(row["failures"] in each for each in failures), failures
