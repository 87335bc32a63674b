"""Steps for replicas over several hosts."""

import asyncio

import async_solipsism
from behave import given, then, when

from auburnproxy.platform import ModelSpec
from auburnproxy.upstreams import Observation, Result
from features.fakes.replicas import FakeDaemon, FakePlatform
from features.machines.replicas import MACHINES
from features.machines.search import search


@given('the failure domain "{domain}" with {count:d} hosts in each of "{a}" and "{b}"')
def make_domain(context, domain, count, a, b):
    context.loop = async_solipsism.EventLoop()
    context.add_cleanup(stop, context)
    context.platform = FakePlatform(())
    context.marks, context.wanted, context.domain = set(), {}, domain
    context.platform.add(domain, a, count)
    context.platform.add(domain, b, count)


@given('{count:d} replicas of "{model}" over {hosts:d} hosts are wanted')
def want(context, count, model, hosts):
    context.model = model
    context.wanted[model] = count
    context.platform.specs += (ModelSpec(model, "1", hosts),)
    context.daemon = FakeDaemon(
        context.platform, context.domain, context.wanted, marks=context.marks
    )
    run(context, start(context.daemon))


async def start(daemon):
    daemon.start()


def run(context, coroutine):
    return context.loop.run_until_complete(coroutine)


def stop(context):
    run(context, context.daemon.stop())
    context.loop.close()


def serving_now(context):
    return context.daemon.readiness.serving(context.model)


def serving(context):
    async def look():
        return serving_now(context)

    return run(context, look())


@when("{seconds:d} seconds pass")
def wait(context, seconds):
    run(context, asyncio.sleep(seconds))


@given("the daemon starts without a part of the weight store's rate")
def take_part(context):
    run(context, context.daemon.stop())
    context.daemon = FakeDaemon(
        context.platform, context.domain, context.wanted, marks=context.marks
    )
    context.daemon.store_part = 0.0
    run(context, start(context.daemon))


@when("it gets its part")
def give_part(context):
    context.daemon.store_part = 1.0


@when("a host of a serving replica dies")
def kill(context):
    context.replica = serving(context)[0]
    context.host = context.replica.hosts[-1]
    context.platform.engines_by_host[context.host].alive = False


@when("a call finds a connection closed while a poll is under way")
def close_during_poll(context):
    async def close():
        context.host = serving_now(context)[0].head
        engine = context.platform.engines_by_host[context.host]
        engine.delay_s = 0.4
        engine.polled.clear()
        await engine.polled.wait()
        closed = Observation(Result.CLOSED)
        context.daemon.watcher.observe(context.host, closed)
        await asyncio.sleep(0.45)

    run(context, close())


@then("the host is not present until a later poll is answered")
def compare_presence(context):
    async def look():
        before = context.daemon.watcher.present(context.host)
        await asyncio.sleep(1)
        return before, context.daemon.watcher.present(context.host)

    assert run(context, look()) == (False, True)


@then('at least {count:d} replicas of "{model}" serve')
def compare_count(context, count, model):
    assert len(serving(context)) >= count, serving(context)


@then('replicas of "{model}" serve in {count:d} fabric domains')
def compare_fabrics(context, model, count):
    assert len({r.fabric_domain for r in serving(context)}) == count


@then("no replica with that host serves")
def compare_dead(context):
    assert not [r for r in serving(context) if context.host in r.hosts]


@then("the replica serves again with one host changed")
def compare_repaired(context):
    by_name = {r.name: r for r in serving(context)}
    hosts = by_name[context.replica.name].hosts
    assert len(set(hosts) - set(context.replica.hosts)) == 1, hosts
    assert context.host not in hosts


@then('"{name}" finds no violation in {examples:d} runs of {steps:d} steps')
def compare_machine(context, name, examples, steps):
    machine = {kind.__name__: kind for kind in MACHINES}[name]
    search(machine, examples=examples, steps=steps)
