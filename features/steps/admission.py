"""Steps for admission, on a virtual clock."""

import asyncio

from behave import given, then, when

from auburnproxy.admission import Admission
from auburnproxy.errors import RefusalError
from features.fakes.serving import FakeConfiguration, FakeGates, FreeTargets, make_plan
from features.machines.search import run_virtual

TARGET = "model/quote"
FAR_S = 1000.0


class Slots:
    """Slots of one upstream, each held by a placement."""

    def __init__(self, free):
        self.free = free

    def choose(self):
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
def stick(context, seconds):
    context.service_s = seconds


async def call(context, admission, deadline_s):
    loop = asyncio.get_running_loop()
    came, deadline = loop.time(), loop.time() + deadline_s
    choose = context.slots.choose
    try:
        async with admission.ticket(context.plan, TARGET, deadline, choose):
            await asyncio.sleep(context.service_s)
    except RefusalError as refusal:
        return loop.time() - came, refusal
    return loop.time() - came, None


@when(
    "{first:d} calls come, {pause:d} s pass, "
    "and {second:d} calls with deadlines in {deadline:g} s come"
)
def send(context, first, pause, second, deadline):
    async def both():
        admission = Admission(
            FakeConfiguration([context.plan]), FakeGates(), FreeTargets()
        )
        early = [
            asyncio.create_task(call(context, admission, FAR_S)) for _ in range(first)
        ]
        await asyncio.sleep(pause)
        late = [call(context, admission, deadline) for _ in range(second)]
        context.late = await asyncio.gather(*late)
        context.early = await asyncio.gather(*early)

    run_virtual(both())


@then("all {count:d} calls are answered")
def all_answered(context, count):
    ended = context.early + context.late
    assert [refusal for _, refusal in ended] == [None] * count, ended


@then("between {least:d} and {most:d} of the late calls are answered")
def some_answered(context, least, most):
    answered = sum(refusal is None for _, refusal in context.late)
    assert least <= answered <= most, answered


@then(
    "the others are refused within {within:g} s, to return in {least:d} to {most:d} s"
)
def refused_at_once(context, within, least, most):
    refused = [ended for ended in context.late if ended[1] is not None]
    assert refused
    for took_s, refusal in refused:
        assert took_s <= within, took_s
        assert least <= refusal.retry_after_s <= most, refusal.retry_after_s
        assert refusal.ran == "no", refusal.ran
