"""Steps for daemons that are partitioned from all upstreams."""

import asyncio
import contextlib
import time
from collections import Counter

from aiohttp import ClientConnectorError, ConnectionTimeoutError
from behave import given, then, when

from features.steps.malformed_responses import WHOLE_STREAM
from features.steps.malformed_responses import ask as send
from features.steps.routed import (
    PEER_DISCOVERY_S,
    RequestResult,
    open_site,
    request_stream,
    run,
)


def partition(context, daemon, how):
    """Let a daemon's new connections to upstreams fail, but not those to its peers."""
    context.cut = True
    commands = daemon.engine_commands._engine_commands
    for session in (daemon._session, commands._session):
        cut_off(context, session.connector, how)


def cut_off(context, connector, how):
    """Let connections to upstreams fail while ``context.cut`` is set."""
    upstreams = {engine.address for engine in context.site.engines.values()}
    connect = connector.connect

    async def connect_unless_cut(request, traces, timeout):
        address = f"{request.url.host}:{request.url.port}"
        if address not in upstreams or not context.cut:
            return await connect(request, traces, timeout)
        if how == "are refused":
            error = ConnectionRefusedError(111, "Connection refused")
            raise ClientConnectorError(request.connection_key, error)
        await asyncio.sleep(timeout.sock_connect)
        raise ConnectionTimeoutError("timeout")

    connector.connect = connect_unless_cut


@given("a gateway site with {count:d} engines of each kind and two daemons")
def start_two(context, count):
    open_site(context, engines=count)

    async def add():
        await context.site.add_daemon("d2")
        await asyncio.sleep(PEER_DISCOVERY_S)

    run(context, add())
    context.results = []


@when("the first daemon's connections to upstreams {how}")
def cut_first(context, how):
    partition(context, context.site.daemons[0], how)


@when("both daemons' connections to upstreams are refused")
def cut_both(context):
    for daemon in context.site.daemons:
        partition(context, daemon, "are refused")


@when("its connections work again for {seconds:g} s")
def heal(context, seconds):
    context.cut = False
    run(context, asyncio.sleep(seconds))


async def ask(context, request):
    context.results.append(await send(context, request, ""))


@when("it gets a {request} {count:d} times")
def ask_first(context, request, count):
    context.forwarded_before = forwarded_count(context)
    for _ in range(count):
        run(context, ask(context, request))


@when("it gets a stream {count:d} times at once")
def ask_at_once(context, count):
    async def ask_all():
        await asyncio.gather(*(ask(context, "stream") for _ in range(count)))

    run(context, ask_all())


def forwarded_count(context):
    """Return the requests that the second daemon has handled for the first one."""
    return context.site.daemons[1].frontend.served


@then("each of the last {count:d} gets the whole answer of an engine")
def compare_last_whole(context, count):
    for result in context.results[-count:]:
        assert (result.status, result.body) == (200, result.whole), vars(result)
        assert "Engine-Stamp" in result.headers and not result.broken, result.headers


@then("each gets the whole answer of an engine, and has run once")
def compare_whole(context):
    compare_last_whole(context, len(context.results))
    ran = Counter(i for engine in context.site.engines.values() for i in engine.ran)
    assert len(ran) == len(context.results), (len(ran), len(context.results))
    assert set(ran.values()) == {1}, ran


@then("from the second one on, each takes less than {seconds:g} s")
def compare_times(context, seconds):
    times = [round(result.took_s, 3) for result in context.results[1:]]
    assert max(times) < seconds, times


@then("the second daemon takes no upstream for ended or suspect")
def compare_peers_view(context):
    peer = context.site.daemons[1]

    async def find():
        await asyncio.sleep(0.5)
        hosts = peer.directory.hosts.values()
        return [h.id for h in hosts if peer.exits.has_ended(h.incarnation)]

    ended = run(context, find())
    assert not ended and not peer.peer_group.aggregate.suspects, ended


@then("none of the last {count:d} went through the peer")
def compare_direct(context, count):
    assert forwarded_count(context) == context.forwarded_before


@then(
    "each is refused with status {status:d} in less than {seconds:g} s and has not run"
)
def compare_refused(context, status, seconds):
    for result in context.results:
        assert result.status == status, (result.status, result.body)
        assert "Retry-After" in result.headers, result.headers
    assert max(result.took_s for result in context.results) < seconds
    assert not any(engine.ran for engine in context.site.engines.values())


@when("its peer is lost {moment}")
def lose_peer(context, moment):
    peer = context.site.daemons[1]
    handle = peer.frontend._plain.forward

    async def lose(call, retry_limit):
        if moment.startswith("before"):
            await handle(call, retry_limit)
            call.http.transport.abort()
        return await handle(call, retry_limit)

    peer.frontend._plain.forward = lose
    if moment.startswith("in"):
        for engine in context.site.engines.values():
            engine.script = ["close halfway"]


@then("it is told with 502 that it may have run")
def compare_unknown(context):
    result = context.results[-1]
    assert result.status == 502, (result.status, result.body)
    ran = Counter(i for engine in context.site.engines.values() for i in engine.ran)
    assert max(ran.values()) == 1, ran


@then("it does not look complete")
def compare_broken(context):
    result = context.results[-1]
    assert result.broken, (result.status, result.body)
    assert WHOLE_STREAM.startswith(result.body), result.body


@when("a caller leaves a long stream there")
def leave(context):
    for engine in context.site.engines.values():
        engine.event_interval_s = 0.3

    async def leave_early():
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(0.5):
                await request_stream(RequestResult(context))
        context.left_at = time.monotonic()

    run(context, leave_early())


@then("the engine's work has ended within {seconds:g} s")
def compare_left(context, seconds):
    run(context, asyncio.sleep(seconds + 0.3))
    streams = [e for name, e in context.site.engines.items() if name[0] == "e"]
    ended = [at for engine in streams for at in engine.worked_until.values()]
    assert len(ended) == 1 and ended[0] - context.left_at < seconds, ended
