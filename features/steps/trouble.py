"""Steps for upstreams that leave or back off, and for endless responses."""

import asyncio
import time
import zlib

import async_solipsism
import msgspec
from aiohttp import ClientSession
from behave import given, then, when

from auburnproxy.errors import AuburnError, PlatformError
from auburnproxy.gateway.backoffs import UpstreamBackoffs
from auburnproxy.gateway.events import EventReader
from auburnproxy.platform.store import PlatformStore
from auburnproxy.store import HttpPeerClient, TopicPosition
from features.fakes.endless import MemoryWatch, send_endlessly
from features.fakes.platform import ONCE_PATH
from features.fakes.store import null_decisions
from features.loopback import free_addresses
from features.steps.routed import RequestResult, request_stream, run, send_request


def engine_named(context, name):
    return context.site.engines[name]


async def send_order(context, *, daemon=0, **options):
    answer = RequestResult(context)
    began = time.monotonic()
    await send_request(
        answer, "POST", f"{ONCE_PATH}x", body=b"order", daemon=daemon, **options
    )
    answer.began = began
    return answer


@given("the plain engine {name} announces that it is leaving with a {answer}")
def announce_leaving(context, name, answer):
    engine_named(context, name).script = [f"leaving {answer}"]


@given("the engine {name} announces that it is leaving with its next stream")
def announce_leaving_in_stream(context, name):
    engine_named(context, name).script = ["leaving"]


@given("the engine {name} announces in its reports that it is leaving")
def announce_leaving_in_report(context, name):
    engine_named(context, name).leaving_reports = True


@when("the engine {name} is probed")
def probe(context, name):
    daemon = context.site.daemons[0]
    assert run(context, daemon._probe_upstream(name))


@when("{count:d} non-idempotent requests are sent one after another")
def send_orders(context, count):
    async def place():
        return [await send_order(context) for _ in range(count)]

    context.before = {n: len(e.requests) for n, e in context.site.engines.items()}
    context.orders = run(context, place())


@when("{count:d} non-idempotent requests are sent to the second daemon")
def send_to_second(context, count):
    async def place():
        return [await send_order(context, daemon=1) for _ in range(count)]

    run(context, place())


@when("{seconds:d} s passes")
def pass_second(context, seconds):
    run(context, asyncio.sleep(seconds))


@then("the plain engine {name} received at most {most:d} of them")
def check_at_most(context, name, most):
    assert len(engine_named(context, name).requests) <= most


@then("the plain engine {name} received at least {least:d} of them")
def check_at_least(context, name, least):
    got = len(engine_named(context, name).requests) - context.before[name]
    assert got >= least, got


@when("streams are requested until {name} receives one")
def stream_until(context, name):
    async def ask_all():
        for _ in range(40):
            await request_stream(context)
            if engine_named(context, name).requests:
                return
        raise AssertionError(f"{name} got no stream")

    run(context, ask_all())


@when("the plain engine {name} restarts under its id")
def restart_engine(context, name):
    engine_named(context, name).script = ["ok"]
    context.site.register(name, service="plain", born=2)

    async def wait():
        hosts, until = context.site.daemons[0].directory.hosts, time.monotonic() + 5
        while hosts[name].born != 2:
            assert time.monotonic() < until, "its new registration was not read"
            await asyncio.sleep(0.02)

    run(context, wait())


@given("the plain engine {name} rejects requests with Retry-After {seconds:g} s")
@given("the engine {name} rejects requests with Retry-After {seconds:g} s")
def script_retry_after(context, name, seconds):
    engine_named(context, name).retry_after_s = str(seconds)
    engine_named(context, name).script = ["rest"]


@given("every plain engine rejects requests with Retry-After {seconds:g} s")
def script_retry_after_everywhere(context, seconds):
    for name in ("p0", "p1"):
        script_retry_after(context, name, seconds)


@when("non-idempotent requests are sent for {seconds:g} s")
def send_for_seconds(context, seconds):
    async def place():
        answers, until = [], time.monotonic() + seconds
        while time.monotonic() < until:
            answers.append(await send_order(context))
            await asyncio.sleep(0.02)
        return answers

    context.orders = run(context, place())


@then(
    "the plain engine {name} received {most:d} of them within {seconds:g} s of each"
    " rejection"
)
def check_backoff_respected(context, name, most, seconds):
    times = engine_named(context, name).asked_at
    assert times, "no request reached it"
    for at in times:
        got = [t for t in times if at < t < at + seconds]
        assert len(got) <= most, (len(got), times)


@then("every request received status {status:d}")
def check_all_statuses(context, status):
    assert {answer.status for answer in context.orders} == {status}


@then("neither a probe nor an engine command reaches {name} for {seconds:d} s")
def check_commands_wait(context, name, seconds):
    daemon = context.site.daemons[0]
    before = len(engine_named(context, name).asked_at)
    formed = daemon.replica_registry.by_host[name]

    async def send_commands():
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            await daemon._probe_upstream(name)
            await daemon.engine_commands.leave(formed.head, formed)
            await asyncio.sleep(0.1)

    run(context, send_commands())
    assert len(engine_named(context, name).asked_at) == before
    assert (name, 1) not in daemon.replica_controller._failure_detector.lost


@when("a non-idempotent request is sent twice, with a deadline of {seconds:d} s")
def send_twice(context, seconds):
    async def place():
        deadline = {"Deadline_Ms": str(seconds * 1000)}
        return [await send_order(context, **deadline) for _ in range(2)]

    context.orders = run(context, place())


@then("the second is rejected at once with Retry-After from {least:g} to {most:g} s")
def check_retry_after_range(context, least, most):
    second = context.orders[1]
    assert second.status == 503 and second.took_s < 0.2, (second.status, second.took_s)
    assert least <= float(second.headers["Retry-After"]) <= most, second.headers


@given("an upstream sends Retry-After {retry_after}")
def record_backoff(context, retry_after):
    context.loop = async_solipsism.EventLoop()
    context.add_cleanup(context.loop.close)

    async def take():
        backoffs = UpstreamBackoffs(null_decisions())
        backoffs.record(("e", 1), retry_after)
        return backoffs.remaining_s(("e", 1)), backoffs.remaining_s(("e", 2))

    context.backoff_s, context.other_process_s = context.loop.run_until_complete(take())


@then("the backoff lasts {seconds:g} s")
def check_backoff(context, seconds):
    assert abs(context.backoff_s - seconds) < 0.01, context.backoff_s
    assert context.other_process_s == 0, (
        "the backoff applies to another process with the same id"
    )


@given("the plain engine {name} sends {kind} endlessly")
def send_without_end(context, name, kind):
    engine_named(context, name).endless = kind


@when("non-idempotent requests are sent while the daemon's memory is measured")
def send_measured(context):
    async def place():
        watch = MemoryWatch()
        watching = asyncio.create_task(watch.run())
        answers = await asyncio.gather(
            *(send_order(context, Deadline_Ms="1500") for _ in range(6))
        )
        watching.cancel()
        return watch, answers

    context.watch, context.orders = run(context, place())


@then("no caller gets bytes of them, and each is answered")
def check_results(context):
    for answer in context.orders:
        assert not answer.broken and answer.status in (200, 500, 502, 504), (
            answer.status
        )
        if answer.status == 200:
            assert answer.body == b"the whole answer", answer.body[:80]
        assert len(answer.body) < 1000, len(answer.body)
    assert 200 in {answer.status for answer in context.orders}, "no request succeeded"
    assert engine_named(context, "p0").requests, "no request reached the faulty engine"


@then("memory has grown by less than {most:d} MB")
def check_memory(context, most):
    assert context.watch.grown_mb < most, context.watch.grown_mb


@then("the connections to the plain engine {name} are closed")
def check_connections_closed(context, name):
    run(context, asyncio.sleep(0.3))
    assert engine_named(context, name).open_connections == 0


@then("an event of {size:d} kB in blocks of {block:d} bytes is read within {most:d} s")
def check_event_reader(context, size, block, most):
    data = b"id: 1\ndata: " + b"x" * (size * 1000) + b"\n\n"
    reader, events = EventReader(), []
    began = time.process_time()
    for start in range(0, len(data), block):
        for batch in reader.feed(data[start : start + block]):
            events += batch
    assert [event.data for event in events] == [data]
    assert time.process_time() - began < most, time.process_time() - began


async def serve_raw(answer, use):
    """Serve raw bytes at an address; return its client's error and memory use."""
    address = free_addresses(1)[0]
    host, _, port = address.rpartition(":")

    async def serve(reader, writer):
        try:
            await reader.readuntil(b"\r\n\r\n")
            await answer(writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            return
        finally:
            writer.close()

    server = await asyncio.start_server(serve, host, int(port))
    watch = MemoryWatch()
    watching = asyncio.create_task(watch.run())
    try:
        await use(address)
    except AuburnError as error:
        return error, watch
    finally:
        watching.cancel()
        server.close()
    return None, watch


@given("a store whose response to a read never ends")
def start_endless_store(context):
    async def answer(writer):
        writer.write(b"HTTP/1.1 200 OK\r\n\r\n" + bytes(16))
        await send_endlessly(writer, b"\0" * 65_536)

    context.answer = answer


@when("its topic is read")
def read_endless(context):
    async def use(address):
        store = PlatformStore(address)
        try:
            await store.read("op", 0, wait_s=0.0)
        finally:
            await store.close()

    context.error, context.watch = asyncio.run(serve_raw(context.answer, use))


@then("the read fails with less than {most:d} MB allocated")
def check_read_failure(context, most):
    assert isinstance(context.error, PlatformError), context.error
    assert context.watch.grown_mb < most, context.watch.grown_mb


@given("a peer whose records are {fault}")
def faulty_peer(context, fault):
    async def answer(writer):
        writer.write(b"HTTP/1.1 200 OK\r\n\r\n")
        if fault == "without end":
            await send_endlessly(writer, b"\0" * 65_536)
            return
        if fault == "cut off":
            whole = zlib.compress(msgspec.msgpack.encode([[], 0, True, None]), 1)
            writer.write(whole[:-3])
        else:
            packer = zlib.compressobj(9)
            for _ in range(1000):
                writer.write(packer.compress(bytes(1_000_000)))
            writer.write(packer.flush())
        await writer.drain()

    context.answer = answer


@when("they are fetched")
def fetch_records(context):
    async def use(address):
        async with ClientSession() as session:
            await HttpPeerClient(session).fetch(address, "op", TopicPosition(0))

    context.error, context.watch = asyncio.run(serve_raw(context.answer, use))


@then("the fetch fails with less than {most:d} MB allocated")
def check_fetch_failure(context, most):
    assert isinstance(context.error, AuburnError), context.error
    assert context.watch.grown_mb < most, context.watch.grown_mb
