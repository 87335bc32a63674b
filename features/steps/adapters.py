"""Steps for the adapters and the simulated dependencies."""

import asyncio
import collections
import contextlib
import functools
from unittest import mock

from aiohttp import web
from behave import given, then, when
from hypothesis import given as given_example
from hypothesis import settings as search_settings
from hypothesis import strategies as st

from auburnproxy.errors import AppendUncertainError, PlatformError, Ran, UpstreamError
from auburnproxy.external.http import connect_log
from auburnproxy.upstreams import events
from auburnproxy.upstreams.engine import Chunk, ChunkKind
from auburnproxy.upstreams.events import EventParser, encode_event
from auburnproxy.upstreams.http_engine import HttpEngine
from auburnproxy.upstreams.http_service import HttpPlainService
from auburnproxy.upstreams.service import PlainCall
from features import loopback
from standins.listener import abort_connection, listening
from standins.log import LogFault, make_log
from standins.tokens import answer, read_prompt, token_data
from standins.upstreams import FaultKind, UpstreamFault

METHODS = ("GET", "POST", "DELETE")


async def outcome(service, method):
    call = PlainCall("q", method, "/x", b"", "", "", loopback.TIMEOUT_S)
    try:
        await service.call(call)
    except UpstreamError as error:
        return error.ran
    return None


@given("a plain service that runs each call and then closes the connection")
def configure_closing_service(context):
    context.ran = []

    async def run_and_close(request):
        if request.path != "/report":
            context.ran.append(request.method)
            return abort_connection(request)
        return web.json_response(["s0", "i", False, 0])

    context.app = web.Application()
    context.app.router.add_route("*", "/{tail:.*}", run_and_close)


@when("a GET, a POST and a DELETE are sent to it and to a port without a listener")
def call_service_and_closed_port(context):
    async def call():
        address, closed_port = loopback.free_addresses(2)
        async with listening(context.app, address):
            for place in (address, closed_port):
                service = HttpPlainService(place)
                for method in METHODS:
                    with contextlib.suppress(UpstreamError):
                        await service.report()
                    yield place == address, await outcome(service, method)
                await service.close()

    async def collect():
        return [seen async for seen in call()]

    context.seen = asyncio.run(collect())


@then(
    "those to the service have an unknown outcome and ran once, the others did not run"
)
def check_outcomes(context):
    sent = [(True, Ran.UNKNOWN)] * len(METHODS)
    assert context.seen == sent + [(False, Ran.NO)] * len(METHODS), context.seen
    assert context.ran == list(METHODS), context.ran


@given("a log that drops the next response")
def configure_lossy_log(context):
    context.fault = LogFault(lose_answers=1)


@given("a log in an outage")
def configure_log_outage(context):
    context.fault = LogFault(outage_s=loopback.TIMEOUT_S)


async def append(log, payload):
    try:
        return await log.append(payload)
    except PlatformError as error:
        return type(error)


def with_log(context, use):
    async def run():
        standin = make_log(retention=10)
        (address,) = loopback.free_addresses(1)
        async with listening(standin.app(), address):
            standin.fail(context.fault)
            log = connect_log(f"http://{address}")
            seen = await use(log)
            await log.close()
        return seen, standin.page(1, 10)

    context.seen, context.page = asyncio.run(run())


@when("a record is appended twice")
def append_twice(context):
    async def use(log):
        appended = [await append(log, b"a"), await append(log, b"a")]
        return appended, await log.read(1, limit=10, wait_s=0.0)

    with_log(context, use)


@then("the first append is uncertain, the second has offset 2 and both are read")
def check_uncertain_append(context):
    appended, page = context.seen
    assert appended == [AppendUncertainError, 2], appended
    assert [(r.offset, r.payload) for r in page.records] == [(1, b"a"), (2, b"a")]


@when("a record is appended")
def append_once(context):
    with_log(context, lambda log: append(log, b"a"))


@then("the append fails with a certain outcome and nothing is appended")
def check_outage(context):
    assert context.seen is PlatformError, context.seen
    assert context.page.records == ()


EVENT_BYTES, PIECE_BYTES = 100_000, 100
CHUNKS = st.builds(
    Chunk,
    request_id=st.binary(min_size=1).filter(lambda each: b"\n" not in each),
    position=st.integers(0, 10**6),
    data=st.binary().filter(lambda each: b"\n" not in each),
    kind=st.sampled_from(ChunkKind),
)


@then("encoded chunks split into arbitrary blocks are parsed unchanged")
def check_block_boundaries(context):
    @search_settings(derandomize=True, database=None, deadline=None)
    @given_example(st.lists(CHUNKS), st.lists(st.integers(1, 40), min_size=1))
    def search(chunks, sizes):
        wire = b"".join(encode_event(chunk) for chunk in chunks)
        parser, parsed_chunks, turn = EventParser(), [], 0
        while wire:
            size = sizes[turn % len(sizes)]
            turn += 1
            for batch in parser.feed(wire[:size]):
                parsed_chunks += batch
            wire = wire[size:]
        assert parsed_chunks == chunks
        # Bytes that had been kept would become a part of the next chunk.
        after = Chunk(b"after", 1, b"all", ChunkKind.TOKEN)
        assert list(parser.feed(encode_event(after))) == [[after]]

    search()


class CountedBytes(bytearray):
    """Counts the bytes that are appended to it, searched in it and copied from it."""

    def __init__(self, work, initial=b""):
        super().__init__(initial)
        self._work = work

    def __iadd__(self, block):
        self._work["appended"] += len(block)
        return super().__iadd__(block)

    def find(self, part, start=0):
        self._work["searched"] += len(self) - start
        return super().find(part, start)

    def __bytes__(self):
        self._work["copied"] += len(self)
        return bytes(memoryview(self))


def parsing_work(size):
    """Return the bytes of work for an event that is read in small pieces, by kind."""
    chunk = Chunk(b"r", 1, b"x" * size, ChunkKind.TOKEN)
    wire, work, parsed = encode_event(chunk), collections.Counter(), []
    buffer_type = functools.partial(CountedBytes, work)
    with mock.patch.object(events, "bytearray", buffer_type, create=True):
        parser = EventParser()
        for start in range(0, len(wire), PIECE_BYTES):
            for batch in parser.feed(wire[start : start + PIECE_BYTES]):
                parsed += batch
    assert parsed == [chunk]
    # A parser that does its work by other means would not be counted.
    assert all(work[kind] >= len(wire) for kind in ("appended", "searched")), work
    return work


@then("an event {times:d} times as long takes at most {most:d} times the work")
def check_linear(context, times, most):
    short, long = map(parsing_work, (EVENT_BYTES, EVENT_BYTES * times))
    assert long.total() <= most * short.total(), (short, long)


@then(
    "{count:d} events that are read at once are parsed in batches of at most {most:d}"
)
def check_batches(context, count, most):
    chunks = [Chunk(b"r", n, b"x", ChunkKind.TOKEN) for n in range(count)]
    batches = list(EventParser().feed(b"".join(map(encode_event, chunks))))
    assert sum(batches, []) == chunks
    assert max(map(len, batches)) <= most, [len(batch) for batch in batches]


@given("a replica of two engines")
def configure_replica(context):
    context.options = {}


def with_replica(context, use):
    async def run():
        async with loopback.running_upstreams() as upstreams:
            context.upstreams = upstreams
            addresses = list(upstreams.addresses_by_host.values())[:2]
            engines = [HttpEngine(address) for address in addresses]
            await loopback.form(engines, addresses)
            seen = await use(engines)
            for engine in engines:
                await engine.close()
            return seen

    context.seen = asyncio.run(run())


async def collect_chunks(engine, call):
    seen = []
    try:
        async for chunk in engine.generate(call):
            seen.append(chunk)
    except UpstreamError as error:
        return seen, error.ran
    return seen, None


@when(
    "calls are sent with the wrong incarnation, the wrong generation and the right ones"
)
def send_calls(context):
    async def use(engines):
        head = engines[0]
        incarnation = (await head.report()).incarnation
        options = [("other", 1), (incarnation, 2), (incarnation, 1)]
        return [
            await collect_chunks(
                head, loopback.model_call(incarnation=start, generation=generation)
            )
            for start, generation in options
        ]

    with_replica(context, use)


@then("only the last one ran, and its response is complete")
def check_only_last_ran(context):
    wrong_incarnation, wrong_generation, (chunks, failed) = context.seen
    assert wrong_incarnation == wrong_generation == ([], Ran.NO), context.seen
    prompt = read_prompt(loopback.model_call().body)
    tokens = [token_data(prompt.seed, position) for position in range(prompt.tokens)]
    assert [chunk.data for chunk in chunks] == [*tokens, b""], (chunks, failed)
    assert chunks[-1].kind is ChunkKind.END and answer(prompt)
    assert sum(context.upstreams.runs.report()["runs_by_key"].values()) == 1


@when("its second host crashes during a stream")
def kill_member(context):
    async def use(engines):
        stream = engines[0].generate(loopback.model_call(tokens=10_000))
        await anext(stream)
        fault = UpstreamFault(FaultKind.DEAD, ("e1",))
        killed = asyncio.create_task(context.upstreams.fail(fault))
        async with asyncio.timeout(loopback.TIMEOUT_S):
            *_, last = [chunk async for chunk in stream]
        await killed
        return last, await collect_chunks(engines[0], loopback.model_call())

    with_replica(context, use)


@then("the stream ends with an error chunk and the next call is refused as not run")
def check_member_lost(context):
    last, refused = context.seen
    assert last.kind is ChunkKind.ERROR, last
    assert refused == ([], Ran.NO), refused


@when("a long stream is closed after its first chunk")
def close_stream(context):
    async def use(engines):
        stream = engines[0].generate(loopback.model_call(tokens=10_000))
        await anext(stream)
        await loopback.until_reported(engines[0], lambda report: report.in_flight)
        await stream.aclose()
        await loopback.until_reported(engines[0], lambda report: not report.in_flight)
        return True

    with_replica(context, use)


@then("the engine reports no call in flight")
def check_cancelled(context):
    assert context.seen


@when("the calls sent at once exceed a cold engine's capacity by one")
def overload(context):
    async def use(engines):
        before = (await engines[0].report()).incarnation
        calls = [
            loopback.model_call(tokens=500, request_id=f"q{number}")
            for number in range(3)
        ]
        async with asyncio.timeout(loopback.TIMEOUT_S):
            answers = await asyncio.gather(
                *(collect_chunks(engines[0], call) for call in calls)
            )
            return before, (await engines[0].report()).incarnation, answers

    with_replica(context, use)


@then("the engine has a new incarnation and no response is complete")
def check_restart(context):
    before, after, answers = context.seen
    assert before != after
    assert all(ran is Ran.UNKNOWN for _, ran in answers), answers
    assert context.upstreams.runs.report()["collapses_by_host"] == {"e0": 1}
