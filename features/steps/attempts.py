"""Steps for streams whose heads stall, without a network."""

import re

import async_solipsism
from behave import given, then, when

from features.fakes.tries import ALLOWED, EVENTS, Tries
from features.machines.search import close


@given("a route that allows {allowed:d} engines, and {count:d} heads that stall")
def set_heads(context, allowed, count):
    assert allowed == ALLOWED
    context.count, context.heads = count, 3
    context.loop = async_solipsism.EventLoop()
    context.add_cleanup(lambda: close(context.loop))


@given("a route that allows {allowed:d} engines, and one head that stalls twice")
def set_one_head(context, allowed):
    set_heads(context, allowed, 2)
    context.heads = 1


@when("a stream is asked for and, at each head that stalls, {fate}")
def ask(context, fate):
    async def play():
        context.tries = Tries(context.count, fate, heads=context.heads)
        await context.tries.stream()

    context.loop.run_until_complete(play())


@then("at most {count:d} engines that live have run it")
def compare_living(context, count):
    tries = context.tries
    assert len(tries.ran_on_living) <= count, (tries.ran, tries.fate_by_engine)


@then("its answer never looks complete")
def compare_open(context):
    assert not context.tries.whole, context.tries.written


@then("it is whole and in order, and {count:d} engines have run it")
def compare_whole(context, count):
    tries = context.tries
    ids = [int(n) for n in re.findall(rb"id: (\d+)", tries.written)]
    assert tries.whole and ids == list(range(1, EVENTS + 1)), (tries.ran, ids)
    assert len({*tries.ran}) == count, tries.ran


@then("none of its callers has had to wait {seconds:g} s for an event")
def compare_pause(context, seconds):
    assert context.tries.took_s < 2 * seconds, context.tries.took_s
