"""Steps for admission and isolation, on a virtual clock."""

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
    make_plain,
    make_plan,
    make_request,
    make_site,
)
from features.machines.search import run_virtual

measure = cache(isolation.measure)
SEED = 1


@given("{seconds:d} calm seconds of three plans on one model and two services")
def calm(context, seconds):
    context.length_s = float(seconds)
    context.calm = measure("calm", seed=SEED, length_s=context.length_s)


@when("the same calls meet {trouble}")
def meet(context, trouble):
    context.seen = measure(trouble, seed=SEED, length_s=context.length_s)
    context.others = [name for name in context.calm if name != "mixed hole"]


@then("the plans and services not at fault keep {percent:d}% of their goodput")
def goodput(context, percent):
    for name in context.others:
        calm, seen = context.calm[name], context.seen[name]
        assert seen.asked == calm.asked, name
        assert seen.answered * 100 >= calm.answered * percent, (name, seen)


@then("their p99 to the first token is at most {times:g} times the calm one")
def first_token(context, times):
    for name in ("bystanders m", "alpha s", "beta s", "mixed s"):
        calm, seen = context.calm[name], context.seen[name]
        assert seen.first_p99_s <= times * calm.first_p99_s, (name, calm, seen)


def full_site(plans, *, hold_s=10.0):
    engine = FakeEngine(length=1, first_s=hold_s, gap_s=0)
    return make_site(plans, FakeUpstreams({"e0": engine}, slots=1))


async def no_write(data):
    pass


async def outcome(site, plan, number, **options):
    started = asyncio.get_running_loop().time()
    try:
        await site.models.run(make_request(plan, number, **options), no_write)
    except RefusalError as refusal:
        return refusal, asyncio.get_running_loop().time() - started
    return None, asyncio.get_running_loop().time() - started


@given("a target of 1 slot and waiting calls of a plan of weight 3 and one of 1")
def weighted(context):
    context.plans = [make_plan("heavy", weight=3), make_plan("light", weight=1)]


@when("the slot is freed {times:d} times")
def freed(context, times):
    async def steps():
        site = full_site(context.plans, hold_s=1.0)
        engine = site.upstreams.engines_by_host["e0"]
        for plan in context.plans:
            for i in range(times):
                work = outcome(site, plan, f"{plan.name}{i}", deadline_s=900.0 - i)
                asyncio.create_task(work)  # noqa: RUF006
        await asyncio.sleep(times + 0.5)
        ids = [call.request_id for call in engine.calls[1 : times + 1]]
        context.turns = ids

    run_virtual(steps())


@then("the first plan had {turns:d} turns, each by earliest deadline")
def turns(context, turns):
    heavy = [name for name in context.turns if name.startswith("heavy")]
    assert len(heavy) == turns, context.turns
    numbers = [int(name.removeprefix("heavy")) for name in heavy]
    assert numbers == sorted(numbers, reverse=True), context.turns


@given("a call that waits for a slot")
def waiting(context):
    context.plan = make_plan("alpha")


@when("every replica of its model goes out")
def goes_out(context):
    async def steps():
        site = full_site([context.plan], hold_s=50.0)
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
def busy(context, seconds):
    context.plan, context.hold_s = make_plan("alpha"), float(seconds)


@when("{count:d} calls with a deadline of {seconds:d} s come")
def late_calls(context, count, seconds):
    async def steps():
        site = full_site([context.plan], hold_s=context.hold_s)
        await outcome(site, context.plan, "first")
        busy = asyncio.create_task(outcome(site, context.plan, "second"))
        await asyncio.sleep(0.1)
        late = [
            outcome(site, context.plan, f"late{i}", deadline_s=float(seconds))
            for i in range(count)
        ]
        context.ends = await asyncio.gather(*late)
        await busy

    run_virtual(steps())


@then("{count:d} of them are refused at once, not run, with Retry-After")
def at_once(context, count):
    refused = [(refusal, took_s) for refusal, took_s in context.ends if refusal]
    assert len(refused) == count, context.ends
    for refusal, took_s in refused:
        assert refusal.status in (429, 503)
        assert refusal.ran is Ran.NO
        assert refusal.retry_after_s >= 1
        assert took_s == 0, took_s


@given("calls that wait for a slot of a model and of a service")
def waiting_both(context):
    context.plan = make_plan("alpha")


@when("both targets go out here and a peer of another failure domain has them")
def both_go_out(context):
    async def steps():
        engine, service = FakeEngine(), FakeService()
        upstreams = FakeUpstreams({"e0": engine}, {"p0": service}, slots=0)
        site = make_site([context.plan], upstreams)
        forwarder = FakeForwarder()
        site.models._forwarder = site.services._forwarder = forwarder
        model = asyncio.create_task(outcome(site, context.plan, "r"))
        plain = asyncio.create_task(site.services.run(make_plain(context.plan)))
        await asyncio.sleep(0.5)
        assert not forwarder.calls
        member = Member("b", "1", "domain-b", "", "")
        site.peers.far_by_domain = {"domain-b": [member]}
        upstreams.unusable |= {"e0", "p0"}
        context.ends = (await model)[0], (await plain).body
        context.calls, context.own = forwarder.calls, engine.calls + [*service.runs]

    run_virtual(steps())


@then("both calls are answered by the peer")
def by_peer(context):
    assert context.ends == (None, b"far"), context.ends
    assert sorted(context.calls) == ["model", "service"] and not context.own
