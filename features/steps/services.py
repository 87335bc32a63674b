"""Steps for plain calls, on a virtual clock."""

import asyncio

from behave import given, then, when

from auburnproxy.errors import RefusalError
from features.fakes.serving import (
    FakeService,
    FakeUpstreams,
    make_plan,
    make_service_request,
    make_site,
)
from features.machines.search import run_virtual

FAULTS = {
    "answer": "",
    "lose answers": "lost answer",
    "can't be reached": "unreachable",
}


def with_site(context, steps):
    async def run():
        hosts = {f"p{i}": service for i, service in enumerate(context.hosts)}
        plan = make_plan("alpha")
        await steps(make_site([plan], FakeUpstreams({}, hosts)), plan)
        context.runs = sum(sum(host.runs.values()) for host in context.hosts)

    run_virtual(run())


async def answer(context, site, request):
    context.answer = context.refusal = None
    try:
        context.answer = await site.service_calls.run(request)
    except RefusalError as refusal:
        context.refusal = refusal


@given("2 hosts of a service of which the first swallows calls")
def swallows(context):
    context.hosts = [FakeService(), FakeService()]
    context.hosts[0].fault = "black hole"


@given("2 hosts of a service that {fault}")
def faulty(context, fault):
    context.hosts = [FakeService(), FakeService()]
    for host in context.hosts:
        host.fault = FAULTS[fault]


@when("a GET call is made")
def get(context):
    async def steps(site, plan):
        await answer(context, site, make_service_request(plan))

    with_site(context, steps)


@when("a POST call is made {keyed} a key")
def post(context, keyed):
    async def steps(site, plan):
        key = "k" if keyed == "with" else ""
        await answer(context, site, make_service_request(plan, method="POST", key=key))
        await asyncio.sleep(5)

    with_site(context, steps)


@when("a POST call with a key is left under way and made again")
def left(context):
    async def steps(site, plan):
        request = make_service_request(plan, method="POST", key="k")
        first = asyncio.create_task(site.service_calls.run(request))
        await asyncio.sleep(0.025)
        first.cancel()
        await asyncio.sleep(5)
        await answer(
            context,
            site,
            make_service_request(plan, method="POST", key="k", number="r2"),
        )

    with_site(context, steps)


@when("two different POST calls are made with one key")
def reused(context):
    async def steps(site, plan):
        await answer(context, site, make_service_request(plan, method="POST", key="k"))
        await answer(
            context, site, make_service_request(plan, method="POST", key="k", body=b"y")
        )

    with_site(context, steps)


@then("the plain call is answered and each host got {calls:d} call")
def answered_both(context, calls):
    assert context.answer is not None, context.refusal
    assert [host.calls for host in context.hosts] == [calls, calls]


@then("the plain call is answered after {runs:d} run")
def answered(context, runs):
    assert context.answer is not None, context.refusal
    assert context.runs == runs


@then("the plain call is refused with ran {ran}, and {runs:d} runs were made")
def refused(context, ran, runs):
    assert context.refusal.ran == ran, context.refusal.ran
    assert context.runs == runs, context.runs


@then("the second is refused as {code} after {runs:d} run")
def refused_as(context, code, runs):
    assert (context.refusal.code, context.runs) == (code, runs)


@then('a call {call} under the grant "{entry}" is {verdict}')
def repeatable(context, call, entry, verdict):
    async def check():
        method, path = call.split(" ")
        request = make_service_request(make_plan("alpha"), method=method, path=path)
        grant = request.grant._replace(repeatable=(entry,))
        return request._replace(grant=grant).repeatable

    assert run_virtual(check()) == (verdict == "repeatable")
