"""A small deployment on loopback: daemons as processes beside stand-ins."""

from __future__ import annotations

import asyncio
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from typing import NamedTuple

import yaml

from review.common.engine import Engine
from review.common.store import Store

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "works.example"
KEY = "key-of-tenant-1"
TENANT = "tenant-1"
ZONES = ("grandi-yard", "hofdi-shop", "hafnar-depot")
HEARTBEAT_S = 1.2
READY_WITHIN_S = 25.0
RESTART_S = 0.5
"""Time after which the platform starts a process again that has ended."""


class CannotRunError(Exception):
    """The case could not run."""


class Answer(NamedTuple):
    """What a client received for one request."""

    status: int
    """0 if the connection ended without an answer."""
    headers: dict[str, str]
    body: bytes
    complete: bool


_given_ports: set[int] = set()


def free_port(ip: str) -> int:
    """Return a port that nothing uses at an address, a different one at each call."""
    while True:
        with socket.socket() as probe:
            probe.bind((ip, 0))
            port = int(probe.getsockname()[1])
        if port not in _given_ports:
            _given_ports.add(port)
            return port


def _deployed_command() -> list[str]:
    """Return the command of the only role in the deploy file."""
    deployed = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    (role,) = deployed["roles"].values()
    return role["run"].split(" ")


def route(name: str, path: str, kind: str, service: str, **more: object) -> dict:
    """Return a route of the configuration."""
    return {
        "name": name,
        "host": HOST,
        "path-prefix": path,
        "kind": kind,
        "service": service,
        "timeout-ms": 8000,
        "target-latency-ms": 400,
        "max-attempts": 2,
        "priority": 1,
    } | more


class Daemon:
    """One daemon, started with the command of the deploy file and restarted if it ends.

    The platform restarts a process that ends, after a short delay.
    """

    def __init__(self, site: Site, number: int, zone: str) -> None:
        self.name, self.zone = f"front-{zone}-{number}", zone
        self.ip = f"127.{site.network}.{10 + number}"
        self.front = f"{self.ip}:{free_port(self.ip)}"
        self.readiness = f"{self.ip}:{free_port(self.ip)}"
        self.ends: list[tuple[float, int]] = []
        """Times and exit codes of each process that ended by itself."""
        self.log_path = site.folder / f"{self.name}.log"
        self._settings = site.folder / f"{self.name}.yaml"
        self._settings.write_text(yaml.safe_dump(self._settings_of(site)))
        self._process: asyncio.subprocess.Process | None = None
        self._keeper: asyncio.Task[None] | None = None
        self._spawning = asyncio.Lock()
        self._stopped = False

    def _settings_of(self, site: Site) -> dict[str, object]:
        ports = [free_port(self.ip), free_port(self.ip)]
        return {
            "node-name": self.name,
            "role": "entry",
            "machine-class": "front",
            "serves": ["front"],
            "ip": self.ip,
            "zone": self.zone,
            "region": "sudvestur",
            "zones": dict.fromkeys(ZONES, "sudvestur"),
            "listen": {"front": self.front, "readiness": self.readiness},
            "internal-ports": ports,
            "seeds": [],
            "bootstrap": True,
            "limits": {
                "cpu-share": 0.537,
                "cores": 2,
                "memory-mb": 300,
                "max-fds": 4100,
                "link-mbps": 1000.0,
                "disk-mb": 0,
            },
            "data-dir": None,
            "discovery": "platform",
            "entry": "vip",
            "heartbeat-ms": 1200,
            "bounds": site.bounds,
            "platform": {
                "address": site.store.address,
                "form": "log",
                "writes-per-s": 400,
                "reads-per-s": 2000,
                "parts": 12,
                "append-ms": 2.0,
                "keep_s": 300,
                "ttl-min-ms": 1000,
            },
        }

    @property
    def pid(self) -> int:
        """Return the id of the running process."""
        assert self._process is not None
        return self._process.pid

    async def start(self) -> None:
        """Start the process, and keep it running."""
        await self._spawn()
        self._keeper = asyncio.create_task(self._keep_running())

    async def _spawn(self) -> None:
        names = ("PATH", "HOME", "LANG")
        env = {name: os.environ[name] for name in names if name in os.environ}
        env["AUBURNPROXY_CONFIG"] = str(self._settings)
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with self.log_path.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                *_deployed_command(),
                cwd=ROOT,
                env=env,
                stdout=log,
                stderr=log,
            )

    async def _keep_running(self) -> None:
        while True:
            assert self._process is not None
            code = await self._process.wait()
            if self._stopped:
                return
            self.ends.append((time.monotonic(), code))
            await asyncio.sleep(RESTART_S)
            async with self._spawning:
                if not self._stopped:
                    await self._spawn()

    async def ready(self) -> bool:
        """Return whether the daemon says that it is ready."""
        answer = await exchange(
            self.readiness, b"GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n", 0.5
        )
        return answer.status == 200

    async def stop(self) -> None:
        """Kill the process, and start no other one."""
        self._stopped = True
        async with self._spawning:
            if self._keeper is not None:
                self._keeper.cancel()
            if self._process is not None and self._process.returncode is None:
                os.kill(self._process.pid, signal.SIGKILL)
                await self._process.wait()


class EngineProcess:
    """An engine that runs as a process of its own.

    :param site: where it registers
    :param more: attributes of the engine
    """

    def __init__(self, site: Site, service: str, zone: str, **more: object) -> None:
        self._site = site
        self.name = f"i-{random.getrandbits(32):08x}"
        address = f"{site.own_ip}:{free_port(site.own_ip)}"
        self._settings = {
            "name": self.name,
            "address": address,
            "service": service,
            "zone": zone,
            "more": more,
        }
        self.ran: list[str] = []
        self.killed = False
        self.group: dict[str, object] = {}
        self._process: asyncio.subprocess.Process | None = None
        self._reading: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start the process."""
        self._process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "review.common.engine_process",
            json.dumps(self._settings),
            cwd=ROOT,
            stdout=asyncio.subprocess.PIPE,
        )
        self._reading = asyncio.create_task(self._read())

    async def _read(self) -> None:
        assert self._process is not None and self._process.stdout is not None
        while line := await self._process.stdout.readline():
            told = json.loads(line)
            if "ran" in told:
                self.ran.append(told["ran"])
            elif not self.killed:
                self.group = told["entry"].get("group", {})
                self._site.store.put("keyed.servers", self.name, told["entry"])

    async def kill(self) -> None:
        """Kill the process, as a crash does; its entry lapses later."""
        self.killed = True
        if self._process is not None and self._process.returncode is None:
            os.kill(self._process.pid, signal.SIGKILL)
            await self._process.wait()

    async def stop(self) -> None:
        """Kill the process and stop reading from it."""
        await self.kill()
        if self._reading is not None:
            await self._reading


class Site:
    """Store, engines and daemons; everything that was started ends with it."""

    def __init__(self) -> None:
        self._folder = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = Path(self._folder.name)
        self.network = f"{random.randint(16, 200)}.{random.randint(1, 250)}"
        self.own_ip = f"127.{self.network}.2"
        self.store = Store(f"{self.own_ip}:{free_port(self.own_ip)}")
        self.bounds: dict[str, object] = {
            "settle-window-ms": 3000,
            "drain-ms": 2000,
            "grace-s": 8,
            "config-apply-ms": 2000,
            "retry-budget-ratio": 0.2,
            "budget-window-s": 10,
            "budget-slack": 103,
            "stall-ms": 5000,
        }
        self.engines: list[Engine] = []
        self.processes: list[EngineProcess] = []
        self.daemons: list[Daemon] = []
        self._heartbeats: asyncio.Task[None] | None = None

    def configure(self, version: int, routes: list[dict], services: list[dict]) -> None:
        """Write a configuration as the operator."""
        value = {
            "version": version,
            "routes": routes,
            "services": services,
            "tenants": [{"name": TENANT, "api-keys": [KEY]}],
            "limits": {
                "max-header-bytes": 16384,
                "max-body-bytes": 4194304,
                "header-timeout-ms": 5000,
                "idle-timeout-ms": 15000,
            },
        }
        self.store.put("keyed.op", "config", value)

    def add_engine(self, service: str, zone: str = ZONES[0]) -> Engine:
        """Return a new engine, which is not started yet."""
        address = f"{self.own_ip}:{free_port(self.own_ip)}"
        name = f"i-{len(self.engines):08x}"
        engine = Engine(name, address, service=service, zone=zone)
        engine.on_change = lambda: self._register(engine)
        self.engines.append(engine)
        return engine

    def _register(self, engine: Engine) -> None:
        self.store.put("keyed.servers", engine.name, engine.entry())

    async def start(self, daemons: int = 2) -> None:
        """Start everything and wait until the daemons are ready."""
        await self.store.start()
        for engine in self.engines:
            await engine.start()
            self._register(engine)
        for process in self.processes:
            await process.start()
        self._heartbeats = asyncio.create_task(self._beat())
        for number in range(daemons):
            daemon = Daemon(self, number, ZONES[number % len(ZONES)])
            self.daemons.append(daemon)
            await daemon.start()
        until = time.monotonic() + READY_WITHIN_S
        for daemon in self.daemons:
            while not await daemon.ready():
                if time.monotonic() > until:
                    raise CannotRunError(f"{daemon.name} is not ready")
                await asyncio.sleep(0.1)

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for engine in self.engines:
                self._register(engine)

    async def stop(self) -> None:
        """End every process and close every listener."""
        if self._heartbeats is not None:
            self._heartbeats.cancel()
        for daemon in self.daemons:
            await daemon.stop()
        for process in self.processes:
            await process.stop()
        for engine in self.engines:
            await engine.stop()
        await self.store.stop()
        self._folder.cleanup()


def request_bytes(
    method: str,
    path: str,
    attempt: str,
    *,
    body: bytes = b"",
    deadline_ms: int = 6000,
    more: dict[str, str] | None = None,
) -> bytes:
    """Return the bytes of a client's request."""
    headers = {
        "Host": HOST,
        "Attempt-Id": attempt,
        "Deadline-Ms": str(deadline_ms),
        "Api-Key": KEY,
    } | (more or {})
    if body or method == "POST":
        headers["Content-Length"] = str(len(body))
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def exchange(address: str, request: bytes, timeout_s: float = 9.0) -> Answer:
    """Send a request on a new connection and return its answer."""
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                writer.write(request)
                await writer.drain()
                return await _read_answer(reader)
            finally:
                writer.close()
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return Answer(0, {}, b"", False)


async def _read_answer(reader: asyncio.StreamReader) -> Answer:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.strip().split("\r\n")
    pairs = (line.partition(":") for line in lines)
    headers = {name.lower(): value.strip() for name, _, value in pairs}
    status, body = int(first.split(" ")[1]), b""
    try:
        if headers.get("transfer-encoding") == "chunked":
            while size := int(await reader.readuntil(b"\r\n"), 16):
                body += (await reader.readexactly(size + 2))[:-2]
            await reader.readuntil(b"\r\n")
        else:
            body = await reader.readexactly(int(headers.get("content-length", 0)))
    except (OSError, ValueError, asyncio.IncompleteReadError):
        return Answer(status, headers, body, False)
    return Answer(status, headers, body, True)
