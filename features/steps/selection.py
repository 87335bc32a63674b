"""Steps for upstream selection, without a network."""

import asyncio

import async_solipsism
from behave import given, then, when

from auburnproxy.gateway.directory import Directory
from auburnproxy.gateway.host import ReplicaPart, ReplicaPartState
from auburnproxy.gateway.retry_budget import RetryAllowance, RetryBudget
from auburnproxy.gateway.route import ServiceSpec
from features.fakes.fleet import ENGINE, SERVICE, configuration, host
from features.fakes.selection import SelectionFixture
from features.fakes.store import null_decisions


def run(context, call):
    async def wrapped():
        result = call()
        return await result if asyncio.iscoroutine(result) else result

    return context.loop.run_until_complete(wrapped())


def make_fixture(context, *args, **options):
    context.loop = async_solipsism.EventLoop()

    def close():
        context.loop.run_until_complete(asyncio.sleep(20))
        context.loop.close()

    context.add_cleanup(close)
    context.fixture = run(context, lambda: SelectionFixture(*args, **options))


@given("{near:d} near and {far:d} far replicas of {slots:d} slots")
def make_selection(context, near, far, slots):
    make_fixture(context, near, far, slots)


@given("1 near and 0 far replicas of {slots:d} slots that are cold")
def make_cold(context, slots):
    make_fixture(context, 1, 0, slots, cold_s=3.0)


@given("one near replica has a request without its first event")
def keep_in_prefill(context):
    context.prefill_head = run(context, lambda: context.fixture.select(begun=False))


@given("the other near replica has {count:d} streams that have begun")
def begin_streams(context, count):
    (other,) = {"n0", "n1"} - {context.prefill_head}
    health = context.fixture.health

    def begin():
        request = health.track_request(other, lambda: None)
        context.fixture.stack.enter_context(request)()
        health.record_data(other)

    for _ in range(count):
        run(context, begin)


@given("other daemons have {count:d} requests at the first replica")
def load_elsewhere(context, count):
    context.fixture.remote_load["n0"] = (count, 0)


@when("{count:d} requests come one after the other and stay")
@when("{count:d} request comes")
@when("{count:d} requests come in one second")
def send_requests(context, count):
    for _ in range(count):
        run(context, context.fixture.select)


@then("no replica has more than {most:d} of them")
def compare_most(context, most):
    taken = context.fixture.taken
    assert max(map(taken.count, taken)) <= most, taken


@then("the near ones have at least half of them")
def compare_near(context):
    near = [head for head in context.fixture.taken if head[0] == "n"]
    assert len(near) * 2 >= len(context.fixture.taken), context.fixture.taken


@then("it goes to the other near replica")
def compare_other(context):
    chosen = context.fixture.taken[-1]
    assert chosen[0] == "n" and chosen != context.prefill_head, chosen


@then("the first replica has none of them")
def compare_first(context):
    assert "n0" not in context.fixture.taken, context.fixture.taken


@then("{least:d} to {most:d} are taken and the others are refused with {code}")
def compare_taken(context, least, most, code):
    fixture = context.fixture
    assert least <= len(fixture.taken) <= most, len(fixture.taken)
    assert {refusal.code for refusal in fixture.refusals} == {code}


@then("the Retry-After values differ and are within {least:g} and {most:g} s")
def compare_retry_after(context, least, most):
    times = [refusal.retry_after_s for refusal in context.fixture.refusals]
    assert least <= min(times) and max(times) <= most, times
    assert len({round(t, 2) for t in times}) > len(times) / 3, times


@when("its head falls silent on all streams")
def fall_silent(context):
    health = context.fixture.health
    run(context, lambda: asyncio.sleep(0.4))
    run(context, lambda: health.record_stall("n0", silence_s=0.3, reason="no event"))


@then("requests are refused with {code}")
def compare_refused(context, code):
    context.fixture.refusals.clear()
    assert run(context, context.fixture.select) is None
    assert context.fixture.refusals[-1].code == code


def select_for_resumption(context, tried=()):
    selector = context.fixture.selector

    def ask():
        return selector.select_replica(
            SERVICE, "small", tried=tried, include_excluded=True
        ).head.id

    return run(context, ask)


@then("a stream that has begun resumes at the far head")
def compare_resumed(context):
    assert select_for_resumption(context) == "f0"


@then("at the near one only if it has failed at the far one")
def compare_resumed_near(context):
    assert select_for_resumption(context, tried={"f0"}) == "n0"


@when("its exclusion ends and a probe is answered")
def end_exclusion(context):
    run(context, lambda: asyncio.sleep(0.6))


@when(
    "its exclusion ends and this daemon is stalled for {seconds:g} s during the probe"
)
def stall_daemon(context, seconds):
    context.fixture.probe_overrun_s = seconds
    run(context, lambda: asyncio.sleep(1.5))


@then("its head is not excluded")
def compare_answers(context):
    assert not run(context, lambda: context.fixture.health.is_excluded("n0"))


@when("its exclusion ends and no probe is answered")
def end_exclusion_unanswered(context):
    context.fixture.answers = False
    run(context, lambda: asyncio.sleep(0.6))


@then("one request is taken, and another only after its first event")
def compare_half_open(context):
    fixture = context.fixture
    assert run(context, lambda: fixture.select(begun=False)) == "n0"
    assert run(context, fixture.select) is None
    run(context, lambda: fixture.health.record_data("n0"))
    assert run(context, fixture.select) == "n0"


@given("another daemon has just received data from its head")
def hear_elsewhere(context):
    now = run(context, lambda: asyncio.get_running_loop().time())
    context.fixture.heard_elsewhere["n0"] = now + 0.3


@when("one of its streams receives nothing for 0.3 s")
def stall_one(context):
    fall_silent(context)


@then("requests are taken")
def compare_requests_taken(context):
    assert run(context, context.fixture.select) == "n0"


@given("{count:d} daemons share the limit of 36 requests a second")
def share_bound(context, count):
    context.fixture.sharers = [f"d{number}" for number in range(count)]


@given("the head has named a limit of {limit} a second to 6 daemons")
def name_limit(context, limit):
    fixture = context.fixture
    fixture.live_daemons = {f"d{number}" for number in range(6)}
    head = fixture.directory.hosts[fixture.heads[0]]
    context.loop.run_until_complete(record_limit(fixture, head, limit))


async def record_limit(fixture, head, limit):
    fixture.limits.record(head, limit, sent_at=0.0)


@then("{count:d} of them are taken")
def compare_count(context, count):
    assert len(context.fixture.taken) == count, len(context.fixture.taken)


@given("a retry budget of 0.2 per request and a slack of 100 for {count:d} daemons")
def make_budget(context, count):
    context.loop = async_solipsism.EventLoop()
    context.add_cleanup(context.loop.close)
    context.budget = RetryBudget(RetryAllowance(0.2, 100, 10.0), lambda: count)


@given("the full slack may be used {seconds:g} s after its start")
def defer_slack(context, seconds):
    allowance, full_slack_at = (
        RetryAllowance(0.2, 100, 10.0),
        context.loop.time() + seconds,
    )
    context.budget = RetryBudget(allowance, lambda: 10, full_slack_at=full_slack_at)


@then("{count:d} are left {seconds:g} s later")
def compare_left_later(context, count, seconds):
    async def wait():
        await asyncio.sleep(seconds)
        return context.budget.remaining

    assert context.loop.run_until_complete(wait()) == count


@when("{count:d} requests are sent in 5 s and as many retries are asked for")
def send_and_retry(context, count):
    async def send():
        for _ in range(count):
            context.budget.record_request()
            await asyncio.sleep(5 / count)
        return sum(context.budget.spend("busy") for _ in range(count))

    context.allowed = context.loop.run_until_complete(send())


@then("{count:d} retries are allowed")
def compare_allowed(context, count):
    assert context.allowed == count, context.allowed


@then("none are left until the window has passed")
def compare_left(context):
    async def wait():
        now = context.budget.remaining
        await asyncio.sleep(10.1)
        return now, context.budget.remaining

    now, later = context.loop.run_until_complete(wait())
    assert now <= 0 < later, (now, later)


@given("a directory with a host while the store is unavailable")
def make_directory(context, **options):
    context.loop = async_solipsism.EventLoop()
    context.add_cleanup(context.loop.close)

    async def start():
        context.store_failed_at = asyncio.get_running_loop().time()
        context.directory = Directory(
            null_decisions(), store_failed_at=lambda: context.store_failed_at, **options
        )
        context.directory.register(host("h"))

    context.loop.run_until_complete(start())


@when("the host's registration lapses")
def lapse(context):
    run(context, lambda: context.directory.unregister("h"))


@then("the host is kept for 2 s after the store is back")
def compare_kept(context):
    async def wait():
        context.store_failed_at = asyncio.get_running_loop().time()
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
        directory = context.fixture.directory
        service = ServiceSpec(SERVICE, 0.0, 0.0, ENGINE._replace(spread_factor=factor))
        newer = configuration(2)._replace(services_by_name={SERVICE: service})
        directory.configure(newer)
        for head, fabric in (("n0", "f0"), ("n1", "f1")):
            part = ReplicaPart(f"r-{head}", 1, 1, ReplicaPartState.READY)
            more = {"fabric": fabric, "models": ("small",), "part": part}
            directory.register(host(f"member-{head}", **more))

    context.loop.run_until_complete(spread())


@then("the second replica has {count:d} of them")
def compare_second(context, count):
    assert context.fixture.taken.count("n1") == count, context.fixture.taken


@then("the second replica has {least:d} to {most:d} of them")
def compare_second_range(context, least, most):
    found = context.fixture.taken.count("n1")
    assert least <= found <= most, context.fixture.taken


@given("a directory in which lapsed hosts are used for {seconds:g} s")
def make_directory_with_limit(context, seconds):
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
    """Wait for a time after the lapse and return whether the host may be selected."""

    async def wait():
        await asyncio.sleep(seconds)
        context.directory.expire()
        return "h" in {host.id for host in context.directory.usable_hosts(SERVICE)}

    return context.loop.run_until_complete(wait())


@then("the host may be used {seconds:g} s later")
def compare_usable(context, seconds):
    assert may_be_used(context, seconds)
    context.waited_s = seconds


@then("it may not be used {seconds:g} s later")
def compare_unusable(context, seconds):
    assert not may_be_used(context, seconds - context.waited_s)


@then("its replica membership is still known then")
def compare_part_known(context):
    assert "h" in context.directory.hosts


@then("it may be used again once it has registered again")
def compare_back(context):
    run(context, lambda: context.directory.refresh("h"))
    assert may_be_used(context, 0.0)
