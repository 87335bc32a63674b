"""Steps for routes that move between services with the same model."""

import asyncio
import copy
import json

import async_solipsism
from behave import given, then, when

from auburnproxy.formation.replica_state import service_of
from auburnproxy.platform.operator_records import read_configuration
from features.fakes.fleet import ENGINE, SERVICE, configuration, host
from features.fakes.formation import FormationSite
from features.fakes.platform import HOST, MODEL, STREAM_PATH, config, event
from features.steps.routed import SETTLE_S, open_site, run, send_request

OLD, NEW, EMPTY = "engines", "engines-new", "engines-empty"
ADDED_PATH = f"{STREAM_PATH}added/"
LONG_EVENTS = 40
LONG_QUERY = f"?events={LONG_EVENTS}&interval=0.04"
OTHER_SERVICE = "engines-new"
ENGINES_OF_EACH = 2


def two_services(version, target, *, added=None, without=()):
    """Return a configuration whose stream route goes to a target of some services."""
    body = config(version=version)
    [engine] = [s for s in body["services"] if s["name"] == OLD]
    body["services"] += [engine | {"name": NEW}, engine | {"name": EMPTY}]
    body["services"] = [s for s in body["services"] if s["name"] not in without]
    [route] = [r for r in body["routes"] if r["path-prefix"] == STREAM_PATH]
    route["timeout-ms"] = 8000
    del route["service"]
    route |= target
    if added is not None:
        more = {"name": "added", "path-prefix": ADDED_PATH} | added
        body["routes"].append(copy.deepcopy(route) | more)
    return body


def put_in_force(context, body):
    context.written = body
    context.site.store.put("keyed.op", "config", body)

    async def wait():
        directory = context.site.daemons[0].directory
        while directory.configuration.version < body["version"]:
            await directory.changed.wait(0.1)

    run(context, wait())


async def stream(context, path, request_id):
    """Return the status, the body and whether the stream was broken off."""
    options = {"Attempt_Id": request_id, "Model": MODEL, "Token_Usage": "100,30"}
    options["Deadline_Ms"] = "8000"
    await send_request(context, "POST", path, body=b"{}", **options)
    return context.status, context.body, context.broken


def whole(events):
    return b"".join(event(number) for number in range(1, events + 1))


def ran_by_service(context):
    """Return the ids of the requests that each service has run."""
    found = {OLD: set(), NEW: set()}
    for name, engine in context.site.engines.items():
        if name[0] in "en":
            found[OLD if name[0] == "e" else NEW].update(engine.ran)
    return found


@given("a gateway site with two services of the same model")
def start_two(context):
    open_site(context)

    async def add():
        for number in range(ENGINES_OF_EACH):
            await context.site.add_engine(f"n{number}", service=NEW)
        await asyncio.sleep(SETTLE_S)

    run(context, add())
    put_in_force(context, two_services(2, {"service": OLD}))


@when("a new version moves the stream route to the second service")
def move_route(context):
    put_in_force(context, two_services(3, {"service": NEW}))


@when("a new version adds a stream route to the second service")
def add_route(context):
    put_in_force(context, two_services(3, {"service": OLD}, added={"service": NEW}))


@when("a new version splits the stream route {first:d} to {second:d}")
def split_route(context, first, second):
    splits = [{"service": OLD, "weight": first}, {"service": NEW, "weight": second}]
    put_in_force(context, two_services(3, {"traffic-split": splits}))


@when("a new version moves the stream route to a service without hosts")
def move_to_empty(context):
    put_in_force(context, two_services(3, {"service": EMPTY}))


@when("{count:d} streams are sent to it")
def send_streams(context, count):
    async def send():
        return [
            await stream(context, f"{STREAM_PATH}x", f"{number:016x}")
            for number in range(count)
        ]

    context.ids = {f"{number:016x}" for number in range(count)}
    context.answers = run(context, send())


@when("{count:d} streams are sent to each of the two routes")
def send_to_both(context, count):
    async def send():
        for number in range(count):
            await stream(context, f"{STREAM_PATH}x", f"a{number:015x}")
            assert context.status == 200, context.status
            await stream(context, f"{ADDED_PATH}x", f"b{number:015x}")
            assert context.status == 200, context.status

    run(context, send())


@then("all streams succeed and only the second service has run them")
def check_moved(context):
    assert {status for status, _, _ in context.answers} == {200}, context.answers
    assert ran_by_service(context) == {OLD: set(), NEW: context.ids}


@then("each service has run the streams of its own route only")
def check_routes(context):
    first = {OLD: "a", NEW: "b"}
    for service, ids in ran_by_service(context).items():
        assert {each[0] for each in ids} == {first[service]}, (service, ids)


@then("each stream was run by the service that its id selects, both have run some")
def check_split(context):
    route = read_configuration(json.dumps(context.written).encode()).route(
        HOST, f"{STREAM_PATH}x"
    )
    ran = ran_by_service(context)
    assert ran[OLD] and ran[NEW] and ran[OLD] | ran[NEW] == context.ids, ran
    for service, ids in ran.items():
        assert {route.service(each) for each in ids} == {service}, service


@then("all are refused as not run and no engine has run them")
def check_empty(context):
    assert {status for status, _, _ in context.answers} == {503}, context.answers
    assert ran_by_service(context) == {OLD: set(), NEW: set()}


@when("{count:d} long streams run while a new version {change}")
def stream_through_change(context, count, change):
    without = (OLD,) if "removes" in change else ()

    async def play():
        path = f"{STREAM_PATH}x{LONG_QUERY}"
        tasks = [
            asyncio.create_task(stream(context, path, f"{number:016x}"))
            for number in range(count)
        ]
        await asyncio.sleep(0.5)
        body = two_services(3, {"service": NEW}, without=without)
        context.site.store.put("keyed.op", "config", body)
        return await asyncio.gather(*tasks)

    context.answers = run(context, play())


@then("all streams are complete")
def check_complete(context):
    for status, body, broken in context.answers:
        assert (status, broken) == (200, False), (status, broken)
        assert body == whole(LONG_EVENTS), body
    assert context.site.daemons[0].directory.configuration.version == 3


@when("the engines of a long stream's service crash after its route has moved")
def crash_after_move(context):
    async def play():
        path = f"{STREAM_PATH}x{LONG_QUERY}"
        task = asyncio.create_task(stream(context, path, f"{7:016x}"))
        await asyncio.sleep(0.3)
        body = two_services(3, {"service": NEW})
        context.site.store.put("keyed.op", "config", body)
        await asyncio.sleep(0.5)
        for name, engine in context.site.engines.items():
            if name.startswith("e"):
                await engine.crash()
        return await task

    context.answers = [run(context, play())]


@then("the stream is complete, with its rest from the second service")
def check_resumed(context):
    check_complete(context)
    ran = ran_by_service(context)
    assert ran[OLD] == ran[NEW] == {f"{7:016x}"}, ran


@given("a formation site with hosts of two services that have the same models")
def make_two_service_site(context):
    context.loop = async_solipsism.EventLoop()
    asyncio.set_event_loop(context.loop)

    async def make():
        site = FormationSite(
            [
                host(f"{service}-{number}", service=service)
                for service in (SERVICE, OTHER_SERVICE)
                for number in range(12)
            ]
        )
        known = configuration(2)
        spec = known.services_by_name[SERVICE]
        other = {OTHER_SERVICE: spec._replace(name=OTHER_SERVICE, engine=ENGINE)}
        services = {**known.services_by_name, **other}
        site.directory.configure(known._replace(services_by_name=services))
        return site

    context.site = context.loop.run_until_complete(make())
    context.add_cleanup(context.loop.close)


@when("its controller runs for {seconds:g} s")
def run_controller(context, seconds):
    context.loop.run_until_complete(context.site.run(seconds))


@when("a host of a replica registers for the other service and the controller runs on")
def change_service(context):
    site = context.site
    site.served = True
    replica = next(r for r in site.replica_registry.by_name.values() if r.members[1:])
    changed = site.fleet.hosts[replica.members[1].id]
    names = {SERVICE: OTHER_SERVICE, OTHER_SERVICE: SERVICE}
    context.ended = replica.name

    async def play():
        site.fleet.add(changed._replace(service=names[changed.service]))
        await site.run(60.0)

    context.loop.run_until_complete(play())
    assert context.ended not in site.replica_registry.by_name


@then("both services have serving replicas, none with hosts of both")
def check_formed(context):
    site = context.site
    hosts = site.directory.hosts
    serving = {replica.service for replica in site.directory.replicas()}
    assert serving == {SERVICE, OTHER_SERVICE}, serving
    for replica in site.replica_registry.by_name.values():
        services = {hosts[member.id].service for member in replica.members}
        assert services == {service_of(replica, hosts)}, (replica.name, services)
    assert not site.fleet.violations, site.fleet.violations
