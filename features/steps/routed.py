"""Steps for requests that a gateway daemon forwards on the users' platform."""

import asyncio
import gzip
import re
import tempfile
import time
import zlib
from pathlib import Path

import uvloop
from aiohttp import ClientPayloadError, ClientSession
from behave import given, then, when
from yarl import URL

from auburnproxy.errors import PlatformError
from auburnproxy.telemetry import Gauge
from features.fakes.platform import (
    HOST,
    KEY,
    MODEL,
    ONCE_PATH,
    PUBLIC_PATH,
    SAFE_PATH,
    STREAM_PATH,
    Site,
    config,
    running_site,
)

PEER_DISCOVERY_S = 2.0
"""Time for a poll of the daemons' records, up to 1 s late, and some heartbeats."""
SETTLE_S = 0.9
"""Time for two polls of the registrations."""
PACKAGE = Path(__file__).parents[2] / "auburnproxy"


def run(context, work):
    return context.loop.run_until_complete(work)


def open_site(context, **options):
    context.loop = uvloop.new_event_loop()
    asyncio.set_event_loop(context.loop)
    context.folder = tempfile.TemporaryDirectory()
    context.running = running_site(Path(context.folder.name), **options)
    context.site = run(context, context.running.__aenter__())
    context.add_cleanup(close_site, context)


def close_site(context):
    run(context, context.running.__aexit__(None, None, None))
    context.loop.close()
    context.folder.cleanup()


@given("a gateway site")
def start_site(context):
    open_site(context)


@given("a gateway site without a configuration")
def start_without_configuration(context):
    context.loop = uvloop.new_event_loop()
    asyncio.set_event_loop(context.loop)
    context.folder = tempfile.TemporaryDirectory()
    context.site = Site(Path(context.folder.name))

    async def start():
        await context.site.start()
        await context.site.add_daemon()

    run(context, start())

    def close():
        run(context, context.site.stop())
        context.loop.close()
        context.folder.cleanup()

    context.add_cleanup(close)


def engines(context, plain):
    prefix = "p" if plain else "e"
    return [e for name, e in context.site.engines.items() if name[0] == prefix]


@given("the first {plain}engine to receive a request runs the script {action}")
def script_first(context, plain, action):
    """The engine that gets the first request runs the action; later ones succeed."""
    found = engines(context, plain == "plain ")
    scripts = [engine.script for engine in found]

    class OneShotScript(list):
        def pop(self, index=0):
            for each in found:
                each.script = ["ok"]
            return action

        def __len__(self):
            return 2

    for engine, _ in zip(found, scripts, strict=True):
        engine.script = OneShotScript(["-"])


@given("the first engine to receive a request runs the script {action}")
def script_first_engine(context, action):
    script_first(context, "", action)


@given("every engine runs the script {action}")
def script_engines(context, action):
    for engine in engines(context, False):
        engine.script = [action]


@given("every plain engine runs the script {action}")
def script_plain_engines(context, action):
    for engine in engines(context, True):
        engine.script = [action]


async def send_request(context, method, path, *, daemon=0, body=b"", **headers):
    given_headers = {
        "Host": HOST,
        "Attempt-Id": f"{time.monotonic_ns():016x}",
        "Deadline-Ms": "4000",
        "Api-Key": KEY,
        "Tenant": "somebody-else",
        "Expect-Instance": "somewhere-else",
    }
    given_headers |= {k.replace("_", "-"): v for k, v in headers.items()}
    sent = {k: v for k, v in given_headers.items() if v}
    url = URL(f"http://{context.site.addresses[daemon]}{path}", encoded=True)
    began = time.monotonic()
    async with (
        ClientSession() as session,
        session.request(method, url, headers=sent, data=body or None) as answer,
    ):
        blocks, broken = [], False
        try:
            while block := await answer.content.readany():
                blocks.append(block)
        except ClientPayloadError:
            broken = True
        context.status = answer.status
        context.headers = answer.headers
        context.raw_headers = answer.raw_headers
        context.body = b"".join(blocks)
        context.broken = broken
        context.took_s = time.monotonic() - began
    return context.status


def request_stream(context, **options):
    return send_request(
        context,
        "POST",
        f"{STREAM_PATH}2f?x=%2f",
        body=b"{}",
        Model=MODEL,
        Token_Usage="100,30",
        **options,
    )


@when("a caller requests a stream")
def send_stream(context):
    run(context, request_stream(context))


@when("a caller sends a non-idempotent request")
def send_non_idempotent(context):
    run(context, send_request(context, "POST", f"{ONCE_PATH}x", body=b"order"))


@when("a caller sends an idempotent request")
def send_idempotent(context):
    run(context, send_request(context, "GET", f"{SAFE_PATH}x"))


@when("a request arrives {how}")
def send_variant(context, how):
    requests = {
        "for an unknown path": ("GET", "/none/", {}),
        "for an unknown host": ("GET", SAFE_PATH, {"Host": "other.example"}),
        "with an unknown key": ("GET", SAFE_PATH, {"Api_Key": "nobody's"}),
        "without a key": ("GET", SAFE_PATH, {"Api_Key": ""}),
        "without a key for a public": ("GET", PUBLIC_PATH, {"Api_Key": ""}),
        "with a body that is too long": ("POST", ONCE_PATH, {"body": b"x" * 5_000_000}),
        "with its key": ("GET", SAFE_PATH, {}),
        "with a header of 12000 bytes": ("GET", SAFE_PATH, {"Odd": "x" * 12_000}),
        "with a header of 20000 bytes": ("GET", SAFE_PATH, {"Odd": "x" * 20_000}),
        "with a body of 90000 bytes": ("POST", ONCE_PATH, {"body": b"x" * 90_000}),
        "with a body of 110000 bytes": ("POST", ONCE_PATH, {"body": b"x" * 110_000}),
        "with token counts of 400 digits": (
            "GET",
            SAFE_PATH,
            {"Token_Usage": f"{'9' * 400},1"},
        ),
        "at the second daemon with its key": ("GET", SAFE_PATH, {"daemon": 1}),
    }
    method, path, more = requests[how]
    run(context, send_request(context, method, path, **more))


@then("the caller receives all {count:d} events in order")
def check_events(context, count):
    assert context.status == 200 and not context.broken, context.body
    expected = b"".join(
        b"id: %d\ndata: token %d\n\n" % (n, n) for n in range(1, count + 1)
    )
    assert context.body == expected, context.body
    assert context.headers["Engine-Stamp"].startswith("3e1b"), context.headers


@then("the response is aborted after event {count:d}")
def check_aborted(context, count):
    assert context.broken, context.body
    assert context.body.count(b"id: ") == count, context.body


def received_requests(context, plain):
    return [
        (engine.name, request)
        for engine in engines(context, plain)
        for request in engine.requests
    ]


@then("the engine receives the account, the expected host and no API key")
def check_forwarded_request(context):
    ((name, (method, path, headers, body)),) = received_requests(context, False)
    assert (method, path, body) == ("POST", f"{STREAM_PATH}2f?x=%2f", b"{}")
    assert headers["tenant"] == "works" and headers["expect-instance"] == name
    assert headers["host"] == HOST and "api-key" not in headers, headers
    assert int(headers["deadline-ms"]) <= 3000, headers


@then("{count:d} engines receive requests, the second to resume after event {event:d}")
def check_resumed(context, count, event):
    requests = received_requests(context, False)
    assert len(requests) == count, requests
    seen = sorted(int(r[2].get("last-event-id", 0)) for _, r in requests)
    assert seen == [0, event], seen


@then("{count:d} plain engine received a request")
@then("{count:d} plain engines received a request")
def check_plain_requests(context, count):
    assert len(received_requests(context, True)) == count, received_requests(
        context, True
    )


@then("the caller receives status {status:d}")
def check_status(context, status):
    assert context.status == status, (context.status, context.body)


@then("the caller receives status 503 with Retry-After")
def check_retry_after(context):
    assert context.status == 503, context.status
    assert 0 < float(context.headers["Retry-After"]) < 2, context.headers


@then("the caller receives status 502 or 504 within {seconds:g} s")
def check_timeout(context, seconds):
    assert context.status in (502, 504), context.status
    assert context.took_s < seconds, context.took_s


@when("a caller requests a stream and disconnects after {seconds:g} s")
def disconnect(context, seconds):
    async def ask_and_leave():
        task = asyncio.create_task(request_stream(context))
        await asyncio.sleep(seconds)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    run(context, ask_and_leave())


@then("the engine sees the disconnect within {seconds:g} s")
def check_cancelled(context, seconds):
    run(context, asyncio.sleep(seconds))
    assert sum(engine.cancelled for engine in engines(context, False)) == 1


@when("the host {name} registers as leaving")
def register_leaving(context, name):
    context.site.register(name, state="draining")
    run(context, asyncio.sleep(SETTLE_S))


@when("the hosts e0 and e1 register as leaving")
def register_both_leaving(context):
    for name in ("e0", "e1"):
        register_leaving(context, name)


@when("{count:d} streams are requested")
def send_streams(context, count):
    async def ask_all():
        return [await request_stream(context) for _ in range(count)]

    for engine in context.site.engines.values():
        engine.requests.clear()
    context.statuses = run(context, ask_all())


@then("the host {name} received none of them")
def check_received_none(context, name):
    assert not context.site.engines[name].requests
    assert set(context.statuses) == {200}, context.statuses


@then("the host {name} received {count:d} of them")
def check_received(context, name, count):
    assert len(context.site.engines[name].requests) == count


@then("all streams succeed")
def check_all_streams(context):
    assert set(context.statuses) == {200}, context.statuses


@given("an engine {name} in the failure domain {domain}")
def add_far_engine(context, name, domain):
    run(context, context.site.add_engine(name, zone=domain))
    run(context, asyncio.sleep(SETTLE_S))


@when("the failure domain {domain} is taken {where}")
def mark_domain(context, domain, where):
    value = {} if where == "out" else None
    context.site.store.put("keyed.op", f"evacuate/{domain}", value)
    run(context, asyncio.sleep(SETTLE_S))


@when("version {version:d} without keys is written")
def write_without_keys(context, version):
    context.site.store.put("keyed.op", "config", config(version=version, keys=()))
    run(context, asyncio.sleep(0.3))


@when("version {version:d} with the key is written")
def write_with_key(context, version):
    context.site.store.put("keyed.op", "config", config(version=version))
    run(context, asyncio.sleep(0.3))


@when("a malformed configuration is written")
def write_malformed(context):
    context.site.store.put_raw("keyed.op", "config", b'{"version": 9, "routes": 3}')
    run(context, asyncio.sleep(0.3))


@when("a host registers with {record}")
def register_malformed(context, record):
    entry = {"service": "engines", "address": "127.0.0.1:9", "zone": "z1", "slots": 9}
    entry |= {"state": "ready", "born": 1}
    values = {
        "not JSON": b"\xff{",
        "a missing field": {k: v for k, v in entry.items() if k != "address"},
        "an unknown state": entry | {"state": "dreaming"},
        "a wrong type": entry | {"slots": "many"},
    }
    value = values[record]
    if isinstance(value, bytes):
        context.site.store.put_raw("keyed.servers", "bad", value)
    else:
        context.site.store.put("keyed.servers", "bad", value)
    run(context, asyncio.sleep(SETTLE_S))
    assert "bad" not in context.site.daemons[0].directory.hosts


@given("a second daemon")
def add_daemon(context):
    async def add():
        daemon = await context.site.add_daemon("d2")
        await asyncio.sleep(PEER_DISCOVERY_S)
        assert daemon.ready and daemon.peer_group.live_peers

    run(context, add())


@when("the store rejects the second daemon")
def reject_second_daemon(context):
    daemon = context.site.daemons[1]

    async def refused(*args, **options):
        raise PlatformError("rejected")

    daemon._store._store._store._client.send = refused
    run(context, asyncio.sleep(0.1))


@when("an operator writes a record and the store does not respond for {seconds:g} s")
def suspend_store(context, seconds):
    store = context.site.store

    async def play():
        store.put("keyed.op", "config", config(version=2))
        await asyncio.sleep(0.1)
        store.silent = True
        await asyncio.sleep(seconds)
        store.silent = False

    run(context, play())


@when("the key is revoked")
def revoke(context):
    context.site.store.put("keyed.op", "config", config(version=7, keys=("other",)))


@when("the store loses its history while a key is revoked")
def lose_history(context):
    store = context.site.store
    revoke(context)
    for topic, records in store.records_by_topic.items():
        store.put_raw(topic, "padding", b"{}") if not records else None
    store.first = max(map(len, store.records_by_topic.values()))
    run(context, asyncio.sleep(0.1))
    store.first = 0


@when("{seconds:g} s pass at the site")
def pass_seconds(context, seconds):
    run(context, asyncio.sleep(seconds))


@when("a caller requests a stream and the daemon is stopped")
def stream_and_stop(context):
    async def both():
        asking = asyncio.create_task(request_stream(context))
        await asyncio.sleep(0.2)
        stopping = asyncio.create_task(context.site.daemons[0].stop())
        await asyncio.sleep(4.0)
        late = asyncio.create_task(
            send_request(RequestResult(context), "GET", f"{SAFE_PATH}x")
        )
        context.late_status = await late
        await asking
        await stopping

    run(context, both())


class RequestResult:
    """Result of one request, kept apart from the results in the context."""

    def __init__(self, context):
        self.site = context.site


@then("a request 4 s into the shutdown receives status {status:d}")
def check_late_request(context, status):
    assert context.late_status == status, context.late_status


@then("no other source names a header, call or topic of the platform")
def check_platform_names(context):
    named = re.compile(
        r"Attempt-Id|(?<!X-)Deadline-Ms|Api-Key|Engine-Stamp|Expect-Instance|Not-Executed"
        r"|Token-Usage|Prompt-Prefix|Engine-Load|At-Server|Request-Urgency"
        r"|Last-Event-Id|log-append|log-newest|keyed\.|/order\b.*operation"
        r"|evacuate|api-keys|kv-capacity|cold-remaining"
    )
    own = {PACKAGE / "upstreams" / "http_engine.py"}
    found = [
        f"{path.relative_to(PACKAGE)}: {match.group()}"
        for path in PACKAGE.rglob("*.py")
        if "platform" not in path.relative_to(PACKAGE).parts and path not in own
        for match in named.finditer(path.read_text())
    ]
    assert not found, found


@given("a gateway site with one engine")
def start_one_engine(context):
    open_site(context, engines=1)


@given("the only engine aborts its stream and is down for {seconds:g} s")
def abort_and_restart(context, seconds):
    (engine,) = engines(context, False)
    engine.script = ["break", "ok"]
    broke = engine._stream

    async def break_and_leave(action, reader, writer, headers):
        if action == "break":
            asyncio.get_running_loop().create_task(be_away())
        await broke(action, reader, writer, headers)

    async def be_away():
        await asyncio.sleep(0.05)
        await engine.stop()
        await asyncio.sleep(seconds)
        await engine.start()

    engine._stream = break_and_leave


@given("a gateway site with three engines")
def start_three(context):
    open_site(context, engines=3)


@then("{count:d} engines received the request")
def check_tried_engines(context, count):
    tried = {name for name, _ in received_requests(context, False)}
    assert len(tried) == count, tried


@given("the engines e0 and e1 answer with status 421")
def script_misdirect(context):
    for name in ("e0", "e1"):
        context.site.engines[name].script = ["misdirect"]


@then("the engines e0 and e1 received at most two requests each")
def check_misdirected(context):
    for name in ("e0", "e1"):
        requests = context.site.engines[name].requests
        assert len(requests) <= 2, (name, len(requests))


@given("a gateway site whose store reports its era")
def start_site_with_era(context):
    open_site(context, era="1")


@when(
    "the store is restored from an older copy twice while a caller keeps sending"
    " requests"
)
def restore_older_copy(context):
    async def drill():
        context.statuses = []
        asking = asyncio.create_task(keep_sending(context))
        for _ in range(2):
            await asyncio.sleep(3)
            topics = context.site.store.records_by_topic
            kept = {"keyed.op": 1, "keyed.servers": 3, "keyed.daemons": 0}
            kept |= {t: 1 for t in topics if t.startswith("keyed.replicas")}
            context.site.store.restore_older_copy(kept)
            await asyncio.sleep(0.5)
            for name in context.site.engines:
                service = "plain" if name.startswith("p") else "engines"
                context.site.register(name, service=service)
        await asyncio.sleep(4)
        asking.cancel()
        await asyncio.gather(asking, return_exceptions=True)

    run(context, drill())


async def keep_sending(context):
    while True:
        context.statuses.append(await send_request(context, "GET", f"{SAFE_PATH}x"))
        context.statuses.append(await request_stream(context))
        await asyncio.sleep(0.02)


@then("each of its requests succeeded")
def check_statuses(context):
    assert len(context.statuses) > 50, len(context.statuses)
    assert {s for s in context.statuses if s is not None} == {200}, context.statuses


@then("the store again contains the replicas and the daemon's address")
def check_rewritten(context):
    topics = context.site.store.records_by_topic
    keys = {record[1 : 1 + record[0]] for record in topics["keyed.replicas-3"]}
    assert {b"replica/r-e0", b"replica/r-e1", b"duty"} <= keys, keys
    assert topics["keyed.daemons"], topics.keys()


@then("the daemon's metrics report era {era:d} and {changes:d} era changes")
def check_era_metrics(context, era, changes):
    async def read():
        gauges = context.site.daemons[0].telemetry.gauges
        return {r.gauge: r.value for source in gauges for r in source()}

    readings = run(context, read())
    assert readings[Gauge.STORE_ERA] == era, readings
    assert readings[Gauge.STORE_ERA_CHANGES] == changes, readings


@given("a gateway site whose callers may be idle for {seconds:g} s")
def start_with_idle_timeout(context, seconds):
    open_site(context)
    limits = {"max-body-bytes": 100_000, "idle-timeout-ms": seconds * 1000}
    context.site.store.put("keyed.op", "config", config(version=2, limits=limits))
    run(context, asyncio.sleep(SETTLE_S))


@when("{count:d} connections send half a request head each")
def send_half_heads(context, count):
    host, _, port = context.site.addresses[0].rpartition(":")

    async def send():
        found = [await asyncio.open_connection(host, int(port)) for _ in range(count)]
        for _, writer in found:
            writer.write(b"GET / HTTP/1.1\r\nHost: ")
        return found

    context.half = run(context, send())


@then("all are closed within {seconds:g} s")
def check_closed(context, seconds):
    async def wait():
        async with asyncio.timeout(seconds):
            ends = await asyncio.gather(*(reader.read() for reader, _ in context.half))
        for _, writer in context.half:
            writer.close()
        return ends

    assert not any(run(context, wait()))


@when("an idempotent request arrives with the time limit {text}")
def send_invalid_limit(context, text):
    context.noted = []
    decisions = context.site.daemons[0].decisions
    noted, decisions.request = (
        decisions.request,
        lambda *a, **k: context.noted.append((a, k)),
    )
    run(context, send_request(context, "GET", f"{SAFE_PATH}x", Deadline_Ms=text))
    decisions.request = noted


@then("the ignored time limit was logged once")
def check_limit_logged(context):
    odd = [k["names"] for a, k in context.noted if a[0] == "headers_ignored"]
    assert odd == [("Deadline-Ms",)], context.noted


@when(
    "a daemon starts and {lookups:d} idempotent requests and {streams:d} streams"
    " arrive at once"
)
def start_and_send(context, lookups, streams):
    async def begin():
        await context.site.add_daemon("d2")
        answers = [RequestResult(context) for _ in range(lookups + streams)]
        work = [
            send_request(a, "GET", f"{SAFE_PATH}x", daemon=1) for a in answers[:lookups]
        ]
        work += [request_stream(a, daemon=1) for a in answers[lookups:]]
        await asyncio.gather(*work)
        return answers

    context.answers = run(context, begin())


@then("all of them receive status {status:d} within {seconds:g} s")
def check_all_responses(context, status, seconds):
    found = [(a.status, round(a.took_s, 2)) for a in context.answers]
    assert all(s == status and took_s < seconds for s, took_s in found), found


@when("a caller sends an idempotent request twice")
def send_idempotent_twice(context):
    context.answers = [RequestResult(context) for _ in range(2)]
    for answer in context.answers:
        run(context, send_request(answer, "GET", f"{SAFE_PATH}x"))


@then(
    "both receive status 503, the first within {first:g} s and the second within"
    " {next:g} s"
)
def check_rejected_twice(context, first, next):
    found = [(a.status, a.took_s) for a in context.answers]
    assert [status for status, _ in found] == [503, 503], found
    assert found[0][1] < first and found[1][1] < next, found


@when("a caller sends an order whose body has the encoding {encoding}")
def send_encoded(context, encoding):
    text = b"an order " * 20
    bodies = {"gzip": gzip.compress(text), "deflate": zlib.compress(text)}
    # What no library here decodes is passed on as well, whatever the bytes are.
    context.encoding, context.sent = encoding, bodies.get(encoding, text)
    more = {"body": context.sent, "Content_Encoding": encoding}
    run(context, send_request(context, "POST", ONCE_PATH, **more))


@then("the upstream has received the same bytes and the encoding")
def check_encoded(context):
    [request] = [r for e in engines(context, True) for r in e.requests]
    _, _, headers, body = request
    assert body == context.sent, body
    assert headers["content-encoding"] == context.encoding, headers
