"""Steps for the quarantine of prompt parts, on a virtual clock."""

import asyncio

import async_solipsism
from behave import given, then, when

from auburnproxy.errors import RefusalError
from auburnproxy.gossip import FactKind
from features.fakes.gossip import GossipCluster
from features.machines.runner import close_loop

CRASH_S = 0.1
"""Time from the arrival of a request until its engine has ended."""
SETTLE_S = 2.0
REQUEST_INTERVAL_S = 0.5


def now():
    return asyncio.get_running_loop().time()


def open_cluster(context):
    count, loss = context.cluster_options
    context.loop = async_solipsism.EventLoop()
    context.add_cleanup(lambda: close_loop(context.loop))

    async def start():
        context.cluster = GossipCluster(count, loss=loss)

    context.loop.run_until_complete(start())
    return context.cluster


def run(context, work):
    return context.loop.run_until_complete(work)


def admits(daemon, part, request_id="r"):
    try:
        daemon.quarantine.admit(request_id, [part])
    except RefusalError:
        return False
    return True


def blocking(context, part):
    """Return the names of the daemons that have blocked a part."""
    daemons = context.cluster.daemons

    async def find():
        return [d.name for d in daemons if d.quarantine.is_blocked([part])]

    return run(context, find())


async def crash(cluster, number, parts, *, request_id="", process=""):
    daemon = cluster.pick()
    request_id = request_id or f"r{number}"
    process = process or f"e{number}@1"
    daemon.quarantine.record_crash(request_id, parts, process)
    await cluster.run(0.2)


@given('the part "{part}" has been blocked after its requests ended 3 processes')
def block_part(context, part):
    cluster = open_cluster(context)

    async def play():
        for number in range(3):
            await crash(cluster, number, [part])
        await cluster.run(1.0)
        context.blocked_at = now() - 1.2

    run(context, play())
    assert len(blocking(context, part)) == len(cluster.daemons)


@when("a request with it arrives somewhere every 0.5 s for {seconds:d} s")
def send_deadly(context, seconds):
    cluster, context.sent_at = context.cluster, []

    async def play():
        for number in range(int(seconds / REQUEST_INTERVAL_S)):
            daemon = cluster.pick()
            if admits(daemon, "dead", f"t{number}"):
                context.sent_at.append(now() - context.blocked_at)
                await cluster.run(CRASH_S)
                daemon.quarantine.record_crash(f"t{number}", ["dead"], f"t{number}@1")
            await cluster.run(REQUEST_INTERVAL_S)

    run(context, play())


@then("requests reach engines at most 3 times, and 10, 20 and 40 s apart or more")
def check_trials(context):
    assert 1 <= len(context.sent_at) <= 3, context.sent_at
    times = [0.0, *context.sent_at]
    for before, after, least_s in zip(times, times[1:], (10, 20, 40), strict=False):
        assert after - before >= least_s - SETTLE_S, context.sent_at


@when("its requests are harmless from then on, and one arrives every 0.5 s for 20 s")
def send_harmless(context):
    cluster, context.admitted_at = context.cluster, None

    async def play():
        for number in range(40):
            daemon = cluster.pick()
            if admits(daemon, "dead", f"t{number}"):
                await cluster.run(CRASH_S)
                daemon.quarantine.record_answer(["dead"])
                await cluster.run(0.1)
                if all(admits(each, "dead") for each in cluster.daemons):
                    context.admitted_at = now() - context.blocked_at
                    return
            await cluster.run(REQUEST_INTERVAL_S)

    run(context, play())


@then("all daemons admit it within {seconds:g} s of the end of the block")
def check_admitted(context, seconds):
    assert context.admitted_at is not None
    assert 10 <= context.admitted_at <= 10 + seconds, context.admitted_at


@when("a daemon starts again")
def restart(context):
    async def play():
        context.restarted = context.cluster.start("d0")
        await context.cluster.run(SETTLE_S)

    run(context, play())


@then("it refuses the part within 2 s")
def check_restarted(context):
    assert context.restarted.name in blocking(context, "dead")


@when('processes end under requests with the part "busy", and {case}')
def end_processes(context, case):
    cluster = open_cluster(context)

    async def play():
        busy = ["busy"]
        if case == "other requests with it were answered just before":
            for daemon in cluster.daemons:
                daemon.quarantine.record_answer(busy)
        if case == "its answer had begun 10 s before and another part has none":
            cluster.daemons[0].quarantine.record_answer(busy)
            await cluster.run(10.0)
            busy = ["other", "busy"]
        for number in range(4):
            if case == "all of them are the same process":
                await crash(cluster, number, busy, process="e0@1")
            elif case == "all of them ended under one request":
                await crash(cluster, number, busy, request_id="r0")
            else:
                await crash(cluster, number, busy)
            if case == "other requests with it are answered between crashes":
                cluster.pick().quarantine.record_answer(busy)
            elif case == "other requests with it are answered by one daemon":
                cluster.daemons[0].quarantine.record_answer(busy)
            await cluster.run(0.2)

    run(context, play())


@then('no daemon has blocked the part "{part}"')
def check_unblocked(context, part):
    assert not blocking(context, part), blocking(context, part)


@then('all daemons have blocked the part "{part}"')
def check_blocked(context, part):
    assert len(blocking(context, part)) == len(context.cluster.daemons)


@when('processes end under requests with the parts "first" and "dead", never answered')
def end_with_both(context):
    cluster = open_cluster(context)

    async def play():
        for number in range(5):
            await crash(cluster, number, ["first", "dead"])
        await cluster.run(SETTLE_S)

    run(context, play())


@when('processes end under requests with the part "dead" beside a new one each')
def end_beside_new(context):
    cluster = open_cluster(context)

    async def play():
        for number in range(4):
            await crash(cluster, number, ["dead", f"own{number}"])
        await cluster.run(SETTLE_S)

    run(context, play())


@when("{count:d} requests with 50 new parts each are answered or end a process")
def fill_memory(context, count):
    cluster = open_cluster(context)

    async def play():
        (daemon,) = cluster.daemons
        for number in range(count):
            parts = [f"{number}-{index}" for index in range(50)]
            if number % 100:
                daemon.quarantine.record_answer(parts)
            else:
                daemon.quarantine.record_crash(f"r{number}", parts, f"e{number}@1")
        context.answered = len(daemon.quarantine._answered._answered_at)
        context.crashes = len(daemon.facts.facts(FactKind.CRASH))

    run(context, play())


@then("the daemon holds at most {answered:d} answered parts and {crashes:d} crashes")
def check_memory(context, answered, crashes):
    assert 0 < context.answered <= answered, context.answered
    assert 0 < context.crashes <= crashes, context.crashes


@when('an operator lifts the block of "{part}" at one daemon')
def lift(context, part):
    async def play():
        assert context.cluster.pick().quarantine.lift(part)
        await context.cluster.run(SETTLE_S)

    run(context, play())


@then("all daemons admit it at once")
def check_lifted(context):
    assert not blocking(context, "dead")
