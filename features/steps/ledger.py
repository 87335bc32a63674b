"""Steps for the ledger, on a virtual clock."""

import asyncio

from behave import given, then, when

from auburnproxy.errors import Ran, RefusalError
from auburnproxy.journal import Entry, Record
from auburnproxy.ledger import Ledger
from auburnproxy.ledger.ledger import CLAIM, RELEASE
from auburnproxy.upstreams.service import PlainCall
from features.fakes.ledger import FakeDaemon, FakeLog, FakeShop
from features.machines.ledger import LedgerMachine
from features.machines.search import run_virtual, search


def order(daemon, shop, number, key="k"):
    call = PlainCall(number, "POST", "/orders", b"x", "", key, 30.0)
    return daemon.runner.run("p", call, daemon.dispatch_to(shop))


@when("ledgers are searched for a second or a denied run")
def search_ledgers(context):
    search(LedgerMachine, examples=300, steps=30)


@then("none was found by the ledger search")
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
def still_claimed(context):
    assert context.ledger.record_by_key["k"].claim.token == "first"


@given("a key that is done")
def done(context):
    async def steps():
        log, shop = FakeLog(), FakeShop()
        first, second = FakeDaemon(log, "a"), FakeDaemon(log, "b")
        answer = await order(first, shop, "r1")
        await first.runner.wait_settled()
        second.journal.fold()
        again = await order(second, shop, "r2")
        return answer, again, sum(shop.runs.values())

    context.result = run_virtual(steps())


@when("it is asked for again through another daemon")
def asked_again(context):
    context.answer, context.again, context.runs = context.result


@then("the stored answer comes and nothing runs")
def stored(context):
    assert context.answer == context.again and context.runs == 1


@given("a log whose answer to a claim comes too late")
def late_log(context):
    context.fault = "late"


@when("an order is sent and the log answers again")
def send_late(context):
    async def steps():
        shop, daemon = FakeShop(), FakeDaemon(FakeLog(), "a")
        daemon.journal.fault = context.fault
        try:
            await order(daemon, shop, "r1")
        except RefusalError as refusal:
            context.refusal = refusal
        daemon.journal.fault = ""
        await asyncio.sleep(30)
        context.ran = sum(shop.runs.values())
        await order(daemon, shop, "r2")
        context.ran_then = sum(shop.runs.values())

    run_virtual(steps())


@then("it was told unknown, did not run, and a new try runs once")
def told_unknown(context):
    assert context.refusal.ran is Ran.UNKNOWN
    assert context.refusal.retry_after_s
    assert (context.ran, context.ran_then) == (0, 1)


@when("{orders:d} orders come at once")
def many(context, orders):
    async def steps():
        shop, log = FakeShop(), FakeLog()
        daemon = FakeDaemon(log, "a")
        calls = [order(daemon, shop, f"r{i}", f"k{i}") for i in range(orders)]
        context.answers = await asyncio.gather(*calls)
        await daemon.runner.wait_settled()
        context.appends = len(log.records)
        context.runs = shop.runs

    run_virtual(steps())


@then("they all run and take at most {most:d} appends")
def shared(context, most):
    assert len(context.answers) == len(context.runs) == 32
    assert context.appends <= most, context.appends
