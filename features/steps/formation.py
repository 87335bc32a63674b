"""Steps for the formation of replicas from registered hosts."""

import asyncio
from collections import Counter
from types import SimpleNamespace

import async_solipsism
from behave import given, then, when

from auburnproxy.errors import PlatformError
from auburnproxy.formation.leader_election import LeaderElection
from auburnproxy.formation.placement import (
    FabricDomain,
    FormationPlan,
    NewReplica,
    group_by_fabric_domain,
    plan_fabric_domain,
    plan_spread_replicas,
    replica_targets_by_domain,
)
from auburnproxy.formation.utilization import ReplicaUsage, UtilizationTracker
from auburnproxy.gateway.route import ServiceSpec
from auburnproxy.store import ConflictError
from features.fakes.fleet import ENGINE, SERVICE, configuration, host
from features.fakes.formation import FormationSite, make_registry
from features.fakes.store import FakeTopics, null_decisions
from features.machines.recovery import RecoveryMachine
from features.machines.register import RegisterMachine
from features.machines.runner import run_examples

PLACES = {"first": 0, "second": 1, "third": 2}


@given("{domains:d} fabric domain of {hosts:d} hosts")
@given("{domains:d} fabric domains of {hosts:d} hosts")
def make_fabric_domains(context, domains, hosts):
    found = [
        host(f"h{fabric}-{number}", fabric=f"f{fabric}")
        for fabric in range(domains)
        for number in range(hosts)
    ]
    context.domains = group_by_fabric_domain(found, {}, {})


@given(
    "{failure_domains:d} failure domains"
    " of {fabric_domains:d} fabric domains of {hosts:d} hosts"
)
def make_failure_domains(context, failure_domains, fabric_domains, hosts):
    found = [
        host(f"h{fd}-{fabric}-{n}", failure_domain=f"fd{fd}", fabric=f"f{fabric}")
        for fd in range(failure_domains)
        for fabric in range(fabric_domains)
        for n in range(hosts)
    ]
    context.domains = group_by_fabric_domain(found, {}, {})


@given("a share of {share:g} for the large model")
def set_model_share(context, share):
    large, small = ENGINE.models
    models = large._replace(share=share), small._replace(share=1 - share)
    context.targets = replica_targets_by_domain(
        context.domains, ENGINE._replace(models=models)
    )


@then("the targets are {large:d} large and {small:d} small replicas in total")
def check_total_targets(context, large, small):
    total = sum(map(Counter, context.targets.values()), Counter())
    assert total == {"large": large, "small": small}, context.targets


@then("each failure domain has a target for both models")
def check_failure_domain_targets(context):
    found = {}
    for domain in context.domains:
        counts = found.setdefault(domain.failure_domain, Counter())
        counts.update(context.targets[domain.name])
    assert all(min(counts.values()) > 0 for counts in found.values()), found


@then("the targets of the {place} are {large:d} large and {small:d} small replicas")
def check_targets(context, place, large, small):
    name = context.domains[PLACES[place]].name
    targets = replica_targets_by_domain(context.domains, ENGINE)[name]
    assert targets == {"large": large, "small": small}, targets


@given("a fabric domain for the large model with 2 lost replicas of 3 survivors each")
def make_survivors(context):
    survivors = [host(f"h{n}", staged=("large",), models=("large",)) for n in range(6)]
    context.domain = FabricDomain("fd1/f0", "fd1", tuple(survivors), {}, {}, 6)


@given(
    "a fabric domain for the large model with"
    " {staged:d} staged and {empty:d} empty hosts"
)
def make_staged_and_empty_hosts(context, staged, empty):
    hosts = [host(f"s{n}", staged=("large",)) for n in range(staged)]
    hosts += [host(f"e{n}") for n in range(empty)]
    context.domain = FabricDomain("fd1/f0", "fd1", tuple(hosts), {}, {}, len(hosts))


@given(
    "3 large spares in each of {fabric_domains:d} fabric domains"
    " of {failure_domains:d} failure domains"
)
def make_spares(context, fabric_domains, failure_domains):
    hosts = [
        host(f"h{fd}-{fabric}-{n}", failure_domain=f"fd{fd}", fabric=f"f{fabric}")
        for fd in range(failure_domains)
        for fabric in range(fabric_domains)
        for n in range(3)
    ]
    staged = [each._replace(staged=("large",)) for each in hosts]
    context.domains = group_by_fabric_domain(staged, {}, {})


@given(
    "{large:d} of 18 slots of the large model in use and {small:d} of 18 of the small"
)
def use_slots(context, large, small):
    context.uses = [ReplicaUsage("large", large, 18), ReplicaUsage("small", small, 18)]


@when("that lasts for 10 s, and then every slot is in use for {burst:g} s")
def sample_utilization(context, burst):
    now = [0.0]
    context.utilization = UtilizationTracker(clock=lambda: now[0])
    full = [use._replace(in_flight=18) for use in context.uses]
    for uses, seconds in ((context.uses, 10), (full, burst)):
        for _ in range(round(seconds / 0.1)):
            context.utilization.sample(uses)
            now[0] += 0.1


@then("{models} are short of capacity")
def check_short_of_capacity(context, models):
    short = " and ".join(sorted(context.utilization.short_of_capacity)) or "no models"
    assert short == models, short


@given("3 spares with the weights of both models in each of 2 fabric domains")
def make_spares_with_both_models(context):
    both = ("large", "small")
    hosts = [
        host(f"h{fabric}-{n}", fabric=f"f{fabric}", staged=both)
        for fabric in range(2)
        for n in range(3)
    ]
    context.domains = group_by_fabric_domain(hosts, {}, {})


@then("no host is in two of these replicas")
def check_disjoint_hosts(context):
    hosts = [
        each.id for new_replica in context.new_replicas for each in new_replica.hosts
    ]
    assert hosts and len(hosts) == len(set(hosts)), hosts


@when("one is told to record two replicas with the same host")
def record_overlapping_replicas(context):
    new_replicas = [
        NewReplica("small", "fd1/f0", (host("shared"), host(other))) for other in "xy"
    ]

    async def record():
        try:
            await context.registries[0].change(new_replicas)
        except PlatformError as error:
            context.error = error

    context.error = None
    context.loop.run_until_complete(record())


@then("it refuses, and nothing is recorded")
def check_nothing_recorded(context):
    assert isinstance(context.error, PlatformError)
    assert not context.topics.records("replicas"), context.topics.records("replicas")


@when("spread replicas are planned while {short} is short of capacity")
@when("spread replicas are planned while {short} are short of capacity")
def plan_spread(context, short):
    names = {"the large model": {"large"}, "the small model": {"small"}}
    names["both models"] = {"large", "small"}
    nothing = [FormationPlan((), ())] * len(context.domains)
    found = names.get(short, set())
    context.new_replicas = plan_spread_replicas(context.domains, nothing, ENGINE, found)


@then("{count:d} of the large model are formed, each within one failure domain")
def check_spread_replicas(context, count):
    assert len(context.new_replicas) == count, context.new_replicas
    for new_replica in context.new_replicas:
        assert new_replica.spread and new_replica.model == "large"
        assert len({each.failure_domain for each in new_replica.hosts}) == 1, (
            new_replica
        )
        assert len({each.fabric_domain for each in new_replica.hosts}) > 1, new_replica


@given("a fleet of 20 hosts in 2 fabric domains that all serve the large model")
def make_large_fleet(context):
    make_fleet(context, 20, 2)
    whole = ENGINE.models[0]._replace(share=1.0), ENGINE.models[1]._replace(share=0.0)
    service = ServiceSpec(SERVICE, 3.0, 36.0, ENGINE._replace(models=whole))
    newer = configuration(2)._replace(services_by_name={SERVICE: service})

    async def configure():
        context.site.directory.configure(newer)

    context.loop.run_until_complete(configure())


@given("every slot of the large model is in use")
def fill_all_slots(context):
    context.site.in_flight = 9


@when("a member of a replica is lost in each fabric domain")
def lose_member_in_each(context):
    for fabric in ("f0", "f1"):
        names = {h.id for h in context.site.fleet.hosts.values()}
        replica = next(
            replica
            for replica in context.site.replica_registry.by_name.values()
            if set(replica.ids) <= names and replica.fabric_domain.endswith(fabric)
        )
        context.site.fleet.stop(replica.members[1].id)
        context.site.stalled_heads.add(replica.head.id)
    # The two spares of a fabric domain could complete the replica that is lost there.
    spares = [h.id for h in context.site.fleet.hosts.values() if h.part is None]

    async def unregister():
        for name in spares:
            context.site.fleet.stop(name)
            context.site.fleet.unregister(name)

    context.loop.run_until_complete(unregister())


@then("{normal:d} normal and {spread:d} spread replicas serve")
def check_serving_by_spread(context, normal, spread):
    open_heads = {h.part.replica for h in context.site.fleet.open_heads()}
    by_name = context.site.replica_registry.by_name
    found = Counter(by_name[name].spread for name in open_heads)
    assert (found[False], found[True]) == (normal, spread), by_name


@when("a host with the weights is added to the first fabric domain")
def add_staged_host(context):
    new = host("new", fabric="f0", staged=("large",))

    async def add():
        context.site.fleet.add(new)

    context.loop.run_until_complete(add())


@when("its replicas are planned {when}")
def make_plan(context, when):
    starting = when == "before the first request"
    targets = {"large": 2, "small": 0}
    context.plan = plan_fabric_domain(
        context.domain, ENGINE, targets, starting=starting
    )


@then("{count:d} large replica is formed from hosts with the weights")
@then("{count:d} large replicas are formed from hosts with the weights")
def check_staged_replicas(context, count):
    assert len(context.plan.new_replicas) == count, context.plan
    for new_replica in context.plan.new_replicas:
        assert all("large" in each.staged for each in new_replica.hosts), new_replica


@then("{count:d} large replicas are formed")
def check_formed_replicas(context, count):
    new_replicas = context.plan.new_replicas
    assert [new_replica.model for new_replica in new_replicas] == ["large"] * count, (
        new_replicas
    )
    used = [each.id for new_replica in new_replicas for each in new_replica.hosts]
    assert len(used) == len(set(used)), used


@then("no weights are loaded")
def check_no_loads(context):
    loads = [s for s in context.plan.weight_loads if "large" not in s.host.staged]
    assert not loads, loads


@then("{count:d} hosts load the large model")
def check_loads(context, count):
    models = Counter(weight_load.model for weight_load in context.plan.weight_loads)
    assert models == {"large": count}, models


@given("two registries that have read the same records")
def make_registries(context):
    context.loop = async_solipsism.EventLoop()
    context.add_cleanup(context.loop.close)
    context.topics = FakeTopics()
    context.registries = [make_registry(context.topics) for _ in range(2)]
    for registry in context.registries:
        context.loop.run_until_complete(registry.follower.read_once(wait=False))


@when("both record a replica with the same host")
def record_concurrently(context):
    def new_replica(other):
        return NewReplica("small", "fd1/f0", (host("shared"), host(other)))

    async def both():
        first, second = context.registries
        return await asyncio.gather(
            first.change([new_replica("x")]),
            second.change([new_replica("y")]),
            return_exceptions=True,
        )

    context.outcomes = context.loop.run_until_complete(both())


@then("one of them is recorded")
def check_one_recorded(context):
    context.loop.run_until_complete(
        context.registries[0].follower.read_once(wait=False)
    )
    assert len(context.registries[0].by_name) == 1, context.registries[0].by_name


@then("the other writer gets a conflict error")
def check_conflict(context):
    failures = [o for o in context.outcomes if o is not None]
    assert len(failures) == 1 and isinstance(failures[0], ConflictError), failures


@when("concurrent writers, lost answers and expired records are combined at random")
def choose_register_machine(context):
    context.search = (RegisterMachine, 40, 40)


@when("hosts are lost, partitioned, replaced and told late, and daemons restart")
def choose_recovery_machine(context):
    context.search = (RecoveryMachine, 30, 10)


@then("no command breaks a rule, and after recovery every replica serves or is ended")
@then("every recorded replica has its own hosts")
def run_machine(context):
    machine, examples, steps = context.search
    run_examples(machine, examples=examples, steps=steps)


def pass_time(context, seconds):
    context.loop.run_until_complete(context.site.run(seconds))


def make_fleet(context, hosts, fabric_domains):
    context.loop = async_solipsism.EventLoop()
    context.add_cleanup(context.loop.close)

    async def make():
        return FormationSite(
            [
                host(f"f{fabric}-{number}", fabric=f"f{fabric}")
                for fabric in range(fabric_domains)
                for number in range(hosts // fabric_domains)
            ]
        )

    context.site = context.loop.run_until_complete(make())


@given("a fleet of {hosts:d} hosts in {fabric_domains:d} fabric domains")
def make_fleet_of(context, hosts, fabric_domains):
    make_fleet(context, hosts, fabric_domains)


@given("a fleet of {hosts:d} hosts in 1 fabric domain")
def make_fleet_of_one(context, hosts):
    make_fleet(context, hosts, 1)


@given("{seconds:d} s have passed with requests")
def run_with_requests(context, seconds):
    pass_time(context, seconds // 2)
    context.site.served = True
    pass_time(context, seconds - seconds // 2)
    context.site.fleet.violations.clear()


@when("{seconds:d} s pass")
def wait(context, seconds):
    pass_time(context, seconds)


def first_large_replica(context):
    by_name = context.site.replica_registry.by_name
    return next(replica for replica in by_name.values() if replica.model == "large")


@when("a member of a large replica is lost and its head's streams stall")
def lose_member(context):
    replica = first_large_replica(context)
    context.site.fleet.stop(replica.members[1].id)
    context.site.stalled_heads.add(replica.head.id)


@when("the head of a large replica is lost and its streams stall")
def lose_head(context):
    replica = first_large_replica(context)
    context.site.fleet.stop(replica.head.id)
    context.site.stalled_heads.add(replica.head.id)


@when("no host answers this daemon and the streams of all heads stall")
def isolate_daemon(context):
    context.before = set(context.site.replica_registry.by_name)
    context.site.hears_daemons = False
    context.site.fleet.silent.update(context.site.fleet.hosts)
    for replica in context.site.replica_registry.by_name.values():
        context.site.stalled_heads.add(replica.head.id)


@when("the next 8 commands get no answer and are carried out late")
def delay_commands(context):
    context.site.fleet.delayed_commands = 8


@when("the head of a large replica is cut off from this daemon for 12 s")
def isolate_head(context):
    replica = first_large_replica(context)
    fleet = context.site.fleet
    fleet.silent.add(replica.head.id)
    context.site.stalled_heads.add(replica.head.id)
    pass_time(context, 12)
    fleet.silent.discard(replica.head.id)
    context.site.stalled_heads.clear()
    context.site.directory.register(fleet.hosts[replica.head.id])


@then("{large:d} large and {small:d} small replicas serve")
def check_serving(context, large, small):
    recorded = context.site.replica_registry.by_name
    heads = [h for h in context.site.fleet.open_heads() if h.part.replica in recorded]
    models = Counter(recorded[head.part.replica].model for head in heads)
    assert models == {"large": large, "small": small}, models


@then("no command broke a rule")
def check_violations(context):
    assert not context.site.fleet.violations, context.site.fleet.violations


@then("every replica is still recorded")
def check_all_still_recorded(context):
    assert set(context.site.replica_registry.by_name) == context.before


@then("no head serves a replica that is not recorded")
def check_no_unrecorded_heads(context):
    recorded = context.site.replica_registry.by_name
    unrecorded = [
        head.id
        for head in context.site.fleet.open_heads()
        if head.part.replica not in recorded
    ]
    assert not unrecorded, unrecorded


@when("{count:d} hosts are lost and their registrations expire after {seconds:d} s")
def lose_most(context, count, seconds):
    fleet = context.site.fleet
    lost = sorted(fleet.hosts)[:count]
    for name in lost:
        fleet.stop(name)
    by_host = context.site.replica_registry.by_host
    context.site.stalled_heads |= {by_host[n].head.id for n in lost if n in by_host}
    pass_time(context, seconds)
    for name in lost:
        fleet.unregister(name)


@when("no host answers this daemon and all registrations expire")
def isolate_and_expire_all(context):
    isolate_daemon(context)
    for name in list(context.site.fleet.hosts):
        context.site.fleet.unregister(name)


@when(
    "{count:d} hosts are partitioned away and expire while daemons there are heard from"
)
def isolate_hosts(context, count):
    fleet = context.site.fleet
    names = sorted(fleet.hosts)[:count]
    fleet.silent.update(names)
    pass_time(context, 4)
    for name in names:
        fleet.unregister(name)


@when("the partition heals")
def heal_partition(context):
    context.site.fleet.silent.clear()


@then("at least {least:d} hosts are in a replica")
def check_host_count(context, least):
    assert len(context.site.replica_registry.by_host) >= least, (
        context.site.replica_registry.by_host
    )


@when("another daemon starts after every host was replaced by a new one")
def replace_all(context):
    site = context.site
    for name in list(site.fleet.hosts):
        site.fleet.stop(name)

    async def start():
        return FormationSite(
            [host(f"new-{number}") for number in range(14)],
            topics=site.topics,
            served=True,
        )

    context.site = context.loop.run_until_complete(start())


@when("a replica is dropped while its hosts still run it, and its head does not answer")
def drop_running_replica(context):
    replica = first_large_replica(context)
    context.dropped = replica
    context.site.fleet.sent.clear()
    context.site.fleet.silent.add(replica.head.id)
    registry = context.site.replica_registry
    context.loop.run_until_complete(registry.change([], dropped=[replica]))


@then("only its head was told to leave")
def check_only_head_told_to_leave(context):
    left = {host for kind, host, _ in context.site.fleet.sent if kind == "leave"}
    assert left == {context.dropped.head.id}, left


@when("its head answers again")
def reconnect_head(context):
    context.site.fleet.silent.discard(context.dropped.head.id)


@then("the head and its members have left")
def check_all_left(context):
    name = context.dropped.name
    hosts = context.site.fleet.hosts.values()
    remaining = [each.id for each in hosts if each.part and each.part.replica == name]
    assert not remaining, remaining


@then("every recorded replica serves")
def check_all_serve(context):
    open_names = {head.part.replica for head in context.site.fleet.open_heads()}
    recorded = set(context.site.replica_registry.by_name)
    assert recorded, "nothing is recorded"
    assert recorded <= open_names, recorded - open_names


@then("no recorded replica has a lost host")
def check_no_lost_host_recorded(context):
    by_name = context.site.replica_registry.by_name
    dead = context.site.fleet.stopped
    for replica in by_name.values():
        assert not dead & set(replica.ids), (replica, dead)


@given("the host of {name} is unsuitable")
def mark_unsuitable(context, name):
    context.unsuitable.add(name)


@given("{name} is in the failure domain of a")
def put_in_same_failure_domain(context, name):
    context.same_failure_domain |= {"a", name}


@then("{name} itself is the leader")
def check_leader_is(context, name):
    registry = context.daemons[name].replica_registry
    context.loop.run_until_complete(registry.follower.read_once(wait=False))
    assert registry.leader == name, registry.leader


@when("{seconds:d} s pass without a change, counting plans")
def count_plans(context, seconds):
    controller = context.site.replica_controller
    context.plans, make_plan = 0, controller._plan

    def counted(*args):
        context.plans += 1
        return make_plan(*args)

    controller._plan = counted
    pass_time(context, seconds)


@then("at most {most:d} plans were made")
def check_plan_count(context, most):
    assert context.plans <= most, context.plans


@given("daemons a, b and c of which a is the leader")
def make_elections(context):
    context.loop = async_solipsism.EventLoop()
    context.add_cleanup(context.loop.close)
    context.crashed = set()
    context.unsuitable = set()
    context.same_failure_domain = set()
    context.isolated = set()
    topics = FakeTopics()
    context.daemons = {}
    for name in "abc":
        registry = make_registry(topics)
        leader_election = LeaderElection(
            name,
            registry,
            live_daemons=lambda name=name: live_daemons(context, name),
            active_leaders=lambda name=name: {
                other
                for other in live_daemons(context, name)
                if context.daemons[other].leader_election.is_active_leader
            },
            all_daemons=lambda: set("abc"),
            suitable=lambda name: name not in context.unsuitable,
            failure_domain_of=lambda name: (
                "fd1" if name in context.same_failure_domain else "fd2"
            ),
            decisions=null_decisions(),
        )
        context.daemons[name] = SimpleNamespace(
            replica_registry=registry, leader_election=leader_election
        )

    async def begin():
        for daemon in context.daemons.values():
            await daemon.replica_registry.follower.read_once(wait=False)
        await context.daemons["a"].replica_registry.record_leader("a")

    context.loop.run_until_complete(begin())


def live_daemons(context, name):
    if name in context.isolated:
        return set()
    return set("abc") - {name} - context.crashed


@when("nothing happens")
def do_nothing(context):
    pass


@when("a crashes")
def crash(context):
    context.crashed.add("a")


@when("a cannot reach the store")
def disconnect_from_store(context):
    context.daemons["a"].replica_registry.follower._store.rejecting = True


@when("a resigns")
def resign(context):
    context.loop.run_until_complete(context.daemons["a"].leader_election.resign())


@when("b hears from no other daemon")
def isolate_from_daemons(context):
    context.isolated.add("b")
    context.until = 3.0


async def follow(registry):
    while True:
        try:
            await registry.follower.read_once(wait=False)
        except PlatformError:
            await asyncio.sleep(0.1)
        await asyncio.sleep(0.1)


@when("the daemons run for 8 s")
def run_elections(context):
    async def run():
        tasks = []
        for name, daemon in context.daemons.items():
            tasks.append(asyncio.create_task(follow(daemon.replica_registry)))
            if name not in context.crashed:
                tasks.append(asyncio.create_task(daemon.leader_election.run()))
        await asyncio.sleep(getattr(context, "until", 8.0))
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    context.loop.run_until_complete(run())


@then("{leader} is the leader")
def check_leader(context, leader):
    registry = context.daemons["c"].replica_registry
    context.loop.run_until_complete(registry.follower.read_once(wait=False))
    assert (registry.leader == "a") == (leader == "a"), registry.leader
    assert registry.leader in "abc", registry.leader
