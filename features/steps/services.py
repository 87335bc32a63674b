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


def run_with_site(context, steps):
    async def run():
        hosts = {f"p{i}": service for i, service in enumerate(context.hosts)}
        plan = make_plan("alpha")
        await steps(make_site([plan], FakeUpstreams({}, hosts)), plan)
        context.runs = sum(sum(host.runs.values()) for host in context.hosts)

    run_virtual(run())


async def run_call(context, site, request):
    context.answer = context.refusal = None
    try:
        context.answer = await site.service_calls.run(request)
    except RefusalError as refusal:
        context.refusal = refusal


@given("2 hosts of a service of which the first never answers")
def first_never_answers(context):
    context.hosts = [FakeService(), FakeService()]
    context.hosts[0].fault = "black hole"


@given("2 hosts of a service that {fault}")
def hosts_with_fault(context, fault):
    context.hosts = [FakeService(), FakeService()]
    for host in context.hosts:
        host.fault = FAULTS[fault]


@when("a GET call is made")
def get_call(context):
    async def steps(site, plan):
        await run_call(context, site, make_service_request(plan))

    run_with_site(context, steps)


@when("a POST call is made {keyed} a key")
def post_call(context, keyed):
    async def steps(site, plan):
        key = "k" if keyed == "with" else ""
        await run_call(
            context, site, make_service_request(plan, method="POST", key=key)
        )
        await asyncio.sleep(5)

    run_with_site(context, steps)


@when("a POST call with a key is cancelled while it runs, and made again")
def cancel_and_repeat(context):
    async def steps(site, plan):
        request = make_service_request(plan, method="POST", key="k")
        first = asyncio.create_task(site.service_calls.run(request))
        await asyncio.sleep(0.025)
        first.cancel()
        await asyncio.sleep(5)
        await run_call(
            context,
            site,
            make_service_request(plan, method="POST", key="k", request_id="r2"),
        )

    run_with_site(context, steps)


@when("two different POST calls are made with one key")
def reuse_key(context):
    async def steps(site, plan):
        await run_call(
            context, site, make_service_request(plan, method="POST", key="k")
        )
        await run_call(
            context, site, make_service_request(plan, method="POST", key="k", body=b"y")
        )

    run_with_site(context, steps)


@then("the plain call is answered and each host got {calls:d} call")
def check_both_called(context, calls):
    assert context.answer is not None, context.refusal
    assert [host.calls for host in context.hosts] == [calls, calls]


@then("the plain call is answered after {runs:d} run")
def check_answered(context, runs):
    assert context.answer is not None, context.refusal
    assert context.runs == runs


@then("the plain call is refused with ran {ran}, and {runs:d} runs were made")
def check_refused(context, ran, runs):
    assert context.refusal.ran == ran, context.refusal.ran
    assert context.runs == runs, context.runs


@then("the second is refused as {code} after {runs:d} run")
def check_refused_as(context, code, runs):
    assert (context.refusal.code, context.runs) == (code, runs)


@then('a call {call} under the grant "{entry}" is {verdict}')
def check_repeatable(context, call, entry, verdict):
    async def is_repeatable():
        method, path = call.split(" ")
        request = make_service_request(make_plan("alpha"), method=method, path=path)
        grant = request.grant._replace(repeatable=(entry,))
        return request._replace(grant=grant).repeatable

    assert run_virtual(is_repeatable()) == (verdict == "repeatable")
