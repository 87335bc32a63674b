"""Steps for streams at heads that stall, and for liveness checks by connections."""

import asyncio
import re
import socket
from contextlib import AsyncExitStack

import async_solipsism
from behave import given, then, when

from auburnproxy.gateway.liveness import check_liveness
from auburnproxy.platform.engine_commands import PlatformEngineCommands
from features.fakes.fleet import host
from features.fakes.platform import EngineStandIn
from features.fakes.stalling_sender import ALLOWED, EVENTS, StallingSender
from features.loopback import free_addresses
from features.machines.runner import close_loop


@given("a route that allows {allowed:d} engines, and {count:d} heads that stall")
def set_heads(context, allowed, count):
    assert allowed == ALLOWED
    context.count, context.heads = count, 3
    context.loop = async_solipsism.EventLoop()
    context.add_cleanup(lambda: close_loop(context.loop))


@given("a route that allows {allowed:d} engines, and one head that stalls twice")
def set_one_head(context, allowed):
    set_heads(context, allowed, 2)
    context.heads = 1


@when("a stream is requested and, at each head that stalls, {fate}")
def request_stream(context, fate):
    async def run():
        context.sender = StallingSender(context.count, fate, heads=context.heads)
        await context.sender.stream()

    context.loop.run_until_complete(run())


@then("at most {count:d} live engines have run it")
def compare_live(context, count):
    sender = context.sender
    assert len(sender.ran_on_live) <= count, (sender.ran, sender.fate_by_engine)


@then("its answer never looks complete")
def compare_open(context):
    assert not context.sender.whole, context.sender.written


@then("it is whole and in order, and {count:d} engines have run it")
def compare_whole(context, count):
    sender = context.sender
    ids = [int(n) for n in re.findall(rb"id: (\d+)", sender.written)]
    assert sender.whole and ids == list(range(1, EVENTS + 1)), (sender.ran, ids)
    assert len({*sender.ran}) == count, sender.ran


@then("its caller has not waited {seconds:g} s for an event")
def compare_pause(context, seconds):
    assert context.sender.longest_wait_s < seconds, context.sender.longest_wait_s


@given("an engine that {state}")
def set_state(context, state):
    context.state = state


async def listen_without_accepting(address, stack):
    """Make connections time out: the backlog of the listener is full."""
    name, _, port = address.rpartition(":")
    listener = socket.create_server((name, int(port)), backlog=0)
    stack.callback(listener.close)
    for _ in range(2):
        waiting = socket.socket()
        waiting.setblocking(False)
        waiting.connect_ex((name, int(port)))
        stack.callback(waiting.close)


@when("the platform adapter requests its report")
def ask_report(context):
    async def run():
        async with AsyncExitStack() as stack:
            orders, engine = (
                PlatformEngineCommands(),
                EngineStandIn("e0", free_addresses(1)[0]),
            )
            stack.push_async_callback(orders.close_connections)
            if context.state == "accepts no connection":
                await listen_without_accepting(engine.address, stack)
            elif context.state in ("answers nothing", "answers something else"):
                nothing = context.state == "answers nothing"
                await stack.enter_async_context(await serve(engine.address, nothing))
            elif context.state != "has ended":
                engine.born += context.state == "has restarted"
                await engine.start()
                stack.push_async_callback(engine.stop)
            known = host("e0", address=engine.address)
            context.liveness = await check_liveness(known, orders.report)

    asyncio.run(run())


async def serve(address, nothing):
    async def answer(reader, writer):
        if nothing:
            await reader.read()
        writer.write(b"HTTP/1.1 500 Internal Server Error\r\n\r\n")
        writer.close()

    name, _, port = address.rpartition(":")
    return await asyncio.start_server(answer, name, int(port))


@then("it shows that the process {verdict}")
def compare_liveness(context, verdict):
    assert context.liveness == verdict.removeprefix("is "), context.liveness
