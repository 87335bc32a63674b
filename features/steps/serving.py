"""Steps for the HTTP front end, on loopback sockets."""

import asyncio
import json
import socket
import time
from contextlib import AsyncExitStack

from aiohttp import ClientSession, ClientTimeout, web
from behave import given, then, when
from loguru import logger

from auburnproxy.membership import Member
from auburnproxy.serving import RequestLimits
from auburnproxy.serving.forward import MODEL_PATH
from auburnproxy.serving.signature import SIGNATURE_HEADER, Signer
from features.fakes.serving import (
    SECRET,
    FakeEngine,
    FakeService,
    FakeUpstreams,
    make_frontend,
    make_plan,
    make_site,
)
from features.machines.streams import break_off

LIMITS = RequestLimits(body_bytes=4096, body_timeout_s=0.2)
TIMEOUT = ClientTimeout(total=20)
SLOW_READ_PAUSE_S = 0.05


class Daemon:
    """One front end with two listeners on the loopback interface."""

    def __init__(self, *, slots=4, length=5, gap_s=0.001, journal=None):
        self.engines = [
            FakeEngine(length=length, first_s=0.01, gap_s=gap_s) for _ in range(2)
        ]
        hosts = {f"e{i}": engine for i, engine in enumerate(self.engines)}
        upstreams = FakeUpstreams(hosts, {"p0": FakeService()}, slots=slots)
        self.site = make_site(
            [make_plan("alpha")], upstreams, limits=LIMITS, journal=journal
        )
        self.frontend = make_frontend(self.site, limits=LIMITS)
        self.runners = []

    async def __aenter__(self):
        internal = web.Application()
        internal.add_routes(self.frontend.forward_routes())
        apps = (self.frontend.caller_app(), internal)
        self.caller_port, self.internal_port = [await self._listen(a) for a in apps]
        self.url = f"http://127.0.0.1:{self.caller_port}"
        self.session = ClientSession(timeout=TIMEOUT)
        return self

    async def _listen(self, app):
        runner = web.AppRunner(app, handler_cancellation=True, access_log=None)
        await runner.setup()
        self.runners.append(runner)
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        return runner.addresses[0][1]

    async def __aexit__(self, *error):
        await self.session.close()
        for runner in self.runners:
            await runner.cleanup()
        await self.frontend.close()

    def post(self, body, *, key="alpha", **headers):
        sent = {"Authorization": f"Bearer {key}"} if key else {}
        data = json.dumps(body).encode() if isinstance(body, dict) else body
        url = f"{self.url}/v1/chat/completions"
        return self.session.post(url, data=data, headers=sent | headers)

    async def read(self, body, **options):
        async with self.post(body, **options) as response:
            return response.status, await response.text(), response.headers

    @property
    def slots_in_use(self):
        return {key: g.in_flight for key, g in self.site.limiters.by_key.items()}


def chat(*, stream, model="m"):
    return {"model": model, "messages": [{"role": "user"}], "stream": stream}


async def wait_until(condition, *, within_s=10.0):
    async with asyncio.timeout(within_s):
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(0.01)


def introduce_peers(daemon, peers):
    """Make peers with free slots known to a daemon."""
    members = [
        Member(f"b{n}", "1", "d", "127.0.0.1:1", f"127.0.0.1:{peer.internal_port}")
        for n, peer in enumerate(peers)
    ]
    daemon.site.peers.near_by_id = {member.id: member for member in members}
    free = dict.fromkeys(daemon.site.peers.near_by_id, 4)
    keys = ("plan/alpha", "model/m")
    daemon.site.peers.free_by_key = dict.fromkeys(keys, free)


def run(context, steps):
    """Run steps with the scenario's daemon, and its peer if it has one."""

    async def with_daemons():
        async with Daemon(**context.options) as daemon:
            if not context.with_peer:
                return await steps(daemon, None)
            async with Daemon(slots=4) as peer:
                introduce_peers(daemon, [peer])
                return await steps(daemon, peer)

    return asyncio.run(with_daemons())


@given("a daemon with 2 engines and 1 plain service")
def default_daemon(context):
    context.options, context.with_peer = {}, False


@given("a peer with a free slot and no local slot")
def with_peer(context):
    context.options, context.with_peer = {"slots": 0}, True


@given("3 peers with free slots and no local slot")
def with_peers(context):
    context.slots = (0, 4, 4, 4)


@when("the engines fail after {at:d} chunks and a caller streams an answer")
def stream_from_failing_engines(context, at):
    stream_with_failures(context, at, failures_left=100)


@when("{failures_left:d} calls fail after {at:d} chunks and a caller streams an answer")
def stream_with_failures(context, at, failures_left):
    def script(call, chunks):
        nonlocal failures_left
        failures_left -= 1
        return break_off(chunks, at) if failures_left >= 0 else chunks

    async def steps():
        async with AsyncExitStack() as stack:
            daemon, *peers = [
                await stack.enter_async_context(Daemon(slots=slots))
                for slots in context.slots
            ]
            introduce_peers(daemon, peers)
            engines = [engine for peer in peers for engine in peer.engines]
            for engine in engines:
                engine.script = script
            context.answer = await daemon.read(chat(stream=True))
            context.peer_calls = sum(len(engine.calls) for engine in engines)

    asyncio.run(steps())


@then("the engines of the peers got {count:d} calls")
def check_peer_calls(context, count):
    assert context.peer_calls == count, context.peer_calls


@given("a slow stream in flight")
def slow_stream(context):
    context.options = {"length": 40, "gap_s": 0.01}


@when("the caller streams an answer")
def stream_answer(context):
    async def steps(daemon, peer):
        context.answer = await daemon.read(chat(stream=True))
        context.calls = [len(e.calls) for e in daemon.engines]
        context.peer_calls = sum(len(e.calls) for e in peer.engines) if peer else 0

    run(context, steps)


@then("the stream has {count:d} chunks in order and ends with the done marker")
def check_complete_stream(context, count):
    status, text, headers = context.answer
    events = [f"data: t{i}" for i in range(count)] + ["data: [DONE]", ""]
    assert status == 200, text
    assert headers["Content-Type"] == "text/event-stream"
    assert text.split("\n\n") == events, text


@then("only the peer ran it")
def check_only_peer_ran(context):
    assert sum(context.calls) == 0 and context.peer_calls == 1


@when("the caller requests an answer without streaming")
def request_without_streaming(context):
    async def steps(daemon, peer):
        context.answer = await daemon.read(chat(stream=False))

    run(context, steps)


@then("the answer is {text}")
def check_answer(context, text):
    assert context.answer[:2] == (200, text), context.answer


@when("the caller sends a request with 2 bad headers and 3 bad fields")
def send_invalid_request(context):
    async def steps(daemon, peer):
        body = {"model": 3, "stream": "yes"}
        headers = {"X-Deadline-Ms": "soon", "X-Request-Id": "a b"}
        context.answer = await daemon.read(body, **headers)

    run(context, steps)


@then("the refusal is invalid_request with {count:d} findings and was not run")
def check_findings(context, count):
    status, text, _ = context.answer
    error = json.loads(text)["error"]
    assert (status, error["code"], error["ran"]) == (400, "invalid_request", "no")
    assert len(error["findings"]) == count, error["findings"]


async def slow_body():
    yield b"{"
    await asyncio.sleep(2)
    yield b"}"


@when("the caller sends {request}")
def send(context, request):
    async def steps(daemon, peer):
        good = chat(stream=True)
        key, body = "alpha", good
        if request == "broken JSON":
            body = b'{"model": "m", '
        elif request == "no key":
            key = ""
        elif request == "an unknown model":
            body = chat(stream=True, model="other")
        elif request == "a body that is slow":
            body = slow_body()
        else:
            body = b" " * 5000
        context.answer = await daemon.read(body, key=key)
        assert not any(engine.calls for engine in daemon.engines)

    run(context, steps)


@then("the refusal is {code} with status {status:d} and was not run")
def check_refusal(context, code, status):
    seen, text, headers = context.answer
    error = json.loads(text)["error"]
    assert (seen, error["code"], error["ran"]) == (status, code, "no"), error
    assert headers["X-Ran"] == "no"
    assert error["request_id"]


@when("the daemon drains")
def drain(context):
    async def steps(daemon, peer):
        slow = asyncio.create_task(daemon.read(chat(stream=True)))
        await wait_until(lambda: any(engine.running for engine in daemon.engines))
        drained = asyncio.create_task(daemon.frontend.drain())
        await wait_until(lambda: daemon.frontend.draining)
        context.refused = await daemon.read(chat(stream=True))
        context.drained_early = drained.done()
        context.answer = await slow
        async with asyncio.timeout(10):
            await drained

    run(context, steps)


class SilentJournal:
    """A journal whose proposals never complete."""

    up = True

    async def propose(self, kind, body, **options):
        await asyncio.Event().wait()


@given("a plain service with 1 slot, and a log that does not answer")
def silent_log(context):
    context.options = {"slots": 1, "journal": SilentJournal()}
    context.with_peer = False


@when("a POST call with a key waits for the log and a GET call is made")
def post_and_get(context):
    headers = {"Authorization": "Bearer alpha", "X-Deadline-Ms": "2000"}

    async def send(daemon, _):
        url = f"{daemon.url}/v1/services/s/stock"
        keyed = headers | {"Idempotency-Key": "k1"}
        post_call = asyncio.create_task(read(daemon.session.post(url, headers=keyed)))
        await asyncio.sleep(0.1)
        context.get_status = await read(daemon.session.get(url, headers=headers))
        context.post_waited = not post_call.done()
        post_call.cancel()
        await asyncio.gather(post_call, return_exceptions=True)

    async def read(request):
        async with request as response:
            return response.status

    run(context, send)


@then("the GET call is answered while the POST call still waits")
def check_get_answered(context):
    assert context.get_status == 200, context.get_status
    assert context.post_waited


@then("the slow stream is complete")
def check_slow_stream(context):
    check_complete_stream(context, 40)


@then("a new request is refused as draining and was not run")
def check_refused_draining(context):
    context.answer = context.refused
    check_refusal(context, "draining", 503)
    assert int(context.refused[2]["Retry-After"]) >= 1


@then("the daemon is drained only after the stream was complete")
def check_drained_late(context):
    assert not context.drained_early


@when("the caller disconnects")
def disconnect(context):
    async def steps(daemon, peer):
        async with daemon.post(chat(stream=True)) as response:
            await response.content.readany()
            response.close()
        await wait_until(lambda: not any(daemon.slots_in_use.values()))
        context.cancelled = sum(engine.cancelled for engine in daemon.engines)

    run(context, steps)


@then("the engine was cancelled and every slot is free")
def cancelled(context):
    assert context.cancelled == 1


@then("a forwarded call that was modified, replayed or forwarded again is forbidden")
def check_forgeries(context):
    async def steps(daemon, peer):
        url = f"http://127.0.0.1:{peer.internal_port}{MODEL_PATH}"
        recorded = []
        post = daemon.session.post

        async def forward(body, headers):
            async with post(url, data=body, headers=headers) as response:
                return response.status

        original = Signer.sign

        def recording_sign(signer, method, path, headers, body):
            signature = original(signer, method, path, headers, body)
            recorded.append((dict(headers), body, signature))
            return signature

        Signer.sign = recording_sign
        try:
            assert (await daemon.read(chat(stream=True)))[0] == 200
        finally:
            Signer.sign = original
        headers, body, signature = recorded[0]
        headers = {k: v for k, v in headers.items() if k != SIGNATURE_HEADER}
        signer = Signer(SECRET)

        def signed(changed):
            fresh = headers | {"X-Issued-Ms": str(round(time.time() * 1000))} | changed
            return fresh | {
                SIGNATURE_HEADER: signer.sign("POST", MODEL_PATH, fresh, body)
            }

        assert await forward(body, headers | {SIGNATURE_HEADER: signature}) == 403
        sent_once = signed({})
        assert await forward(body + b" ", sent_once) == 403
        assert await forward(body, sent_once | {"X-Resume-From": "1"}) == 403
        assert await forward(body, sent_once) == 200
        assert await forward(body, sent_once) == 403
        assert await forward(body, signed({"X-Hop": "2"})) == 403
        assert await forward(body, signed({"X-Issued-Ms": "1"})) == 403

    run(context, steps)


@when("a call is made without an API key and without a request id")
def call_without_request_id(context):
    context.logged = []
    sink = logger.add(context.logged.append, level="DEBUG", format="{extra[request]}")

    async def steps(daemon, _):
        return await daemon.read(chat(stream=False), key=None)

    try:
        context.refusal = json.loads(run(context, steps)[1])["error"]
    finally:
        logger.remove(sink)


@then("the request id in the refusal is the one in the log")
def check_request_id(context):
    wanted = f" [{context.refusal['request_id']}]"
    assert wanted in [line.rstrip("\n") for line in context.logged], context.logged


@when("an engine's answer raises an unexpected error after {count:d} chunks")
def fail_unexpectedly(context, count):
    def script(call, chunks):
        return [*chunks[:count], ValueError("unexpected")]

    context.logged = []
    sink = logger.add(
        context.logged.append, level="ERROR", format="{message}{extra[request]}"
    )

    async def steps(daemon, _):
        for engine in daemon.engines:
            engine.script = script
        context.answer = await daemon.read(
            chat(stream=True), **{"X-Request-Id": "failing"}
        )

    try:
        run(context, steps)
    finally:
        logger.remove(sink)


@then("the stream has {count:d} chunks and ends with an error event that names it")
def check_error_event(context, count):
    status, text, _ = context.answer
    *events, last, rest = text.split("\n\n")
    assert status == 200, text
    assert events == [f"data: t{i}" for i in range(count)], text
    assert last.startswith("event: error\ndata: ") and rest == "", text
    error = json.loads(last.partition("data: ")[2])["error"]
    assert error["request_id"] == "failing" and error["ran"] == "unknown", error


@when("a caller leaves while its order runs, which then fails unexpectedly")
def leave_failing_order(context):
    context.logged = []
    sink = logger.add(
        context.logged.append, level="ERROR", format="{message}{extra[request]}"
    )

    async def steps(daemon, _):
        service = daemon.site.upstreams.services_by_host["p0"]
        running, resume = asyncio.Event(), asyncio.Event()

        async def fail(call):
            running.set()
            await resume.wait()
            raise ValueError("unexpected")

        service.call = fail
        url = f"{daemon.url}/v1/services/s/orders"
        headers = {"Authorization": "Bearer alpha", "X-Request-Id": "failing"}
        sending = asyncio.create_task(daemon.session.post(url, headers=headers))
        await running.wait()
        sending.cancel()
        await wait_until(lambda: not daemon.frontend.in_flight)
        resume.set()
        await wait_until(lambda: context.logged, within_s=2.0)

    try:
        run(context, steps)
    except TimeoutError:
        pass
    finally:
        logger.remove(sink)


@then("the log names the request with the error")
def check_failure_logged(context):
    (line,) = context.logged
    assert "[failing]" in line and "ValueError: unexpected" in line, line


def unsent_bytes(daemon):
    transports = [
        connection.transport
        for runner in daemon.runners
        for connection in runner.server.connections
    ]
    return sum(each.get_write_buffer_size() for each in transports if each)


async def connect_slowly(daemon):
    """Return a connection whose buffers in the kernel are as small as possible."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1)
    sock.setblocking(False)
    address = ("127.0.0.1", daemon.caller_port)
    await asyncio.get_running_loop().sock_connect(sock, address)
    server = daemon.runners[0].server
    await wait_until(lambda: server.connections)
    (connection,) = server.connections
    accepted = connection.transport.get_extra_info("socket")
    accepted.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 1)
    return await asyncio.open_connection(sock=sock, limit=1)


@when("a caller slowly reads an answer of {size:d} bytes that is {kind}")
def read_slowly(context, size, kind):
    def script(call, chunks):
        return [chunks[0]._replace(data=b"x" * size), chunks[-1]._replace(position=1)]

    async def steps(daemon, _):
        for engine in daemon.engines:
            engine.script = script
        body = json.dumps(chat(stream=kind == "streamed")).encode()
        head = "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\n"
        head += f"Authorization: Bearer alpha\r\nContent-Length: {len(body)}\r\n\r\n"
        reader, writer = await connect_slowly(daemon)
        writer.write(head.encode() + body)
        await wait_until(lambda: unsent_bytes(daemon))
        await asyncio.sleep(SLOW_READ_PAUSE_S)
        context.seen, received = [], 0
        while received < size:
            context.seen.append((daemon.frontend.in_flight, unsent_bytes(daemon)))
            received += len(await reader.read(size))
        writer.close()

    run(context, steps)


@then("no bytes are unsent once its request is not in flight")
def check_sent(context):
    assert any(unsent for _, unsent in context.seen), context.seen
    early = [seen for seen in context.seen if not seen[0] and seen[1]]
    assert not early, early[:5]
