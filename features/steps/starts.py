"""Steps for starts of real daemon processes on the users' platform."""

import asyncio
import contextlib
import itertools
import json
import os
import signal
import socket
import sys
import tempfile
from pathlib import Path

import uvloop
import yaml
from aiohttp import ClientError, ClientSession
from behave import given, then, when

from features.fakes.platform import HOST, KEY, ONCE_PATH, SAFE_PATH, Site, config
from features.loopback import free_addresses
from features.steps.routed import SETTLE_S, run

READY_S = 10.0
POLL_S = 0.1
LARGE_BYTES = 4_000_000
METRICS_PORT = 9464
_numbers = itertools.count(1)


class RealDaemon:
    """One daemon process with a store and an engine on loopback.

    :param site: the store and the engine
    :param folder: folder of the settings file
    """

    def __init__(self, site, folder):
        self.site = site
        # The metrics port is fixed, so each daemon has an address of the loopback net.
        self.ip = f"127.39.{os.getpid() % 250 + 1}.{next(_numbers)}"
        ports = [int(a.rpartition(":")[2]) for a in free_addresses(4)]
        self.callers, self.readiness, self.beats, self.internal = ports
        self.settings = {
            "node-name": "d1",
            "ip": self.ip,
            "zone": "z1",
            "listen": {
                "front": f"{self.ip}:{self.callers}",
                "readiness": f"{self.ip}:{self.readiness}",
            },
            "internal-ports": [self.beats, self.internal],
            "platform": {"address": site.store_address},
            "bounds": {"grace-s": 4},
            "limits": {"memory-mb": 300, "cpu-share": 0.5, "cores": 2},
        }
        self.path = Path(folder) / "settings.yaml"
        self.output = Path(folder) / "output"
        self.process = None

    async def start(self):
        self.path.write_text(yaml.safe_dump(self.settings))
        environment = {**os.environ, "AUBURNPROXY_CONFIG": str(self.path)}
        command = ["-m", "auburnproxy.daemon", "--deployment", "auburnproxy.platform"]
        with self.output.open("wb") as output:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                *command,
                env=environment,
                stdout=output,
                stderr=asyncio.subprocess.STDOUT,
            )

    def lines(self, kind):
        found = []
        for text in self.output.read_text().splitlines():
            with contextlib.suppress(ValueError):
                line = json.loads(text)
                if line["kind"] == kind:
                    found.append(line)
        return found

    async def ready_status(self):
        url = f"http://{self.ip}:{self.readiness}/"
        try:
            async with ClientSession() as session, session.get(url) as answer:
                return answer.status
        except ClientError:
            return None

    async def request(self, method, path, body=b""):
        url = f"http://{self.ip}:{self.callers}{path}"
        headers = {"Host": HOST, "Attempt-Id": f"{next(_numbers):016x}"}
        headers |= {"Api-Key": KEY, "Deadline-Ms": "8000"}
        try:
            async with (
                ClientSession() as session,
                session.request(method, url, headers=headers, data=body) as answer,
            ):
                await answer.read()
                return answer.status
        except ClientError:
            return None

    async def stop(self):
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


async def poll(ask, expected):
    """Ask until the expected value is returned."""
    for _ in range(int(READY_S / POLL_S)):
        if (answer := await ask()) == expected:
            return
        await asyncio.sleep(POLL_S)
    raise AssertionError(answer)


@given("a real daemon whose {name} port is held by another socket")
def hold_port(context, name):
    prepare(context)
    daemon = context.daemon
    ports = {"heartbeat": daemon.beats, "internal": daemon.internal}
    ports |= {"metrics": METRICS_PORT, "readiness": daemon.readiness}
    context.held_port = ports.get(name, daemon.callers)
    kind = socket.SOCK_DGRAM if name == "heartbeat" else socket.SOCK_STREAM
    context.holder = socket.socket(socket.AF_INET, kind)
    context.holder.bind((daemon.ip, context.held_port))
    if kind == socket.SOCK_STREAM:
        context.holder.listen()
    context.add_cleanup(context.holder.close)


def prepare(context):
    context.loop = uvloop.new_event_loop()
    asyncio.set_event_loop(context.loop)
    asyncio.get_child_watcher().attach_loop(context.loop)
    folder = tempfile.TemporaryDirectory()
    site = context.site = Site(Path(folder.name))

    async def start():
        await site.start()
        limits = {"max-body-bytes": 2 * LARGE_BYTES, "idle-timeout-ms": 15000}
        site.store.put("keyed.op", "config", config(limits=limits))
        site.store.put_raw("keyed.replicas", "duty", b"elsewhere")
        await site.add_engine("p0", service="plain")

    run(context, start())
    context.daemon = RealDaemon(site, folder.name)

    def close():
        run(context, context.daemon.stop())
        run(context, site.stop())
        context.loop.close()
        folder.cleanup()

    context.add_cleanup(close)


@given("a real daemon with {settings}")
def make_daemon(context, settings):
    prepare(context)
    changes = {
        "bounds and limits empty": {"bounds": None, "limits": None},
        "grace-s and cpu-share empty": {
            "bounds": {"grace-s": None},
            "limits": {"cpu-share": None},
        },
        "bounds of another type": {"bounds": "none"},
        "figures out of range": {
            "bounds": {"grace-s": 1e308, "drain-ms": -1, "budget-window-s": 0},
            "limits": {"memory-mb": 0, "cores": "two"},
        },
        "a memory of 300 MB": {},
    }
    daemon = context.daemon
    if settings == "no readiness address":
        context.sound = dict(daemon.settings)
        changes[settings] = {"listen": {"front": daemon.settings["listen"]["front"]}}
    if settings == "a foreign address for callers":
        # A port below 1024 would need a privilege; a broadcast address binds nowhere.
        listen = daemon.settings["listen"] | {"front": "999.1.1.1:8000"}
        changes[settings] = {"listen": listen}
    daemon.settings |= changes[settings]


@when("it runs for {seconds:g} s")
def run_daemon(context, seconds):
    async def start():
        await context.daemon.start()
        await asyncio.sleep(seconds)

    run(context, start())


@when("its address can never be bound")
def run_to_end(context):
    async def start():
        await context.daemon.start()
        async with asyncio.timeout(READY_S):
            await context.daemon.process.wait()

    run(context, start())


@then("its process runs, and its log names the held port once")
def check_waiting(context):
    daemon = context.daemon
    assert daemon.process.returncode is None, daemon.output.read_text()
    [line] = daemon.lines("port_held")
    assert line["address"] == f"{daemon.ip}:{context.held_port}", line
    assert line["reason"], line


@then("its process runs, and its output names the finding once")
def check_finding(context):
    daemon, text = context.daemon, context.daemon.output.read_text()
    assert daemon.process.returncode is None, text
    assert text.count("readiness") == 1, text


@when("the port becomes free")
def release_port(context):
    context.holder.close()


@when("the settings are replaced by sound ones")
def replace_settings(context):
    context.daemon.path.write_text(yaml.safe_dump(context.sound))


@then("the daemon is ready and serves a request")
def check_ready(context):
    async def wait():
        async with asyncio.timeout(READY_S):
            await poll(context.daemon.ready_status, 200)
            # Its engine may not have been read yet.
            await poll(lambda: context.daemon.request("GET", SAFE_PATH), 200)

    run(context, wait())


@then("it answers the readiness check with {status:d}")
def check_status(context, status):
    found = run(context, context.daemon.ready_status())
    assert found == status, found


@then("SIGTERM ends it with {code:d}")
def check_stop(context, code):
    async def stop():
        context.daemon.process.send_signal(signal.SIGTERM)
        async with asyncio.timeout(READY_S):
            return await context.daemon.process.wait()

    assert run(context, stop()) == code, context.daemon.output.read_text()


@then("its process ends with {code:d}, and its last lines say why")
def check_failed(context, code):
    daemon = context.daemon
    assert daemon.process.returncode == code, daemon.output.read_text()
    assert daemon.lines("start_failed")[-1]["reason"], daemon.output.read_text()
    assert daemon.lines("stopped"), daemon.output.read_text()


@when("{count:d} callers send it bodies of 4 MB at once")
def send_bodies(context, count):
    async def send():
        await context.daemon.start()
        async with asyncio.timeout(READY_S):
            await poll(lambda: context.daemon.request("GET", SAFE_PATH), 200)
        context.site.register("p0", service="plain", slots=200)
        await asyncio.sleep(SETTLE_S)
        context.site.engines["p0"].answer_delay_s = 1.5
        body = b"x" * LARGE_BYTES
        post = context.daemon.request
        context.statuses = await asyncio.gather(
            *(post("POST", ONCE_PATH, body) for _ in range(count))
        )

    run(context, send())
    status = Path(f"/proc/{context.daemon.process.pid}/status").read_text()
    context.peak_kb = int(status.partition("VmHWM:")[2].split()[0])


@then("each caller is served or refused as not run, and some are served")
def check_bodies(context):
    assert set(context.statuses) <= {200, 503}, context.statuses
    assert context.statuses.count(200) >= 5, context.statuses


@then("its peak memory was below {megabytes:d} MB")
def check_peak(context, megabytes):
    print("peak", context.peak_kb, context.statuses.count(200))
    assert context.peak_kb < megabytes * 1000, context.peak_kb
