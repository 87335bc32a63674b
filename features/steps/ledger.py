"""Steps for the ledger of idempotency keys, on a virtual clock."""

import asyncio

from behave import given, then, when

from auburnproxy.errors import Ran, RefusalError
from auburnproxy.journal import Entry, Record
from auburnproxy.ledger import Ledger
from auburnproxy.ledger.ledger import CLAIM, RELEASE
from auburnproxy.upstreams.service import PlainCall
from features.fakes.ledger import FakeDaemon, FakeLog, FakeOrderService
from features.machines.ledger import LedgerMachine
from features.machines.search import run_virtual, search


def call_with_key(daemon, service, request_id, key="k"):
    call = PlainCall(request_id, "POST", "/orders", b"x", "", key, 30.0)
    return daemon.runner.run("p", call, daemon.dispatch_to(service))


@when("a stateful test searches ledgers for a second or a denied run")
def search_ledgers(context):
    search(LedgerMachine, examples=300, steps=30)


@then("the ledger search found none")
def none_found(context):
    pass


@given("a key that is claimed")
def claimed(context):
    context.ledger = Ledger()
    body = {"claims": [["k", "digest", "first"]]}
    context.ledger.apply(Entry(1, Record("a", "d", CLAIM, body, {})))


@when("another claim of the key is released")
def release_other(context):
    body = {"settlements": [["k", "second", None]]}
    context.ledger.apply(Entry(2, Record("b", "d", RELEASE, body, {})))


@then("the key is still claimed")
def check_still_claimed(context):
    assert context.ledger.record_by_key["k"].claim.token == "first"


@given("a key that is done")
def done(context):
    async def steps():
        log, service = FakeLog(), FakeOrderService()
        first, second = FakeDaemon(log, "a"), FakeDaemon(log, "b")
        answer = await call_with_key(first, service, "r1")
        await first.runner.wait_settled()
        second.journal.fold()
        second_answer = await call_with_key(second, service, "r2")
        return answer, second_answer, sum(service.runs.values())

    context.result = run_virtual(steps())


@when("it is called again through another daemon")
def call_again(context):
    context.answer, context.second_answer, context.runs = context.result


@then("the stored answer is returned and nothing runs")
def check_stored_answer(context):
    assert context.answer == context.second_answer and context.runs == 1


@given("a log that appends a claim only after its timeout")
def log_with_late_append(context):
    context.fault = "late"


@when("a call with a key is made, and then the log recovers")
def call_with_late_append(context):
    async def steps():
        service, daemon = FakeOrderService(), FakeDaemon(FakeLog(), "a")
        daemon.journal.fault = context.fault
        try:
            await call_with_key(daemon, service, "r1")
        except RefusalError as refusal:
            context.refusal = refusal
        daemon.journal.fault = ""
        await asyncio.sleep(30)
        context.ran = sum(service.runs.values())
        await call_with_key(daemon, service, "r2")
        context.ran_after_retry = sum(service.runs.values())

    run_virtual(steps())


@then("the call was refused with ran unknown, did not run, and a retry runs once")
def check_refused_unknown(context):
    assert context.refusal.ran is Ran.UNKNOWN
    assert context.refusal.retry_after_s
    assert (context.ran, context.ran_after_retry) == (0, 1)


@when("{count:d} calls with keys are made at once")
def make_calls(context, count):
    async def steps():
        service, log = FakeOrderService(), FakeLog()
        daemon = FakeDaemon(log, "a")
        calls = [call_with_key(daemon, service, f"r{i}", f"k{i}") for i in range(count)]
        context.answers = await asyncio.gather(*calls)
        await daemon.runner.wait_settled()
        context.appends = len(log.records)
        context.runs = service.runs

    run_virtual(steps())


@then("they all run and take at most {max_appends:d} appends")
def check_appends(context, max_appends):
    assert len(context.answers) == len(context.runs) == 32
    assert context.appends <= max_appends, context.appends
