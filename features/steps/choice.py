"""Steps for the choice of upstreams, without a network."""

import asyncio

import async_solipsism
from behave import given, then, when

from auburnproxy.gateway.directory import Directory
from auburnproxy.gateway.host import Part, PartState
from auburnproxy.gateway.resends import Allowance, Resends
from auburnproxy.gateway.route import ServiceSpec
from features.fakes.chooser import Chooser
from features.fakes.fleet import ENGINE, SERVICE, configuration, host
from features.fakes.store import quiet


def run(context, call):
    async def wrapped():
        result = call()
        return await result if asyncio.iscoroutine(result) else result

    return context.loop.run_until_complete(wrapped())


def make(context, *args, **options):
    context.loop = async_solipsism.EventLoop()

    def close():
        context.loop.run_until_complete(asyncio.sleep(20))
        context.loop.close()

    context.add_cleanup(close)
    context.chooser = run(context, lambda: Chooser(*args, **options))


@given("{near:d} near and {far:d} far replicas of {slots:d} slots")
def make_chooser(context, near, far, slots):
    make(context, near, far, slots)


@given("1 near and 0 far replicas of {slots:d} slots that are cold")
def make_cold(context, slots):
    make(context, 1, 0, slots, cold_s=3.0)


@given("one near replica has a request without its first event")
def read_prompt(context):
    context.reading = run(context, lambda: context.chooser.ask(begun=False))


@given("the other near replica has {count:d} streams that have begun")
def begin_streams(context, count):
    (other,) = {"n0", "n1"} - {context.reading}
    health = context.chooser.health

    def begin():
        request = health.request(other, lambda: None)
        context.chooser.stack.enter_context(request)()
        health.heard(other)

    for _ in range(count):
        run(context, begin)


@given("other daemons have {count:d} requests at the first replica")
def load_elsewhere(context, count):
    context.chooser.elsewhere["n0"] = (count, 0)


@when("{count:d} requests come one after the other and stay")
@when("{count:d} request comes")
@when("{count:d} requests come in one second")
def come(context, count):
    for _ in range(count):
        run(context, context.chooser.ask)


@then("no replica has more than {most:d} of them")
def compare_most(context, most):
    taken = context.chooser.taken
    assert max(map(taken.count, taken)) <= most, taken


@then("the near ones have at least half of them")
def compare_near(context):
    near = [head for head in context.chooser.taken if head[0] == "n"]
    assert len(near) * 2 >= len(context.chooser.taken), context.chooser.taken


@then("it goes to the other near replica")
def compare_other(context):
    chosen = context.chooser.taken[-1]
    assert chosen[0] == "n" and chosen != context.reading, chosen


@then("the first replica has none of them")
def compare_first(context):
    assert "n0" not in context.chooser.taken, context.chooser.taken


@then("{least:d} to {most:d} are taken and the others are refused with {code}")
def compare_taken(context, least, most, code):
    chooser = context.chooser
    assert least <= len(chooser.taken) <= most, len(chooser.taken)
    assert {refusal.code for refusal in chooser.refusals} == {code}


@then("the times to come back differ and are within {least:g} and {most:g} s")
def compare_returns(context, least, most):
    times = [refusal.retry_after_s for refusal in context.chooser.refusals]
    assert least <= min(times) and max(times) <= most, times
    assert len({round(t, 2) for t in times}) > len(times) / 3, times


@when("its head falls silent towards all streams")
def fall_silent(context):
    health = context.chooser.health
    run(context, lambda: asyncio.sleep(0.4))
    run(context, lambda: health.stalled("n0", silence_s=0.3, reason="no event"))


@then("requests are refused with {code}")
def compare_refused(context, code):
    context.chooser.refusals.clear()
    assert run(context, context.chooser.ask) is None
    assert context.chooser.refusals[-1].code == code


def resume(context, tried=()):
    choice = context.chooser.choice

    def ask():
        return choice.replica("small", tried=tried, include_excluded=True).head.id

    return run(context, ask)


@then("a stream that has begun goes on at the far head")
def compare_resumed(context):
    assert resume(context) == "f0"


@then("at the near one only if the far one has failed it")
def compare_resumed_near(context):
    assert resume(context, tried={"f0"}) == "n0"


@when("its pause ends and a probe is answered")
def end_pause(context):
    run(context, lambda: asyncio.sleep(0.6))


@when("its pause ends and this daemon stands still for {seconds:g} s during the probe")
def stand_still(context, seconds):
    context.chooser.standstill_s = seconds
    run(context, lambda: asyncio.sleep(1.5))


@then("its head counts as one that answers")
def compare_answers(context):
    assert not run(context, lambda: context.chooser.health.excluded("n0"))


@when("its pause ends and no probe is answered")
def end_pause_unanswered(context):
    context.chooser.answers = False
    run(context, lambda: asyncio.sleep(0.6))


@then("one request is taken, and another only after its first event")
def compare_half_open(context):
    chooser = context.chooser
    assert run(context, lambda: chooser.ask(begun=False)) == "n0"
    assert run(context, chooser.ask) is None
    run(context, lambda: chooser.health.heard("n0"))
    assert run(context, chooser.ask) == "n0"


@given("another daemon has just heard its head")
def hear_elsewhere(context):
    now = run(context, lambda: asyncio.get_running_loop().time())
    context.chooser.heard["n0"] = now + 0.3


@when("one of its streams gets nothing for 0.3 s")
def stall_one(context):
    fall_silent(context)


@then("requests are taken")
def compare_one_taken(context):
    assert run(context, context.chooser.ask) == "n0"


@given("{count:d} daemons share the bound of 36 requests a second")
def share_bound(context, count):
    context.chooser.sharers = [f"d{number}" for number in range(count)]


@then("{count:d} of them are taken")
def compare_count(context, count):
    assert len(context.chooser.taken) == count, len(context.chooser.taken)


@given("a bound of 0.2 resends a request and 100 beside for {count:d} daemons")
def make_resends(context, count):
    context.loop = async_solipsism.EventLoop()
    context.add_cleanup(context.loop.close)
    context.resends = Resends(Allowance(0.2, 100, 10.0), lambda: count)


@given("the whole slack may be used {seconds:g} s after its start")
def defer_slack(context, seconds):
    allowance, slack_from = Allowance(0.2, 100, 10.0), context.loop.time() + seconds
    context.resends = Resends(allowance, lambda: 10, slack_from=slack_from)


@then("{count:d} are left {seconds:g} s later")
def compare_left_later(context, count, seconds):
    async def wait():
        await asyncio.sleep(seconds)
        return context.resends.left

    assert context.loop.run_until_complete(wait()) == count


@when("{count:d} requests are sent in 5 s and as many resends are asked for")
def send_and_resend(context, count):
    async def send():
        for _ in range(count):
            context.resends.request()
            await asyncio.sleep(5 / count)
        return sum(context.resends.spend("busy") for _ in range(count))

    context.made = context.loop.run_until_complete(send())


@then("{count:d} resends are made")
def compare_resends(context, count):
    assert context.made == count, context.made


@then("none are left until the window has passed")
def compare_left(context):
    async def wait():
        now = context.resends.left
        await asyncio.sleep(10.1)
        return now, context.resends.left

    now, later = context.loop.run_until_complete(wait())
    assert now <= 0 < later, (now, later)


@given("a directory with a host while the store is away")
def make_directory(context, **options):
    context.loop = async_solipsism.EventLoop()
    context.add_cleanup(context.loop.close)

    async def start():
        context.away_at = asyncio.get_running_loop().time()
        context.directory = Directory(
            quiet(), store_failed_at=lambda: context.away_at, **options
        )
        context.directory.register(host("h"))

    context.loop.run_until_complete(start())


@when("the host's registration lapses")
def lapse(context):
    run(context, lambda: context.directory.unregister("h"))


@then("the host is kept for 2 s after the store is back")
def compare_kept(context):
    async def wait():
        context.away_at = asyncio.get_running_loop().time()
        await asyncio.sleep(2)
        context.directory.expire()

    context.loop.run_until_complete(wait())
    assert "h" in context.directory.hosts


@then("it is gone 3 s after the store is back")
def compare_gone(context):
    async def wait():
        await asyncio.sleep(1)
        context.directory.expire()

    context.loop.run_until_complete(wait())
    assert "h" not in context.directory.hosts


@given(
    "the second one has hosts in two fabric domains, which makes it {factor:g} times"
    " as slow"
)
def spread_second(context, factor):
    async def spread():
        directory = context.chooser.directory
        service = ServiceSpec(SERVICE, 0.0, 0.0, ENGINE._replace(spread_factor=factor))
        newer = configuration(2)._replace(services_by_name={SERVICE: service})
        directory.configure(newer)
        for head, fabric in (("n0", "f0"), ("n1", "f1")):
            part = Part(f"r-{head}", 1, 1, PartState.READY)
            more = {"fabric": fabric, "models": ("small",), "part": part}
            directory.register(host(f"member-{head}", **more))

    context.loop.run_until_complete(spread())


@then("the second replica has {count:d} of them")
def compare_second(context, count):
    assert context.chooser.taken.count("n1") == count, context.chooser.taken


@then("the second replica has {least:d} to {most:d} of them")
def compare_second_range(context, least, most):
    found = context.chooser.taken.count("n1")
    assert least <= found <= most, context.chooser.taken


@given("a directory in which lapsed hosts are used for {seconds:g} s")
def make_bounded(context, seconds):
    make_directory(context, lapsed_use_s=seconds)
    for name in ("i", "j", "k"):
        run(context, lambda name=name: context.directory.register(host(name)))


def lapse_later(context, seconds, names):
    async def lapse():
        await asyncio.sleep(seconds)
        for name in names:
            context.directory.unregister(name)

    run(context, lapse)


@when("the store is back for {seconds:g} s and the host's registration lapses")
def lapse_alone(context, seconds):
    lapse_later(context, seconds, ["h"])


@when("the store is back for {seconds:g} s and the registrations of all hosts lapse")
def lapse_together(context, seconds):
    lapse_later(context, seconds, list(context.directory.hosts))


def may_be_used(context, seconds):
    """Wait until a time after the lapse and return whether the host is chosen."""

    async def wait():
        await asyncio.sleep(seconds)
        context.directory.expire()
        return "h" in {host.id for host in context.directory.plain_hosts(SERVICE)}

    return context.loop.run_until_complete(wait())


@then("the host may be used {seconds:g} s later")
def compare_usable(context, seconds):
    assert may_be_used(context, seconds)
    context.waited_s = seconds


@then("it may not be used {seconds:g} s later")
def compare_unusable(context, seconds):
    assert not may_be_used(context, seconds - context.waited_s)


@then("its part in a replica is still known then")
def compare_part_known(context):
    assert "h" in context.directory.hosts


@then("it may be used again once it has registered")
def compare_back(context):
    run(context, lambda: context.directory.seen("h"))
    assert may_be_used(context, 0.0)
