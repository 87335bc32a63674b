"""Steps for configuration changes by operators, on a virtual clock."""

import asyncio

import async_solipsism
from behave import given, then, when

from auburnproxy.journal.state_machine import ID_WINDOW
from auburnproxy.operators import Verdict
from features.fakes.cluster import Cluster
from features.machines.configuration import ConfigurationMachine, lists_of
from features.machines.runner import run_examples

EXAMPLES = 20
STEPS = 30
SETTLE_S = 8
WAIT_S = 7.0
PROCESSES = 6


@when("the configuration machine runs random examples")
def search_machine(context):
    run_examples(ConfigurationMachine, examples=EXAMPLES, steps=STEPS)


@then("every response was correct and no process was rolled back")
def invariants_hold(context):
    """The machine's invariants are checked while the examples run."""


def run(context, coroutine):
    return context.loop.run_until_complete(coroutine)


@given("three failure domains with two processes each")
def start(context):
    context.loop = async_solipsism.EventLoop()
    context.cluster = Cluster(context.loop, processes=PROCESSES)
    run(context, asyncio.sleep(1))

    def close():
        run(context, context.cluster.close())
        context.loop.close()

    context.add_cleanup(close)


@given("nothing has failed")
def inject_no_fault(context):
    pass


@given("domain c cannot reach the log")
def cut_log(context):
    for place in (2, 5):
        context.cluster.cut_log(place)


@given("domain c is isolated from the log and its peers")
def isolate_domain(context):
    cut_log(context)
    for place in (2, 5):
        for other in {0, 1, 3, 4}:
            context.cluster.cut_link(place, other)


@given("one process has restarted")
def restart_one(context):
    run(context, context.cluster.restart(4))


@given("two append responses will be lost")
def lose_append_responses(context):
    context.cluster.processes[0].port.lost_responses = 2


@given("the log accepts appends but cannot be read")
def refuse_reads(context):
    for process in context.cluster.processes:
        process.port.refuse_reads = True
    run(context, asyncio.sleep(6))


def apply(context, number, place=0, change_id="first", version=None):
    changes = context.cluster.processes[place].changes
    return changes.apply(
        lists_of(number), change_id=change_id, version=version, wait_s=WAIT_S
    )


@when("an operator applies lists")
def apply_lists(context):
    context.old_checkpoint = context.cluster.processes[0].journal.checkpoint()
    started_at = context.loop.time()
    context.answer = run(context, apply(context, 1))
    context.took_s = context.loop.time() - started_at


@then("the verdict is {verdict} with {pending} pending within 8 s")
def compare_answer(context, verdict, pending):
    expected = [] if pending == "none" else [pending]
    assert context.answer["verdict"] == verdict, context.answer
    assert context.answer["pending"] == expected, context.answer
    assert context.took_s < SETTLE_S, context.took_s


@then("the verdict is unknown")
def verdict_is_unknown(context):
    assert context.answer["verdict"] == Verdict.UNKNOWN, context.answer


@then("every process but {domain} has the lists in force")
def lists_in_force(context, domain):
    run(context, asyncio.sleep(SETTLE_S))
    for process in context.cluster.processes:
        expected_lists = lists_of(0) if process.domain == domain else lists_of(1)
        if process.domain == domain:
            assert process.configuration.lists != lists_of(1)
        else:
            assert process.journal.ready
            assert process.configuration.lists == expected_lists, process.place


@when("the log becomes unavailable and the processes restart one by one")
def restart_during_outage(context):
    for place in range(PROCESSES):
        context.cluster.cut_log(place)
    for place in range(PROCESSES):
        run(context, context.cluster.restart(place))
        run(context, asyncio.sleep(2))


@when("a process is offered an old checkpoint")
def offer_old_checkpoint(context):
    async def install_old_checkpoint():
        return context.cluster.processes[3].journal.install_checkpoint(
            context.old_checkpoint
        )

    assert not run(context, install_old_checkpoint())


@when("operators at two processes apply different lists concurrently")
def apply_concurrently(context):
    async def apply_both():
        calls = [apply(context, n, place=n, change_id=f"id{n}") for n in (1, 2)]
        return await asyncio.gather(*calls)

    context.answers = run(context, apply_both())


@then("one is accepted, one rejected and every process has the accepted lists")
def one_is_accepted(context):
    verdicts = [answer["verdict"] for answer in context.answers]
    assert sorted(verdicts) == [Verdict.ACCEPTED, Verdict.REJECTED], verdicts
    accepted_lists = lists_of(1 + verdicts.index(Verdict.ACCEPTED))
    for process in context.cluster.processes:
        assert process.configuration.lists == accepted_lists
        names = [plan.name for plan in accepted_lists.plans]
        assert list(process.configuration.plans_by_name) == names


@when("the log can be read and the change is sent to another process")
def resend_to_other_process(context):
    for process in context.cluster.processes:
        process.port.refuse_reads = False
    run(context, asyncio.sleep(SETTLE_S))
    context.answer = run(context, apply(context, 1, place=4))


@when("more records follow than the journal's id window")
def exceed_id_window(context):
    for _ in range(ID_WINDOW + 1):
        context.cluster.log.add(b"other")
    run(context, asyncio.sleep(SETTLE_S))
    assert context.cluster.processes[4].journal.offset > ID_WINDOW


@when("the change is sent again")
def resend_change(context):
    first = context.answer
    context.answer = run(context, apply(context, 1, place=4))
    assert context.answer["version"] == first["version"], (first, context.answer)


@then("the change was applied once")
def applied_once(context):
    assert context.answer["verdict"] == Verdict.ACCEPTED, context.answer
    for process in context.cluster.processes:
        assert process.configuration.version == context.answer["version"]
        assert process.journal.version("configuration") == context.answer["version"]


@when("the operator applies different lists with the same id")
def apply_different_lists(context):
    context.answer = run(context, apply(context, 2))


@then("the second lists are in force")
def second_in_force(context):
    assert context.answer["verdict"] == Verdict.ACCEPTED, context.answer
    for process in context.cluster.processes:
        assert process.configuration.lists == lists_of(2)
