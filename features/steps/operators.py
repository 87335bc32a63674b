"""Steps for operators' changes, on a virtual clock."""

import asyncio

import async_solipsism
from behave import given, then, when

from auburnproxy.journal.state_machine import ID_WINDOW
from auburnproxy.operators import Verdict
from features.fakes.site import Site
from features.machines.configuration import ConfigurationMachine, lists_of
from features.machines.runner import run_examples

EXAMPLES = 20
STEPS = 30
SETTLE_S = 8
WAIT_S = 7.0
PROCESSES = 6


@when("the configuration machine is searched")
def search_machine(context):
    run_examples(ConfigurationMachine, examples=EXAMPLES, steps=STEPS)


@then("every answer was true and no process went back")
def searched(context):
    """The machine's invariants hold, or the search would have failed."""


def run(context, coroutine):
    return context.loop.run_until_complete(coroutine)


@given("three failure domains with two processes each")
def start(context):
    context.loop = async_solipsism.EventLoop()
    context.site = Site(context.loop, processes=PROCESSES)
    run(context, asyncio.sleep(1))

    def close():
        run(context, context.site.close())
        context.loop.close()

    context.add_cleanup(close)


@given("nothing has failed")
def nothing(context):
    pass


@given("domain c is cut from the log")
def cut_log(context):
    for place in (2, 5):
        context.site.cut_log(place)


@given("domain c is cut from everything")
def cut_everything(context):
    cut_log(context)
    for place in (2, 5):
        for other in {0, 1, 3, 4}:
            context.site.cut_link(place, other)


@given("one process has started anew")
def anew(context):
    run(context, context.site.restart(4))


@given("two answers of the log will be lost")
def lose(context):
    context.site.processes[0].port.lose_answers = 2


@given("the log takes appends but cannot be read")
def unreadable(context):
    for process in context.site.processes:
        process.port.refuse_reads = True
    run(context, asyncio.sleep(6))


def apply(context, number, place=0, change_id="first", version=None):
    changes = context.site.processes[place].changes
    return changes.apply(
        lists_of(number), change_id=change_id, version=version, wait_s=WAIT_S
    )


@when("an operator applies lists")
def apply_lists(context):
    context.old = context.site.processes[0].journal.checkpoint()
    began = context.loop.time()
    context.answer = run(context, apply(context, 1))
    context.took_s = context.loop.time() - began


@then("the answer is {verdict} without {pending} within 8 s")
def answered(context, verdict, pending):
    expected = [] if pending == "none" else [pending]
    assert context.answer["verdict"] == verdict, context.answer
    assert context.answer["pending"] == expected, context.answer
    assert context.took_s < SETTLE_S, context.took_s


@then("the answer is unknown")
def unknown(context):
    assert context.answer["verdict"] == Verdict.UNKNOWN, context.answer


@then("every process but {domain} has the lists in force")
def in_force(context, domain):
    run(context, asyncio.sleep(SETTLE_S))
    for process in context.site.processes:
        wanted = lists_of(0) if process.domain == domain else lists_of(1)
        if process.domain == domain:
            assert process.configuration.lists != lists_of(1)
        else:
            assert process.journal.ready
            assert process.configuration.lists == wanted, process.place


@when("the log goes away and the processes start anew one after another")
def outage(context):
    for place in range(PROCESSES):
        context.site.cut_log(place)
    for place in range(PROCESSES):
        run(context, context.site.restart(place))
        run(context, asyncio.sleep(2))


@when("a process is offered an old checkpoint")
def offer_old(context):
    async def adopt():
        return context.site.processes[3].journal.install_checkpoint(context.old)

    assert not run(context, adopt())


@when("operators at two processes apply different lists at once")
def race(context):
    async def both():
        calls = [apply(context, n, place=n, change_id=f"id{n}") for n in (1, 2)]
        return await asyncio.gather(*calls)

    context.answers = run(context, both())


@then("one is accepted, one is rejected and every process has the winner's lists")
def one_winner(context):
    verdicts = [answer["verdict"] for answer in context.answers]
    assert sorted(verdicts) == [Verdict.ACCEPTED, Verdict.REJECTED], verdicts
    winner = lists_of(1 + verdicts.index(Verdict.ACCEPTED))
    for process in context.site.processes:
        assert process.configuration.lists == winner
        names = [plan.name for plan in winner.plans]
        assert list(process.configuration.plans_by_name) == names


@when("the log can be read and the change is sent to another process")
def send_again(context):
    for process in context.site.processes:
        process.port.refuse_reads = False
    run(context, asyncio.sleep(SETTLE_S))
    context.answer = run(context, apply(context, 1, place=4))


@when("more records follow than the journal remembers ids for")
def many_records(context):
    for _ in range(ID_WINDOW + 1):
        context.site.log.take(b"other")
    run(context, asyncio.sleep(SETTLE_S))
    assert context.site.processes[4].journal.offset > ID_WINDOW


@when("the change is sent again")
def send_once_more(context):
    first = context.answer
    context.answer = run(context, apply(context, 1, place=4))
    assert context.answer["version"] == first["version"], (first, context.answer)


@then("the change was made once")
def made_once(context):
    assert context.answer["verdict"] == Verdict.ACCEPTED, context.answer
    for process in context.site.processes:
        assert process.configuration.version == context.answer["version"]
        assert process.journal.version("configuration") == context.answer["version"]


@when("the operator applies other lists under the same id")
def other_lists(context):
    context.answer = run(context, apply(context, 2))


@then("the second lists are in force")
def second_in_force(context):
    assert context.answer["verdict"] == Verdict.ACCEPTED, context.answer
    for process in context.site.processes:
        assert process.configuration.lists == lists_of(2)
