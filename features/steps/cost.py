"""Steps for the choice by predicted cost, without a network."""

import asyncio
import json
from contextlib import ExitStack
from unittest.mock import Mock

import msgspec
from behave import given, then, when

from auburnproxy.clock import loop_time
from auburnproxy.errors import RefusalError
from auburnproxy.gateway.cost_model import RequestSize
from auburnproxy.gateway.health import UpstreamLoad
from auburnproxy.gateway.prompt_load import PromptLoad, RemotePrompts
from auburnproxy.gateway.scoring import CountScoring
from auburnproxy.heartbeats import DaemonRecord, Heartbeat, PeerGroup
from auburnproxy.heartbeats.heartbeat import unpack
from auburnproxy.store import Change
from auburnproxy.telemetry.decisions import DecisionLog
from features.fakes.fleet import ENGINE, SERVICE, configuration
from features.fakes.store import null_decisions
from features.steps.selection import make_fixture, run

USUAL = RequestSize(700, 170, 0.25, 0.2)


def configure(context, **changes):
    fixture = context.fixture
    version = fixture.directory.configuration.version + 1
    base = configuration(version)
    service = base.services_by_name[SERVICE]
    engine = ENGINE._replace(**changes)
    services = {SERVICE: service._replace(engine=engine)}
    changed = base._replace(services_by_name=services)
    run(context, lambda: fixture.directory.configure(changed))


def replica(context, name):
    replicas = context.fixture.directory.replicas()
    return next(each for each in replicas if each.head.id == name)


def start(context, name, size, *, events=1):
    """Send a request to a head, and return what tracks it."""
    fixture = context.fixture
    stack = ExitStack()
    fixture.stack.enter_context(stack)
    progress = stack.enter_context(fixture.selector.track(replica(context, name), size))
    begin = stack.enter_context(fixture.health.track_request(name, lambda: None))
    if events:
        begin()
        fixture.health.record_data(name)
    return stack, progress


def start_streams(context, name, count, *, tokens=100):
    async def send():
        for _ in range(count):
            size = RequestSize(tokens, 100, 0.25, 0.2)
            _, progress = start(context, name, size)
            await asyncio.sleep(0.06)
            progress.record_events(1, at=loop_time())

    run(context, send)


def start_reading(context, name, tokens):
    size = RequestSize(tokens, 100, 0.25, 0.2)
    run(context, lambda: start(context, name, size, events=0))


@given("two near heads of 10 slots whose engine publishes its times")
def make_heads(context):
    make_fixture(context, 2, 0, 10, load_aware=True)


@given("engine times that are not published")
def publish_nothing(context):
    configure(context, step_s=0.0)


@given("n0 reads a prompt of {tokens:d} tokens and n1 writes for {count:d} streams")
def load_prompt(context, tokens, count):
    start_streams(context, "n1", count)
    start_reading(context, "n0", tokens)


@given(
    "n0 writes for {first:d} streams and n1 for {second:d}, and n1 reads {count:d} "
    "prompts of {tokens:d} tokens"
)
def load_streams(context, first, second, count, tokens):
    start_streams(context, "n0", first)
    start_streams(context, "n1", second)
    for _ in range(count):
        start_reading(context, "n1", tokens)


@given("streams at n0 take {factor:d} times as long as at n1")
def slow_down(context, factor):
    async def stream(name, interval_s):
        stack, progress = start(context, name, USUAL)
        with stack:
            for _ in range(8):
                await asyncio.sleep(interval_s)
                progress.record_events(1, at=loop_time())

    async def serve():
        for _ in range(12):
            await stream("n1", 0.03)
            await stream("n1", 0.03)
            await stream("n0", factor * 0.03)

    run(context, serve)


@given("n0 takes {factor:d} times as long as predicted and n1 is excluded")
def slow_down_greatly(context, factor):
    slow_down(context, factor)
    health = context.fixture.health
    run(context, lambda: health.record_failure("n1", reason="test"))


@given("engines whose memory holds {tokens:d} tokens")
def limit_memory(context, tokens):
    configure(context, capacity_tokens=tokens)


@given("n0 holds {tokens:d} tokens of one stream and n1 writes for {count:d} streams")
def hold_tokens(context, tokens, count):
    start_streams(context, "n0", 1, tokens=tokens - 100)
    start_streams(context, "n1", count)


@when("n1 holds {tokens:d} tokens as well")
def hold_more(context, tokens):
    start_streams(context, "n1", 1, tokens=tokens - 100)


@given(
    "another daemon has {count:d} requests at n0 without an event, told without tokens"
)
def tell_counts(context, count):
    fixture = context.fixture
    fixture.remote_load["n0"] = (count, count)
    fixture.remote_prompts["n0"] = RemotePrompts(count, count, 0, 0, count, count)


@given(
    "another daemon has {count:d} requests at n1 without an event, of {tokens:d} "
    "tokens each"
)
def tell_tokens(context, count, tokens):
    fixture = context.fixture
    fixture.remote_load["n1"] = (count, count)
    fixture.remote_prompts["n1"] = RemotePrompts(
        count, count, count * tokens, 2 * count * tokens, 0, 0
    )


@when(
    "a request of {tokens:d} tokens comes with objectives of {first_ms:d} ms and "
    "{pause_ms:d} ms"
)
def choose(context, tokens, first_ms, pause_ms):
    context.size = RequestSize(tokens, 100, first_ms / 1000, pause_ms / 1000)
    context.chosen = context.refusal = None
    selector, health = context.fixture.selector, context.fixture.health

    def select():
        for name, load in health.load_by_host.items():
            if load.in_flight > load.unanswered:
                health.record_data(name)
        return selector.select_replica(SERVICE, "small", size=context.size)

    try:
        context.chosen = run(context, select).head.id
    except RefusalError as refusal:
        context.refusal = refusal


@when("{count:d} requests of {tokens:d} tokens come one after the other and stay")
def choose_many(context, count, tokens):
    context.choices = []
    for _ in range(count):
        choose(context, tokens, 250, 200)
        start_reading(context, context.chosen, tokens)
        context.choices.append(context.chosen)


@when("{seconds:d} s go by without a request")
def wait(context, seconds):
    run(context, lambda: asyncio.sleep(seconds))


@then("it goes to {name:w}")
def compare_chosen(context, name):
    assert context.chosen == name, context.chosen


@then("by counts it would go to n0")
def compare_counts(context):
    health = context.fixture.health
    counts = CountScoring(health, lambda host: (0, 0))
    scores = [
        counts.score(replica(context, name), context.size) for name in ("n0", "n1")
    ]
    assert scores[0] < scores[1], scores


@then("{name:w} has at least {count:d} of them")
def compare_most(context, name, count):
    assert context.choices.count(name) >= count, context.choices


@then("each head has {count:d} of them")
def compare_each(context, count):
    counts = [context.choices.count(name) for name in ("n0", "n1")]
    assert counts == [count, count], context.choices


@then("the correction of n0 is at most {most:d}")
def compare_correction(context, most):
    readings = run(context, lambda: list(context.fixture.scoring.readings()))
    slowest = next(r.value for r in readings if r.gauge == "slowest_upstream")
    assert 2 < slowest <= most, slowest


@then("it is refused with {code}, and the refusal names the tokens held")
def compare_refused(context, code):
    assert context.refusal.code == code, context.refusal
    held = context.refusal.inputs["held_tokens"]
    assert sorted(held)[0] >= 8000, held


@given("a daemon that counts tokens")
def make_peer_group(context):
    context.decisions = Mock(spec=DecisionLog)

    async def build():
        record = DaemonRecord("10.0.0.1:1", "fd1", "10.0.0.1:2")
        group = PeerGroup("d0", record, Mock(), Mock(), context.decisions)
        group.aggregate.counts_tokens = True
        return group

    context.peer_group = run(context, build)


@given("a daemon that counts tokens, with 1 request of 700 tokens at a head")
def make_sender(context):
    heartbeat = Heartbeat(
        *("d0", False, True, True, {"h": UpstreamLoad(1, 1, 0)}, {}, [], []),
        prompt_load_by_host={"h": PromptLoad(700, 900)},
    )

    async def build():
        record = DaemonRecord("10.0.0.1:1", "fd1", "10.0.0.1:2")
        group = PeerGroup("d0", record, Mock(), lambda: heartbeat, null_decisions())
        group.connection_made(Mock())
        for name, domain in (("near", "fd1"), ("far", "fd2")):
            record = DaemonRecord(f"{name}:1", domain, f"{name}:2")
            group._apply_record(Change(name, msgspec.json.encode(record), 1))
        return group

    context.peer_group = run(context, build)


@when("it sends heartbeats to a near and a far daemon")
def send_heartbeats(context):
    run(context, context.peer_group.send_heartbeats)


@then("both are told of the request, and only the near one of its tokens")
def compare_sent(context):
    sent = context.peer_group._transport.sendto.call_args_list
    told = {call.args[1][0]: unpack(call.args[0]) for call in sent}
    for name in ("near", "far"):
        assert told[name].load_by_host == {"h": UpstreamLoad(1, 1, 0)}, told
    assert told["near"].prompt_load_by_host == {"h": [700, 900]}, told
    assert told["far"].prompt_load_by_host == {}, told


@when(
    "a peer reports 2 requests at a head with {figures} as their tokens, "
    "{count:d} times"
)
def report_tokens(context, figures, count):
    heartbeat = ["d1", False, True, True, {"h": [2, 1, 0]}, {}, [], [], [], 0, {}, []]
    data = msgspec.msgpack.encode([*heartbeat, json.loads(figures)])

    async def send():
        for _ in range(count):
            context.peer_group.datagram_received(data, ("10.0.0.2", 1))

    run(context, send)


@then("2 requests are counted there, told without tokens")
def compare_untold(context):
    prompts = context.peer_group.aggregate.prompts_at("h")
    assert prompts == RemotePrompts(2, 1, 0, 0, 2, 1), prompts


@then("2 requests are counted there, with {unread:d} tokens unread and {held:d} held")
def compare_told(context, unread, held):
    prompts = context.peer_group.aggregate.prompts_at("h")
    assert prompts == RemotePrompts(2, 1, unread, held, 0, 0), prompts


@then("one line of the log says that its tokens are unreadable")
def compare_logged(context):
    kinds = [call.args[0] for call in context.decisions.belief.call_args_list]
    assert kinds.count("beat_tokens_unreadable") == 1, kinds
    assert "beat_unreadable" not in kinds, kinds
