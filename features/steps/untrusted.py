"""Steps for values that other programs wrote."""

import asyncio
import random
import socket
import zlib

import msgspec
from behave import given, then, when

from auburnproxy.addresses import parse_address
from auburnproxy.decoding import MAX_REASON_CHARACTERS
from auburnproxy.errors import AuburnError, PlatformError
from auburnproxy.extensible_tuple import convert_known_fields
from auburnproxy.external import http as external_http
from auburnproxy.formation import record as replica_record
from auburnproxy.gateway.host import Host
from auburnproxy.heartbeats import DaemonRecord, heartbeat
from auburnproxy.journal._codec import decode_entries, decode_record
from auburnproxy.journal.checkpoint import decode as decode_checkpoint
from auburnproxy.journal.checkpoint import part_of
from auburnproxy.journal.record import Record
from auburnproxy.membership import _wire
from auburnproxy.platform import operator_records, registrations
from auburnproxy.platform import store as platform_store
from auburnproxy.serving.request_parsing import parse_chat_body
from auburnproxy.store import peer_sync
from auburnproxy.upstreams import _report_frames, http_engine, http_service
from features.fakes.platform import SAFE_PATH, config
from features.steps.routed import reject_second_daemon, run, send_request

NESTED = 2000
SEED = 39
SAMPLES = 200
HOST_IN_REGISTRY = Host("h", "s", "127.0.0.1:9", "z", 1, False, 0.0, 1)


def _read_registration(data: bytes) -> None:
    registrations.read_registration("k", data, now=0.0)


def _read_report(data: bytes) -> None:
    registrations.read_report(HOST_IN_REGISTRY, data, now=0.0)


def _read_daemon_record(data: bytes) -> None:
    convert_known_fields(external_http.decode_json(data), DaemonRecord)


def _read_part(data: bytes) -> None:
    record = decode_record(b"apj1" + data)
    part_of(Record("", "", "journal.part", record.body, {}))


DECODERS = {
    "registration": _read_registration,
    "engine's report": _read_report,
    "configuration": operator_records.read_configuration,
    "daemon's record": _read_daemon_record,
    "replica's record": replica_record.decode,
    "heartbeat": heartbeat.unpack,
    "peer's copy": lambda data: peer_sync.unpack(zlib.compress(data)),
    "compressed peer's copy": peer_sync.unpack,
    "page of keys": lambda data: platform_store._decode(data, platform_store._Items),
    "append": lambda data: platform_store._decode(data, platform_store._Appended),
    "page of records": lambda data: list(platform_store._decode_records(data, 0)),
    "address": lambda data: parse_address(data.decode(errors="replace")),
    "external service": lambda data: external_http._decode(data, dict[str, int]),
    "external log": lambda data: external_http._decode(data, list[int], msgpack=True),
    "own engine's report": http_engine._decoder.decode,
    "own service's report": http_service._decoder.decode,
    "report frame": _report_frames.decode_update,
    "journal record": lambda data: decode_record(b"apj1" + data),
    "journal entries": decode_entries,
    "checkpoint": decode_checkpoint,
    "checkpoint part": _read_part,
    "peer message": _wire.decode,
    "chat request": parse_chat_body,
}


def _nested() -> list[bytes]:
    field = b'{"service":"s","x":'
    packed = b"\x81\xa1x" + b"\x91" * NESTED
    return [
        b"[" * NESTED,
        b"[" * NESTED + b"]" * NESTED,
        field + b"[" * NESTED,
        field + b"[" * NESTED + b"]" * NESTED + b"}",
        field + b'{"y":' * NESTED + b"0" + b"}" * NESTED + b"}",
        b"\x91" * NESTED + b"\xc0",
        packed,
        packed + b"\xc0",
    ]


def _sound() -> list[bytes]:
    registration = {"service": "s", "address": "127.0.0.1:9", "zone": "z", "slots": 1}
    registration |= {"state": "ready", "born": 1, "models": [{"name": "m"}]}
    return [
        msgspec.json.encode(registration),
        msgspec.json.encode(config()),
        msgspec.json.encode(["r1", 1, "m", "z/d", [["h", 1, "127.0.0.1:9"]]]),
        msgspec.msgpack.encode(["d", False, True, True, {"h": [1, 0, 0]}, {}]),
        msgspec.msgpack.encode([[["k", b"v", 1]], 2, True]),
    ]


def _changed() -> list[bytes]:
    source, found = random.Random(SEED), []
    for _ in range(SAMPLES):
        data = bytearray(source.choice(_sound()))
        for _ in range(source.randint(1, 4)):
            data[source.randrange(len(data))] = source.randrange(256)
        found.append(bytes(data))
    return found


def _random() -> list[bytes]:
    source = random.Random(SEED)
    return [source.randbytes(source.randint(0, 64)) for _ in range(SAMPLES)]


VALUES = {
    "deeply nested values": _nested,
    "values cut off": lambda: [v[:i] for v in _sound() for i in range(0, len(v), 7)],
    "values of other types": lambda: [
        encode(value)
        for encode in (msgspec.json.encode, msgspec.msgpack.encode)
        for value in (
            None,
            0,
            -1.5,
            "x",
            [],
            {},
            [[]],
            {"a": {}},
            ["r", 1, "m", "", []],
        )
    ],
    "huge values": lambda: [
        b"1" * 5000,
        b'{"version":' + b"9" * 5000 + b"}",
        b'{"items":[{"key":"k","value":"not base64","offset":1e999}]}',
        b'"' + b"x" * 262_144 + b'"',
        b'{"service":"s","state":"' + b"y" * 262_144 + b'"}',
        b"\xdd\xff\xff\xff\xff",
        b"\xc6\xff\xff\xff\xff",
    ],
    "random bytes": _random,
    "changed sound values": _changed,
}


@given("every decoder of values that other programs wrote")
def take_decoders(context):
    context.decoders = DECODERS


@when("each decodes {values}")
def decode_all(context, values):
    context.errors = []
    for name, decode in context.decoders.items():
        for value in VALUES[values]():
            try:
                decode(value)
            except Exception as error:
                context.errors.append((name, value[:40], error))


@then("each returns a value or raises the project's error, with a short reason")
def check_errors(context):
    for name, value, error in context.errors:
        assert isinstance(error, AuburnError), (name, value, error)
        assert len(str(error)) <= 2 * MAX_REASON_CHARACTERS, (name, value, str(error))


@given("the second daemon gets its records from {source}")
def select_source(context, source):
    if source == "a peer":
        reject_second_daemon(context)
    context.lines = [[] for _ in context.site.daemons]
    for daemon, lines in zip(context.site.daemons, context.lines, strict=True):

        def record(kind, lines=lines, **inputs):
            if kind == "record_unreadable":
                lines.append(inputs)

        daemon.decisions.belief = record


@when("an unreadable record nested {depth:d} deep is written to {topic}, {form}")
def write_nested(context, depth, topic, form):
    keys = {"op": "config", "replicas": "replica/r9", "daemons": "d9", "servers": "x9"}
    context.key = keys[topic]
    sound = {"op": config(version=9), "servers": {"service": "plain"}}.get(topic, {})
    value = msgspec.json.encode(sound)[:-1]
    value += (b"," if sound else b"") + b'"note":' + b"[" * depth
    if form == "whole":
        value += b"]" * depth + b"}"
    context.site.store.put_raw(f"keyed.{topic}", context.key, value)


@when(
    "a version and an engine are written with unknown fields"
    " nested {depth:d} and {more:d} deep"
)
def write_deep_fields(context, depth, more):
    def with_note(body, nested):
        note = b',"note":{"a]":"[{","b":' + b"[" * nested + b"]" * nested + b"}}"
        return msgspec.json.encode(body)[:-1] + note

    store = context.site.store
    store.put_raw("keyed.op", "config", with_note(config(version=9), depth))
    entry = {"service": "plain", "address": "127.0.0.1:9", "zone": "z1", "slots": 9}
    entry |= {"state": "ready", "born": 1}
    store.put_raw("keyed.servers", "deep", with_note(entry, more))


@then("the version is in force and the engine is registered")
def check_deep_fields(context):
    directory = context.site.daemons[0].directory
    assert directory.configuration.version == 9, directory.configuration.version
    assert "deep" in directory.hosts, directory.hosts.keys()


@then("the tasks of all daemons are running")
def check_tasks(context):
    for daemon in context.site.daemons:
        ended = [task for task in daemon.tasks._tasks if task.done()]
        assert not ended, [(task.get_name(), task.exception()) for task in ended]


@then("the unreadable record is logged once by each daemon, in a short line")
def check_lines(context):
    for lines in context.lines:
        assert [line["key"] for line in lines] == [context.key], lines
        assert 0 < len(lines[0]["reason"]) <= 2 * MAX_REASON_CHARACTERS, lines


@then("a request to each daemon is served")
def check_served(context):
    for number in range(len(context.site.daemons)):
        run(context, send_request(context, "GET", SAFE_PATH, daemon=number))
        assert context.status == 200, (number, context.status, context.body)


@when("datagrams that cannot be read arrive at the heartbeat ports")
def send_datagrams(context):
    datagrams = [b"", b"\x91" * NESTED, b"\x9c\xa1d" + b"\x91" * NESTED]
    datagrams += _random()
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        for daemon in context.site.daemons:
            host, _, port = daemon.settings.beats.rpartition(":")
            for data in datagrams:
                sender.sendto(data, (host, int(port)))


@then("the daemons hear each other")
def check_heard(context):
    run(context, asyncio.sleep(2.0))
    for daemon in context.site.daemons:
        assert daemon.peer_group.live_peers, daemon.settings.name


@when("another writer registers the address of an engine with {figure}")
def register_odd(context, figure):
    entry = {"service": "plain", "zone": "z1", "slots": 9, "state": "ready", "born": 1}
    entry["address"] = context.site.engines["p0"].address
    name, _, value = figure.removeprefix("the ").partition(" ")
    entry[name] = value if name == "address" else 0
    text = msgspec.json.encode(entry)
    if name != "address":
        text = text.replace(f'"{name}":0'.encode(), f'"{name}":{value}'.encode())
    context.site.store.put_raw("keyed.servers", "odd", text)
    run(context, asyncio.sleep(1.0))


@when("{count:d} plain requests are sent")
def send_plain(context, count):
    async def send():
        return [await send_request(context, "GET", SAFE_PATH) for _ in range(count)]

    context.statuses = run(context, send())


@then("all of them succeed, and none was sent for that registration")
def check_odd_unused(context):
    assert set(context.statuses) == {200}, context.statuses
    assert "odd" not in context.site.daemons[0].directory.hosts


@given("a store that repeats its first page")
def make_repeating_store(context):
    make_store(context, [{"key": "k", "value": "", "offset": 0}], has_more=True)


@given("a store whose page has a value that is not base64")
def make_odd_store(context):
    odd = {"key": "odd", "value": "not base64!", "offset": 0}
    sound = {"key": "sound", "value": "dGV4dA==", "offset": 1}
    make_store(context, [odd, sound], has_more=False)


def make_store(context, items, *, has_more):
    context.store = platform_store.PlatformStore("127.0.0.1:9")
    page = {"items": items, "has-more": has_more, "end": len(items)}
    body = msgspec.json.encode(page)

    async def send(*args, **options):
        await asyncio.sleep(0)
        return platform_store.Response(200, body, {})

    context.store._client.send = send


@when("a topic is read from it")
def read_topic(context):
    async def read():
        async with asyncio.timeout(1.0):
            return await context.store.newest("servers")

    try:
        context.newest = asyncio.run(read())
    except PlatformError as error:
        context.error = error


@then("the read fails at once")
def check_failed_read(context):
    assert "repeat" in str(context.error), context.error


@then("the other record of the page is read")
def check_other_record(context):
    value_by_key = {change.key: change.value for change in context.newest.changes}
    assert value_by_key["sound"] == b"text", value_by_key
    assert value_by_key["odd"], value_by_key
