"""Steps for gateway daemons that are stopped by signals."""

import asyncio
import time

from behave import given, then, when

from features.fakes.shutdown import (
    Connection,
    plain,
    shutdown_site,
    stream,
)
from soak.proxy import Mode

ARRIVAL_INTERVAL_S = 0.1
ARRIVALS_UNTIL_S = 7.8


def play(context, script, *, daemons=1, leads=False):
    """Run a script with a site and keep every fault."""

    async def run():
        async with shutdown_site(daemons, leads=leads) as site:
            await script(site)
            context.late_exits = site.late_exits()
            context.lost = site.lost()
            context.late_runs = site.late_runs()
            context.unexplained = site.unexplained()
            context.logs = [daemon.text() for daemon in site.daemons]

    asyncio.run(run())


async def finish(site):
    """Wait for the exit of every daemon that was stopped and for each answer."""
    await asyncio.gather(*(each.exit() for each in site.daemons if each.terminated_at))
    await asyncio.gather(*site.tasks)


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
    """Begin requests of 2 s until some seconds after SIGTERM."""
    kept = Connection(site, daemon)
    while time.monotonic() < daemon.terminated_at + until_s:
        site.begin(daemon, stream(20))
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


def describe(faults):
    return "\n".join(str(fault) for fault in faults)


def check(context, faults):
    assert not faults, describe(
        [*context.late_exits, *context.lost, *context.late_runs, *context.unexplained]
    )


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
