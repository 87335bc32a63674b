"""Steps for streamed answers, on a virtual clock."""

import asyncio
from contextlib import suppress

from behave import given, then, when

from auburnproxy.errors import Ran, RefusalError, UpstreamError
from auburnproxy.serving.endpoints import ReplicaEndpoint
from auburnproxy.upstreams.engine import ModelCall
from features.fakes.serving import (
    FakeEngine,
    FakeUpstreams,
    make_model_request,
    make_plan,
    make_site,
)
from features.machines.runner import run_examples, run_virtual
from features.machines.streams import StreamMachine, break_off, stall


async def no_write(data):
    pass


def make_engines(script=None, *, slots=4, concurrent=8, count=2):
    engines = [FakeEngine(script=script) for _ in range(count)]
    upstreams = FakeUpstreams({f"e{i}": e for i, e in enumerate(engines)}, slots=slots)
    plan = make_plan("alpha", concurrent=concurrent, queue=200)
    return engines, plan, make_site([plan], upstreams)


@when("a stateful test searches streams for wrong answers")
def search_streams(context):
    run_examples(StreamMachine, examples=300, steps=30)


@then("the stream search found none")
def none_found(context):
    pass


@given("2 engines of which the one in use stalls after {at:d} chunks")
def stalls(context, at):
    context.script = lambda call, chunks: (
        chunks if call.resume_from else stall(chunks, at)
    )


@given("8 running engines whose replicas are considered lost {times:d} times")
def consider_lost(context, times):
    context.times, context.restart = times, False


@given("8 engines of which the one in use restarts {times:d} times")
def restart(context, times):
    context.times, context.restart = times, True


@when("an answer of 40 chunks is requested")
def request_long_answer(context):
    run_virtual(lose_replica_repeatedly(context))


async def lose_replica_repeatedly(context):
    """Lose the replica in use repeatedly; each recovers soon after."""
    engines, plan, site = make_engines(count=8)
    loop, losses_left = asyncio.get_running_loop(), context.times
    context.parts, context.refusal = [], None

    def lose(host):
        nonlocal losses_left
        if losses_left:
            losses_left -= 1
            site.upstreams.restarts_by_host[host] += context.restart
            site.upstreams.lose(host)
            loop.call_later(0.02, site.upstreams.recover, host)

    async def write(data):
        context.parts.append(data)

    for host, engine in site.upstreams.engines_by_host.items():
        engine.length = 40
        engine.on_call = lambda call, host=host: loop.call_later(0.1, lose, host)
    try:
        await site.model_calls.run(make_model_request(plan, "r"), write)
    except RefusalError as refusal:
        context.refusal = refusal
    context.calls = sum(len(engine.calls) for engine in engines)


@then("3 calls have reached the engines, and the caller is told that it may have run")
def check_dispatched(context):
    assert context.calls == 3, context.calls
    assert context.refusal and context.refusal.ran is Ran.UNKNOWN, context.refusal


@then("{calls:d} calls have reached the engines, and the answer is complete")
def check_resumed(context, calls):
    assert context.calls == calls, context.calls
    assert context.parts == [b"t%d" % i for i in range(40)], context.parts


@when("an answer of 5 chunks is requested")
def request_short_answer(context):
    async def steps():
        engines, plan, site = make_engines(context.script)
        parts = []

        async def write(data):
            parts.append(data)

        await site.model_calls.run(make_model_request(plan, "r"), write)
        context.parts, context.calls = parts, [c for e in engines for c in e.calls]
        context.took_s = asyncio.get_running_loop().time()

    run_virtual(steps())


@then("all chunks arrive within {most_s:d} s, the second engine starting at chunk 2")
def check_resumed_after_stall(context, most_s):
    assert context.parts == [b"t%d" % i for i in range(5)], context.parts
    assert sorted(call.resume_from for call in context.calls) == [0, 2]
    assert context.took_s <= most_s, context.took_s


@given("a replica that was chosen")
def chosen(context):
    context.before_dispatch = lambda site: None


@when("it is lost before the dispatch")
def lose_before_dispatch(context):
    async def steps():
        engines, _, site = make_engines()
        replica = site.router.acquire_replica("m", ())
        endpoint = ReplicaEndpoint(replica, site.router, site.upstreams, site.upstreams)
        site.upstreams.lose(replica.head)
        try:
            async for _ in endpoint.generate(ModelCall("r", "m", b"", 1, 5.0)):
                pass
        except UpstreamError as error:
            context.error = error
        context.sent = sum(len(engine.calls) for engine in engines)

    run_virtual(steps())


@then("the dispatch is refused as not run and nothing was sent")
def check_refused_unsent(context):
    assert context.error.ran is Ran.NO and context.sent == 0


@given("a caller that waits for the only slot")
def waiting_caller(context):
    context.slots = 1


@when("the slot is freed and the caller disconnects in the same loop iteration")
def free_and_disconnect(context):
    async def steps():
        _, plan, site = make_engines(slots=0)
        request = make_model_request(plan, "r")
        waiting = asyncio.create_task(site.model_calls.run(request, no_write))
        await asyncio.sleep(0.001)
        site.upstreams.slots = context.slots
        site.admission.dispatch_waiting()
        waiting.cancel()
        await asyncio.gather(waiting, return_exceptions=True)
        context.held = {k: g.in_flight for k, g in site.limiters.by_key.items()}
        context.peak = max(g.peak for g in site.limiters.by_key.values())

    run_virtual(steps())


@then("no slot is held")
def check_no_slot_held(context):
    assert context.peak == 1, "the caller never got the slot"
    assert not any(context.held.values()), context.held


@given("engines that fail during every answer")
def fail_every_answer(context):
    context.script = lambda call, chunks: break_off(chunks, 1)


@when("{requests:d} requests are made")
def many_requests(context, requests):
    async def steps():
        engines, plan, site = make_engines(context.script)
        for i in range(requests):
            with suppress(RefusalError):
                await site.model_calls.run(make_model_request(plan, f"r{i}"), no_write)
        context.calls = sum(len(engine.calls) for engine in engines)

    run_virtual(steps())


@then("at most {max_calls:d} calls reach the engines")
def check_bounded(context, max_calls):
    assert context.calls <= max_calls, context.calls


@given("{calls:d} calls of a plan of 8 slots on 2 engines")
def eight_calls(context, calls):
    context.count = calls


@when("one engine resets its calls")
def reset_one_engine(context):
    async def steps():
        engines, plan, site = make_engines(slots=8)
        engines[0].script = lambda call, chunks: [chunks[0], UpstreamError("reset")]
        engines[1].length = 500
        requests = [make_model_request(plan, f"r{i}") for i in range(context.count)]
        tasks = [
            asyncio.create_task(site.model_calls.run(request, no_write))
            for request in requests
        ]
        await asyncio.sleep(2)
        context.in_flight = site.limiters.limiter("plan/alpha").in_flight
        context.refused = [task for task in tasks if task.done()]

    run_virtual(steps())


@then("all 8 calls are in flight at once again")
def check_all_in_flight(context):
    assert not context.refused, context.refused
    assert context.in_flight == context.count, context.in_flight
