"""Steps for daemons that run as real processes."""

import asyncio
import signal
import tempfile
from pathlib import Path

import msgspec
from behave import given, then, when

from features import loopback
from soak.site import DaemonProcess
from standins.callers import Caller, Result, Timing, call_model, call_order
from standins.deployment import ModelShape, PlanShape, Shape
from standins.load import PlanLoad, fetch_runs
from standins.log import LogFault

MODEL, KEY, SERVICE, PLAN = "quilt", "a-key", "depot", "p"
STREAM_TOKENS = 250
SHORT_TOKENS = 3
SLOTS = 4
"""Maximum concurrent calls of an engine; one more overloads it."""
FROZEN_STREAMS = 4
"""Streams of the suspended daemon, which use its whole share of two replicas."""
PEER_CALLERS = 12
"""Callers of its peer, far more than the share of the peer."""
FREEZE_S = 4.0
SHARE_REPORT_S = 2.0
"""Seconds within which a peer's heartbeats show that its share is used up."""
FROZEN_STREAM_TOKENS = 450
EXIT_TIMEOUT_S = 20.0
RESEND_ROUNDS = 3
SHAPE = Shape(
    models=(ModelShape(MODEL, 2, 2),),
    plans=(PlanShape(PlanLoad(PLAN, KEY, (MODEL,), SERVICE), concurrent=64),),
    failure_domains=1,
    engines=4,
    fabric_domains=1,
    engine={
        "slots": SLOTS,
        "cold_slots": SLOTS,
        "step_ms": 20.0,
        "load_s": 0.1,
        "warm_calls": 1_000_000,
        "warm_s": 1_000_000.0,
    },
    plain_service={"slots": 8, "cold_slots": 8, "answer_ms": 1000.0},
)


class RunningSite:
    """Sends calls and signals to the two daemons of a running deployment."""

    def __init__(self, running):
        self.running = running
        self.first, self.second = running.deployment.daemons
        self.started = asyncio.Event()

    def caller(self, daemon, deadline_s=30.0):
        url = f"http://{daemon.callers}"
        return Caller(self.running.session, lambda: url, KEY, deadline_s)

    def stream(self, daemon, request_id, tokens=STREAM_TOKENS):
        timing = Timing(lambda _: self.started.set(), lambda _: None)
        call = call_model(
            self.caller(daemon), request_id, model=MODEL, tokens=tokens, timing=timing
        )
        return asyncio.create_task(call)

    def order(self, daemon, key):
        call = call_order(self.caller(daemon, 5.0), key, service=SERVICE)
        return asyncio.create_task(call)

    def signal(self, daemon, number):
        self.running.processes.signal(daemon.name, number)

    async def runs(self):
        domain = self.running.deployment.domains[0]
        return await fetch_runs(self.running.session, [f"http://{domain.control}"])

    async def until_run(self, key):
        async with asyncio.timeout(loopback.TIMEOUT_S):
            while True:
                if (await self.runs())["orders_by_key"].get(key):
                    return
                await asyncio.sleep(0.02)

    async def slow_log(self, slow_ms):
        url = f"http://{self.running.deployment.log}/fault"
        body = msgspec.json.encode(LogFault(slow_ms=slow_ms))
        async with self.running.session.post(url, data=body) as response:
            assert response.ok


def with_site(use):
    async def run():
        async with loopback.serving(SHAPE) as running:
            return await use(RunningSite(running))

    return asyncio.run(run())


@given("two daemons with engines that generate a token every 20 ms")
@given("two daemons with a service that takes a second per order")
def check_shape(context):
    assert SHAPE.daemons == 2


@when("one gets SIGTERM while it serves three streams and new calls keep arriving")
def terminate(context):
    async def use(site):
        streams = [site.stream(site.first, f"long-{n}") for n in range(3)]
        await site.started.wait()
        await asyncio.sleep(0.2)
        site.signal(site.first, signal.SIGTERM)
        late = []
        while not all(stream.done() for stream in streams):
            late.append(await site.stream(site.first, f"late-{len(late)}", 1))
            await asyncio.sleep(0.1)
        async with asyncio.timeout(EXIT_TIMEOUT_S):
            code = await site.running.processes.by_name[site.first.name].wait()
        return [await each for each in streams], late, code, await site.runs()

    context.seen = with_site(use)


@then("its streams are complete, it exits with 0, and no call that it refused ran")
def check_terminated(context):
    streams, late, code, runs = context.seen
    assert [each.result for each in streams] == [Result.WHOLE] * 3, streams
    assert code == 0, code
    refused = [each for each in late if each.result is Result.REFUSED]
    assert refused, late
    assert not any(each.key in runs["runs_by_key"] for each in refused), refused
    answered = [each for each in late if each.result is not Result.REFUSED]
    assert all(each.result is Result.WHOLE for each in answered), answered


async def claim_and_kill(site, key, *, slow_ms=0.0):
    """Send an order and kill its daemon: early on a slow log, else while it runs."""
    await site.slow_log(slow_ms)
    order = site.order(site.first, key)
    if slow_ms:
        await asyncio.sleep(slow_ms / 2000)
    else:
        await site.until_run(key)
    site.signal(site.first, signal.SIGKILL)
    await site.running.processes.by_name[site.first.name].wait()
    await site.slow_log(0.0)
    return await order


async def restart(site):
    await site.running.start_daemon(site.first.name)
    async with asyncio.timeout(loopback.TIMEOUT_S):
        await site.running.until_ready(site.first.callers)


@when(
    "a daemon is killed while an order is being claimed, and again while an order runs"
)
def kill(context):
    context.kill = True


@when("the same orders are sent again to the other daemon and to the restarted one")
def send_again(context):
    async def use(site):
        cut = [await claim_and_kill(site, "claimed", slow_ms=600.0)]
        await restart(site)
        cut.append(await claim_and_kill(site, "running"))
        await restart(site)
        again = []
        for _ in range(RESEND_ROUNDS):
            for key in ("claimed", "running"):
                for daemon in (site.first, site.second):
                    again.append(await site.order(daemon, key))
        return cut, again, await site.runs()

    assert context.kill
    context.seen = with_site(use)


@then("no order ran twice, and the one that ran is not reported as not executed")
def check_orders(context):
    cut, again, runs = context.seen
    ran = runs["orders_by_key"]
    assert all(each.result is not Result.WHOLE for each in cut), cut
    assert ran["running"] == 1 and ran.get("claimed", 0) <= 1, ran
    of_running = [each.result for each in again if each.key == "running"]
    assert set(of_running) == {Result.UNKNOWN}, again
    of_claimed = {each.result for each in again if each.key == "claimed"}
    assert Result.WHOLE not in of_claimed or ran["claimed"] == 1, (again, ran)


async def send_calls_until(site, name, ends_at):
    answers = []
    while asyncio.get_running_loop().time() < ends_at:
        request_id = f"{name}-{len(answers)}"
        answers.append(await site.stream(site.second, request_id, SHORT_TOKENS))
    return answers


@when(
    "one gets SIGSTOP for four seconds while it serves its share and its peer is full"
)
def freeze(context):
    async def use(site):
        streams = [
            site.stream(site.first, f"held-{n}", FROZEN_STREAM_TOKENS)
            for n in range(FROZEN_STREAMS)
        ]
        await asyncio.sleep(SHARE_REPORT_S)
        site.signal(site.first, signal.SIGSTOP)
        ends_at = asyncio.get_running_loop().time() + FREEZE_S
        callers = [
            send_calls_until(site, f"caller-{n}", ends_at) for n in range(PEER_CALLERS)
        ]
        meanwhile = await asyncio.gather(*callers)
        site.signal(site.first, signal.SIGCONT)
        own = [await stream for stream in streams]
        async with asyncio.timeout(loopback.TIMEOUT_S):
            await site.running.until_ready(site.first.callers)
        after = await site.stream(site.first, "after", SHORT_TOKENS)
        return own, sum(meanwhile, []), after, await site.runs()

    context.seen = with_site(use)


@then(
    "its peer answers meanwhile, its streams are complete, and no engine is overloaded"
)
def check_frozen(context):
    own, meanwhile, after, runs = context.seen
    assert not runs["collapses_by_host"], runs["collapses_by_host"]
    assert [each.result for each in own] == [Result.WHOLE] * FROZEN_STREAMS, own
    assert after.result is Result.WHOLE, after
    assert meanwhile
    assert all(each.result is Result.WHOLE for each in meanwhile), meanwhile


START_TIMEOUT_S = 20.0
HANGUP_BIT = 1 << (signal.SIGHUP - 1)


class StartingDaemon:
    """A gateway daemon without a reachable store, to test its start."""

    def __init__(self, folder):
        self.log = Path(folder) / "d0.log"
        (address,) = loopback.free_addresses(1)
        self.process = DaemonProcess(0, "z0", address, Path(folder))

    def started(self):
        return '"kind":"started"' in self.log.read_text()

    def ignores_hangup(self):
        """Return whether the process ignores SIGHUP; it may have ended already."""
        status = Path(f"/proc/{self.process._process.pid}/status").read_text()
        (mask,) = [x.split()[1] for x in status.splitlines() if x.startswith("SigIgn")]
        return bool(int(mask, 16) & HANGUP_BIT)

    async def until(self, condition):
        async with asyncio.timeout(START_TIMEOUT_S):
            while not condition():
                assert self.process.runs, self.log.read_text()
                await asyncio.sleep(0.002)


@given("a gateway daemon in a process that was just started")
def begin_process(context):
    context.folder = tempfile.TemporaryDirectory()
    context.add_cleanup(context.folder.cleanup)
    context.starting = StartingDaemon(context.folder.name)


@when("it gets SIGHUP before it has started")
def hang_up_before_start(context):
    async def play():
        starting = context.starting
        await starting.process.start()
        try:
            await starting.until(
                lambda: starting.started() or starting.ignores_hangup()
            )
            context.early = not starting.started()
            starting.process.send(signal.SIGHUP)
            await starting.until(starting.started)
            await asyncio.sleep(0.2)
            context.runs = starting.process.runs
        finally:
            await starting.process.stop()

    asyncio.run(play())


@then("it starts nevertheless")
def check_started_after_hangup(context):
    assert context.early, "SIGHUP could have ended the process until it had started"
    assert context.runs
