"""Steps for prompt parts whose requests end engines, over connections."""

from aiohttp.test_utils import TestClient, TestServer
from behave import given, then, when

from features.steps.routed import add_daemon, open_site, request_stream, run

SHARED_PART = "5c1e07a2"
REFUSED_WITHIN_S = 0.2
RETRY_AFTER_S = (5.0, 10.0)
"""Bounds of the Retry-After while a part is blocked for the first time."""


@given("a gateway site with {count:d} engines")
def start_site(context, count):
    open_site(context, engines=count)
    context.results = {}


@given('the prompt part "{part}" ends each engine that begins to answer it')
def set_deadly_part(context, part):
    for engine in context.site.engines.values():
        engine.deadly_parts.add(part)


def prefix(*parts):
    """Return a prompt prefix whose last part belongs to its request alone."""
    return ",".join(f"{part}:100" for part in (SHARED_PART, *parts, "e4402b7d"))


async def send_with_part(context, part, *, daemon=0, **headers):
    await request_stream(context, daemon=daemon, Prompt_Prefix=prefix(part), **headers)
    return context.status, context.body, context.headers, context.took_s


@when('{count:d} request with the part "{part}" is sent to each daemon')
@when('{count:d} requests with the part "{part}" are sent to each daemon')
def send_requests(context, count, part):
    async def send_all():
        for _ in range(count):
            for daemon in range(len(context.site.daemons)):
                result = await send_with_part(context, part, daemon=daemon)
                context.results[daemon] = result

    run(context, send_all())


@when('{count:d} requests with the part "{part}" and {ids} are sent')
def send_with_ids(context, count, part, ids):
    async def send_all():
        for number in range(count):
            name = "one" if ids == "one id for all" else f"{number:0500d}"
            context.results[0] = await send_with_part(context, part, Attempt_Id=name)

    run(context, send_all())


@then("at most {count:d} engines have ended")
def count_ended(context, count):
    ended = [e.name for e in context.site.engines.values() if e.ended_at]
    assert 0 < len(ended) <= count, ended


@then("the last request at each daemon was refused at once as blocked_part")
def check_refusals(context):
    for status, body, headers, took_s in context.results.values():
        assert status == 503 and body.startswith(b"blocked_part"), (status, body)
        least_s, most_s = RETRY_AFTER_S
        assert least_s < float(headers["Retry-After"]) <= most_s, headers
        assert took_s < REFUSED_WITHIN_S, took_s


@then("requests that share all other parts are served by each daemon")
def check_others(context):
    async def send_all():
        for daemon in range(len(context.site.daemons)):
            result = await send_with_part(context, "91bd3f06", daemon=daemon)
            assert result[0] == 200, result

    run(context, send_all())


@when("a second daemon starts")
def start_daemon(context):
    add_daemon(context)


@then('the daemon names the blocked part "{part}" and lifts it once')
def lift_block(context, part):
    async def lift():
        server = TestServer(context.site.daemons[0].metrics_application())
        async with TestClient(server) as client:
            body = await (await client.get("/blocked-parts")).json()
            assert list(body["seconds_by_part"]) == [part], body
            assert 5 < body["seconds_by_part"][part] <= 10, body
            statuses = [
                (await client.delete(f"/blocked-parts/{part}")).status for _ in range(2)
            ]
            assert statuses == [204, 404], statuses
            body = await (await client.get("/blocked-parts")).json()
            assert not body["seconds_by_part"], body

    run(context, lift())
