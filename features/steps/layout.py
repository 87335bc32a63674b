"""Steps for hosts that change their model by observed demand."""

import json
import os
from collections import Counter

import async_solipsism
from behave import given, then, when

from auburnproxy.formation.capacity import (
    StreamObjective,
    bearable_requests,
    replica_capacity,
)
from auburnproxy.formation.placement import group_by_fabric_domain
from auburnproxy.formation.rebalancing import (
    ModelLoad,
    MovableHosts,
    RetirableReplica,
    plan_moves,
    present_targets,
)
from auburnproxy.telemetry.decisions import DecisionLog
from features.fakes.fleet import ENGINE, host
from features.fakes.formation import FormationSite

MAX_LOADS = 20
LAPSE_S = 4


@given(
    "callers who expect a first event within {first:d} ms"
    " and pauses within {pause:d} ms"
)
def set_objective(context, first, pause):
    context.objective = StreamObjective(first / 1000, pause / 1000)


@then("a replica of the {model} model bears {count:d} requests")
def check_bearable(context, model, count):
    found = bearable_requests(ENGINE, ENGINE.model(model), context.objective)
    assert found == count, found


@given("routes that expect a first event within {one:d} ms and within {other:d} ms")
def set_objectives(context, one, other):
    context.objectives = [StreamObjective(each / 1000, 0.0) for each in (one, other)]


@then("a replica of the {model} model bears {count:d} requests of these routes")
def check_capacity(context, model, count):
    found = replica_capacity(ENGINE, ENGINE.model(model), context.objectives)
    assert found == count, found


def make_layout(context, hosts, replica_sizes):
    """Put the first hosts of each fabric domain into replicas of one model."""
    context.hosts, taken, replicas = hosts, {}, []
    by_fabric = {}
    for each in hosts:
        key = f"{each.failure_domain}/{each.fabric_domain}"
        by_fabric.setdefault(key, []).append(each)
    for fabric, members in by_fabric.items():
        model = members[0].staged[0]
        size = ENGINE.model(model).hosts
        for first in range(0, replica_sizes(members) // size * size, size):
            part = members[first : first + size]
            name = f"{fabric}-{first}"
            taken |= {each.id: (name, model) for each in part}
            ids = tuple(each.incarnation for each in part)
            replicas.append(RetirableReplica(name, model, fabric, ids, 0))
    context.domains = group_by_fabric_domain(hosts, taken, {})
    context.replicas = replicas


@given("{count:d} hosts for each model in each of {failure_domains:d} failure domains")
def make_halves(context, count, failure_domains):
    hosts = [
        host(
            f"{model}-{fd}-{n}", failure_domain=f"fd{fd}", fabric=model, staged=(model,)
        )
        for fd in range(failure_domains)
        for model in ("large", "small")
        for n in range(count)
    ]
    make_layout(context, hosts, len)


@given(
    "a failure domain whose large model has a replica and 3 hosts left of another one"
)
def make_survivors(context):
    hosts = [host(f"large-{n}", fabric="f0", staged=("large",)) for n in range(7)]
    hosts += [host(f"small-{n}", fabric="f1", staged=("small",)) for n in range(4)]
    make_layout(context, hosts, len)


@when("the small model has {small:d} requests in flight and the large model {large:d}")
def plan(context, small, large):
    counts = Counter(replica.model for replica in context.replicas)
    loads = {
        name: ModelLoad(demand, demand, counts[name], ENGINE.slots)
        for name, demand in (("large", large), ("small", small))
    }
    movable = MovableHosts(
        tuple(context.domains),
        tuple(context.replicas),
        {each.incarnation: each.staged[-1] for each in context.hosts},
        MAX_LOADS,
    )
    context.moves = plan_moves(movable, ENGINE, loads)


@when("the small model is at its slots")
def plan_short(context):
    plan(context, 18, 2)


@then("1 large replica of each failure domain is to become 2 small ones")
def check_moves(context):
    assert len({move.failure_domain for move in context.moves}) == 3, context.moves
    for move in context.moves:
        assert (move.donor, move.receiver) == ("large", "small"), move
        assert (len(move.retired), len(move.hosts), move.gained) == (1, 4, 2), move


@then("{count:d} large replicas in all are to become small ones")
def check_retired(context, count):
    retired = [name for move in context.moves for name in move.retired]
    assert len(retired) == count, context.moves


@then("at most {count:d} loads are planned")
def check_load_count(context, count):
    assert sum(len(move.hosts) for move in context.moves) <= count, context.moves


@then("no host is to change its model")
def check_no_moves(context):
    assert not context.moves, context.moves


@then("2 of these hosts are to become 1 small replica")
def check_survivors(context):
    (move,) = context.moves
    assert (move.receiver, len(move.hosts), move.gained) == ("small", 2, 1), move


@then("no replica is to be ended")
def check_none_ended(context):
    assert not any(move.retired for move in context.moves), context.moves


@given(
    "a fabric domain with {staged:d} idle hosts of the large model and {empty:d} empty"
    " ones"
)
def make_idle_hosts(context, staged, empty):
    hosts = [host(f"s{n}", staged=("large",)) for n in range(staged)]
    hosts += [host(f"e{n}") for n in range(empty)]
    context.domains = group_by_fabric_domain(hosts, {}, {})


@then(
    "the targets while the small model is short are {large:d} large and {small:d} small"
)
def check_present_targets(context, large, small):
    (targets,) = present_targets(context.domains, ENGINE, "small").values()
    assert targets == {"large": large, "small": small}, targets


def pass_time(context, seconds):
    context.loop.run_until_complete(context.site.run(seconds))


@given("a fleet of 24 hosts in 2 fabric domains whose layout follows demand")
def make_fleet(context):
    context.loop = async_solipsism.EventLoop()
    context.add_cleanup(context.loop.close)
    context.read, write = os.pipe()
    context.add_cleanup(lambda: [os.close(each) for each in (context.read, write)])
    hosts = [
        host(f"f{fabric}-{number}", fabric=f"f{fabric}")
        for fabric in range(2)
        for number in range(12)
    ]

    async def make():
        decisions = DecisionLog("a", descriptor=write)
        return FormationSite(hosts, load_aware=True, decisions=decisions)

    context.site = context.loop.run_until_complete(make())
    pass_time(context, 10)


@given(
    "{large:d} and {small:d} requests are in flight for the large and the small model"
    " for {seconds:d} s"
)
@when(
    "{large:d} and {small:d} requests are in flight for the large and the small model"
    " for {seconds:d} s"
)
def serve(context, large, small, seconds):
    site = context.site
    site.demand_by_model = {"large": large, "small": small}
    if not site.served:
        if not site.replica_registry.by_name:
            pass_time(context, 10)
        site.served = True
        site.fleet.sent.clear()
    pass_time(context, seconds)


def hosts_told_to_load(context):
    sent = context.site.fleet.sent
    return [(name, model) for kind, name, model in sent if kind == "stage"]


@then("hosts load the small model")
def check_loading(context):
    assert {model for _, model in hosts_told_to_load(context)} == {"small"}


@then("no host has loaded weights")
def check_not_loading(context):
    assert not hosts_told_to_load(context), hosts_told_to_load(context)


@then("the log names the demand and the end of the move")
def check_log(context):
    lines = [json.loads(line) for line in os.read(context.read, 1 << 20).splitlines()]
    (move,) = [line for line in lines if line["kind"] == "layout_move"]
    assert move["demand"]["small"][2:] == [6, 9], move
    (ended,) = [line for line in lines if line["kind"] == "layout_move_ended"]
    assert ended["reason"] == "done", ended


@when("the leader is lost and another daemon leads for {seconds:d} s")
def replace_leader(context, seconds):
    old = context.site
    old.leads = False

    async def make():
        return FormationSite([], shared_with=old, load_aware=True)

    context.site = context.loop.run_until_complete(make())
    context.site.demand_by_model = old.demand_by_model
    pass_time(context, seconds)


@when("a host that changes its model is lost")
def lose_moving_host(context):
    site = context.site
    name, _ = hosts_told_to_load(context)[-1]
    replica = site.replica_registry.by_host[name]
    site.fleet.stop(name)
    site.stalled_heads.add(replica.head.id)
    pass_time(context, LAPSE_S)

    async def unregister():
        site.fleet.unregister(name)

    context.loop.run_until_complete(unregister())


@when("the store is away for {seconds:d} s")
def lose_store(context, seconds):
    context.site.store.rejecting = True
    pass_time(context, seconds)


@when("the store is back for {seconds:d} s")
def restore_store(context, seconds):
    context.site.store.rejecting = False
    pass_time(context, seconds)
