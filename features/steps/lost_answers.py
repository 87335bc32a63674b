"""Steps for answers that pauses, refusals or a lost log reader could end early."""

import asyncio
import os

import async_solipsism
from behave import given, then, when

from auburnproxy.errors import Ran, RefusalError
from auburnproxy.gateway.call import AttemptError
from auburnproxy.gateway.route import RouteKind
from auburnproxy.serving import RequestLimits
from auburnproxy.telemetry.decisions import DecisionLog
from features.fakes.pausing_sender import EVENTS, ROUTE, Pause, PausingSender
from features.fakes.platform import HOST, KEY, MODEL
from features.fakes.serving import (
    FakeEngine,
    FakeUpstreams,
    make_model_request,
    make_plan,
    make_site,
)
from features.fakes.shutdown import shutdown_site, stream
from features.machines.runner import run_virtual

FULL = "rejected_503"
FLUSH_S = 0.1


class RefusingSender(PausingSender):
    """Sends requests to engines, of which all but the first one refuse them."""

    async def send(self, call, dispatch):
        """Run the request at the first engine."""
        if self.ran and dispatch.host.id != self.ran[0]:
            raise AttemptError(FULL, ran=Ran.NO)
        return await super().send(call, dispatch)


@given(
    "a {kind} whose engine pauses for {seconds:g} s and whose others refuse with 503"
)
def set_refusing_engines(context, kind, seconds):
    is_stream = kind == "stream"
    context.pause = Pause(seconds, 3 if is_stream else 0)
    context.route = (
        ROUTE
        if is_stream
        else ROUTE._replace(kind=RouteKind.IDEMPOTENT, resumable=False)
    )


@when("it is requested while its route allows {engines:d} engines")
def request_at_refusing_engines(context, engines):
    loop = async_solipsism.EventLoop()
    route = context.route._replace(attempts=engines)

    async def run():
        context.sender = RefusingSender(context.pause, route=route)
        await context.sender.request()
        context.sender.fixture.health.close()

    loop.run_until_complete(run())


@then("the caller gets the whole answer")
def check_whole(context):
    sender = context.sender
    lines = sender.decisions.lines
    assert sender.whole, (sender.status, round(sender.took_s, 3), lines)
    assert sender.written.count(b"data: x") == EVENTS, sender.written


@given("a decision log whose reader has ended")
def end_reader(context):
    reader, context.descriptor = os.pipe()
    os.set_blocking(context.descriptor, False)
    os.close(reader)
    context.log = DecisionLog("test", descriptor=context.descriptor)


@when("lines are logged before a stop and during it, and it is flushed")
def log_without_reader(context):
    context.raised = []
    calls = (
        lambda: context.log.belief("stop_signal"),
        lambda: context.log.request("answered", "a1"),
        context.log.begin_final_lines,
        lambda: context.log.belief("stopping"),
        lambda: context.log.request("request_cut_off", "a1"),
        lambda: context.log.flush(FLUSH_S),
    )
    for call in calls:
        try:
            call()
        except OSError as error:
            context.raised.append(error)
    os.close(context.descriptor)


@then("nothing is raised")
def check_nothing_raised(context):
    assert not context.raised, context.raised


@given("one engine that pauses for {seconds:g} s after {count:d} chunks")
def set_pausing_engine(context, seconds, count):
    context.engine = FakeEngine(
        script=lambda call, chunks: [*chunks[:count], seconds, *chunks[count:]],
        length=5,
    )


@when("a call of 5 chunks is made to it")
def call_engine(context):
    context.parts, context.refusal = [], None

    async def run():
        upstreams = FakeUpstreams({"e0": context.engine}, slots=4)
        plan = make_plan("alpha", concurrent=8, queue=200)
        site = make_site([plan], upstreams, limits=RequestLimits(max_attempts=3))

        async def write(data):
            context.parts.append(data)

        try:
            await site.model_calls.run(make_model_request(plan, "r"), write)
        except RefusalError as refusal:
            context.refusal = refusal

    run_virtual(run())


@then("the call has all chunks")
def check_call(context):
    expected = [b"t%d" % i for i in range(5)]
    assert context.parts == expected, (context.parts, repr(context.refusal))


@given("a gateway daemon whose caller speaks HTTP/1.0")
def start_later(context):
    """The next step starts the daemon: it is in one event loop with its caller."""


@when("a stream of 8 s is requested with a deadline of 1 s")
def request_with_http_10(context):
    path = stream(80)
    head = (
        f"POST {path} HTTP/1.0\r\nHost: {HOST}\r\nAttempt-Id: a1\r\n"
        f"Deadline-Ms: 1000\r\nApi-Key: {KEY}\r\nModel: {MODEL}\r\n"
        "Token-Usage: 100,30\r\nContent-Length: 0\r\n\r\n"
    )

    async def run():
        async with shutdown_site(1) as site:
            host, _, port = site.daemons[0].callers.rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(head.encode())
            context.received, context.reset = b"", False
            try:
                while block := await reader.read(65_536):
                    context.received += block
            except ConnectionResetError:
                context.reset = True
            writer.transport.abort()

    asyncio.run(run())


@then("its connection is reset")
def check_reset(context):
    assert b"id: 1\n" in context.received, context.received
    assert context.reset, context.received
