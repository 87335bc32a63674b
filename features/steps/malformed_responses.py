"""Steps for responses whose heads are malformed, wherever responses are read."""

import asyncio
import contextlib
import os
import subprocess
import sys
import zlib
from collections import Counter

import msgspec
from aiohttp import ClientError
from behave import given, then, when
from loguru import logger

from auburnproxy.ctl.client import Client, UnreachableError
from auburnproxy.ctl.settings import Settings
from auburnproxy.errors import (
    AppendUncertainError,
    AuburnError,
    OutcomeUnknownError,
    PlatformError,
    RefusalError,
    UpstreamError,
)
from auburnproxy.external.http import HttpLogService
from auburnproxy.formation.engine_commands import CommandResult
from auburnproxy.membership import Member
from auburnproxy.operators.bodies import Verdict
from auburnproxy.operators.overview import Overview
from auburnproxy.platform.store import PlatformStore
from auburnproxy.serving.forward import Forwarder
from auburnproxy.serving.signature import Signer
from auburnproxy.store import Change, HttpPeerClient, TopicPosition
from auburnproxy.upstreams.client import open_session
from auburnproxy.upstreams.engine import ModelCall
from auburnproxy.upstreams.http_engine import HttpEngine
from auburnproxy.upstreams.http_service import HttpPlainService
from auburnproxy.upstreams.service import PlainAnswer, PlainCall
from features.fakes.heads import MALFORMED, SOUND, RawHead
from features.fakes.platform import EVENTS, HOST, KEY, ONCE_PATH, SAFE_PATH, event
from features.loopback import free_addresses
from features.steps.routed import (
    RequestResult,
    engines,
    request_stream,
    run,
    script_first,
    send_request,
)
from features.steps.services import get_call
from features.steps.store_away import until

FEATURE = "features/malformed_responses.feature"
WHOLE = b"the whole answer"
WHOLE_STREAM = b"".join(event(number) for number in range(1, EVENTS + 1))
REASON = "MalformedResponseError"
SECRET = b"of-the-test"
ODD_ID = b"d\xe9j\xe0"
CALL_S = 2.0
SOUND_PER_RETRY = 5
"""Requests after which the retry budget of the site allows one more retry."""


async def ask(context, request, kind):
    """Send one request and return its result, with the kind of head it is for."""
    result = RequestResult(context)
    result.kind = kind
    try:
        if request == "stream":
            await request_stream(result)
        elif request == "lookup":
            await send_request(result, "GET", f"{SAFE_PATH}x")
        else:
            await send_request(result, "POST", f"{ONCE_PATH}x", body=b"order")
    except ClientError as error:
        result.status, result.body, result.headers = "unreadable", repr(error), {}
        result.broken, result.raw_headers = True, ()
    result.whole = WHOLE_STREAM if request == "stream" else WHOLE
    return result


def keep_log(context):
    """Keep the lines that the daemon logs from now on."""
    context.lines = []
    decisions = context.site.daemons[0].decisions
    decisions._write = lambda kind, fields: context.lines.append((kind, fields))


def ask_for_each(context, request, heads, script):
    """Send a request for each kind of head, after its engines have got their script."""
    keep_log(context)
    context.results = []
    for kind, head in heads.items():
        for engine in engines(context, request != "stream"):
            engine.script, engine.event_interval_s = ["ok"], 0.0
        for _ in range(SOUND_PER_RETRY):
            assert run(context, ask(context, request, "")).status == 200
        script(head)
        context.results.append(run(context, ask(context, request, kind)))


def script_all(context, request, head):
    for engine in engines(context, request != "stream"):
        engine.script = [head]


@when("a {request} gets each malformed response from the first engine asked")
def answer_first(context, request):
    def script(head):
        script_first(context, "" if request == "stream" else "plain ", head)

    ask_for_each(context, request, MALFORMED, script)


@when("a {request} gets each malformed response from every engine")
def answer_all(context, request):
    def script(head):
        script_all(context, request, head)

    ask_for_each(context, request, MALFORMED, script)


@when(
    "a stream breaks after its third event and is resumed with each malformed response"
)
def answer_resumed(context):
    class BreaksOnce(list):
        def pop(self, index=0):
            for engine in found:
                engine.script = [head]
            return "break"

        def __len__(self):
            return 2

    found, head = engines(context, False), None

    def script(malformed):
        nonlocal head
        head = malformed
        for engine in found:
            engine.script = BreaksOnce(["-"])

    ask_for_each(context, "stream", MALFORMED, script)


@when("a {request} gets each sound response {arrival}")
def answer_sound(context, request, arrival):
    for engine in engines(context, request != "stream"):
        engine.byte_by_byte = arrival == "in single bytes"

    def script(head):
        script_all(context, request, head)

    ask_for_each(context, request, SOUND, script)


def check_tries(context, tries):
    """Check the number of tries that each of the requests in question took."""
    tries_by_id = Counter(
        headers["attempt-id"]
        for engine in context.site.engines.values()
        for _, _, headers, _ in engine.requests
    )
    requests_by_tries = Counter(tries_by_id.values())
    requests_by_tries[1] -= SOUND_PER_RETRY * len(context.results)
    assert +requests_by_tries == {tries: len(context.results)}, requests_by_tries


def check_each(context, is_right):
    assert context.results
    wrong = [
        (result.kind, result.status, result.body[:60], dict(result.headers))
        for result in context.results
        if not is_right(result)
    ]
    assert not wrong, wrong


@then("each caller receives the whole answer of another engine, and its head")
def check_answers_of_another(context):
    def is_right(result):
        odd = [name for name in result.headers if "odd" in name.lower()]
        whole = not result.broken and result.body == result.whole
        return result.status == 200 and whole and not odd

    check_each(context, is_right)
    check_tries(context, 2)


@then("each caller is told with status {status:d} that the request may have run")
def check_refused(context, status):
    def is_right(result):
        return result.status == status and result.body.startswith(b"broken: ")

    check_each(context, is_right)


@then("each response is aborted after event {count:d}")
def check_each_aborted(context, count):
    def is_right(result):
        return result.broken and result.body.count(b"id: ") == count

    check_each(context, is_right)


@then("the log gives the reason of each failed try")
def check_reasons(context):
    failed = [fields for kind, fields in context.lines if kind == "try_failed"]
    reasons = [fields["reason"] for fields in failed]
    named = [reason for reason in reasons if REASON in reason]
    assert len(named) >= len(MALFORMED), (len(named), reasons)
    assert all(len(reason) < 250 for reason in named), reasons
    assert {fields["code"] for fields in failed} == {"broken"}, failed


@then("the failures count as those of a broken connection")
def check_outcomes(context):
    outcomes = [fields for kind, fields in context.lines if kind == "refused"]
    assert len(outcomes) == len(MALFORMED), outcomes
    assert {fields["code"] for fields in outcomes} == {"broken"}, outcomes
    assert {fields["ran"] for fields in outcomes} == {"unknown"}, outcomes
    assert not [line for line in context.lines if line[0] == "handler_failed"]


@then("each caller receives the engine's whole answer at its first try")
def check_sound(context):
    def is_right(result):
        head = SOUND[result.kind]
        sent = dict(field.split(b":", 1) for field in head.fields)
        got = {name: value.strip(b" \t") for name, value in result.raw_headers}
        fields_right = all(
            got.get(name) == value.strip(b" \t") for name, value in sent.items()
        )
        status = int(head.status_line.split()[1])
        if status != 200 and result.whole == WHOLE_STREAM:
            return result.status == status
        whole = not result.broken and result.body == result.whole
        return result.status == status and whole and fields_right

    check_each(context, is_right)
    check_tries(context, 1)


async def ask_raw(context, path, *fields):
    host, _, port = context.site.addresses[0].rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    lines = [f"GET {path} HTTP/1.1".encode(), b"Host: " + HOST.encode()]
    lines += [b"Api-Key: " + KEY.encode(), b"Connection: close", *fields, b"", b""]
    writer.write(b"\r\n".join(lines))
    response = await reader.read()
    writer.close()
    return response


@when("a request whose id is not UTF-8 arrives for an unknown path")
def ask_with_odd_id(context):
    work = ask_raw(context, "/none/", b"Attempt-Id: " + ODD_ID)
    context.response = run(context, work)


@when("a request with a header that is not UTF-8 arrives")
def ask_with_odd_header(context):
    fields = (b"Attempt-Id: 12ab", b"X-Odd: " + ODD_ID)
    context.response = run(context, ask_raw(context, f"{SAFE_PATH}x", *fields))


@then("it is answered whole, or refused with status {status:d}")
def check_odd_header(context, status):
    head, _, body = context.response.partition(b"\r\n\r\n")
    assert b"\r\nAttempt-Id: 12ab\r\n" in head, context.response
    answered = head.startswith(b"HTTP/1.1 200 ") and body == WHOLE
    refused = head.startswith(b"HTTP/1.1 %d " % status)
    assert answered or refused, context.response


@then("it is refused with status {status:d} and the bytes of its id")
def check_odd_id(context, status):
    head, _, body = context.response.partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 %d " % status), context.response
    assert b"\r\nAttempt-Id: " + ODD_ID + b"\r\n" in head, head
    assert body.startswith(b"no_route: "), body


@when("a plain service answers with the content type {value} in Latin-1")
def answer_in_latin_1(context, value):
    field = b"Content-Type: " + value.encode("latin-1")

    async def answer(writer):
        writer.write(RawHead(fields=(field,)).respond("r", WHOLE))
        await writer.drain()

    async def call():
        async with serving_raw(answer) as address:
            service = HttpPlainService(address)
            try:
                return await service.call(plain_call())
            finally:
                await service.close()

    context.value, context.answer = value, asyncio.run(call())


@then("the answer has it in UTF-8 and can be stored")
def check_content_type(context):
    assert context.answer == (200, context.value, WHOLE), context.answer
    assert msgspec.msgpack.encode(context.answer)


@when("the engine {name} sends malformed responses to a report request and an order")
def command_engine(context, name):
    daemon = context.site.daemons[0]
    keep_log(context)
    engine, host = context.site.engines[name], daemon.directory.hosts[name]
    run(context, until(lambda: name in daemon.replica_registry.by_host))
    replica = daemon.replica_registry.by_host[name]
    commands, context.outcomes = daemon.engine_commands, []

    async def command(head):
        engine.raw_head = head
        result = await commands.leave(replica.head, replica)
        try:
            await commands.report(host)
        except AuburnError as error:
            return result, repr(error)
        return result, ""

    for kind, head in MALFORMED.items():
        context.outcomes.append((kind, *run(context, command(head))))


@then("each of them fails as if there was no answer, and says why")
def check_commands(context):
    wrong = [
        (kind, result, error)
        for kind, result, error in context.outcomes
        if result is not CommandResult.NO_ANSWER or REASON not in error
    ]
    assert not wrong, wrong
    lines = [fields for kind, fields in context.lines if kind == "order_unanswered"]
    assert len(lines) == len(MALFORMED), lines
    assert all(REASON in line["reason"] for line in lines), lines


@contextlib.asynccontextmanager
async def serving_raw(answers):
    """Serve raw answers to successive requests, and yield the address."""
    address = free_addresses(1)[0]
    host, _, port = address.rpartition(":")

    async def serve(reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            head = await reader.readuntil(b"\r\n\r\n")
            length = next(
                (
                    int(line.partition(b":")[2])
                    for line in head.lower().split(b"\r\n")
                    if line.startswith(b"content-length:")
                ),
                0,
            )
            await reader.readexactly(length)
            await answers(writer)
        writer.close()

    server = await asyncio.start_server(serve, host, int(port))
    try:
        yield address
    finally:
        server.close()


class LogLines:
    """Keeps what is logged outside the log of decisions."""

    def __enter__(self):
        self.text = ""
        self.sink = logger.add(self._write, level="DEBUG")
        return self

    def _write(self, line):
        self.text += line

    def __exit__(self, *_):
        logger.remove(self.sink)


def member(address):
    return Member("d", "1", "east", address, address)


async def read_page(address):
    store = PlatformStore(address)
    try:
        return await store.read("op", 0, wait_s=0.0)
    finally:
        await store.close()


async def append_record(address):
    store = PlatformStore(address)
    try:
        await store.append("op", [Change("k", b"v", 0)])
    finally:
        await store.close()


async def append_to_log(address):
    log = HttpLogService(f"http://{address}")
    try:
        await log.append(b"record")
    finally:
        await log.close()


async def fetch_records(address):
    async with open_session(reuse_connections=False) as session:
        await HttpPeerClient(session).fetch(address, "op", TopicPosition(0))


def plain_call():
    return PlainCall("r", "POST", "x", b"body", "", "", CALL_S)


async def call_peer(address):
    forwarder = Forwarder(Signer(SECRET))
    try:
        await forwarder.call(member(address), "p", "s", plain_call(), wait=False)
    finally:
        await forwarder.close()


def model_call():
    return ModelCall(
        request_id="r",
        model="m",
        priority=0,
        deadline_s=CALL_S,
        resume_from=0,
        incarnation="i",
        generation=1,
        body=b"{}",
    )


async def stream_from_peer(address):
    forwarder = Forwarder(Signer(SECRET))
    try:
        async for _ in forwarder.generate(
            member(address), "p", model_call(), stream=True, wait=False
        ):
            pass
    finally:
        await forwarder.close()


async def query_peer(address):
    overview = Overview(
        "d", None, members=lambda: {}, version=lambda: 0, key=SECRET.decode()
    )
    with LogLines() as lines:
        async with overview._open_session() as session:
            body = await overview._fetch(session, member(address), "/x", dict)
    if body is None:
        raise UpstreamError(lines.text)


async def query_daemon(address):
    return await Client(Settings((address,), SECRET.decode())).get("show")


async def change_by_daemon(address):
    client = Client(Settings((address,), SECRET.decode()))
    answer = await client.change("apply", {"id": "c"}, wait_s=0.1)
    if answer["verdict"] == Verdict.UNKNOWN:
        raise OutcomeUnknownError(answer["id"])


async def call_service(address):
    service = HttpPlainService(address)
    try:
        await service.call(plain_call())
    finally:
        await service.close()


async def call_engine(address):
    engine = HttpEngine(address)
    try:
        async for _ in engine.generate(model_call()):
            pass
    finally:
        await engine.close()


PAGE = (1).to_bytes(8, "big") + bytes(8)
APPENDED = b'{"offset": 0, "end": 1}'
RECORDS = zlib.compress(msgspec.msgpack.encode([[], 0, True, None]), 1)
READERS = {
    "the store to a read": (read_page, PAGE, PlatformError),
    "the store to an append": (append_record, APPENDED, AppendUncertainError),
    "the log to an append": (append_to_log, b"7", AppendUncertainError),
    "a daemon with records": (fetch_records, RECORDS, UpstreamError),
    "a daemon with a call": (
        call_peer,
        msgspec.msgpack.encode(PlainAnswer(200, "text/plain", WHOLE)),
        UpstreamError,
    ),
    "a daemon with a stream": (stream_from_peer, b"", UpstreamError),
    "a daemon with its status": (query_peer, b"{}", UpstreamError),
    "a daemon to an operator's query": (query_daemon, b"{}", UnreachableError),
    "a daemon to an operator's change": (
        change_by_daemon,
        b'{"verdict": "accepted"}',
        OutcomeUnknownError,
    ),
    "a plain service": (call_service, WHOLE, UpstreamError),
    "a model engine": (call_engine, b"", UpstreamError),
}


async def outcome_of(read, response):
    """Return the error of a call that gets a response, None for a result."""

    async def answer(writer):
        writer.write(response)
        await writer.drain()

    async with serving_raw(answer) as address, asyncio.timeout(4 * CALL_S):
        try:
            await read(address)
        except AuburnError as error:
            return error
    return None


@when("each malformed response is sent by {server}")
def read_malformed(context, server):
    read, body, context.expected = READERS[server]

    async def read_all():
        sound = await outcome_of(read, SOUND["a plain head"].respond("r", body))
        assert REASON not in repr(sound), sound
        return [
            (kind, await outcome_of(read, head.respond("r", body)))
            for kind, head in MALFORMED.items()
        ]

    context.errors = asyncio.run(read_all())


@then("each call fails as if there was no answer")
def check_errors(context):
    wrong = [
        (kind, error)
        for kind, error in context.errors
        if not isinstance(error, context.expected)
        or getattr(error, "ran", "unknown") != "unknown"
    ]
    assert not wrong, wrong


@then("each error gives the reason")
def check_error_reasons(context):
    silent = [kind for kind, error in context.errors if REASON not in str(error)]
    assert not silent, silent


@when("a GET call is made while the log is kept")
def call_with_log(context):
    with LogLines() as context.kept:
        get_call(context)


@then("the log has the reason of {count:d} tries")
def check_logged_tries(context, count):
    assert context.refusal is not None, context.answer
    assert context.kept.text.count(" failed: closed") == count, context.kept.text


@when("a daemon refuses a call with the Retry-After {value}")
def refuse_call(context, value):
    fields = (b"Retry-After: " + value.encode(),)
    head = RawHead(b"HTTP/1.1 503 Service Unavailable", fields)
    context.error = asyncio.run(outcome_of(call_peer, head.respond("r", b"{}")))


@then("the call is refused without a Retry-After")
def check_refusal(context):
    assert isinstance(context.error, RefusalError), context.error
    assert context.error.retry_after_s is None, context.error.retry_after_s


@given("a store that sends another page after each answer")
def start_unasked(context):
    context.pages = [PAGE, (9).to_bytes(8, "big") + bytes(8)]


@when("it is read twice over one connection")
def read_twice(context):
    async def answer(writer):
        for entry in context.pages:
            writer.write(SOUND["a plain head"].respond("r", entry))
            await writer.drain()
            await asyncio.sleep(0.05)
        await asyncio.sleep(0.5)

    async def read():
        async with serving_raw(answer) as address:
            store = PlatformStore(address)
            try:
                return [await read_one(store) for _ in range(2)]
            finally:
                await store.close()

    async def read_one(store):
        response = await store._client.send("GET", "/log-read")
        await asyncio.sleep(0.2)
        return response.body

    context.bodies = asyncio.run(read())


@then("both reads return its first page")
def check_pages(context):
    assert context.bodies == [context.pages[0]] * 2, context.bodies


@when("the other scenarios of this feature run without the C extension")
def run_in_python(context):
    command = [sys.executable, "-m", "behave", "--no-color", "--format", "progress"]
    command += ["--name", "^(?!The same holds)", FEATURE]
    environment = {**os.environ, "AIOHTTP_NO_EXTENSIONS": "1"}
    context.rerun = subprocess.run(
        command, env=environment, capture_output=True, text=True, timeout=300
    )


@then("they pass")
def check_rerun(context):
    output = context.rerun.stdout + context.rerun.stderr
    assert context.rerun.returncode == 0, output[-4000:]
