"""Steps for streams whose heads stall, and for what connections show of heads."""

import asyncio
import re
import socket
from contextlib import AsyncExitStack

import async_solipsism
from behave import given, then, when

from auburnproxy.gateway.lookout import sighted
from auburnproxy.platform.engine_orders import PlatformOrders
from features.fakes.fleet import host
from features.fakes.platform import EngineStandIn
from features.fakes.tries import ALLOWED, EVENTS, Tries
from features.loopback import free_addresses
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


@then("its caller has not waited {seconds:g} s for an event")
def compare_pause(context, seconds):
    assert context.tries.longest_wait_s < seconds, context.tries.longest_wait_s


@given("an engine that {state}")
def set_state(context, state):
    context.state = state


async def listen_to_nobody(address, stack):
    """Let connections time out: the queue of those not accepted yet is full."""
    name, _, port = address.rpartition(":")
    listener = socket.create_server((name, int(port)), backlog=0)
    stack.callback(listener.close)
    for _ in range(2):
        waiting = socket.socket()
        waiting.setblocking(False)
        waiting.connect_ex((name, int(port)))
        stack.callback(waiting.close)


@when("the platform's adapter asks it for its report")
def ask_report(context):
    async def play():
        async with AsyncExitStack() as stack:
            orders, engine = PlatformOrders(), EngineStandIn("e0", free_addresses(1)[0])
            stack.push_async_callback(orders.close_connections)
            if context.state == "takes no connection":
                await listen_to_nobody(engine.address, stack)
            elif context.state in ("answers nothing", "answers something else"):
                nothing = context.state == "answers nothing"
                await stack.enter_async_context(await serve(engine.address, nothing))
            elif context.state != "has ended":
                engine.born += context.state == "has been replaced"
                await engine.start()
                stack.push_async_callback(engine.stop)
            known = host("e0", address=engine.address)
            context.sighting = await sighted(known, orders.report)

    asyncio.run(play())


async def serve(address, nothing):
    async def answer(reader, writer):
        if nothing:
            await reader.read()
        writer.write(b"HTTP/1.1 500 Internal Server Error\r\n\r\n")
        writer.close()

    name, _, port = address.rpartition(":")
    return await asyncio.start_server(answer, name, int(port))


@then("it shows that the process {verdict}")
def compare_sighting(context, verdict):
    assert context.sighting == verdict.removeprefix("is "), context.sighting
