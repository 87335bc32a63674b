"""Steps for the isolation of plans and services, on a virtual clock."""

import asyncio
from functools import cache

from behave import given, then, when

from auburnproxy.errors import Ran, RefusalError
from auburnproxy.membership import Member
from bench import isolation
from features.fakes.serving import (
    FakeEngine,
    FakeForwarder,
    FakeService,
    FakeUpstreams,
    make_model_request,
    make_plan,
    make_service_request,
    make_site,
)
from features.machines.runner import run_virtual

measure = cache(isolation.measure)
SEED = 1


@given("a baseline of {seconds:d} s with three plans on one model and two services")
def run_baseline(context, seconds):
    context.length_s = float(seconds)
    context.baseline = measure("calm", seed=SEED, length_s=context.length_s)


@when("the same calls run with {fault}")
def run_with_fault(context, fault):
    context.with_fault = measure(fault, seed=SEED, length_s=context.length_s)
    context.others = [name for name in context.baseline if name != "mixed hole"]


@then("the plans and services not at fault keep {percent:d}% of their goodput")
def goodput(context, percent):
    for name in context.others:
        baseline, faulty = context.baseline[name], context.with_fault[name]
        assert faulty.asked == baseline.asked, name
        assert faulty.answered * 100 >= baseline.answered * percent, (name, faulty)


@then("their p99 to the first token is at most {times:g} times that of the baseline")
def first_token(context, times):
    for name in ("bystanders m", "alpha s", "beta s", "mixed s"):
        baseline, faulty = context.baseline[name], context.with_fault[name]
        assert faulty.first_p99_s <= times * baseline.first_p99_s, (
            name,
            baseline,
            faulty,
        )


def make_full_site(plans, *, hold_s=10.0):
    engine = FakeEngine(length=1, first_s=hold_s, gap_s=0)
    return make_site(plans, FakeUpstreams({"e0": engine}, slots=1))


async def no_write(data):
    pass


async def outcome(site, plan, number, **options):
    started = asyncio.get_running_loop().time()
    try:
        await site.model_calls.run(
            make_model_request(plan, number, **options), no_write
        )
    except RefusalError as refusal:
        return refusal, asyncio.get_running_loop().time() - started
    return None, asyncio.get_running_loop().time() - started


@given("a target of 1 slot and waiting calls of a plan of weight 3 and one of 1")
def make_weighted_plans(context):
    context.plans = [make_plan("heavy", weight=3), make_plan("light", weight=1)]


@when("the slot is freed {times:d} times")
def free_slot(context, times):
    async def steps():
        site = make_full_site(context.plans, hold_s=1.0)
        engine = site.upstreams.engines_by_host["e0"]
        for plan in context.plans:
            for i in range(times):
                work = outcome(site, plan, f"{plan.name}{i}", deadline_s=900.0 - i)
                asyncio.create_task(work)  # noqa: RUF006
        await asyncio.sleep(times + 0.5)
        ids = [call.request_id for call in engine.calls[1 : times + 1]]
        context.dispatched = ids

    run_virtual(steps())


@then("{count:d} calls of the first plan were dispatched, the earliest deadline first")
def dispatched_in_order(context, count):
    heavy = [name for name in context.dispatched if name.startswith("heavy")]
    assert len(heavy) == count, context.dispatched
    numbers = [int(name.removeprefix("heavy")) for name in heavy]
    assert numbers == sorted(numbers, reverse=True), context.dispatched


@given("a call that waits for a slot")
def make_waiting_call(context):
    context.plan = make_plan("alpha")


@when("every replica of its model becomes unavailable")
def make_unavailable(context):
    async def steps():
        site = make_full_site([context.plan], hold_s=50.0)
        tasks = [
            asyncio.create_task(outcome(site, context.plan, f"r{i}")) for i in range(2)
        ]
        await asyncio.sleep(1)
        site.upstreams.unusable.add("e0")
        context.refusal, context.took_s = await tasks[1]
        context.calls = len(site.upstreams.engines_by_host["e0"].calls)

    run_virtual(steps())


@then("the waiting call is refused as {code} within {most_s:g} s and was not run")
def refused(context, code, most_s):
    assert (context.refusal.code, context.refusal.ran) == (code, Ran.NO)
    assert context.took_s <= 1 + most_s, context.took_s
    assert context.calls == 1


@given("a busy target of 1 slot whose calls take {seconds:d} s")
def make_busy_target(context, seconds):
    context.plan, context.hold_s = make_plan("alpha"), float(seconds)


@when("{count:d} calls with a deadline of {seconds:d} s arrive")
def send_late_calls(context, count, seconds):
    async def steps():
        site = make_full_site([context.plan], hold_s=context.hold_s)
        await outcome(site, context.plan, "first")
        busy = asyncio.create_task(outcome(site, context.plan, "second"))
        await asyncio.sleep(0.1)
        late = [
            outcome(site, context.plan, f"late{i}", deadline_s=float(seconds))
            for i in range(count)
        ]
        context.outcomes = await asyncio.gather(*late)
        await busy

    run_virtual(steps())


@then("{count:d} of them are refused at once, not run, with Retry-After")
def refused_at_once(context, count):
    refused = [(refusal, took_s) for refusal, took_s in context.outcomes if refusal]
    assert len(refused) == count, context.outcomes
    for refusal, took_s in refused:
        assert refusal.status in (429, 503)
        assert refusal.ran is Ran.NO
        assert refusal.retry_after_s >= 1
        assert took_s == 0, took_s


@given("calls that wait for a slot of a model and of a service")
def make_waiting_calls(context):
    context.plan = make_plan("alpha")


@when("both targets are available only at a peer of another failure domain")
def make_both_unavailable(context):
    async def steps():
        engine, service = FakeEngine(), FakeService()
        upstreams = FakeUpstreams({"e0": engine}, {"p0": service}, slots=0)
        site = make_site([context.plan], upstreams)
        forwarder = FakeForwarder()
        site.model_calls._forwarder = site.service_calls._forwarder = forwarder
        model = asyncio.create_task(outcome(site, context.plan, "r"))
        plain = asyncio.create_task(
            site.service_calls.run(make_service_request(context.plan))
        )
        await asyncio.sleep(0.5)
        assert not forwarder.calls
        member = Member("b", "1", "domain-b", "", "")
        site.peers.far_by_domain = {"domain-b": [member]}
        upstreams.unusable |= {"e0", "p0"}
        context.outcomes = (await model)[0], (await plain).body
        context.calls, context.local_calls = (
            forwarder.calls,
            engine.calls + [*service.runs],
        )

    run_virtual(steps())


@then("both calls are answered by the peer")
def answered_by_peer(context):
    assert context.outcomes == (None, b"far"), context.outcomes
    assert sorted(context.calls) == ["model", "service"] and not context.local_calls
