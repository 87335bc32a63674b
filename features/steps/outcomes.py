"""Steps for upstreams that fail what they get, without a network."""

import asyncio
import time

import async_solipsism
from behave import given, then, when

from auburnproxy.gateway.outcome_record import MAX_PROCESSES, Outcome, OutcomeRecords
from features.fakes.outcome_pool import OutcomePool
from features.machines.runner import run_virtual
from features.steps.routed import open_site, request_stream
from features.steps.selection import make_fixture
from features.steps.selection import run as run_selection


def run(context, work):
    return context.loop.run_until_complete(work)


def open_pool(context, daemons, upstreams, *, plain):
    context.loop = async_solipsism.EventLoop()
    context.add_cleanup(context.loop.close)

    async def build():
        return OutcomePool(upstreams, daemons, plain=plain)

    context.pool = run(context, build())
    context.faulty = set()
    context.began = context.loop.time()


@given("{daemons:d} daemons that share {upstreams:d} replicas")
def open_replicas(context, daemons, upstreams):
    open_pool(context, daemons, upstreams, plain=False)


@given("{daemons:d} daemons that share {upstreams:d} plain hosts")
def open_hosts(context, daemons, upstreams):
    open_pool(context, daemons, upstreams, plain=True)


def play(context, seconds):
    context.began = context.loop.time()

    async def play_kinds():
        kinds = [
            context.pool.play(seconds, context.per_s, repeatable=repeatable)
            for repeatable in context.kinds
        ]
        await asyncio.gather(*kinds)

    run(context, play_kinds())


@when("{per_s:d} requests a second come for {seconds:d} s")
def send_repeatable(context, per_s, seconds):
    context.per_s, context.kinds = per_s, [True]
    play(context, seconds)


@when("{per_s:d} requests a second that may run once come for {seconds:d} s")
def send_once(context, per_s, seconds):
    context.per_s, context.kinds = per_s, [False]
    play(context, seconds)


@when("{per_s:d} requests a second of each kind come for {seconds:d} s")
def send_both(context, per_s, seconds):
    context.per_s, context.kinds = per_s, [True, False]
    play(context, seconds)


@then("after the first second they get requests, none of which may run only once")
def check_trials(context):
    since = context.began + 1
    kinds = [
        repeatable
        for at, _, upstream, repeatable in context.pool.tries
        if upstream in context.faulty and at >= since
    ]
    assert kinds and all(kinds), kinds


@when("{count:d} upstreams reset all that they get for {seconds:d} s")
def reset_requests(context, count, seconds):
    context.faulty = set(context.pool.names[:count])
    context.pool.failing = context.faulty
    play(context, seconds)


@when("the links of {count:d} daemons reset all requests for {seconds:d} s")
def reset_links(context, count, seconds):
    daemons = context.pool.daemons[:count]
    context.pool.badly_linked = {daemon.name for daemon in daemons}
    play(context, seconds)


@when("they answer again for {seconds:d} s")
def answer_again(context, seconds):
    context.pool.failing = set()
    play(context, seconds)


def tries_at_faulty(context, since, until):
    return [
        at
        for at, _, upstream, _ in context.pool.tries
        if upstream in context.faulty and since <= at < until
    ]


@then("they get at most {most:d} requests in the first second")
def count_first(context, most):
    tries = tries_at_faulty(context, context.began, context.began + 1)
    assert len(tries) <= most, len(tries)


@then("after the first second they get at most {per_s:d} requests a second")
def count_later(context, per_s):
    since, until = context.began + 1, context.loop.time()
    tries = tries_at_faulty(context, since, until)
    assert len(tries) <= per_s * (until - since), len(tries)


@then("99 of 100 callers are served")
def count_served(context):
    ends = [end for at, _, end in context.pool.ends if at >= context.began]
    assert ends.count("served") >= 0.99 * len(ends), (ends.count("served"), len(ends))


@then("at the end they get their share")
def count_share(context):
    until = context.loop.time()
    since = until - 4
    all_tries = [at for at, *_ in context.pool.tries if since <= at < until]
    tries = tries_at_faulty(context, since, until)
    share = len(context.faulty) / len(context.pool.names)
    assert len(tries) >= 0.5 * share * len(all_tries), (len(tries), len(all_tries))


@then("no other daemon distrusts an upstream")
def check_believed(context):
    pool = context.pool

    async def distrusted(daemon):
        return [name for name in pool.names if daemon.outcomes.distrusted(name)]

    for daemon in pool.daemons:
        if daemon.name not in pool.badly_linked:
            found = run(context, distrusted(daemon))
            assert not found, (daemon.name, found)


@then("all callers of the other daemons are served")
def check_others(context):
    ends = [e for _, name, e in context.pool.ends if name not in {"d0", "d1"}]
    assert set(ends) == {"served"}, ends


@then("each daemon distrusts at most {most:d} upstreams")
def count_distrusted(context, most):
    async def count(daemon):
        return sum(daemon.outcomes.distrusted(n) > 0 for n in context.pool.names)

    counts = [run(context, count(daemon)) for daemon in context.pool.daemons]
    assert 0 < max(counts) <= most, counts


@given("1 near and 0 far replicas of {slots:d} slots where requests outrank probes")
def make_outranking(context, slots):
    make_fixture(context, 1, 0, slots, requests_outrank_probes=True)


@when("another daemon receives data from its head")
def hear_elsewhere(context):
    fixture = context.fixture

    async def hear():
        fixture.heard_elsewhere["n0"] = asyncio.get_running_loop().time() + 0.1

    run_selection(context, hear)


@when("a daemon sees outcomes of {count:d} processes")
def see_many(context, count):
    async def see():
        context.records = OutcomeRecords()
        for number in range(count):
            context.records.add(f"e{number}@1", Outcome.RESET)
        return len(context.records.failing())

    context.remembered = run_virtual(see())


@then("it remembers at most {most:d}")
def check_remembered(context, most):
    assert most == MAX_PROCESSES
    assert 0 < context.remembered <= most, context.remembered


@when("its exclusions have been prolonged twice")
def prolong_exclusions(context):
    run_selection(context, lambda: asyncio.sleep(3.5))


@given("a gateway site with {count:d} engines that daemons share")
def start_pool_site(context, count):
    open_site(context, engines=count, contracts=["pool"])


@given("{count:d} engines reset all requests")
def reset_at_engines(context, count):
    context.faulty = [f"e{number}" for number in range(count)]
    for name in context.faulty:
        context.site.engines[name].script = ["reset"]


async def send_streams(context, count):
    statuses = []
    for _ in range(count):
        for daemon in range(2):
            await request_stream(context, daemon=daemon)
            statuses.append(context.status)
    return statuses


@when("{count:d} streams are sent to each daemon at once")
def send_to_each(context, count):
    async def send():
        await asyncio.gather(
            *(request_stream(context, daemon=d) for d in range(2) for _ in range(count))
        )

    run(context, send())


def distrusted(context):
    async def names():
        return [
            [n for n in context.site.engines if d.outcomes.distrusted(n) >= 1]
            for d in context.site.daemons
        ]

    return run(context, names())


@then("both daemons distrust these engines")
def check_distrust(context):
    assert distrusted(context) == [context.faulty] * 2, distrusted(context)

    async def counts():
        return [
            sum(r.value for r in d.outcomes.readings()) for d in context.site.daemons
        ]

    assert run(context, counts()) == [len(context.faulty)] * 2


@then("no daemon distrusts an upstream")
def check_no_distrust(context):
    assert distrusted(context) == [[], []], distrusted(context)


def count_ran(context):
    return sum(len(context.site.engines[name].ran) for name in context.faulty)


@then(
    "of {count:d} more streams at each daemon all are served, at most {most:d} by way "
    "of them"
)
def send_more(context, count, most):
    before = count_ran(context)
    statuses = run(context, send_streams(context, count))
    assert set(statuses) == {200}, statuses
    assert count_ran(context) - before <= most, count_ran(context) - before


@when("these engines answer again")
def answer_requests(context):
    for name in context.faulty:
        context.site.engines[name].script = ["ok"]
    context.ran_before = count_ran(context)


@then("within {seconds:d} s both daemons send them requests and these are answered")
def wait_until_believed(context, seconds):
    until = time.monotonic() + seconds
    while distrusted(context) != [[], []] or count_ran(context) == context.ran_before:
        assert time.monotonic() < until, distrusted(context)
        assert set(run(context, send_streams(context, 1))) == {200}
