"""Steps for replicas over several hosts."""

import asyncio

import async_solipsism
from behave import given, then, when

from auburnproxy.external import ModelSpec
from auburnproxy.replicas import Policy, ownership_key
from auburnproxy.upstreams import Observation, Result
from features.fakes.replicas import FakeDaemon, FakePlatform
from features.machines import cold_starts, replicas
from features.machines.runner import run_examples


@given('the failure domain "{domain}" with {count:d} hosts in each of "{a}" and "{b}"')
def make_failure_domain(context, domain, count, a, b):
    context.loop = async_solipsism.EventLoop()
    context.add_cleanup(stop, context)
    context.platform = FakePlatform(())
    context.taken_out, context.desired_replicas, context.domain = set(), {}, domain
    context.platform.add(domain, a, count)
    context.platform.add(domain, b, count)


@given('{count:d} replicas of "{model}" over {hosts:d} hosts are the target')
def set_target(context, count, model, hosts):
    context.model = model
    context.desired_replicas[model] = count
    context.platform.model_specs += (ModelSpec(model, "1", hosts),)
    context.daemon = make_daemon(context)
    run(context, start(context.daemon))


def make_daemon(context):
    return FakeDaemon(
        context.platform,
        context.domain,
        context.desired_replicas,
        taken_out=context.taken_out,
        policy=Policy(spares=1),
    )


async def start(daemon):
    daemon.start()


MACHINES = (*replicas.MACHINES, *cold_starts.MACHINES)


def run(context, coroutine):
    return context.loop.run_until_complete(coroutine)


def stop(context):
    tasks = [*getattr(context, "relay_tasks", ()), *getattr(context, "streams", ())]
    for task in (*tasks, getattr(context, "presence_task", None)):
        if task is not None:
            task.cancel()
    for daemon in (context.daemon, getattr(context, "second", None)):
        if daemon is not None:
            run(context, daemon.stop())
    context.loop.close()


def current_replicas(context):
    return context.daemon.readiness.serving(context.model)


def serving(context):
    async def look():
        return current_replicas(context)

    return run(context, look())


@given("a second daemon, each polling one fabric domain and relaying reports")
def split_polling(context):
    first = context.daemon
    second = make_daemon(context)
    for daemon, fabric_domain in ((first, "f1"), (second, "f2")):
        daemon.owned_keys = {ownership_key(context.domain, fabric_domain)}
        daemon.polls_all = False
    context.second, context.missing_hosts = second, []
    run(context, start_relaying(context))


async def start_relaying(context):
    context.second.start()
    context.relay_tasks = [
        asyncio.create_task(relay(context.second, context.daemon)),
        asyncio.create_task(relay(context.daemon, context.second)),
    ]
    await asyncio.sleep(5)
    context.presence_task = asyncio.create_task(collect_missing_hosts(context))
    for engine in context.platform.engines_by_host.values():
        engine.poll_count = 0


async def relay(sender, receiver):
    while True:
        for report, age_s in sender.watcher.own_reports().values():
            receiver.watcher.accept_peer_report(report, age_s=age_s + 0.01)
        await asyncio.sleep(0.5)


async def collect_missing_hosts(context):
    while True:
        for host in context.platform.entries_by_host:
            if not context.daemon.watcher.present(host):
                context.missing_hosts.append(host)
        await asyncio.sleep(0.1)


@when("the second daemon stops relaying reports")
def stop_relaying(context):
    context.relay_tasks[0].cancel()


@then("every host got under {rate:d} polls per second and was always present")
def check_poll_rate(context, rate):
    most = max(e.poll_count for e in context.platform.engines_by_host.values())
    assert most < rate * 10, most
    check_always_present(context)


@then("every host was always present")
def check_always_present(context):
    assert not context.missing_hosts, context.missing_hosts


@when("{seconds:d} seconds pass")
def wait(context, seconds):
    run(context, asyncio.sleep(seconds))


@given("the daemon starts without a share of the weight store's rate")
def start_without_share(context):
    run(context, context.daemon.stop())
    context.daemon = make_daemon(context)
    context.daemon.store_share = 0.0
    run(context, start(context.daemon))


@when("it gets its share")
def assign_share(context):
    context.daemon.store_share = 1.0


@when("a host of a serving replica dies and is delisted")
def kill_and_delist_host(context):
    context.replica = serving(context)[0]
    context.host = context.replica.hosts[-1]
    context.platform.engines_by_host[context.host].alive = False
    del context.platform.entries_by_host[context.host]


@when("a call finds a connection closed while a poll is under way")
def close_during_poll(context):
    async def close():
        context.host = current_replicas(context)[0].head
        engine = context.platform.engines_by_host[context.host]
        engine.report_delay_s = 0.4
        engine.polled.clear()
        await engine.polled.wait()
        closed = Observation(Result.CLOSED)
        context.daemon.watcher.observe(context.host, closed)
        await asyncio.sleep(0.45)

    run(context, close())


@then("the host is not present until a later poll is answered")
def check_presence(context):
    async def look():
        before = context.daemon.watcher.present(context.host)
        await asyncio.sleep(1)
        return before, context.daemon.watcher.present(context.host)

    assert run(context, look()) == (False, True)


@when("the process of a host of a serving replica restarts within 10 seconds")
def restart_process(context):
    context.replica = serving(context)[0]
    engine = context.platform.engines_by_host[context.replica.hosts[-1]]
    engine.alive = False
    run(context, asyncio.sleep(10))
    assert context.replica not in serving(context)
    engine.restart()


@then("the replica serves again with the same record")
def check_same_record(context):
    assert context.replica in serving(context)


@when("a stream runs on each serving replica")
def open_streams(context):
    context.replicas = serving(context)
    assert context.replicas
    wait_until_lost = context.daemon.readiness.wait_until_lost
    context.streams = [
        context.loop.create_task(wait_until_lost(r)) for r in context.replicas
    ]


@when("the failure domain is taken out")
def take_out(context):
    context.taken_out.add(context.domain)
    run(context, asyncio.sleep(1))


@when("the failure domain is brought back")
def bring_back(context):
    context.taken_out.clear()
    run(context, asyncio.sleep(1))


@then("no replica serves")
def check_none_serving(context):
    assert not serving(context)


@then("no stream was aborted")
def check_no_stream_aborted(context):
    assert not [stream for stream in context.streams if stream.done()]


@then("the same replicas serve")
def check_same_replicas(context):
    assert serving(context) == context.replicas


@when("the weight store lists only other models")
def delist_model(context):
    context.platform.model_specs = (ModelSpec("other", "1", 2),)


@when("the log becomes {state}")
@when("the log is {state} again")
def switch_log(context, state):
    context.platform.log_up = state == "available"


@when("another daemon takes over")
def take_over(context):
    run(context, context.daemon.stop())
    context.daemon = make_daemon(context)
    context.daemon.journal.fold()
    run(context, start(context.daemon))


@then("the journal has these hosts and none of them was restarted")
def check_recorded_hosts(context):
    repaired = {r.name: r for r in serving(context)}[context.replica.name]
    assert context.daemon.replicas.by_name[repaired.name] == repaired
    assert repaired.generation == context.replica.generation
    engines = [context.platform.engines_by_host[host] for host in repaired.hosts]
    assert [e.ready_at for e in engines] == context.ready_at


@then('at least {count:d} replicas of "{model}" serve')
def check_replica_count(context, count, model):
    assert len(serving(context)) >= count, serving(context)


@then('replicas of "{model}" serve in {count:d} fabric domains')
def check_fabric_domain_count(context, model, count):
    assert len({r.fabric_domain for r in serving(context)}) == count


@then("no replica with that host serves")
def check_dead_host_excluded(context):
    assert not [r for r in serving(context) if context.host in r.hosts]


@then("the replica serves again with one host changed")
def check_one_host_changed(context):
    by_name = {r.name: r for r in serving(context)}
    hosts = by_name[context.replica.name].hosts
    assert len(set(hosts) - set(context.replica.hosts)) == 1, hosts
    assert context.host not in hosts
    engines = [context.platform.engines_by_host[host] for host in hosts]
    context.ready_at = [engine.ready_at for engine in engines]


@then('"{name}" finds no violation in {examples:d} runs of {steps:d} steps')
def run_machine(context, name, examples, steps):
    machine = {kind.__name__: kind for kind in MACHINES}[name]
    run_examples(machine, examples=examples, steps=steps)


@when("the daemon is paused for {seconds:d} s while a host of its replica {event}")
def pause_daemon(context, seconds, event):
    async def stream():
        replica = current_replicas(context)[0]
        context.loss_task = asyncio.create_task(
            context.daemon.readiness.wait_until_lost(replica)
        )
        await asyncio.sleep(1)
        if event == "dies":
            context.platform.engines_by_host[replica.hosts[-1]].alive = False
        context.loop._selector.clock.advance(seconds)

    run(context, stream())


@then("the stream is {outcome} within {seconds:d} s")
def check_stream(context, outcome, seconds):
    run(context, asyncio.sleep(seconds))
    assert context.loss_task.done() == (outcome == "aborted")
    context.loss_task.cancel()
