"""Steps for failures that operators of similar systems have reported."""

import asyncio

from aiohttp import ClientError
from behave import then, when

from features.fakes.formation import FormationSite
from features.fakes.platform import SAFE_PATH
from features.steps.formation import lose_most
from features.steps.routed import RequestResult, run, send_request


@when("{count:d} lookups are sent by {workers:d} workers one after another")
def look_up_concurrently(context, count, workers):
    async def worker(number):
        found = []
        for turn in range(count // workers):
            answer = RequestResult(context)
            request_id = f"{number:04x}{turn:012x}"
            await send_request(answer, "GET", f"{SAFE_PATH}x", Attempt_Id=request_id)
            found.append((request_id, answer))
            await asyncio.sleep(0.02)
        return found

    async def all_workers():
        return await asyncio.gather(*map(worker, range(workers)))

    results_by_worker = run(context, all_workers())
    context.lookups = [each for found in results_by_worker for each in found]


@then("each gets the answer to its own request")
def check_own_answer(context):
    for request_id, answer in context.lookups:
        assert answer.status == 200, answer.status
        assert answer.headers["Attempt-Id"] == request_id, answer.headers
        assert answer.body == f"answer to {request_id}".encode(), answer.body


@when("the daemon is told to stop while {per_s:d} lookups a second come")
def stop_under_load(context, per_s):
    async def look_up():
        answer = RequestResult(context)
        try:
            await send_request(answer, "GET", f"{SAFE_PATH}x")
        except ClientError as error:
            answer.status, answer.error = 0, error
        return answer

    async def run_load():
        stopping = asyncio.create_task(context.site.daemons[0].stop())
        tasks = []
        while not stopping.done():
            tasks.append(asyncio.create_task(look_up()))
            await asyncio.sleep(1 / per_s)
        await stopping
        return await asyncio.gather(*tasks)

    context.lookups = run(context, run_load())


@then("each lookup has got a whole answer or a refusal with Retry-After")
def check_complete(context):
    for answer in context.lookups:
        assert answer.status in (200, 503), (answer.status, vars(answer))
        assert not answer.broken, "cut off"
        if answer.status == 503:
            assert float(answer.headers["Retry-After"]) > 0, answer.headers


@then("at least {least:d} of them were answered 200")
def check_answered(context, least):
    served = sum(answer.status == 200 for answer in context.lookups)
    assert served >= least, (served, len(context.lookups))


@then("it took less than {seconds:g} s")
def check_duration(context, seconds):
    assert context.took_s < seconds, context.took_s


@when("a second daemon acts as leader as well while hosts are lost, for {seconds:d} s")
def run_two_leaders(context, seconds):
    first = context.site
    first.fleet.sent.clear()

    async def run_controllers():
        second = FormationSite([], shared_with=first)
        await asyncio.gather(first.run(seconds / 2), second.run(seconds / 2))

    context.loop.run_until_complete(run_controllers())
    lose_most(context, 3, 0)
    context.loop.run_until_complete(run_controllers())


@then("no host got two different commands to load at once")
def check_loads(context):
    models_by_host = {}
    for kind, host, model in context.site.fleet.sent:
        if kind == "stage":
            models_by_host.setdefault(host, set()).add(model)
    conflicting = {
        host: models for host, models in models_by_host.items() if len(models) > 1
    }
    assert not conflicting, conflicting
