"""Steps for gateway daemons that are stopped by signals."""

import asyncio
import contextlib
import os
import signal
import sys
import time
from random import Random

from behave import given, then, when

from features.fakes.platform import config
from features.fakes.shutdown import (
    Connection,
    plain,
    shutdown_site,
    stream,
)
from soak.proxy import Mode
from soak.site import GRACE_S

ARRIVAL_INTERVAL_S = 0.1
ARRIVALS_UNTIL_S = 7.8
STARVING_PROCESSES = 3
BODY = b"b" * 20_000
BODY_PAUSE_S = 0.5
"""Time before SIGTERM at which the first half of each body is sent."""
LARGE_BYTES = 12_000_000
"""More than the kernel buffers of a connection whose receiver does not read."""
LARGE_EVENTS = 400
RECEIVE_BYTES = 16_384
START_SWEEP = 16
START_S = 1.6
CONCURRENT_STARTS = 3
READINESS_INTERVAL_S = 0.2
SHOWN_FAULTS = 4
ROLL_SEED = 30
ROLL_INTERVAL_S = 1.5
ROLL_STOPS = 6
ROLL_CALLERS = 8
RANDOM_CALLERS = 10
FLOOD_INTERVAL_S = 0.02
LONGEST_FREEZE_S = 0.6


def play(context, script, *, daemons=1, leads=False):
    """Run a script with a site and keep every fault."""

    async def run():
        async with shutdown_site(daemons, leads=leads) as site:
            await script(site)
            context.late_exits = site.late_exits()
            context.lost = site.lost()
            context.late_runs = site.late_runs()
            context.unexplained = site.unexplained()
            context.unanswered = site.unanswered()

    asyncio.run(run())


async def finish(site):
    """Wait for the exit of every daemon that was stopped and for each answer."""
    await asyncio.gather(*(each.exit() for each in site.daemons if each.terminated_at))
    await asyncio.gather(*site.tasks)
    await site.until_engines_idle()


@given("a gateway daemon that leads")
@given("a gateway daemon as a process")
@given("two gateway daemons as processes")
@given("three gateway daemons as processes")
def no_daemon_yet(context):
    """The scripts start the daemons: they run in one event loop with the callers."""


@when("they get SIGTERM while requests take 6.5 s, 7.5 s and longer than the grace")
def stop_with_long_requests(context):
    async def script(site):
        for daemon, after_s in zip(site.daemons, (6.5, 7.5, 9.0), strict=True):
            site.begin(daemon, stream(int(after_s / 0.1)))
            site.begin(daemon, plain(after_s))
        await site.until_run(6)
        for daemon in site.daemons:
            daemon.terminate()
        await finish(site)

    play(context, script, daemons=3)


@when("they get SIGTERM twice, 0.05 s, 1 s and 4 s apart, while requests take 4.5 s")
def stop_twice(context):
    async def stop(daemon, pause_s):
        daemon.terminate()
        await asyncio.sleep(pause_s)
        daemon.terminate()

    async def script(site):
        for daemon in site.daemons:
            site.begin(daemon, stream(45))
            site.begin(daemon, plain(4.5))
        await site.until_run(6)
        pauses = zip(site.daemons, (0.05, 1.0, 4.0), strict=True)
        await asyncio.gather(*(stop(*each) for each in pauses))
        await finish(site)

    play(context, script, daemons=3)


async def keep_sending(site, daemon, until_s):
    """Begin requests of 2 s and 3.8 s until some seconds after SIGTERM."""
    kept = Connection(site, daemon)
    while time.monotonic() < daemon.terminated_at + until_s:
        site.begin(daemon, stream(38))
        site.begin(daemon, plain(2.0))
        await kept.request(stream(2, 0.02))
        await asyncio.sleep(ARRIVAL_INTERVAL_S)
    kept.close()


@when("it gets SIGTERM while its store is silent and requests keep arriving")
def stop_leader_without_store(context):
    async def script(site):
        (daemon,) = site.daemons
        await site.until_leads(daemon)
        await asyncio.sleep(0.3)
        site.proxies[0].set(Mode.SILENT)
        daemon.terminate()
        await keep_sending(site, daemon, ARRIVALS_UNTIL_S)
        await finish(site)

    play(context, script, leads=True)


@when("they get SIGHUP before, after and around SIGTERM, then a configuration")
def stop_with_reloads(context):
    async def stop(daemon, pauses):
        numbers = (signal.SIGHUP, signal.SIGTERM, signal.SIGHUP)
        for number, pause_s in zip(numbers, pauses, strict=True):
            if pause_s is not None:
                await asyncio.sleep(pause_s)
                if number is signal.SIGTERM:
                    daemon.terminate()
                else:
                    daemon.send(number)

    async def script(site):
        for daemon in site.daemons:
            site.begin(daemon, stream(45))
            site.begin(daemon, plain(4.5))
        await site.until_run(6)
        pauses = ((0.0, 0.05, None), (None, 0.05, 0.01), (0.0, 0.01, 1.0))
        stops = zip(site.daemons, pauses, strict=True)
        await asyncio.gather(*(stop(*each) for each in stops))
        site.configure(**{"timeout-ms": 1500})
        await asyncio.sleep(0.7)
        document = config()
        site.write(document | {"routes": document["routes"][2:3], "tenants": []})
        await finish(site)

    play(context, script, daemons=3)


@when("they get SIGTERM before, during and late in a freeze")
def stop_frozen(context):
    async def freeze(daemon, before_s, after_s):
        """Freeze a daemon from one time to another, relative to SIGTERM."""
        events = sorted(
            [
                (before_s, lambda: daemon.send(signal.SIGSTOP)),
                (0.0, daemon.terminate),
                (after_s, lambda: daemon.send(signal.SIGCONT)),
            ],
            key=lambda event: event[0],
        )
        now_s = min(before_s, 0.0)
        daemon.life.frozen_before_s = -now_s
        for at_s, act in events:
            await asyncio.sleep(at_s - now_s)
            act()
            now_s = at_s

    async def script(site):
        for daemon in site.daemons:
            site.begin(daemon, stream(95))
            site.begin(daemon, plain(9.5))
            site.begin(daemon, stream(30))
        await site.until_run(9)
        spans = zip(site.daemons, (-0.3, 1.0, 5.0), (2.0, 3.0, 7.0), strict=True)
        await asyncio.gather(*(freeze(*each) for each in spans))
        await finish(site)

    play(context, script, daemons=3)


@contextlib.asynccontextmanager
async def starving(daemon, competitors=STARVING_PROCESSES):
    """Pin busy processes to the core on which a daemon runs."""
    core = {min(os.sched_getaffinity(0))}
    os.sched_setaffinity(daemon.pid, core)
    processes = []
    try:
        for _ in range(competitors):
            process = await asyncio.create_subprocess_exec(
                sys.executable, "-c", "while True: pass"
            )
            processes.append(process)
            os.sched_setaffinity(process.pid, core)
        yield
    finally:
        for process in processes:
            process.kill()
            await process.wait()


@when("it gets SIGTERM on a busy core with 40 requests in flight")
def stop_starved(context):
    async def script(site):
        (daemon,) = site.daemons
        for _ in range(10):
            site.begin(daemon, stream(95))
            site.begin(daemon, plain(9.5))
            site.begin(daemon, stream(40))
            site.begin(daemon, plain(4.0))
        await site.until_run(40)
        async with starving(daemon):
            daemon.terminate()
            await finish(site)

    play(context, script)


@when("it gets SIGTERM with 120 requests that take longer than the grace")
def stop_with_many(context):
    async def script(site):
        (daemon,) = site.daemons
        for _ in range(60):
            site.begin(daemon, stream(95))
            site.begin(daemon, plain(9.5))
        await site.until_run(120)
        daemon.terminate()
        await finish(site)

    play(context, script)


@when("they get SIGTERM while bodies, kept connections and slow readers are open")
def stop_with_open_connections(context):
    async def keep(site, daemon):
        kept = Connection(site, daemon)
        for pause_s in (0.0, 0.5, 1.0, 1.2, 1.0, 1.0, 1.0):
            await asyncio.sleep(pause_s)
            await kept.request(stream(3))
        kept.close()

    async def read_slowly(site, daemon, path, stall_s):
        connection = Connection(site, daemon, receive_bytes=RECEIVE_BYTES)
        await connection.request(path, stall_s=stall_s)
        connection.close()

    async def script(site):
        bodies, kept, answers, streams = site.daemons
        late = BODY_PAUSE_S
        for pause_s in (0.5, 1.5, 2.5, 4.0, 5.5):
            site.begin(bodies, plain(0.5), body=BODY, body_pause_s=pause_s + late)
        site.begin(bodies, plain(0.5), body=BODY, unsent=10)
        site.begin(kept, stream(65))
        for _ in range(4):
            site.tasks.append(asyncio.create_task(keep(site, kept)))
        for stall_s in (1.5, 4.0, 6.0):
            path = stream(LARGE_EVENTS, 0, size=LARGE_BYTES // LARGE_EVENTS)
            for reading in (
                read_slowly(site, answers, plain(0.0, size=LARGE_BYTES), stall_s),
                read_slowly(site, streams, path, stall_s),
            ):
                site.tasks.append(asyncio.create_task(reading))
        await asyncio.sleep(late)
        for daemon in site.daemons:
            daemon.terminate()
        await finish(site)

    play(context, script, daemons=4)


@when("they get SIGTERM while a stream is resumed, a request retried and none runs")
def stop_with_retries(context):
    async def script(site):
        resuming, retrying, breaking = site.daemons
        streams = [site.engines["e0"], site.engines["e1"]]
        calls = [site.engines["p0"], site.engines["p1"]]

        def set_script(engines, actions):
            for engine in engines:
                engine.script = actions

        set_script(streams, ["break", "break", "ok"])
        for _ in range(2):
            site.begin(resuming, stream(12, 0.25))
        set_script(calls, ["silent", "ok"])
        site.begin(retrying, plain(0.0, once=False))
        await site.until_run(3)
        for daemon in site.daemons:
            daemon.terminate()
        site.begin(retrying, plain(20.0, once=False))
        await asyncio.sleep(1.5)
        site.begin(retrying, plain(20.0, once=False))
        set_script(streams, ["shed"])
        await site.begin(breaking, stream(12, 0.25))
        set_script(streams, ["silent", "ok"])
        site.begin(breaking, stream(12, 0.25))
        await asyncio.sleep(1.0)
        set_script(streams, ["break"])
        broken = site.begin(breaking, stream(12, 0.25))
        site.broken_ids.add((await broken).id)
        await finish(site)

    play(context, script, daemons=3)


@when("it gets SIGTERM and engines pause for 1.2 s between events")
def stop_with_pauses(context):
    async def script(site):
        (daemon,) = site.daemons
        for _ in range(4):
            site.begin(daemon, stream(5, 1.2))
        await site.until_run(4)
        daemon.terminate()
        await finish(site)

    play(context, script)


@given("gateway daemons that are about to be started")
def none_started(context):
    context.pauses = [round(0.1 * n, 1) for n in range(START_SWEEP)]


@when("each gets SIGTERM up to 1.5 s after its program begins, with callers waiting")
def stop_at_start(context):
    async def keep_trying(site, daemon):
        while daemon.runs:
            await site.call(daemon, stream(3, 0.05))
            await asyncio.sleep(0.01)

    async def start_and_stop(site, pause_s, gate):
        async with gate:
            daemon = await site.add_daemon()
            await daemon.start()
            caller = asyncio.create_task(keep_trying(site, daemon))
            await daemon.until_main()
            await asyncio.sleep(pause_s)
            daemon.terminate()
            # The drain needs no processor time, so that the next one may start.
            await asyncio.sleep(START_S - pause_s)
        await daemon.exit()
        context.accepting += [daemon.name] if await daemon.accepts() else []
        await caller

    async def script(site):
        gate = asyncio.Semaphore(CONCURRENT_STARTS)
        stops = (start_and_stop(site, pause_s, gate) for pause_s in context.pauses)
        await asyncio.gather(*stops)
        await site.until_engines_idle()

    context.accepting = []
    play(context, script, daemons=0)


@when("they are stopped in turn, some twice, while callers follow their readiness")
def roll(context):
    async def follow(site, ready):
        while True:
            for daemon in site.daemons:
                ready[daemon.name] = await daemon.is_ready()
            await asyncio.sleep(READINESS_INTERVAL_S)

    async def call(site, ready, number, ends_at):
        random = Random(f"{ROLL_SEED}/{number}")
        kept = {daemon.name: Connection(site, daemon) for daemon in site.daemons}
        while time.monotonic() < ends_at:
            usable = [x for x in site.daemons if ready[x.name] or kept[x.name].is_open]
            if usable:
                seconds = random.choice((0.2, 0.2, 0.5, 1.0, 2.0, 4.0))
                path = random.choice((stream(int(seconds * 10)), plain(seconds)))
                await kept[random.choice(usable).name].request(path)
            await asyncio.sleep(0.02)
        for connection in kept.values():
            connection.close()

    async def stop_and_start(daemon, number):
        daemon.terminate()
        if number % 2:
            await asyncio.sleep(0.7)
            daemon.terminate()
        await daemon.exit()
        await daemon.start()

    async def script(site):
        ready = dict.fromkeys((daemon.name for daemon in site.daemons), True)
        follower = asyncio.create_task(follow(site, ready))
        ends_at = time.monotonic() + ROLL_INTERVAL_S * ROLL_STOPS + GRACE_S
        for number in range(ROLL_CALLERS):
            site.tasks.append(asyncio.create_task(call(site, ready, number, ends_at)))
        await asyncio.sleep(0.5)
        stops = []
        for number in range(ROLL_STOPS):
            daemon = site.daemons[number % len(site.daemons)]
            while not await daemon.is_ready():  # noqa: ASYNC110
                await asyncio.sleep(0.05)
            stops.append(asyncio.create_task(stop_and_start(daemon, number)))
            await asyncio.sleep(ROLL_INTERVAL_S)
        await asyncio.gather(*stops)
        await asyncio.gather(*site.tasks)
        follower.cancel()

    play(context, script, daemons=3)


@when("they get SIGTERM, then SIGHUP, SIGTERM or both every 20 ms until they end")
def flood_with_signals(context):
    async def flood(daemon, numbers):
        daemon.terminate()
        ends_at = time.monotonic() + GRACE_S
        while daemon.runs and time.monotonic() < ends_at:
            for number in numbers:
                daemon.send(number)
            await asyncio.sleep(FLOOD_INTERVAL_S)

    async def script(site):
        for daemon in site.daemons:
            site.begin(daemon, stream(35))
        await site.until_run(3)
        hangup, terminate = signal.SIGHUP, signal.SIGTERM
        numbers = ((hangup,), (terminate,), (hangup, terminate))
        floods = zip(site.daemons, numbers, strict=True)
        await asyncio.gather(*(flood(*each) for each in floods))
        await finish(site)

    play(context, script, daemons=3)


def random_request(random):
    """Return the path and options of a request of a random kind."""
    kind = random.choice(("stream", "plain", "large", "large stream", "body"))
    seconds = random.choice((0.1, 0.2, 0.5, 1.0, 2.0, 4.0))
    stall_s = random.uniform(0.0, 1.5)
    if kind == "stream":
        return stream(max(round(seconds * 10), 1)), {}
    if kind == "plain":
        return plain(seconds, once=random.random() < 0.5), {}
    if kind == "large":
        return plain(0.0, size=random.randrange(LARGE_BYTES)), {"stall_s": stall_s}
    if kind == "large stream":
        return stream(100, 0.0, size=LARGE_BYTES // 100), {"stall_s": stall_s}
    return plain(seconds), {"body": BODY, "body_pause_s": random.uniform(0.0, 2.0)}


async def call_randomly(site, random, ends_at):
    """Send requests on kept connections; some callers leave early."""
    kept = {
        daemon.name: Connection(site, daemon, receive_bytes=RECEIVE_BYTES)
        for daemon in site.daemons
    }
    while time.monotonic() < ends_at:
        path, options = random_request(random)
        connection = kept[random.choice(site.daemons).name]
        patience_s = random.choice((0.3, None, None, None))
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(patience_s):
                await connection.request(path, **options)
        await asyncio.sleep(random.uniform(0.0, 0.2))
    for connection in kept.values():
        connection.close()


async def signal_randomly(daemon, random, ends_at):
    """Send random signals to a daemon while it serves, drains and starts."""

    async def disturb(until_s):
        for at_s in sorted(random.uniform(0.0, until_s) for _ in range(3)):
            await asyncio.sleep(at_s / 3)
            number = random.choice((signal.SIGTERM, signal.SIGHUP, signal.SIGSTOP))
            if number is signal.SIGTERM:
                if daemon.terminated_at:
                    daemon.terminate()
                continue
            daemon.send(number)
            if number is signal.SIGSTOP:
                await asyncio.sleep(random.uniform(0.0, LONGEST_FREEZE_S))
                daemon.send(signal.SIGCONT)

    while time.monotonic() < ends_at:
        await disturb(1.0)
        daemon.terminate()
        await asyncio.gather(daemon.exit(), disturb(3.0))
        await daemon.start()
        if random.random() < 0.3:
            await daemon.until_main()
            await asyncio.sleep(random.uniform(0.0, 1.5))
        else:
            await daemon.until_ready()
            await asyncio.sleep(random.uniform(0.0, 2.0))


@when("random signals with the seed {seed:d} meet requests of all kinds for {s:d} s")
def signal_at_random(context, seed, s):
    async def script(site):
        ends_at = time.monotonic() + s
        callers = (
            call_randomly(site, Random(f"{seed}/caller/{number}"), ends_at + GRACE_S)
            for number in range(RANDOM_CALLERS)
        )
        site.tasks += [asyncio.create_task(each) for each in callers]
        await asyncio.sleep(0.5)
        signals = (
            signal_randomly(daemon, Random(f"{seed}/signals/{number}"), ends_at)
            for number, daemon in enumerate(site.daemons)
        )
        await asyncio.gather(*signals)
        await asyncio.gather(*site.tasks)
        await site.until_engines_idle()

    play(context, script, daemons=3)


def describe(faults):
    more = (
        [f"and {len(faults) - SHOWN_FAULTS} more"] if len(faults) > SHOWN_FAULTS else []
    )
    return "\n".join(faults[:SHOWN_FAULTS] + more)


def check(context, faults):
    every = (
        context.late_exits,
        context.lost,
        context.late_runs,
        context.unexplained,
        context.unanswered,
    )
    assert not faults, "\n".join(describe(each) for each in every)


@then("each stopped daemon exits by itself within its grace")
def check_exits(context):
    check(context, context.late_exits)


@then("no answer is lost")
def check_answers(context):
    check(context, context.lost)


@then("no engine gets a request later than 3 s after SIGTERM")
def check_late_runs(context):
    check(context, context.late_runs)


@then("the logs show how each request ended")
def check_logs(context):
    check(context, context.unexplained)


@then("each request that an engine got has an answer")
def check_answered(context):
    check(context, context.unanswered)


@then("no port of a stopped daemon accepts connections")
def check_ports(context):
    assert not context.accepting, context.accepting
