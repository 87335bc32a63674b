"""Steps for the losses that a review of the fix of issue 30 found."""

import asyncio
import os

import async_solipsism
from behave import given, then, when

from auburnproxy.errors import Ran
from auburnproxy.gateway.call import AttemptError
from auburnproxy.gateway.route import RouteKind
from auburnproxy.telemetry.decisions import DecisionLog
from features.fakes.pausing_sender import EVENTS, ROUTE, Pause, PausingSender

FULL = "rejected_503"
FLUSH_S = 0.1


class RefusingSender(PausingSender):
    """Sends requests to engines, of which all but the first one refuse them."""

    async def send(self, call, dispatch):
        """Run the request at the first engine."""
        if self.ran and dispatch.host.id != self.ran[0]:
            raise AttemptError(FULL, ran=Ran.NO)
        return await super().send(call, dispatch)


@given("a {kind} whose engine pauses for {seconds:g} s and whose others refuse with 503")
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


@when("lines and final lines are logged, and it is flushed")
def log_without_reader(context):
    context.raised = []
    calls = (
        lambda: context.log.belief("stop_signal"),
        lambda: context.log.request("answered", "a1"),
        lambda: context.log.final_belief("stopping"),
        lambda: context.log.final_request("request_cut_off", "a1"),
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
