"""Steps for the memory of the bodies in flight."""

import asyncio
from contextlib import ExitStack

from behave import given, then, when

from auburnproxy.errors import RefusalError
from auburnproxy.gateway.body_memory import BodyMemory


def number(text):
    return int(text.replace(",", ""))


@given("memory for {limit} bytes of bodies")
def open_memory(context, limit):
    context.memory = BodyMemory(number(limit))
    context.stalled = []
    context.given_up = []


@when("a body of {size} bytes stalls for {seconds:g} s")
def stall(context, size, seconds):
    context.stalled.append((number(size), seconds))


def has_room(context, size):
    """Return whether a body has room beside those that have stalled."""

    async def use():
        with ExitStack() as stack:
            for stalled_size, seconds in context.stalled:
                held = stack.enter_context(context.memory.hold())
                held.grow(stalled_size)
                held.progressed_at -= seconds
                held.evict = lambda size=stalled_size: context.given_up.append(size)
            newcomer = stack.enter_context(context.memory.hold())
            newcomer.grow(size)

    try:
        asyncio.run(use())
    except RefusalError as refusal:
        assert refusal.status == 503, refusal
        return False
    return True


@then("a body of {size} bytes has room, and the stalled one is given up")
def check_replaced(context, size):
    assert has_room(context, number(size))
    assert context.given_up == [context.stalled[0][0]], context.given_up


@then("a body of {size} bytes is refused, and nothing is given up")
def check_refused(context, size):
    assert not has_room(context, number(size))
    assert not context.given_up, context.given_up


@then("a body of {size} bytes has room, and nothing is given up")
def check_room(context, size):
    assert has_room(context, number(size))
    assert not context.given_up, context.given_up


@then("a body of {size} bytes has room, and the {other} bytes are given up")
def check_largest(context, size, other):
    assert has_room(context, number(size))
    assert context.given_up == [number(other)], context.given_up
