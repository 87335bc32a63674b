"""Steps for figures that operators write."""

import json
import threading
import time
from collections import Counter
from math import inf

from behave import given, then, when

from auburnproxy.formation.placement import (
    group_by_fabric_domain,
    plan_fabric_domain,
    plan_spread_replicas,
    replica_targets_by_domain,
)
from auburnproxy.membership.epoch import Epoch, EpochWindow
from auburnproxy.membership.member import Member
from auburnproxy.platform.operator_records import read_configuration
from auburnproxy.quotas.share import share
from features.fakes.fleet import host
from features.fakes.platform import HOST, MODEL, SAFE_PATH, config
from features.steps.routed import SETTLE_S, run

KNOWN_REQUEST = "9c41d07be2a35f68"
SHARE_TOLERANCE = 0.015
"""Four standard deviations of a share of 20,000 requests."""


def route_with(splits):
    """Return the route of a configuration that is split between services."""
    body = config()
    [route] = [route for route in body["routes"] if route["path-prefix"] == SAFE_PATH]
    del route["service"]
    route["traffic-split"] = splits
    configuration = read_configuration(json.dumps(body).encode())
    return configuration.route(HOST, SAFE_PATH)


@given("a route with the weights {weights}")
@when("the weights become {weights}")
def split_route(context, weights):
    splits = [
        {"service": f"s{number}", "weight": json.loads(weight)}
        for number, weight in enumerate(weights.split())
    ]
    context.route = route_with(splits)


@given(
    "a configuration whose route names one service with {first:d} and {second:d},"
    " another with {other:d}"
)
def repeat_service(context, first, second, other):
    weights = [("s0", first), ("s1", other), ("s0", second)]
    context.route = route_with([{"service": s, "weight": w} for s, w in weights])


@when("{count:d} requests choose a service")
def choose_services(context, count):
    context.ids = [f"{number:016x}" for number in range(count)]
    began = time.process_time()
    context.chosen = [context.route.service(each) for each in context.ids]
    context.took_s = time.process_time() - began


@when("1 request with a known id chooses a service")
def choose_known(context):
    context.chosen = [context.route.service(KNOWN_REQUEST)]


@then("it is the third service")
def check_known(context):
    assert context.chosen == ["s2"], context.chosen


@then("the services get the shares {shares}")
def check_shares(context, shares):
    counts = Counter(context.chosen)
    for number, expected in enumerate(map(float, shares.split())):
        measured = counts[f"s{number}"] / len(context.chosen)
        assert abs(measured - expected) < SHARE_TOLERANCE, (number, measured, expected)
        assert expected or not measured, (number, measured)


@then("the choices took less than {seconds:g} s")
def check_cost(context, seconds):
    assert context.took_s < seconds, context.took_s


@then("only requests to the third service have moved, about {share:g} of all")
def check_moved(context, share):
    now = [context.route.service(each) for each in context.ids]
    moved = [
        (old, new) for old, new in zip(context.chosen, now, strict=True) if old != new
    ]
    assert {new for _, new in moved} == {"s2"}, Counter(moved)
    measured = len(moved) / len(now)
    assert abs(measured - share) < SHARE_TOLERANCE, measured


@when("version {version:d} sets the weights of a route to {first:d} {second:d}")
def write_weights(context, version, first, second):
    body = config(version=version)
    for route in body["routes"]:
        if route["path-prefix"] == SAFE_PATH:
            del route["service"]
            route["traffic-split"] = [
                {"service": "plain", "weight": first},
                {"service": "engines", "weight": second},
            ]
    context.site.store.put("keyed.op", "config", body)

    async def wait():
        directory = context.site.daemons[0].directory
        while directory.configuration.version < version:
            await directory.changed.wait(SETTLE_S)

    run(context, wait())


@then("the upstream received no request")
def check_no_request(context):
    received = [engine.requests for engine in context.site.engines.values()]
    assert not any(received), received


@given("a configuration with {figure}")
def configure_odd(context, figure):
    body = config()
    [engine] = [s["engine"] for s in body["services"] if "engine" in s]
    value, _, name = figure.removeprefix("a ").partition(" ")
    if "hosts" in figure:
        size = int(float(figure.split()[3]))
        engine["models"].append({"name": "odd", "size": size, "share": 1.0})
    elif "share" in figure:
        model = {"name": "odd", "size": 100, "share": float(figure.split()[-1])}
        engine["models"].append(model)
    else:
        engine["loads_at_once"] = int(value)
    configuration = read_configuration(json.dumps(body).encode())
    context.spec = configuration.services_by_name["engines"].engine


@when("the replicas of {count:d} hosts are planned")
def plan_replicas(context, count):
    def plan():
        hosts = [host(f"h{n}", fabric="f0", staged=(MODEL,)) for n in range(count)]
        [domain] = domains = group_by_fabric_domain(hosts, {}, {})
        targets = replica_targets_by_domain(domains, context.spec)
        found = plan_fabric_domain(
            domain, context.spec, targets[domain.name], starting=False
        )
        context.new_replicas = [
            *found.new_replicas,
            *plan_spread_replicas(domains, [found], context.spec, {MODEL, "odd"}),
        ]

    # A plan that never ends must fail this step, not hang it.
    context.planning = threading.Thread(target=plan, daemon=True)
    began = time.monotonic()
    context.planning.start()
    context.planning.join(1.0)
    context.took_s = time.monotonic() - began


@then("the plan is ready within 1 s and has replicas of the sound model only")
def check_plan(context):
    assert not context.planning.is_alive()
    models = {new_replica.model for new_replica in context.new_replicas}
    assert models == {MODEL}, models
    assert 1 <= context.spec.loads_at_once < inf


@given("{count:d} members of which {gone:d} are gone")
def make_members(context, count, gone):
    members = tuple(
        Member(f"d{n}", "1", "fd", f"127.0.0.1:{n + 1}", "") for n in range(count)
    )
    context.members = members
    ids = frozenset(member.id for member in members[:gone])
    context.window = EpochWindow((Epoch(1, members),), ids)


@when("each computes its share of a limit of {limit:d}")
def compute_shares(context, limit):
    context.limit = limit
    began = time.process_time()
    context.shares = [
        share(limit, "upstream/u", context.window, member.id)
        for member in context.members
    ]
    context.took_s = time.process_time() - began


@then("the shares add up to it, within 1 s")
def check_sum(context):
    assert sum(context.shares) == context.limit, context.shares
    assert context.took_s < 1.0, context.took_s
