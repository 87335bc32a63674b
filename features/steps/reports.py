"""Steps for daemons that share the reports of upstreams."""

import asyncio
import time

import async_solipsism
import uvloop
from behave import given, then, when

from auburnproxy.membership.rendezvous import rank
from auburnproxy.upstreams.engine import EngineState
from features.fakes.sharing import SharingDaemon, Switch
from features.machines.reports import ReportsMachine, TransitMachine
from features.machines.runner import run_examples

SETTLE_S = 6.0
LOOK_S = 0.05
LOSS_S = 0.55
"""A poll and its news fit in, the silence that makes a peer poll does not."""
RESOLUTION_S = 0.002
"""The loop counts whole milliseconds."""


@when("pollers, links and hosts fail at random")
def choose_reports(context):
    context.search = (ReportsMachine, 40, 30)


@when("frames of two clocks are delayed at random")
def choose_transit(context):
    context.search = (TransitMachine, 100, 40)


@then("no report is held for fresh beyond its time")
@then("none counts as younger than it is")
def run_search(context):
    machine, examples, steps = context.search
    run_examples(machine, examples=examples, steps=steps)


@given("{count:d} pollers of {hosts:d} hosts")
def start(context, count, hosts):
    context.loop = async_solipsism.EventLoop()
    context.switch = Switch(hosts)
    context.add_cleanup(stop, context)
    context.loop.run_until_complete(start_daemons(context, count))


async def start_daemons(context, count):
    for number in range(count):
        context.switch.daemons.append(SharingDaemon(context.switch, number))
    for daemon in context.switch.daemons:
        daemon.start()
    await asyncio.sleep(SETTLE_S)


def stop(context):
    for daemon in context.switch.daemons:
        context.loop.run_until_complete(daemon.stop())
    context.loop.close()


@when("poller {number:d} is frozen")
def freeze(context, number):
    context.switch.daemons[number].runs.clear()


@when("poller {number:d} is cut off from the others")
def cut_off(context, number):
    ids = [daemon.me.id for daemon in context.switch.daemons]
    context.switch.cuts |= {frozenset((ids[number], other)) for other in ids}


@when('all but the last poller of host "{host}" are walled off from it')
def wall_off(context, host):
    members = tuple(daemon.me for daemon in context.switch.daemons)
    context.last = rank(f"poll/{host}", members)[-1]
    for daemon in context.switch.daemons:
        if daemon.me != context.last:
            daemon.walls.add(host)


@when('host "{host}" leaves')
def leave(context, host):
    context.switch.engines_by_host[host].state = EngineState.LEAVING


@when('host "{host}" dies')
def kill(context, host):
    context.switch.engines_by_host[host].alive = False


@when("{seconds:d} seconds pass at the pollers")
def pass_time(context, seconds):
    context.loop.run_until_complete(asyncio.sleep(seconds))


@then("the others hold fresh reports of all hosts for {seconds:d} seconds")
@then("all hold fresh reports of all hosts for {seconds:d} seconds")
def check_covered(context, seconds):
    context.loop.run_until_complete(look(context.switch, seconds))


async def look(switch, seconds):
    for _ in range(round(seconds / LOOK_S)):
        await asyncio.sleep(LOOK_S)
        for daemon in switch.daemons:
            for host in switch.engines_by_host:
                fresh = daemon.watcher.present(host)
                assert fresh or not daemon.runs.is_set(), (daemon.me.name, host)


@then('only that daemon holds a fresh report of "{host}"')
def check_reached(context, host):
    assert holders(context, host) == {context.last.name}


@then('no daemon gives "{host}" new work')
def check_unused(context, host):
    async def usable():
        return [d.watcher.usable(host) for d in context.switch.daemons]

    assert not any(context.loop.run_until_complete(usable()))


def holders(context, host):
    async def held():
        daemons = context.switch.daemons
        return {d.me.name for d in daemons if d.watcher.present(host)}

    return context.loop.run_until_complete(held())


@when("each host has cached {count:d} new prompt prefixes")
def cache(context, count):
    for host, engine in context.switch.engines_by_host.items():
        engine.prefixes = tuple(f"{host}/{number:03}" for number in range(count))


@then("every daemon knows all prompt prefixes")
def check_prefixes(context):
    async def check():
        for daemon in context.switch.daemons:
            for host, engine in context.switch.engines_by_host.items():
                known = daemon.watcher.report(host).prefixes
                assert set(known) == set(engine.prefixes), (daemon.me.name, known)

    context.loop.run_until_complete(check())


@when("the loop of the daemon is held up for {seconds:g} seconds")
def hold_up(context, seconds):
    async def read():
        first = asyncio.get_running_loop().time()
        time.sleep(seconds)  # noqa: ASYNC251
        return first, asyncio.get_running_loop().time(), time.monotonic()

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        context.started_at = time.monotonic()
        context.clocks = runner.run(read())


@then("its clock stands between the machine's at both ends")
def compare_clocks(context):
    first, second, ended_at = context.clocks
    assert context.started_at - RESOLUTION_S <= first <= second <= ended_at


@when("every host restarts while the frames of a link are lost")
def restart_unseen(context):
    switch = context.switch
    switch.lossy = frozenset(daemon.me.id for daemon in switch.daemons)
    for engine in switch.engines_by_host.values():
        engine.restart()
    context.loop.run_until_complete(asyncio.sleep(LOSS_S))
    switch.lossy = frozenset()


@then("each report that is held is one that its host made")
def compare_made(context):
    context.loop.run_until_complete(look_at_reports(context.switch))


async def look_at_reports(switch):
    for _ in range(round(SETTLE_S / LOOK_S)):
        await asyncio.sleep(LOOK_S)
        for daemon in switch.daemons:
            for host in switch.engines_by_host:
                held = daemon.held(host)
                assert held is None or held[1] == held[2], (daemon.me.name, held)
