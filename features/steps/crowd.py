"""Steps for crowds of callers at a gateway daemon in a process of its own."""

import asyncio
import os
import re
import tempfile
import time
from contextlib import asynccontextmanager, suppress
from pathlib import Path

from aiohttp import ClientError, ClientSession, ClientTimeout
from behave import given, then, when

from features.fakes.crowd import (
    ANSWER_BYTES,
    BODY_BYTES,
    SCRIPTS,
    Crowd,
)
from features.fakes.platform import HOST, KEY, PUBLIC_PATH, Site, config
from soak.site import GRACE_S, DaemonProcess

START_S = 30.0
ANSWER_S = 60.0
"""Time after which a daemon that does not answer is considered hung."""
TRY_S = 15.0
SLOTS = 1000
TIMEOUT_MS = 600_000
"""Timeout of the routes, longer than a test, so that none of them ends a crowd."""
HEADERS = {"Host": HOST, "Attempt-Id": "ordinary", "Api-Key": KEY}
BYTES_PER_MB = 1_000_000


class CrowdedDaemon:
    """A daemon process, with what was seen of its memory and descriptors."""

    def __init__(self, process):
        self.process = process
        self.most_descriptors = 0
        self.peak_bytes = 0

    def measure(self):
        """Record the peak of resident memory and the number of descriptors."""
        with suppress(OSError):
            status = Path(f"/proc/{self.process.pid}/status").read_text()
            peak = re.search(r"VmHWM:\s+(\d+) kB", status)
            self.peak_bytes = 1024 * int(peak[1])
            count = len(os.listdir(f"/proc/{self.process.pid}/fd"))
            self.most_descriptors = max(self.most_descriptors, count)

    async def watch(self, engine):
        """Measure at intervals, and drop the bodies that the stand-in would keep."""
        while True:
            self.measure()
            engine.requests.clear()
            await asyncio.sleep(0.05)

    async def request(self, method="POST", path=PUBLIC_PATH, headers=(), data=b"x"):
        """Send a request and return its status and the length of its answer."""
        url = f"http://{self.process.callers}{path}"
        timeout = ClientTimeout(total=TRY_S)
        async with (
            ClientSession(timeout=timeout) as session,
            session.request(
                method, url, headers=HEADERS | dict(headers), data=data
            ) as response,
        ):
            return response.status, len(await response.read())

    async def answers(self, within_s):
        """Return whether a request is answered, after refusals if there are any."""
        until = time.monotonic() + within_s
        while time.monotonic() < until and self.process.runs:
            with suppress(ClientError, OSError, TimeoutError):
                if (await self.request())[0] == 200:
                    return True
            await asyncio.sleep(0.2)
        return False


@asynccontextmanager
async def running(limits):
    """Run a store, upstreams and a daemon process that answers."""
    with tempfile.TemporaryDirectory() as name:
        site = Site(Path(name))
        await site.start()
        limited = {"max-body-bytes": BODY_BYTES, "idle-timeout-ms": 15000}
        configured = config(limits=limited)
        for route in configured["routes"]:
            route["timeout-ms"] = TIMEOUT_MS
        site.store.put("keyed.op", "config", configured)
        # Another site's daemon is the leader, so that no replicas are formed here.
        site.store.put_raw("keyed.replicas", "duty", b"elsewhere")
        await site.add_engine("e0", slots=SLOTS)
        engine = await site.add_engine("p0", service="plain", slots=SLOTS)
        process = DaemonProcess(0, "z1", site.store_address, Path(name), limits)
        daemon = CrowdedDaemon(process)
        await process.start()
        watching = asyncio.create_task(daemon.watch(engine))
        try:
            assert await daemon.answers(START_S), process.log_path.read_text()[-2000:]
            yield daemon
        finally:
            watching.cancel()
            await process.stop()
            await site.stop()


@given("a gateway daemon with {memory:d} MB and {descriptors:d} descriptors")
def set_limits(context, memory, descriptors):
    context.limits = {"memory-mb": memory, "max-fds": descriptors}


@when("{count:d} callers send or ask for {pattern} and stay connected")
def plan_crowd(context, count, pattern):
    async def play(use):
        async with running(context.limits) as daemon:
            crowd = Crowd(daemon.process.callers, SCRIPTS[pattern])
            try:
                await crowd.play(count)
                return await use(daemon)
            finally:
                crowd.leave()

    context.play = play


@then("an ordinary request is answered while they are connected")
def check_answered(context):
    async def use(daemon):
        answered = await daemon.answers(ANSWER_S)
        daemon.measure()
        return daemon, answered, daemon.process.runs, log_end(daemon)

    seen = asyncio.run(context.play(use))
    context.daemon, answered, context.lives, context.log = seen
    print(f"peak {context.daemon.peak_bytes / BYTES_PER_MB:.0f} MB")
    print(f"descriptors {context.daemon.most_descriptors}, answered {answered}")
    assert answered, (context.daemon.peak_bytes, context.log)


@then("the process lives, and its memory and descriptors stayed within its settings")
def check_bounds(context):
    daemon, limits = context.daemon, context.limits
    assert context.lives, context.log
    assert daemon.peak_bytes < limits["memory-mb"] * BYTES_PER_MB, daemon.peak_bytes
    assert daemon.most_descriptors < limits["max-fds"], daemon.most_descriptors


@when("the daemon gets SIGTERM")
def plan_stop(context):
    async def use(daemon):
        await daemon.process.terminate()
        return daemon.process.overdue_stops, daemon.process.exit_code, log_end(daemon)

    context.stopped = asyncio.run(context.play(use))


@then("it exits with 0 within its grace")
def check_stopped(context):
    overdue, code, log = context.stopped
    assert not overdue, (f"killed after {GRACE_S} s", log)
    assert code == 0, (code, log)


def log_end(daemon):
    return daemon.process.log_path.read_text()[-2000:]


async def chunks(block, count, pause_s=0.0):
    for _ in range(count):
        yield block
        await asyncio.sleep(pause_s)


REQUESTS = {
    "a head of 16,000 bytes": lambda: {"headers": {"X-Long": "a" * 15_800}},
    "a declared body of 4 MB": lambda: {"data": b"a" * BODY_BYTES},
    "a chunked body of 4 MB": lambda: {"data": chunks(b"a" * 65_536, 64)},
    "a body of 100,000 one-byte chunks": lambda: {"data": chunks(b"a", 100_000)},
    "a body that pauses for 2 s": lambda: {"data": chunks(b"a" * 1000, 2, 1.0)},
    "a request for an answer of 2 MB": lambda: {
        "method": "GET",
        "path": f"{PUBLIC_PATH}?size={ANSWER_BYTES}",
        "data": None,
    },
}


@when("a single caller sends {request}")
def send_single(context, request):
    async def use():
        async with running(context.limits) as daemon:
            return await daemon.request(**REQUESTS[request]())

    context.answer = asyncio.run(use())


@then("it is answered with 200")
def check_single(context):
    assert context.answer[0] == 200, context.answer
