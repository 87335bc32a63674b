"""Steps for admission, on a virtual clock."""

import asyncio

from behave import given, then, when

from auburnproxy.admission import Admission
from auburnproxy.errors import RefusalError
from features.fakes.serving import (
    FakeConfiguration,
    FakeSlotLimiters,
    FreeTargets,
    make_plan,
)
from features.machines.runner import run_virtual

TARGET = "model/quote"
LONG_DEADLINE_S = 1000.0


class Slots:
    """Slots of one upstream, each held by a placement."""

    def __init__(self, free):
        self.free = free

    def acquire(self):
        if not self.free:
            return None
        self.free -= 1
        return self

    def release(self):
        self.free += 1


@given("a target with {slots:d} slots, whose calls take {seconds:g} s")
def make_target(context, slots, seconds):
    context.slots, context.service_s = Slots(slots), seconds
    context.plan = make_plan("works", concurrent=64, queue=64)


@given("its calls are stuck for {seconds:d} s")
def set_stuck(context, seconds):
    context.service_s = seconds


async def call(context, admission, deadline_s):
    loop = asyncio.get_running_loop()
    arrived_at, deadline = loop.time(), loop.time() + deadline_s
    acquire = context.slots.acquire
    try:
        async with admission.reserve_slots(context.plan, TARGET, deadline, acquire):
            await asyncio.sleep(context.service_s)
    except RefusalError as refusal:
        return loop.time() - arrived_at, refusal
    return loop.time() - arrived_at, None


@when(
    "{first:d} calls arrive, {pause:d} s pass, "
    "and {second:d} calls with deadlines in {deadline:g} s arrive"
)
def send_calls(context, first, pause, second, deadline):
    async def send_both():
        admission = Admission(
            FakeConfiguration([context.plan]), FakeSlotLimiters(), FreeTargets()
        )
        earlier = [
            asyncio.create_task(call(context, admission, LONG_DEADLINE_S))
            for _ in range(first)
        ]
        await asyncio.sleep(pause)
        later = [call(context, admission, deadline) for _ in range(second)]
        context.later = await asyncio.gather(*later)
        context.earlier = await asyncio.gather(*earlier)

    run_virtual(send_both())


@when(
    "{first:d} calls arrive, {pause:d} s pass, "
    "and {second:d} calls arrive {when} a stop within {stop_s:g} s begins"
)
def send_calls_around_stop(context, first, pause, second, when, stop_s):
    async def send_both():
        admission = Admission(
            FakeConfiguration([context.plan]), FakeSlotLimiters(), FreeTargets()
        )
        tasks = [
            asyncio.create_task(call(context, admission, LONG_DEADLINE_S))
            for _ in range(first)
        ]
        await asyncio.sleep(pause)
        stops_at = asyncio.get_running_loop().time() + stop_s
        if when == "after":
            admission.stop_by(stops_at)
        later = [
            asyncio.create_task(call(context, admission, LONG_DEADLINE_S))
            for _ in range(second)
        ]
        await asyncio.sleep(0)
        if when == "before":
            admission.stop_by(stops_at)
        context.later = await asyncio.gather(*later)
        await asyncio.gather(*tasks)

    run_virtual(send_both())


@then("the others are refused within {within:g} s as draining")
def refused_as_draining(context, within):
    refused = [outcome for outcome in context.later if outcome[1] is not None]
    assert refused
    for took_s, refusal in refused:
        assert took_s <= within, took_s
        assert refusal.code == "draining" and refusal.ran == "no", refusal


@then("all {count:d} calls are answered")
def all_answered(context, count):
    outcomes = context.earlier + context.later
    assert [refusal for _, refusal in outcomes] == [None] * count, outcomes


@then("between {least:d} and {most:d} of the later calls are answered")
def some_answered(context, least, most):
    answered = sum(refusal is None for _, refusal in context.later)
    assert least <= answered <= most, answered


@then(
    "the others are refused within {within:g} s, "
    "with Retry-After of {least:d} to {most:d} s"
)
def refused_at_once(context, within, least, most):
    refused = [outcome for outcome in context.later if outcome[1] is not None]
    assert refused
    for took_s, refusal in refused:
        assert took_s <= within, took_s
        assert least <= refusal.retry_after_s <= most, refusal.retry_after_s
        assert refusal.ran == "no", refusal.ran
