"""Steps for stopping daemons on the product's own platform, as real processes."""

import asyncio
import contextlib
import re
import signal
import tempfile
from pathlib import Path
from typing import NamedTuple

import msgspec
from aiohttp import ClientError
from behave import given, then, when

from auburnproxy.configuration import Configuration
from auburnproxy.external.http import connect_log
from auburnproxy.journal import Journal
from auburnproxy.membership import Roster
from auburnproxy.membership.roster import LEAVE
from features import loopback
from features.steps.processes import (
    KEY,
    MODEL,
    PLAN,
    SERVICE,
    SHARE_REPORT_S,
    SLOTS,
    RunningSite,
)
from standins.callers import Result
from standins.deployment import (
    DAEMON_MODULE,
    OPERATOR_KEY,
    ModelShape,
    PlanShape,
    Shape,
    write_deployment,
)
from standins.load import PlanLoad
from standins.processes import processes

STEP_S = 0.02
"""Time between two tokens."""
ORDER_MS = 1000.0
LONG_ORDER_MS = 10_000.0
HUNG_LOG_MS = 20_000.0
SLOW_LOG_MS = 300.0
CHANGE_SENT_S = 2.0
"""Time after which an operator's change has been sent completely."""
SETTLE_S = 0.3
"""Time for requests that were just sent to be in flight."""
SIGNAL_PAUSE_S = 0.3
BALANCER_S = 1.0
"""Time after SIGTERM during which each call must be taken."""
SUSPENDED_S = 2.0
POLL_S = 0.05
EXIT_WAIT_S = 10.0
"""Time beyond the stop budget that the steps wait for an exit."""
START_MOMENTS_S = (0.0, 0.1, 0.3, 0.5, 0.7, 1.0)
"""Times after the start of the process at which SIGTERM is sent."""
START_STOP_S = 2.0
"""Stop budget of daemons that are stopped while they start."""
CUT_OFF_LINE = re.compile(r"cut off after (?P<age>[\d.]+) s, (?P<phase>\w+)")
HTTP_UNAVAILABLE = 503
HTTP_BAD_GATEWAY = 502


def make_shape(stop_s, *, order_ms=ORDER_MS):
    """Return two daemons, each with half of the slots of two replicas."""
    plan = PlanLoad(PLAN, KEY, (MODEL,), SERVICE)
    return Shape(
        models=(ModelShape(MODEL, 2, 2),),
        plans=(PlanShape(plan, concurrent=64),),
        failure_domains=1,
        engines=4,
        fabric_domains=1,
        drain_s=stop_s,
        engine={
            "slots": SLOTS,
            "cold_slots": SLOTS,
            "step_ms": 1000 * STEP_S,
            "step_growth": 0.0,
            "load_s": 0.1,
            "warm_calls": 1_000_000,
            "warm_s": 1_000_000.0,
        },
        plain_service={"slots": 8, "cold_slots": 8, "answer_ms": order_ms},
    )


class Exit(NamedTuple):
    """How a daemon's process ended."""

    code: int | None
    after_s: float
    """Time since its first SIGTERM."""


class Refusal(NamedTuple):
    """Refusal of a request."""

    status: int
    code: str
    ran: str


class StoppingSite(RunningSite):
    """Two running daemons that get signals while requests are in flight."""

    def __init__(self, running):
        super().__init__(running)
        self.terminated_at = {}

    def terminate(self, daemon):
        now = asyncio.get_running_loop().time()
        self.terminated_at.setdefault(daemon.name, now)
        self.signal(daemon, signal.SIGTERM)

    async def until_exit(self, daemon):
        process = self.running.processes.by_name[daemon.name]
        shape = self.running.deployment.shape
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(shape.drain_s + EXIT_WAIT_S):
                await process.wait()
        now = asyncio.get_running_loop().time()
        return Exit(process.returncode, now - self.terminated_at[daemon.name])

    def long_stream(self, daemon, request_id, lasts_s):
        return self.stream(daemon, request_id, round(lasts_s / STEP_S))

    async def read_refusal(self, daemon, request_id, path, body, **headers):
        """Send a request that must end as a refusal."""
        url = f"http://{daemon.callers}{path}"
        sent = {"Authorization": f"Bearer {KEY}", "X-Request-Id": request_id}
        async with self.running.session.post(
            url, data=body, headers=sent | headers
        ) as response:
            error = msgspec.json.decode(await response.read())["error"]
            return Refusal(response.status, error["code"], error["ran"])

    async def mark_out(self, daemon, host, resume):
        """Take a host out of service, and return the status and the verdict.

        The second half of the request is sent after an event.
        """
        url = f"http://{daemon.internal}/operator/mark"
        headers = {"Authorization": f"Bearer {OPERATOR_KEY}"}
        body = msgspec.json.encode({"out": True, "host": host})
        async with self.running.session.post(
            url, data=in_two_parts(body, resume), headers=headers
        ) as response:
            return response.status, (await response.json())["verdict"]

    async def is_ready(self, daemon):
        url = f"http://{daemon.callers}/readyz"
        try:
            async with self.running.session.get(url) as response:
                return response.ok
        except ClientError:
            return False

    def log_lines(self, daemon):
        return self.running.processes.log(daemon.name).read_text().splitlines()

    async def forwarded(self, daemon):
        """Return how many calls a daemon has forwarded to peers."""
        async with self.running.session.get(
            f"http://{daemon.callers}/metrics"
        ) as response:
            lines = (await response.text()).splitlines()
        counts = [x for x in lines if x.startswith("auburnproxy_forwarded_total")]
        return sum(float(line.split()[-1]) for line in counts)

    async def append_leave(self, daemon):
        """Append a record to the log that a daemon has left its group."""
        log = connect_log(f"http://{self.running.deployment.log}")
        roster = Roster()
        journal = Journal(log, [roster, Configuration()], author="operator")
        following = asyncio.create_task(journal.run())
        async with asyncio.timeout(loopback.TIMEOUT_S):
            while not journal.ready:  # noqa: ASYNC110
                await asyncio.sleep(POLL_S)
        members = roster.members(daemon.failure_domain)
        (member,) = [each for each in members if each.name == daemon.name]
        outcome = await journal.propose(
            LEAVE, {"member": member.id}, expects={}, timeout_s=loopback.TIMEOUT_S
        )
        following.cancel()
        await asyncio.gather(following, return_exceptions=True)
        await log.close()
        assert outcome.accepted, outcome

    def stops(self, daemon):
        return any("Draining" in line for line in self.log_lines(daemon))


def chat_body(tokens, *, stream=False):
    messages = [{"role": "user", "content": "A quote."}]
    call = {"model": MODEL, "messages": messages}
    return msgspec.json.encode(call | {"max_tokens": tokens, "stream": stream})


async def in_two_parts(body, resume):
    """Yield a body's first half, and the second half after an event."""
    half = len(body) // 2
    yield body[:half]
    await resume.wait()
    yield body[half:]


def play(context, scene, **options):
    async def run():
        shape = make_shape(context.stop_s, **options)
        async with loopback.serving(shape) as running:
            site = StoppingSite(running)
            seen = await scene(site)
            for daemon in (site.first, site.second):
                site.signal(daemon, signal.SIGKILL)
            return seen

    context.seen = asyncio.run(run())


def assert_stopped(context, stopped):
    assert stopped.code == 0, stopped
    assert stopped.after_s < context.stop_s, stopped


@given("daemons that must exit within {stop_s:d} s of a stop signal")
def set_stop_budget(context, stop_s):
    context.stop_s = stop_s


@when("one gets SIGTERM, SIGHUP and SIGTERM while requests of each kind are in flight")
def signal_repeatedly(context):
    async def scene(site):
        first, resume = site.first, asyncio.Event()
        body = in_two_parts(chat_body(3), resume)
        headers = {"Authorization": f"Bearer {KEY}"}

        async def send_slowly():
            url = f"http://{first.callers}/v1/chat/completions"
            async with site.running.session.post(
                url, data=body, headers=headers
            ) as response:
                return response.status, len(await response.read())

        requests = [
            site.long_stream(first, "streamed", 3.0),
            site.order(first, "ordered"),
        ]
        slow_body = asyncio.create_task(send_slowly())
        await site.started.wait()
        await site.until_run("ordered")
        for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM):
            if number == signal.SIGTERM:
                site.terminate(first)
            else:
                site.signal(first, number)
            await asyncio.sleep(SIGNAL_PAUSE_S)
        resume.set()
        answers = await asyncio.gather(*requests, slow_body, return_exceptions=True)
        return answers, await site.until_exit(first)

    play(context, scene)


@then("each of them is answered whole, and it exits with 0 in time")
def check_repeated_signals(context):
    (streamed, ordered, slow_body), stopped = context.seen
    assert streamed.result is Result.WHOLE, streamed
    assert ordered.result is Result.WHOLE, ordered
    assert slow_body[0] == 200 and slow_body[1] > 0, slow_body
    assert_stopped(context, stopped)


@when("one gets SIGTERM while calls keep arriving")
def call_while_stopping(context):
    async def scene(site):
        loop, first = asyncio.get_running_loop(), site.first
        stream = site.long_stream(first, "long", 4.0)
        await site.started.wait()
        site.terminate(first)
        await asyncio.sleep(SIGNAL_PAUSE_S)
        ready = await site.is_ready(first)
        late = []
        while not stream.done():
            after_s = loop.time() - site.terminated_at[first.name]
            answer = await site.stream(first, f"late-{len(late)}", 1)
            late.append((after_s, answer))
            await asyncio.sleep(0.1)
        return (
            await stream,
            ready,
            late,
            await site.runs(),
            await site.until_exit(first),
        )

    play(context, scene)


@then("it is not ready at once, and takes calls for 1 s more")
def check_taken(context):
    stream, ready, late, _, stopped = context.seen
    assert not ready
    assert stream.result is Result.WHOLE, stream
    taken = [answer for after_s, answer in late if after_s < BALANCER_S]
    assert taken
    assert all(answer.result is Result.WHOLE for answer in taken), late
    assert_stopped(context, stopped)


@then("it refuses later calls, which never run")
def check_refused(context):
    _, _, late, runs, _ = context.seen
    refused = [answer for _, answer in late if answer.result is Result.REFUSED]
    assert refused, late
    assert not any(answer.key in runs["runs_by_key"] for answer in refused), refused
    whole = [answer for _, answer in late if answer.result is Result.WHOLE]
    assert len(refused) + len(whole) == len(late), late


@when("one gets SIGTERM while the log hangs and requests of each kind outlast the stop")
def outlast(context):
    async def scene(site):
        first, second = site.first, site.second
        endless, never = 4 * context.stop_s, asyncio.Event()
        chat = "/v1/chat/completions"
        streams = [
            site.long_stream(daemon, f"streamed-{daemon.name}-{n}", endless)
            for daemon in (first, second)
            for n in range(SLOTS - 1)
        ]
        tokens = round(endless / STEP_S)
        whole = asyncio.create_task(
            site.read_refusal(first, "unstreamed", chat, chat_body(tokens))
        )
        streams.append(site.long_stream(second, "filling", endless))
        order = asyncio.create_task(
            site.read_refusal(
                first,
                "ordered",
                f"/v1/services/{SERVICE}/orders",
                b'{"order":"ordered"}',
                **{"Idempotency-Key": "ordered"},
            )
        )
        await asyncio.sleep(SHARE_REPORT_S)
        await site.until_run("ordered")
        waiting = asyncio.create_task(
            site.read_refusal(first, "waiting", chat, chat_body(3))
        )
        reading = asyncio.create_task(
            site.read_refusal(first, "reading", chat, in_two_parts(chat_body(3), never))
        )
        await asyncio.sleep(SETTLE_S)
        await site.slow_log(HUNG_LOG_MS)
        site.terminate(first)
        stopped = await site.until_exit(first)
        others = (whole, order, waiting, reading)
        refusals = await asyncio.gather(*others, return_exceptions=True)
        cut = await asyncio.gather(*streams[: SLOTS - 1])
        for stream in streams:
            stream.cancel()
        by_kind = dict(
            zip(("unstreamed", "ordered", "waiting", "reading"), refusals, strict=True)
        )
        return cut, by_kind, stopped, site.log_lines(first)

    play(context, scene, order_ms=LONG_ORDER_MS)


@then("each is told whether it may have run, and no answer looks complete")
def check_told(context):
    cut, by_kind, _, _ = context.seen
    for answer in cut:
        told = answer.result is Result.UNKNOWN and answer.detail == "error event"
        assert told, cut
    for kind in ("unstreamed", "ordered"):
        expected = (HTTP_BAD_GATEWAY, "stopped", "unknown")
        assert by_kind[kind] == expected, by_kind
    for kind in ("waiting", "reading"):
        assert by_kind[kind] == (HTTP_UNAVAILABLE, "draining", "no"), by_kind


@then("the log names each of them with its age and how far it had come")
def check_cut_off_lines(context):
    cut, _, _, lines = context.seen
    phase_by_id = {
        "unstreamed": "at_upstream",
        "ordered": "at_upstream",
        "waiting": "waiting_for_upstream",
        "reading": "reading_body",
    }
    phase_by_id |= {f"streamed-fd1-a-{n}": "at_upstream" for n in range(len(cut))}
    for request_id, phase in phase_by_id.items():
        named = [line for line in lines if f"[{request_id}]" in line]
        found = [match for line in named if (match := CUT_OFF_LINE.search(line))]
        assert len(found) == 1, (request_id, named, lines[-20:])
        assert found[0]["phase"] == phase, (request_id, named)


@then("it exits with 0 in time")
def check_exit(context):
    assert_stopped(context, context.seen[2])


@when("one gets SIGTERM while an order and an operator's change are under way")
def order_while_stopping(context):
    async def scene(site):
        order = site.order(site.first, "ordered")
        await site.until_run("ordered")
        await site.slow_log(SLOW_LOG_MS)
        resume = asyncio.Event()
        asyncio.get_running_loop().call_later(CHANGE_SENT_S, resume.set)
        change = asyncio.create_task(site.mark_out(site.first, "fd1-e04", resume))
        await asyncio.sleep(SETTLE_S)
        site.terminate(site.first)
        stopped = await site.until_exit(site.first)
        await site.slow_log(0.0)
        again = await site.order(site.second, "ordered")
        (context.change,) = await asyncio.gather(change, return_exceptions=True)
        return await order, again, stopped, await site.runs()

    play(context, scene)


@then("the order is answered whole, and again by the other daemon, and ran once")
def check_order(context):
    order, again, stopped, runs = context.seen
    assert order.result is Result.WHOLE, order
    assert again.result is Result.WHOLE, again
    assert runs["orders_by_key"]["ordered"] == 1, runs["orders_by_key"]
    assert_stopped(context, stopped)


@then("the operator is told that the change is in force")
def check_change(context):
    assert context.change == (200, "accepted"), context.change


@when("a daemon and the peer that runs some of its streams get SIGTERM")
def stop_with_peer(context):
    async def scene(site):
        first, second = site.first, site.second
        own = [site.long_stream(first, f"own-{n}", 5.0) for n in range(SLOTS)]
        await asyncio.sleep(SHARE_REPORT_S)
        forwarded = [site.long_stream(first, f"far-{n}", 3.0) for n in range(2)]
        await asyncio.sleep(SETTLE_S)
        assert await site.forwarded(first) >= len(forwarded)
        site.terminate(second)
        await asyncio.sleep(SIGNAL_PAUSE_S)
        site.terminate(first)
        stopped = [await site.until_exit(daemon) for daemon in (second, first)]
        return await asyncio.gather(*own, *forwarded), stopped

    play(context, scene)


@then("each of the streams is complete, and both exit with 0 in time")
def check_complete(context):
    answers, exits = context.seen
    assert all(answer.result is Result.WHOLE for answer in answers), answers
    for stopped in exits:
        assert_stopped(context, stopped)


@when("the peer that runs some of a daemon's streams stops before they are complete")
def outlast_peer(context):
    async def scene(site):
        first, second = site.first, site.second
        own = [site.long_stream(first, f"own-{n}", 4.0) for n in range(SLOTS)]
        await asyncio.sleep(SHARE_REPORT_S)
        lasts_s = context.stop_s + 2.0
        forwarded = [site.long_stream(first, f"far-{n}", lasts_s) for n in range(2)]
        await asyncio.sleep(SETTLE_S)
        assert await site.forwarded(first) >= len(forwarded)
        site.terminate(second)
        stopped = await site.until_exit(second)
        return await asyncio.gather(*own, *forwarded), [stopped]

    play(context, scene)


@when("the log says that a daemon has left, and SIGTERM follows while it drains")
def expel(context):
    async def scene(site):
        first = site.first
        streams = [site.long_stream(first, f"long-{n}", 5.0) for n in range(2)]
        await asyncio.sleep(SETTLE_S)
        site.terminated_at[first.name] = asyncio.get_running_loop().time()
        await site.append_leave(first)
        async with asyncio.timeout(loopback.TIMEOUT_S):
            while not site.stops(first):  # noqa: ASYNC110
                await asyncio.sleep(POLL_S)
        site.terminate(first)
        stopped = await site.until_exit(first)
        return await asyncio.gather(*streams), [stopped]

    play(context, scene)


@then("each of the streams is complete, and it exits with 0 in time")
def check_expelled(context):
    check_complete(context)


@when("one gets SIGTERM while it is suspended for 2 s with a stream in flight")
def stop_suspended(context):
    async def scene(site):
        first = site.first
        stream = site.long_stream(first, "long", 4 * context.stop_s)
        await site.started.wait()
        site.signal(first, signal.SIGSTOP)
        site.terminate(first)
        await asyncio.sleep(SUSPENDED_S)
        site.signal(first, signal.SIGCONT)
        stopped = await site.until_exit(first)
        return await stream, stopped

    play(context, scene)


@then("the stream ends with an error event, and it exits with 0 in time")
def check_suspended(context):
    answer, stopped = context.seen
    assert answer.result is Result.UNKNOWN, answer
    assert answer.detail == "error event", answer
    assert_stopped(context, stopped)


@when("daemons get SIGTERM at moments of their start")
def stop_during_start(context):
    async def start_and_stop(folder, moment_s):
        folder.mkdir()
        shape = make_shape(START_STOP_S)
        deployment = write_deployment(shape, folder)
        name = deployment.daemons[0].name
        async with processes(folder) as running:
            settings = str(deployment.settings_file(name))
            process = await running.start(name, DAEMON_MODULE, "--settings", settings)
            await asyncio.sleep(moment_s)
            running.signal(name, signal.SIGTERM)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(START_STOP_S):
                    await process.wait()
            return moment_s, process.returncode, running.log(name).read_text()

    async def scene():
        with tempfile.TemporaryDirectory() as name:
            return [
                await start_and_stop(Path(name) / str(number), moment_s)
                for number, moment_s in enumerate(START_MOMENTS_S)
            ]

    context.seen = asyncio.run(scene())


@then("each has ended in time without a traceback")
def check_start_stopped(context):
    for moment_s, code, log in context.seen:
        assert code in (0, -signal.SIGTERM), (moment_s, code, log)
        assert "Traceback" not in log, (moment_s, log)
