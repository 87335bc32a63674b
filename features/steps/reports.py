"""Steps for report sharing among daemons."""

import asyncio
import time

import async_solipsism
import uvloop
from behave import given, then, when

from auburnproxy.membership.rendezvous import rank
from auburnproxy.upstreams.engine import EngineState
from features.fakes.sharing import FakeNetwork, SharingDaemon
from features.machines.reports import ReportsMachine, TransitMachine
from features.machines.runner import run_examples

SETTLE_S = 6.0
CHECK_INTERVAL_S = 0.05
FRAME_LOSS_S = 0.55
"""Long enough to lose a poll's update, too short for a peer to start polling."""
RESOLUTION_S = 0.002
"""The event loop's clock has a resolution of one millisecond."""


@when("pollers, links and hosts fail at random")
def select_reports_machine(context):
    context.search = (ReportsMachine, 40, 30)


@when("frames of two clocks are delayed at random")
def select_transit_machine(context):
    context.search = (TransitMachine, 100, 40)


@then("no daemon keeps using an expired report")
@then("the age of no frame is underestimated")
def run_search(context):
    machine, examples, steps = context.search
    run_examples(machine, examples=examples, steps=steps)


@given("{count:d} pollers of {hosts:d} hosts")
def start(context, count, hosts):
    context.loop = async_solipsism.EventLoop()
    context.network = FakeNetwork(hosts)
    context.add_cleanup(stop, context)
    context.loop.run_until_complete(start_daemons(context, count))


async def start_daemons(context, count):
    for number in range(count):
        context.network.daemons.append(SharingDaemon(context.network, number))
    for daemon in context.network.daemons:
        daemon.start()
    await asyncio.sleep(SETTLE_S)


def stop(context):
    for daemon in context.network.daemons:
        context.loop.run_until_complete(daemon.stop())
    context.loop.close()


@when("poller {number:d} is frozen")
def freeze(context, number):
    context.network.daemons[number].running.clear()


@when("poller {number:d} is partitioned from the others")
def partition_poller(context, number):
    ids = [daemon.me.id for daemon in context.network.daemons]
    context.network.cut_links |= {frozenset((ids[number], other)) for other in ids}


@when('only the lowest-ranked poller of host "{host}" can reach it')
def block_preferred_pollers(context, host):
    members = tuple(daemon.me for daemon in context.network.daemons)
    context.last_poller = rank(f"poll/{host}", members)[-1]
    for daemon in context.network.daemons:
        if daemon.me != context.last_poller:
            daemon.blocked_hosts.add(host)


@when('host "{host}" starts leaving')
def leave(context, host):
    context.network.engines_by_host[host].state = EngineState.LEAVING


@when('host "{host}" crashes')
def kill(context, host):
    context.network.engines_by_host[host].alive = False


@when("{seconds:d} seconds pass for the daemons")
def pass_time(context, seconds):
    context.loop.run_until_complete(asyncio.sleep(seconds))


@then("the other pollers have unexpired reports of all hosts for {seconds:d} seconds")
@then("all pollers have unexpired reports of all hosts for {seconds:d} seconds")
def check_all_present(context, seconds):
    context.loop.run_until_complete(check_presence_repeatedly(context.network, seconds))


async def check_presence_repeatedly(network, seconds):
    for _ in range(round(seconds / CHECK_INTERVAL_S)):
        await asyncio.sleep(CHECK_INTERVAL_S)
        for daemon in network.daemons:
            for host in network.engines_by_host:
                fresh = daemon.watcher.present(host)
                assert fresh or not daemon.running.is_set(), (daemon.me.name, host)


@then('only that daemon has an unexpired report of "{host}"')
def check_only_reachable(context, host):
    assert daemons_with_report(context, host) == {context.last_poller.name}


@then('"{host}" is not usable at any daemon')
def check_unused(context, host):
    async def usable():
        return [d.watcher.usable(host) for d in context.network.daemons]

    assert not any(context.loop.run_until_complete(usable()))


def daemons_with_report(context, host):
    async def stored():
        daemons = context.network.daemons
        return {d.me.name for d in daemons if d.watcher.present(host)}

    return context.loop.run_until_complete(stored())


@when("each host has cached {count:d} new prompt prefixes")
def add_prefixes(context, count):
    for host, engine in context.network.engines_by_host.items():
        engine.prefixes = tuple(f"{host}/{number:03}" for number in range(count))


@then("every daemon knows all prompt prefixes")
def check_prefixes(context):
    async def check():
        for daemon in context.network.daemons:
            for host, engine in context.network.engines_by_host.items():
                known = daemon.watcher.report(host).prefixes
                assert set(known) == set(engine.prefixes), (daemon.me.name, known)

    context.loop.run_until_complete(check())


@when("the event loop is blocked for {seconds:g} seconds")
def block_loop(context, seconds):
    async def read():
        first = asyncio.get_running_loop().time()
        time.sleep(seconds)  # noqa: ASYNC251
        return first, asyncio.get_running_loop().time(), time.monotonic()

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        context.started_at = time.monotonic()
        context.clocks = runner.run(read())


@then("its clock is between the readings of the monotonic clock before and after")
def check_clock_bounds(context):
    first, second, ended_at = context.clocks
    assert context.started_at - RESOLUTION_S <= first <= second <= ended_at


@when("every host restarts while a link drops frames")
def restart_during_frame_loss(context):
    network = context.network
    network.lossy_link = frozenset(daemon.me.id for daemon in network.daemons)
    for engine in network.engines_by_host.values():
        engine.restart()
    context.loop.run_until_complete(asyncio.sleep(FRAME_LOSS_S))
    network.lossy_link = frozenset()


@then("each stored report is one that its host sent")
def check_stored_reports(context):
    context.loop.run_until_complete(check_reports_repeatedly(context.network))


async def check_reports_repeatedly(network):
    for _ in range(round(SETTLE_S / CHECK_INTERVAL_S)):
        await asyncio.sleep(CHECK_INTERVAL_S)
        for daemon in network.daemons:
            for host in network.engines_by_host:
                stored = daemon.stored(host)
                assert stored is None or stored[1] == stored[2], (
                    daemon.me.name,
                    stored,
                )
