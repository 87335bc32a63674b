"""Steps for the HTTP listeners of a daemon, on loopback."""

import asyncio
from types import SimpleNamespace

from aiohttp import ClientSession, web
from behave import given, then, when

from auburnproxy.daemon.listener import Listener
from features.loopback import free_addresses

TIMEOUT_S = 10.0


@given("a listener with a timeout of {seconds:g} s for request heads")
def set_timeout(context, seconds):
    context.idle_s = seconds


async def open_listener(context):
    (address,) = free_addresses(1)
    daemon = SimpleNamespace(drained=asyncio.Event())
    listener = Listener(address, web.Application(), daemon, idle_s=context.idle_s)
    await listener.start()
    return listener, daemon, address


@when("a caller sends half a request head and waits")
def send_half(context):
    async def call():
        listener, daemon, address = await open_listener(context)
        host, _, port = address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"GET / HTTP/1.1\r\nHost: ")
        async with asyncio.timeout(TIMEOUT_S):
            context.rest = await reader.read()
        writer.close()
        daemon.drained.set()
        await listener.stop()

    asyncio.run(call())


@then("the connection is closed")
def check_closed(context):
    assert context.rest == b"", context.rest


@when("it is stopped before the daemon has drained")
def stop_early(context):
    async def call():
        listener, daemon, address = await open_listener(context)
        stopping = asyncio.create_task(listener.stop())
        await asyncio.sleep(0.05)
        async with ClientSession() as session, session.get(f"http://{address}/") as got:
            context.status = got.status
        context.stopped_early = stopping.done()
        daemon.drained.set()
        async with asyncio.timeout(TIMEOUT_S):
            await stopping

    asyncio.run(call())


@then("it serves requests until then")
def check_served_until_drained(context):
    assert context.status == 404, context.status
    assert not context.stopped_early
