"""Steps for requests whose upstream pauses in the middle of its answer."""

import asyncio
import re
from contextlib import suppress

import async_solipsism
from behave import given, then, when

from auburnproxy.errors import RefusalError
from auburnproxy.gateway.route import RouteKind
from auburnproxy.serving import RequestLimits
from features.fakes.pausing_sender import EVENTS, ROUTE, Pause, PausingSender
from features.fakes.selection import SelectionFixture
from features.fakes.serving import (
    FakeEngine,
    FakeUpstreams,
    make_model_request,
    make_plan,
    make_site,
)
from features.machines.runner import close_loop, run_virtual

SETTLE_S = 1.0
"""Time for which the log goes on after the request has ended."""
SLACK_S = 0.1
FIRST_EXCLUSION_S, SILENCE_S = 0.5, 0.3
LOOKUP = ROUTE._replace(kind=RouteKind.IDEMPOTENT, resumable=False)
OPTIONS_BY_OBSTACLE = {
    "its route allows one engine": {"attempts": 1},
    "a second engine is silent too": {"pausing": 2},
    "the retry budget is spent": {"retries": 0},
    "there is no other replica": {"heads": 1},
    "it may run only once": {"resumable": False},
}


@given("a stream whose engine pauses for {seconds:g} s after {event:d} events")
def set_pause_between_events(context, seconds, event):
    context.pause, context.route = Pause(seconds, event), ROUTE


@given("a stream whose engine pauses for {seconds:g} s before its first event")
def set_pause_before_first_event(context, seconds):
    context.pause, context.route = Pause(seconds), ROUTE


@given("a stream whose engine pauses for {seconds:g} s and then loses its connection")
def set_pause_before_break(context, seconds):
    context.pause, context.route = Pause(seconds, 3, then_breaks=True), ROUTE


@given("a lookup whose host pauses for {seconds:g} s")
def set_lookup_pause(context, seconds):
    context.pause, context.route = Pause(seconds), LOOKUP


@given("a lookup whose first host answers 500 and whose second one breaks off")
def set_failing_hosts(context):
    context.pause, context.route = Pause(0.1, then_breaks=True), LOOKUP
    context.first_status = 500


@when("it is requested and its route allows three hosts")
def request_three_times(context):
    play(context, attempts=3, pausing=2, first_status=context.first_status)


def play(context, during=None, **options):
    """Make the request on a virtual clock, beside another coroutine if one is given."""
    changes = {k: options.pop(k) for k in ("attempts", "resumable") if k in options}
    route = context.route._replace(**changes)
    loop = async_solipsism.EventLoop()

    async def run():
        context.sender = PausingSender(context.pause, route=route, **options)
        requesting = asyncio.create_task(context.sender.request())
        if during is not None:
            await during(requesting)
        await asyncio.gather(requesting, return_exceptions=True)
        await asyncio.sleep(SETTLE_S)
        context.spent = context.sender.spent

    try:
        loop.run_until_complete(run())
    finally:
        close_loop(loop)


@when("it is requested while {obstacle}")
def request_with_obstacle(context, obstacle):
    play(context, **OPTIONS_BY_OBSTACLE[obstacle])


@when("it is requested and another replica registers after {seconds:g} s")
def request_and_register(context, seconds):
    async def register(requesting):
        await asyncio.sleep(seconds)
        context.sender.add_replica()

    play(context, register, heads=1)


@when("it is requested and its caller leaves after {seconds:g} s")
def request_and_leave(context, seconds):
    async def leave(requesting):
        await asyncio.sleep(seconds)
        requesting.cancel()
        context.left_at = asyncio.get_running_loop().time()

    play(context, leave, attempts=1)


@then("it is whole, and {count:d} engines have run it")
def check_whole(context, count):
    sender = context.sender
    ids = [int(n) for n in re.findall(rb"id: (\d+)", sender.written)]
    assert sender.whole, (sender.status, sender.took_s, sender.decisions.lines)
    assert ids == list(range(1, EVENTS + 1)), ids
    assert len({*sender.ran}) == count, sender.ran


@then("it has the host's answer, and {count:d} hosts have run it")
def check_lookup(context, count):
    sender = context.sender
    assert sender.whole and sender.status == 200, (sender.status, sender.took_s)
    assert len({*sender.ran}) == count, sender.ran


@then("the log names the obstacle {name} once")
def check_obstacle(context, name):
    lines = context.sender.lines("waiting_at_silent_upstream")
    assert [line["obstacle"] for line in lines] == [name], lines


@then("the answer took less than {seconds:g} s")
def check_took(context, seconds):
    assert context.sender.took_s < seconds, context.sender.took_s


@then("{count:d} retry was spent")
@then("{count:d} retries were spent")
def check_spent(context, count):
    assert context.spent == count, context.spent


def check_ended_at(context, seconds):
    sender = context.sender
    assert not sender.whole
    assert seconds <= sender.took_s < seconds + SLACK_S, sender.took_s


@then("it is aborted at its deadline of {seconds:g} s")
def check_aborted_at(context, seconds):
    check_ended_at(context, seconds)
    assert context.sender.status == 200, context.sender.status


@then("it is answered with status {status:d} at its deadline of {seconds:g} s")
def check_answered_at(context, status, seconds):
    check_ended_at(context, seconds)
    assert context.sender.status == status, context.sender.status


@then("the log line of the abort names the obstacle {name}")
def check_abort_line(context, name):
    (line,) = context.sender.lines("stream_aborted")
    assert (line["code"], line["obstacle"]) == ("deadline", name), line


@then("its engine was excluded once, until it sent data again")
def check_excluded(context):
    sender = context.sender
    for kind in ("upstream_excluded", "upstream_back"):
        assert len(sender.lines(kind)) == 1, sender.decisions.lines


@then("its engine was disconnected at once")
def check_disconnected(context):
    assert context.sender.disconnected_at == [context.left_at]


@given("a head whose exclusion has ended")
def exclude_head(context):
    context.loop = async_solipsism.EventLoop()
    context.add_cleanup(lambda: close_loop(context.loop))

    async def exclude():
        context.fixture = SelectionFixture(1, 0, 9)
        context.fixture.health.record_failure("n0", reason="no event")
        await asyncio.sleep(FIRST_EXCLUSION_S)

    context.loop.run_until_complete(exclude())


@when("the stream that tests it finds it silent and goes on waiting")
def test_head(context):
    async def select():
        fixture = context.fixture
        assert fixture.select(begun=False) == "n0"
        await asyncio.sleep(SILENCE_S)
        assert fixture.select(begun=False) is None
        fixture.health.record_stall("n0", silence_s=SILENCE_S, reason="no event")

    context.loop.run_until_complete(select())


@then("the head is excluded for {seconds:g} s and then gets another stream")
def check_tested_again(context, seconds):
    async def select():
        await asyncio.sleep(seconds - SLACK_S)
        early = context.fixture.select(begun=False)
        await asyncio.sleep(2 * SLACK_S)
        return early, context.fixture.select(begun=False)

    taken = context.loop.run_until_complete(select())
    assert taken == (None, "n0"), taken


@given("engines that pause for {seconds:g} s after {count:d} chunks")
def set_pausing_engines(context, seconds, count):
    def pause(call, chunks):
        return [*chunks[:count], seconds, *chunks[count:]]

    context.script = pause


@when("a call of 5 chunks is made while {obstacle}")
def call_with_obstacle(context, obstacle):
    attempts = {"it may be made only once": 1, "its second engine pauses too": 2}
    limits = RequestLimits(max_attempts=attempts.get(obstacle, 3))

    async def run():
        engines = [FakeEngine(script=context.script, length=5) for _ in range(3)]
        upstreams = FakeUpstreams({f"e{i}": e for i, e in enumerate(engines)}, slots=4)
        plan = make_plan("alpha", concurrent=8, queue=200)
        site = make_site([plan], upstreams, limits=limits)
        request = make_model_request(plan, "r")
        budget = site.model_calls._budgets.budget(plan.name, request.target)
        while obstacle == "its retry budget is empty" and budget.try_withdraw():
            pass
        context.parts = []

        async def write(data):
            context.parts.append(data)

        with suppress(RefusalError):
            await site.model_calls.run(request, write)
        context.calls = sum(len(engine.calls) for engine in engines)

    run_virtual(run())


@then("all its chunks have arrived, and {count:d} calls have reached the engines")
def check_chunks(context, count):
    assert context.parts == [b"t%d" % i for i in range(5)], context.parts
    assert context.calls == count, context.calls
