"""Steps for upstreams in trouble: what they say of it, and bytes without end."""

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
from features.steps.routed import SecondAnswer, ask, run, stream


def engine(context, name):
    return context.site.engines[name]


async def order(context, *, daemon=0, **options):
    answer = SecondAnswer(context)
    began = time.monotonic()
    await ask(answer, "POST", f"{ONCE_PATH}x", body=b"order", daemon=daemon, **options)
    answer.began = began
    return answer


@given("the plain engine {name} will say that it leaves with {answer}")
def leave_with(context, name, answer):
    engine(context, name).script = [f"leaving {answer}"]


@given("the engine {name} will say that it leaves with its next stream")
def leave_with_stream(context, name):
    engine(context, name).script = ["leaving"]


@given("the engine {name} says in its reports that it leaves")
def leave_with_report(context, name):
    engine(context, name).leaving_reports = True


@when("the engine {name} is probed")
def probe(context, name):
    daemon = context.site.daemons[0]
    assert run(context, daemon._probe_upstream(name))


@when("{count:d} orders are placed one after the other")
def place_orders(context, count):
    async def place():
        return [await order(context) for _ in range(count)]

    context.before = {n: len(e.requests) for n, e in context.site.engines.items()}
    context.orders = run(context, place())


@when("{count:d} orders are placed at the second daemon")
def place_at_second(context, count):
    async def place():
        return [await order(context, daemon=1) for _ in range(count)]

    run(context, place())


@when("{seconds:d} s passes")
def pass_second(context, seconds):
    run(context, asyncio.sleep(seconds))


@then("the plain engine {name} has got at most {most:d} of them")
def compare_most(context, name, most):
    assert len(engine(context, name).requests) <= most


@then("the plain engine {name} has got at least {least:d} of them")
def compare_least(context, name, least):
    got = len(engine(context, name).requests) - context.before[name]
    assert got >= least, got


@when("streams are asked for until {name} has got one")
def ask_until(context, name):
    async def ask_all():
        for _ in range(40):
            await stream(context)
            if engine(context, name).requests:
                return
        raise AssertionError(f"{name} got no stream")

    run(context, ask_all())


@when("the plain engine {name} starts again under its id")
def start_again(context, name):
    engine(context, name).script = ["ok"]
    context.site.register(name, service="plain", born=2)

    async def wait():
        hosts, until = context.site.daemons[0].directory.hosts, time.monotonic() + 5
        while hosts[name].born != 2:
            assert time.monotonic() < until, "its new registration was not read"
            await asyncio.sleep(0.02)

    run(context, wait())


@given("the plain engine {name} will refuse and ask for {seconds:g} s of rest")
@given("the engine {name} will refuse and ask for {seconds:g} s of rest")
def ask_for_rest(context, name, seconds):
    engine(context, name).rest_s = str(seconds)
    engine(context, name).script = ["rest"]


@given("every plain engine asks for {seconds:g} s of rest")
def all_ask_for_rest(context, seconds):
    for name in ("p0", "p1"):
        ask_for_rest(context, name, seconds)


@when("orders are placed for {seconds:g} s")
def place_for(context, seconds):
    async def place():
        answers, until = [], time.monotonic() + seconds
        while time.monotonic() < until:
            answers.append(await order(context))
            await asyncio.sleep(0.02)
        return answers

    context.orders = run(context, place())


@then("the plain engine {name} got {most:d} of them in {seconds:g} s of rest")
def compare_rest(context, name, most, seconds):
    times = engine(context, name).asked_at
    assert times, "it was never asked"
    for at in times:
        got = [t for t in times if at < t < at + seconds]
        assert len(got) <= most, (len(got), times)


@then("every order was answered {status:d}")
def compare_all(context, status):
    assert {answer.status for answer in context.orders} == {status}


@then("neither a probe nor an order reaches {name} for {seconds:d} s")
def compare_probe(context, name, seconds):
    daemon = context.site.daemons[0]
    before = len(engine(context, name).asked_at)
    formed = daemon.replica_registry.by_host[name]

    async def press():
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            await daemon._probe_upstream(name)
            await daemon.engine_commands.leave(formed.head, formed)
            await asyncio.sleep(0.1)

    run(context, press())
    assert len(engine(context, name).asked_at) == before
    assert (name, 1) not in daemon.replica_controller._failure_detector.lost


@when("an order is placed twice, with {seconds:d} s to wait")
def place_twice(context, seconds):
    async def place():
        deadline = {"Deadline_Ms": str(seconds * 1000)}
        return [await order(context, **deadline) for _ in range(2)]

    context.orders = run(context, place())


@then(
    "the second is refused at once and told to come back after {least:g} to {most:g} s"
)
def compare_return(context, least, most):
    second = context.orders[1]
    assert second.status == 503 and second.took_s < 0.2, (second.status, second.took_s)
    assert least <= float(second.headers["Retry-After"]) <= most, second.headers


@given("a rest of {asked} is asked for")
def ask_rest(context, asked):
    context.loop = async_solipsism.EventLoop()
    context.add_cleanup(context.loop.close)

    async def take():
        backoffs = UpstreamBackoffs(null_decisions())
        backoffs.record(("e", 1), asked)
        return backoffs.remaining_s(("e", 1)), backoffs.remaining_s(("e", 2))

    context.rest_s, context.other_s = context.loop.run_until_complete(take())


@then("the upstream rests for {seconds:g} s")
def compare_rests(context, seconds):
    assert abs(context.rest_s - seconds) < 0.01, context.rest_s
    assert context.other_s == 0, "another process of the same id rests"


@given("the plain engine {name} will send {kind} without end")
def send_without_end(context, name, kind):
    engine(context, name).endless = kind


@when("orders are placed while the daemon's memory is watched")
def place_watched(context):
    async def place():
        watch = MemoryWatch()
        watching = asyncio.create_task(watch.run())
        answers = await asyncio.gather(
            *(order(context, Deadline_Ms="1500") for _ in range(6))
        )
        watching.cancel()
        return watch, answers

    context.watch, context.orders = run(context, place())


@then("no caller gets bytes of them, and each is answered")
def compare_answers(context):
    for answer in context.orders:
        assert not answer.broken and answer.status in (200, 500, 502, 504), (
            answer.status
        )
        if answer.status == 200:
            assert answer.body == b"the whole answer", answer.body[:80]
        assert len(answer.body) < 1000, len(answer.body)
    assert 200 in {answer.status for answer in context.orders}, "nobody was served"
    assert engine(context, "p0").requests, "the faulty engine was never asked"


@then("memory has grown by less than {most:d} MB")
def compare_memory(context, most):
    assert context.watch.grown_mb < most, context.watch.grown_mb


@then("the connections to the plain engine {name} are closed")
def compare_closed(context, name):
    run(context, asyncio.sleep(0.3))
    assert engine(context, name).open_connections == 0


@then("an event of {size:d} kB in blocks of {block:d} bytes is read within {most:d} s")
def compare_reader(context, size, block, most):
    data = b"id: 1\ndata: " + b"x" * (size * 1000) + b"\n\n"
    reader, events = EventReader(), []
    began = time.process_time()
    for start in range(0, len(data), block):
        events += reader.feed(data[start : start + block])
    assert [event.data for event in events] == [data]
    assert time.process_time() - began < most, time.process_time() - began


async def serve_raw(answer, use):
    """Serve bytes at an address and return what a client of it sees."""
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


@given("a store that answers a reading without end")
def endless_store(context):
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


@then("the reading fails with less than {most:d} MB taken")
def compare_reading(context, most):
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
def fetch_endless(context):
    async def use(address):
        async with ClientSession() as session:
            await HttpPeerClient(session).fetch(address, "op", TopicPosition(0))

    context.error, context.watch = asyncio.run(serve_raw(context.answer, use))


@then("the fetch fails with less than {most:d} MB taken")
def compare_fetch(context, most):
    assert isinstance(context.error, AuburnError), context.error
    assert context.watch.grown_mb < most, context.watch.grown_mb
