"""
What the scripts of this review share: store, engines, daemons, callers and the record.

The store's stand-in runs in the script's process, engines and daemons in their own. All
addresses are loopback addresses with free ports.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import os
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, NamedTuple
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
BROKEN, HELD, COULD_NOT_RUN = 1, 0, 2
LIMIT_S = 110.0
READY_S = 20.0
HOST, KEY, TENANT, MODEL = "ficu95.example", "n2ctnfzs989anu6wsjnb", "hule930", "daka5"
MODEL_SERVICE, ORDER_SERVICE = "lohu930", "puxa403"
STREAM_PATH, ORDER_PATH, CHECK_PATH = "/lohu930/", "/puxa403/", "/puxb404/"


class CannotRunError(Exception):
    """The case could not run, which says nothing about the rule."""


def free_address(ip: str = "127.0.0.1") -> str:
    """Return a loopback address whose port is free for TCP and UDP."""
    for _ in range(50):
        with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
            tcp.bind((ip, 0))
            port = tcp.getsockname()[1]
            with contextlib.suppress(OSError):
                udp.bind((ip, port))
                return f"{ip}:{port}"
    raise CannotRunError("no free port")


def split(address: str) -> tuple[str, int]:
    """Return the IP number and the port of an address."""
    host, _, port = address.rpartition(":")
    return host, int(port)


class Record:
    """The record of what was sent, answered and run."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._began = time.time()

    def write(self, text: str, *, at: float | None = None) -> None:
        """Write a line with the seconds since the start."""
        seconds = (time.time() if at is None else at) - self._began
        self._file.write(f"{seconds:8.3f}  {text}\n")
        self._file.flush()


class Store:
    """The platform's log with its keyed topics, as far as daemons call it."""

    def __init__(self) -> None:
        self.address = free_address()
        self._records: dict[str, list[tuple[str, bytes]]] = {}
        self._grown = asyncio.Event()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Begin to listen."""
        self._server = await asyncio.start_server(self._serve, *split(self.address))

    def put(self, topic: str, key: str, value: object) -> None:
        """Append a record; None drops the key."""
        text = b"" if value is None else json.dumps(value).encode()
        self._append(topic, [(key, text)])

    def has(self, topic: str, key: str) -> bool:
        """Return whether the newest record of a key holds a value."""
        values = [value for name, value in self._records[topic] if name == key]
        return bool(values and values[-1])

    def _append(self, topic: str, records: list[tuple[str, bytes]]) -> int:
        found = self._records.setdefault(topic, [])
        found += records
        grown, self._grown = self._grown, asyncio.Event()
        grown.set()
        return len(found)

    async def _serve(self, reader, writer) -> None:
        ends = ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError
        with contextlib.suppress(*ends):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                length = re.search(r"(?i)content-length: *(\d+)", head)
                body = await reader.readexactly(int(length[1]) if length else 0)
                _, target, _ = head.split(" ", 2)
                path = urlsplit(target).path
                query = {k: v[0] for k, v in parse_qs(urlsplit(target).query).items()}
                status, answer = await self._answer(path, query, body)
                writer.write(
                    b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%b"
                    % (status, len(answer), answer)
                )
                await writer.drain()
                if "connection: close" in head.lower():
                    break
        writer.close()

    async def _answer(self, path: str, query: dict, body: bytes) -> tuple[int, bytes]:
        topic = query.get("topic", "")
        if path == "/put":
            self.put(topic, query["key"], json.loads(body))
            return 200, b"{}"
        records = self._records.get(topic, [])
        if path == "/log-read":
            return await self._read(topic, query)
        if path == "/log-newest":
            newest = {key: (n, value) for n, (key, value) in enumerate(records)}
            items = [
                {"key": key, "value": base64.b64encode(value).decode(), "offset": n}
                for key, (n, value) in newest.items()
                if value
            ]
            page = {"items": items, "has-more": False, "end": len(records)}
            return 200, json.dumps(page).encode()
        if path != "/log-append":
            return 404, b"{}"
        end = len(records)
        if "at" in query and int(query["at"]) != end:
            return 412, json.dumps({"end": end}).encode()
        added = []
        while body:
            size = int.from_bytes(body[:4], "big")
            record, body = body[4 : 4 + size], body[4 + size :]
            added.append((record[1 : 1 + record[0]].decode(), record[1 + record[0] :]))
        return 200, json.dumps(
            {"offset": end, "end": self._append(topic, added)}
        ).encode()

    async def _read(self, topic: str, query: dict) -> tuple[int, bytes]:
        start, wait_s = int(query["from"]), int(query.get("wait-ms", 0)) / 1000
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                while len(self._records.get(topic, [])) <= start:
                    await self._grown.wait()
        records = self._records.get(topic, [])
        if start > len(records):
            return 410, b'{"first":0}'
        page = len(records).to_bytes(8, "big") + bytes(8)
        for key, value in records[start:]:
            record = bytes([len(key.encode())]) + key.encode() + value
            page += len(record).to_bytes(4, "big") + record
        return 200, page


class Answer(NamedTuple):
    """What a caller has seen of one request."""

    request: str
    status: int
    """0 if no status line came."""
    headers: dict[str, str]
    body: bytes
    complete: bool
    """Whether the answer ended as its framing says."""
    took_s: float


class Rig:
    """A small deployment of real daemon processes beside stand-ins."""

    def __init__(self, folder: Path) -> None:
        self.record = Record(folder)
        self.store = Store()
        self.daemons: list[Daemon] = []
        self.engines: dict[str, EngineProcess] = {}
        self.answers: list[Answer] = []
        self._temporary = tempfile.TemporaryDirectory()
        self._sent = 0

    @property
    def folder(self) -> Path:
        """Return the temporary folder."""
        return Path(self._temporary.name)

    async def add_engine(self, name: str, **settings: object) -> EngineProcess:
        """Start an engine in a process of its own."""
        engine = EngineProcess(name, self.store.address, self.record, settings)
        self.engines[name] = engine
        await engine.start()
        return engine

    async def add_daemon(self, number: int, zone: str, *, store: str = "") -> Daemon:
        """Start a daemon with the command of the deploy file.

        :param store: address at which it gets the store, the store's own by default
        """
        daemon = Daemon(number, zone, store or self.store.address, self.folder)
        self.daemons.append(daemon)
        await daemon.start()
        self.record.write(f"daemon {daemon.name} started, callers {daemon.callers}")
        return daemon

    async def until_ready(self) -> None:
        """Wait until every daemon says that it is ready."""
        for daemon in self.daemons:
            until = time.monotonic() + READY_S
            while not await daemon.ready():
                if time.monotonic() > until or daemon.exit_code is not None:
                    raise CannotRunError(f"{daemon.name} did not become ready")
                await asyncio.sleep(0.1)

    async def until_served(self, daemon: Daemon, path: str, **more: Any) -> None:
        """Wait until a request on a path is served to its end."""
        until = time.monotonic() + READY_S
        while True:
            answer = await self.ask(daemon, path, **more)
            if answer.status == 200 and answer.complete:
                return
            if time.monotonic() > until:
                raise CannotRunError(f"{path} is not served: {answer.status}")
            await asyncio.sleep(0.3)

    async def ask(
        self,
        daemon: Daemon,
        path: str,
        *,
        method: str = "POST",
        query: str = "",
        deadline_ms: int = 8000,
        wait_s: float | None = None,
        quiet: bool = False,
    ) -> Answer:
        """Send one request on a new connection and read its answer to the end."""
        self._sent += 1
        request_id = f"{self._sent:016x}"
        body = b"" if method == "GET" else b"q" * 600
        lines = [f"{method} {path}2f{query} HTTP/1.1", f"Host: {HOST}"]
        lines += [f"Attempt-Id: {request_id}", f"Api-Key: {KEY}"]
        lines += [f"Deadline-Ms: {deadline_ms}", "Connection: close"]
        if path == STREAM_PATH:
            lines += [f"Model: {MODEL}", "Token-Usage: 700,200"]
            lines += [f"Prompt-Prefix: 5c1e07a2:40,{request_id}:660"]
        if body:
            lines.append(f"Content-Length: {len(body)}")
        if not quiet:
            self.record.write(
                f"{request_id} is sent to {daemon.name}: {method} {path}{query}"
            )
        began = time.monotonic()
        raw, closed = b"", False
        try:
            async with asyncio.timeout(
                deadline_ms / 1000 + 0.5 if wait_s is None else wait_s
            ):
                reader, writer = await asyncio.open_connection(*split(daemon.callers))
                try:
                    head = ("\r\n".join(lines) + "\r\n\r\n").encode()
                    writer.write(head + body)
                    while block := await reader.read(262_144):
                        raw += block
                    closed = True
                finally:
                    writer.close()
        except (TimeoutError, OSError):
            pass
        took_s = time.monotonic() - began
        answer = _parse(request_id, raw, closed, took_s)
        if not quiet:
            self.record.write(
                f"{request_id} is answered: status {answer.status or 'none'}, "
                f"{len(answer.body)} bytes of body, complete: {answer.complete}, "
                f"after {took_s:.3f} s"
            )
        self.answers.append(answer)
        return answer

    async def stop(self) -> None:
        """End every process that was started."""
        for process in (*self.daemons, *self.engines.values()):
            await process.kill()
        self._temporary.cleanup()


def _parse(request_id: str, raw: bytes, closed: bool, took_s: float) -> Answer:
    """Parse a whole answer by the rules of HTTP/1.1."""
    head, separator, rest = raw.partition(b"\r\n\r\n")
    if not separator:
        return Answer(request_id, 0, {}, b"", False, took_s)
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {
        name.lower(): value.strip()
        for name, _, value in (line.partition(":") for line in lines)
    }
    status = int(first.split(" ")[1])
    if headers.get("transfer-encoding") == "chunked":
        body, complete = _unchunk(rest)
    elif "content-length" in headers:
        body, complete = rest, len(rest) == int(headers["content-length"])
    else:
        body, complete = rest, closed
    return Answer(request_id, status, headers, body, complete, took_s)


def _unchunk(data: bytes) -> tuple[bytes, bool]:
    """Return the content of chunks, and whether the last chunk came."""
    parts = []
    start = 0
    while (end := data.find(b"\r\n", start)) >= 0:
        size = int(data[start:end], 16)
        if not size:
            return b"".join(parts), True
        if len(data) < end + 4 + size:
            break
        parts.append(data[end + 2 : end + 2 + size])
        start = end + 4 + size
    return b"".join(parts), False


def event_ids(answer: Answer) -> list[int]:
    """Return the ids of the whole events of a stream, in their order."""
    return [int(found) for found in re.findall(rb"id: (\d+)\n[^\n]*\n\n", answer.body)]


def order_breach(answer: Answer, events: int) -> str:
    """Return how a stream breaks ORDER, empty if it does not.

    :param answer: what the caller got
    :param events: number of the last event
    """
    if answer.status != 200:
        return ""
    ids = event_ids(answer)
    missing = sorted({*range(1, max(ids, default=0))} - {*ids})
    if missing:
        return f"ORDER: in {answer.request} the events {missing} are missing"
    if len(ids) != len({*ids}) or ids != sorted(ids):
        return f"ORDER: in {answer.request} events come twice or out of order: {ids}"
    if answer.complete and len(ids) < events:
        return (
            f"ORDER: {answer.request} ends as complete after event {len(ids)} of "
            f"{events}"
        )
    return ""


class EngineProcess:
    """An engine's process; what it says goes to the record."""

    def __init__(
        self, name: str, store: str, record: Record, settings: dict[str, object]
    ) -> None:
        self.name = name
        self.ran: list[str] = []
        """Ids of the requests that it has begun to run."""
        self.targets: dict[str, str] = {}
        """The path and query of each of them."""
        self.sent: dict[str, int] = {}
        """What it had sent of each answer when it ended it."""
        self._settings = settings | {"id": name, "store": store}
        self._settings |= {"address": free_address()}
        self._record = record
        self._process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start the process."""
        script = Path(__file__).with_name("engine.py")
        self._process = await asyncio.create_subprocess_exec(
            sys.executable,
            str(script),
            json.dumps(self._settings),
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        )
        self._following = asyncio.create_task(self._follow())

    async def _follow(self) -> None:
        assert self._process is not None and self._process.stdout is not None
        while line := await self._process.stdout.readline():
            said = json.loads(line)
            at, kind = said.pop("at"), said.pop("kind")
            if kind == "runs":
                self.ran.append(said["request"])
                self.targets[said["request"]] = said["path"]
            elif kind == "sent":
                self.sent[said["request"]] = said["sent"]
            text = " ".join(f"{key}={value}" for key, value in said.items())
            self._record.write(f"engine {kind}: {text}", at=at)

    def tell(self, line: str) -> None:
        """Send a command to the engine."""
        assert self._process is not None and self._process.stdin is not None
        self._process.stdin.write(line.encode() + b"\n")

    async def kill(self) -> None:
        """Kill the process."""
        if self._process is not None and self._process.returncode is None:
            self._record.write(f"engine {self.name} is killed")
            self._process.kill()
            await self._process.wait()


class Daemon:
    """A daemon's process, started with the command of the deploy file."""

    def __init__(self, number: int, zone: str, store: str, folder: Path) -> None:
        ip = f"127.0.0.{number + 2}"
        self.name = f"front-{zone}-{number}"
        self.callers = free_address(ip)
        self._readiness = free_address(ip)
        ports = [split(free_address(ip))[1] for _ in range(2)]
        self._path = folder / f"{self.name}.yaml"
        self.log_path = folder / f"{self.name}.log"
        self._path.write_text(
            json.dumps(_settings(self, zone, ip, ports, store), indent=1)
        )
        self._process: asyncio.subprocess.Process | None = None

    @property
    def readiness(self) -> str:
        """Return the address of the readiness check."""
        return self._readiness

    @property
    def exit_code(self) -> int | None:
        """Return the exit code, None while the process runs."""
        return None if self._process is None else self._process.returncode

    @property
    def pid(self) -> int:
        """Return the id of the process."""
        assert self._process is not None
        return self._process.pid

    def cpu_s(self) -> float:
        """Return the processor time of the process so far."""
        fields = Path(f"/proc/{self.pid}/stat").read_text().rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    async def start(self) -> None:
        """Start the process as the deploy file says."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = deploy["roles"]["entry"]["run"].split()
        environment = {k: os.environ[k] for k in ("PATH", "HOME") if k in os.environ}
        environment |= {"AUBURNPROXY_CONFIG": str(self._path)}
        environment |= {"PYTHONPATH": str(ROOT / "target" / "deps")}
        environment |= {"PYTHONDONTWRITEBYTECODE": "1"}
        with self.log_path.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    async def ready(self) -> bool:
        """Return whether the readiness check answers 200 within a second."""
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(*split(self._readiness))
                writer.write(b"GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n")
                line = await reader.readline()
                writer.close()
                return b" 200 " in line
        return False

    async def kill(self) -> None:
        """Kill the process."""
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(signal.SIGCONT)
            self._process.kill()
            await self._process.wait()


def _settings(daemon: Daemon, zone: str, ip: str, ports: list[int], store: str) -> dict:
    """Return a process's settings, with the figures of the first site."""
    return {
        "node-name": daemon.name,
        "role": "entry",
        "machine-class": "front",
        "serves": ["front"],
        "ip": ip,
        "zone": zone,
        "region": "sudvestur",
        "zones": {"grandi-yard": "sudvestur", "hofdi-shop": "sudvestur"},
        "listen": {"front": daemon.callers, "readiness": daemon.readiness},
        "internal-ports": ports,
        "seeds": [],
        "bootstrap": True,
        "limits": {
            "cpu-share": 0.537,
            "cores": 2,
            "memory-mb": 300,
            "max-fds": 4100,
            "link-mbps": 1000.0,
        },
        "heartbeat-ms": 1200,
        "contracts": ["base", "drain", "config", "cost", "retry", "recover"]
        + ["engine", "stream", "tenants", "places", "platform", "gangs"],
        "bounds": {
            "settle-window-ms": 3000,
            "drain-ms": 2000,
            "grace-s": 8,
            "config-apply-ms": 2000,
            "retry-budget-ratio": 0.2,
            "budget-window-s": 10,
            "budget-slack": 103,
        },
        "platform": {"address": store, "form": "log", "writes-per-s": 400},
    }


def configuration(*, group_size: int = 2, **more: dict) -> dict:
    """Return the operator's configuration, with the figures of the first site.

    :param group_size: engines of one group
    :param more: fields of the route of that name that differ
    """

    def route(name: str, prefix: str, kind: str, service: str, **fields: Any) -> dict:
        return (
            {
                "name": name,
                "host": HOST,
                "path-prefix": prefix,
                "kind": kind,
                "service": service,
                "priority": 1,
                "max-attempts": 2,
                "timeout-ms": 800,
                "target-latency-ms": 150,
                "public": False,
            }
            | fields
            | more.get(name, {})
        )

    model = {"name": MODEL, "size": group_size, "share": 1.0, "pace": 1.0}
    model |= {"load_s": 12.0, "warm_s": 0.2}
    engine = {"slots": 9, "models": [model], "step_ms": 7.8, "per_seq_ms": 0.0947}
    engine |= {"read_per_s": 45_900.0, "stride": 5, "loads_at_once": 7}
    engine |= {"loads-per-s": 14.0, "form-ms": 300.0}
    stream = {"resumable": True, "session-affinity": True, "timeout-ms": 8000}
    stream |= {"target-latency-ms": 400, "gap-aim-ms": 300}
    limits = {"max-header-bytes": 16_384, "max-body-bytes": 4_194_304}
    limits |= {"header-timeout-ms": 5000, "idle-timeout-ms": 15_000}
    return {
        "version": 3,
        "routes": [
            route("frame-steps", STREAM_PATH, "streaming", MODEL_SERVICE, **stream),
            route("wool-order", ORDER_PATH, "non_idempotent", ORDER_SERVICE),
            route("stock-check", CHECK_PATH, "idempotent", ORDER_SERVICE),
        ],
        "services": [
            {"name": MODEL_SERVICE, "cold-start-s": 0, "engine": engine},
            {"name": ORDER_SERVICE, "cold-start-s": 0},
        ],
        "limits": limits,
        "tenants": [{"name": TENANT, "api-keys": [KEY]}],
    }


async def build(folder: Path, *, daemons: int, config: dict) -> Rig:
    """Return a deployment whose daemons run and know the configuration."""
    if not (ROOT / "target" / "deps").is_dir():
        raise CannotRunError("target/deps is missing: run the build of the deploy file")
    rig = Rig(folder)
    await rig.store.start()
    rig.store.put("keyed.op", "config", config)
    zones = ("grandi-yard", "hofdi-shop")
    for number in range(daemons):
        await rig.add_daemon(number, zones[number % 2])
    return rig


def run_case(
    folder: Path, play: Callable[[Callable, bool], Awaitable[list[str]]]
) -> None:
    """Play a case and exit as its result says.

    :param folder: folder of the case
    :param play: plays it, with or without the disruption, and returns a line for each
        breach of the rule; it gets a function that starts a deployment
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    code = COULD_NOT_RUN
    try:
        code = asyncio.run(_run(folder, play, trouble))
    except (CannotRunError, TimeoutError, OSError, asyncio.CancelledError) as error:
        print(f"could not run: {error!r}")
    sys.exit(code)


async def _run(folder: Path, play: Callable, trouble: bool) -> int:
    rigs: list[Rig] = []
    task = asyncio.current_task()
    assert task is not None
    for number in (signal.SIGTERM, signal.SIGINT):
        # Ends the processes that were started, like any other end.
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)

    async def start(**options: Any) -> Rig:
        rig = await build(folder, **options)
        rigs.append(rig)
        return rig

    try:
        async with asyncio.timeout(LIMIT_S):
            breaches = await play(start, trouble)
    finally:
        for rig in rigs:
            await rig.stop()
    for rig in rigs:
        for breach in breaches:
            rig.record.write(f"BROKEN: {breach}")
        rig.record.write("the rule was broken" if breaches else "the rule held")
    print(f"trouble: {trouble}; breaches: {len(breaches)}")
    for breach in breaches[:10]:
        print(f"  {breach}")
    return BROKEN if breaches else HELD
