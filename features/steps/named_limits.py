"""Steps for limits that upstreams name, over connections."""

import asyncio
import time
from types import SimpleNamespace

import async_solipsism
from behave import given, then, when

from auburnproxy.gateway.shared_rates import SharedRate
from features.fakes.fleet import host
from features.fakes.gossip import GossipCluster
from features.machines.runner import close_loop
from features.steps.routed import PEER_DISCOVERY_S, open_site, request_stream, run
from features.steps.trouble import send_order

WINDOW_S = 4.0


@given("a gateway site with three daemons")
def start_site(context):
    open_site(context, engines=3)

    async def add():
        for name in ("d2", "d3"):
            await context.site.add_daemon(name)
        await asyncio.sleep(PEER_DISCOVERY_S)

    run(context, add())


@given("the engine {name} names a limit of {limit} requests a second")
@given("the plain engine {name} names a limit of {limit} requests a second")
def set_limit(context, name, limit):
    context.site.engines[name].limit = limit


@when("{rate:d} {kind} a second are sent for {seconds:d} s")
def send_requests(context, rate, kind, seconds):
    async def send(number):
        result = SimpleNamespace(site=context.site)
        daemon = number % len(context.site.daemons)
        if kind == "streams":
            return await request_stream(result, daemon=daemon)
        return (await send_order(context, daemon=daemon)).status

    async def send_all():
        context.began_at, tasks = time.monotonic(), []
        for number in range(rate * seconds):
            tasks.append(asyncio.create_task(send(number)))
            await asyncio.sleep(1 / rate)
        context.statuses = await asyncio.gather(*tasks)

    run(context, send_all())


def counts_in_windows(context, name, since_s):
    """Return the requests that an upstream got in each window of 4 s."""
    first = context.began_at + since_s
    times = [at for at in context.site.engines[name].ran_at if at >= first]
    last = max(times, default=first) - WINDOW_S
    starts = [first, *(at for at in times if at <= last)]
    return [sum(at <= t < at + WINDOW_S for t in times) for at in starts]


@then("from {since:d} s on the engine {name} gets at most {most:d} requests in 4 s")
@then(
    "from {since:d} s on the plain engine {name} gets at most {most:d} requests in 4 s"
)
def check_most(context, since, name, most):
    context.counts = counts_in_windows(context, name, since)
    assert max(context.counts) <= most, context.counts


@then("from 3 s on it gets at least {least:d} requests in 4 s")
def check_least(context, least):
    assert context.counts[0] >= least, context.counts


@then("at least {share:g} of the requests are served")
def check_served(context, share):
    served = sum(status == 200 for status in context.statuses)
    assert served >= share * len(context.statuses), context.statuses


UPSTREAM = host("e0")
MAX_SHARERS = 8


class LimitedUpstream:
    """An upstream whose answers name a limit, and the daemons that send to it."""

    def __init__(self, cluster, limit):
        self.cluster, self.limit = cluster, limit
        self.ran_at, self.taken = [], {0: 0, 9: 0}
        cluster.daemons[0].limits.record(UPSTREAM, limit, sent_at=now())

    def offer(self, daemon, *, urgency=0):
        """Send a request if the daemon may, and return whether it did."""
        fact = daemon.limits.limit(UPSTREAM.incarnation)
        names = sorted(self.cluster.names)[:MAX_SHARERS]
        if fact is not None:
            rate = SharedRate("e0@1", fact.value, fact.began_at, names)
            if not daemon.rates.allows(rate, urgency=urgency):
                return False
            daemon.rates.record_sent(rate)
        self.ran_at.append(now())
        self.taken[urgency] += 1
        daemon.limits.record(UPSTREAM, self.limit, sent_at=now())
        return True

    def most_in_window(self):
        return max(
            sum(at <= t < at + WINDOW_S for t in self.ran_at) for at in self.ran_at
        )


def now():
    return asyncio.get_running_loop().time()


@given("an upstream that names a limit of {limit} requests a second")
def name_limit(context, limit):
    context.loop = async_solipsism.EventLoop()
    context.add_cleanup(lambda: close_loop(context.loop))
    context.limit_per_s = float(limit)

    async def start():
        count, loss = context.cluster_options
        context.upstream = LimitedUpstream(GossipCluster(count, loss=loss), limit)
        await context.upstream.cluster.run(3.0)

    run(context, start())


async def press(upstream, rate, seconds, *, busy=None, urgencies=(0,)):
    random, ends_at = upstream.cluster.random, now() + seconds
    daemons = sorted(upstream.cluster.names)[:busy]
    while now() < ends_at:
        await asyncio.sleep(random.expovariate(rate))
        (daemon,) = upstream.cluster.daemons_named([random.choice(daemons)])
        upstream.offer(daemon, urgency=random.choice(urgencies))


@when("{busy:d} daemons get {rate:d} requests a second together for {seconds:d} s")
def press_upstream(context, busy, rate, seconds):
    async def play():
        upstream = context.upstream
        beats = asyncio.create_task(upstream.cluster.run(seconds))
        await press(upstream, rate, seconds, busy=busy)
        await beats
        context.expected = seconds * context.limit_per_s

    run(context, play())


@when("a daemon starts in place of another every 2 s, and all are busy for 30 s")
def press_and_restart(context):
    async def play():
        cluster = context.upstream.cluster
        pressing = asyncio.create_task(press(context.upstream, 40, 30))
        while not pressing.done():
            await cluster.run(2.0)
            name = cluster.random.choice(sorted(cluster.names))
            started = cluster.start(name)
            for peer in cluster.daemons:
                cluster.send(peer, [started])

    run(context, play())


@then(
    "the upstream gets at most {times:g} times the limit and {slack:d} requests more in"
    " 4 s"
)
def check_rate(context, times, slack):
    most = times * WINDOW_S * context.limit_per_s + slack
    assert context.upstream.most_in_window() <= most, context.upstream.most_in_window()


@then("it gets at least {used:g} of what the limit allows")
def check_used(context, used):
    count = len(context.upstream.ran_at)
    assert count >= used * context.expected, (count, context.expected)


@when("a request that was sent {when_sent} the limit is answered without it")
def answer_without_limit(context, when_sent):
    async def play():
        cluster = context.upstream.cluster
        sent_at = 0.0 if when_sent == "before" else now()
        cluster.daemons[2].limits.record(UPSTREAM, "", sent_at=sent_at)
        await cluster.run(3.0)
        context.holders = [
            d for d in cluster.daemons if d.limits.limit(UPSTREAM.incarnation)
        ]

    run(context, play())


@then("all daemons hold the limit")
def check_held(context):
    assert len(context.holders) == len(context.upstream.cluster.daemons)


@then("no daemon holds the limit")
def check_lifted(context):
    assert not context.holders


@when(
    "urgent and less urgent requests come alike, 3 a second in all, for {seconds:d} s"
)
def press_with_urgencies(context, seconds):
    async def play():
        beats = asyncio.create_task(context.upstream.cluster.run(seconds))
        await press(context.upstream, 3, seconds, urgencies=(0, 9))
        await beats

    run(context, play())


@then("a larger part of the urgent ones is sent to it")
def check_urgency(context):
    taken = context.upstream.taken
    assert taken[0] > 1.3 * taken[9], taken
