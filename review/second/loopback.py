"""A small deployment on loopback: a store, engines that form groups, and daemons."""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import os
import random
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
from collections import defaultdict
from collections.abc import Awaitable, Callable
from pathlib import Path

import yaml
from aiohttp import web

ROOT = Path(__file__).resolve().parents[2]
HOST, KEY, TENANT = "ficu95.example", "n2ctnfzs989anu6wsjnb", "hule930"
GROUP_SERVICE, PLAIN_SERVICE, MODEL = "model-desk", "order-ledger", "m1"
STREAM_PATH, ONCE_PATH, SAFE_PATH = "/steps/", "/order/", "/check/"
HEARTBEAT_S = 1.2
SILENT_INTERVALS = 3
STALL_S = 5.0
FORM_S = 0.3
WARM_S, REJOIN_S, LOAD_S = 1.1, 0.2, 12.0
LONGEST_S = 112.0
"""A case runs for 120 seconds at most."""
HELD, BROKEN, NOT_RUN = 0, 1, 2
SINGLE_BYTES = b"1\r\n:\r\n" * 1000
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


def free_port(host: str = "127.0.0.1") -> int:
    """Return a port that nobody uses now."""
    with socket.socket() as probe:
        probe.bind((host, 0))
        return int(probe.getsockname()[1])


class Record:
    """Writes what happened to a file, with the seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._began = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._began

    def write(self, text: str) -> None:
        """Write a line."""
        self._file.write(f"{self.now():8.3f} {text}\n")
        self._file.flush()


class Store:
    """The platform's keyed log; each daemon reaches it by a door of its own."""

    def __init__(self) -> None:
        self.records: defaultdict[str, list[tuple[str, bytes]]] = defaultdict(list)
        self.silent: set[str] = set()
        """Doors that answer nothing."""
        self.era: int | None = None
        self._grown = asyncio.Event()
        self._runners: list[web.AppRunner] = []

    async def open_door(self, name: str) -> str:
        """Listen for one daemon, and return the address."""
        app = web.Application(client_max_size=2**24)

        async def hang_if_silent() -> None:
            while name in self.silent:  # noqa: ASYNC110
                await asyncio.sleep(3600)

        async def era(request: web.Request, response: web.StreamResponse) -> None:
            if self.era is not None:
                response.headers["Store-Era"] = str(self.era)

        async def call(request: web.Request) -> web.Response:
            await hang_if_silent()
            response = await self._call(request)
            await hang_if_silent()
            return response

        app.on_response_prepare.append(era)
        app.router.add_route("*", "/{path:.*}", call)
        runner = web.AppRunner(app, handler_cancellation=True, shutdown_timeout=0.1)
        await runner.setup()
        port = free_port()
        await web.TCPSite(runner, "127.0.0.1", port).start()
        self._runners.append(runner)
        return f"127.0.0.1:{port}"

    async def stop(self) -> None:
        """Close all doors."""
        for runner in self._runners:
            await runner.cleanup()

    def put(self, topic: str, key: str, value: object) -> int:
        """Append a record as JSON, None to drop the key."""
        data = b"" if value is None else json.dumps(value).encode()
        return self._append(topic, [(key, data)])

    def newest(self, topic: str) -> dict[str, tuple[bytes, int]]:
        """Return the newest value of each key with its offset."""
        found = {}
        for offset, (key, value) in enumerate(self.records[topic]):
            found[key] = (value, offset)
        return {k: v for k, v in found.items() if v[0]}

    def _append(self, topic: str, records: list[tuple[str, bytes]]) -> int:
        self.records[topic] += records
        grown, self._grown = self._grown, asyncio.Event()
        grown.set()
        return len(self.records[topic])

    async def _call(self, request: web.Request) -> web.Response:
        topic = request.query.get("topic", "")
        records = self.records[topic]
        if request.path == "/log-newest":
            newest = sorted(self.newest(topic).items())
            newest = [n for n in newest if n[0] > request.query.get("after", "")]
            items = [
                {"key": k, "value": base64.b64encode(v).decode(), "offset": offset}
                for k, (v, offset) in newest[:500]
            ]
            body = {"items": items, "has-more": len(newest) > 500, "end": len(records)}
            return web.json_response(body)
        if request.path == "/log-read":
            start = int(request.query["from"])
            if start > len(records):
                return web.json_response({"first": 0}, status=410)
            until = time.monotonic() + int(request.query.get("wait-ms", 0)) / 1000
            while len(records) <= start and (left := until - time.monotonic()) > 0:
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self._grown.wait(), left)
            body = len(records).to_bytes(8, "big") + bytes(8)
            for key, value in records[start:]:
                data = bytes([len(key.encode())]) + key.encode() + value
                body += len(data).to_bytes(4, "big") + data
            return web.Response(body=body)
        if request.path == "/log-append":
            if topic in ("keyed.op", "keyed.servers"):
                return web.Response(status=403)
            if "at" in request.query and int(request.query["at"]) != len(records):
                return web.json_response({"end": len(records)}, status=412)
            data, found = await request.read(), []
            while data:
                length = int.from_bytes(data[:4], "big")
                record, data = data[4 : 4 + length], data[4 + length :]
                key_end = 1 + record[0]
                found.append((record[1:key_end].decode(), record[key_end:]))
            start = len(records)
            end = self._append(topic, found)
            return web.json_response({"offset": start, "end": end})
        return web.Response(status=404)


def configuration(version: int = 1, **more: object) -> dict[str, object]:
    """Return an operator's configuration, as the pages tell it."""

    def route(name: str, prefix: str, kind: str, service: str, **values: object):
        return {
            "name": name,
            "host": HOST,
            "path-prefix": prefix,
            "kind": kind,
            "timeout-ms": 6000,
            "target-latency-ms": 300,
            "priority": 1,
            "service": service,
            "max-attempts": 2,
        } | values

    engine = {
        "slots": 17,
        "models": [
            {
                "name": MODEL,
                "size": 2,
                "share": 1.0,
                "pace": 0.6,
                "load-s": LOAD_S,
                "warm-s": WARM_S,
            }
        ],
        "step_ms": 7.8,
        "per_seq_ms": 0.0947,
        "read_per_s": 45900.0,
        "stride": 5,
        "loads_at_once": 7,
        "loads-per-s": 5.0,
        "form-ms": 300.0,
        "far_x": 3.0,
        "usual": {"prompt": 900, "answer": 170},
    }
    stream = {"resumable": True, "gap-aim-ms": 200, "session-affinity": True}
    return {
        "version": version,
        "routes": [
            route("steps", STREAM_PATH, "streaming", GROUP_SERVICE, **stream),
            route("order", ONCE_PATH, "non_idempotent", PLAIN_SERVICE),
            route("check", SAFE_PATH, "idempotent", PLAIN_SERVICE),
        ],
        "services": [
            {"name": GROUP_SERVICE, "engine": engine},
            {"name": PLAIN_SERVICE},
        ],
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 4194304,
            "header-timeout-ms": 5000,
            "idle-timeout-ms": 15000,
        },
        "tenants": [{"name": TENANT, "api-keys": [KEY]}],
    } | more


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection, as an engine does that lives and breaks an answer off."""
    linger = struct.pack("ii", 1, 0)
    connection = writer.get_extra_info("socket")
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


class GroupEngine:
    """An engine of the model service, which obeys orders and streams events."""

    def __init__(self, name: str, zone: str, engines: GroupEngines) -> None:
        self.name, self.zone = name, zone
        self.address = ""
        self.cut = False
        """Whether its machine is partitioned from everything."""
        self.cut_at = 0.0
        self.born = int(time.time() * 1000)
        self.staged: list[str] = []
        self.last_model = ""
        self.group: dict[str, object] | None = None
        self.members: list[str] = []
        self.busy = False
        self.running = 0
        self._engines = engines
        self._epoch = -1
        self._known: dict[tuple[str, int], list[str]] = {}
        self._sequence = 0
        self._beat = 0
        self._task: asyncio.Task[None] | None = None
        self._stagings: list[asyncio.Task[None]] = []
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.draining = self.ended = False
        self.rest_s = 0.0
        """Pause that it asks for when it turns requests away, which it does then."""
        self.turned_away = 0
        self.endless = False
        """Whether it answers with chunks of one byte without end."""

    async def start(self) -> None:
        """Listen and register."""
        port = free_port()
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        self.address = f"127.0.0.1:{port}"
        self.register()

    async def stop(self) -> None:
        """End: nothing listens, and the kernel closes all connections."""
        self.ended = True
        for task in (self._task, *self._stagings):
            if task is not None:
                task.cancel()
        if self._server is not None:
            self._server.close()
        for writer in tuple(self._writers):
            writer.close()

    def told(self) -> dict[str, object]:
        """Return what the engine says of itself."""
        models = [{"name": self.last_model, "version": 1, "adapters": []}]
        return {
            "stage": "both",
            "models": models if self.last_model else [],
            "staged": list(self.staged),
            "domain": 1,
            "group": self.group,
            "busy": self.busy,
            "born": self.born,
        }

    def register(self) -> None:
        """Write the entry to the store, unless the machine is cut off."""
        if self.cut or self.ended:
            return
        self._beat += 1
        entry = self.told() | {
            "service": GROUP_SERVICE,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 17,
            "state": "draining" if self.draining else "ready",
            "cold-remaining-ms": 0,
            "sequence": self._beat,
        }
        self._engines.store.put("keyed.servers", self.name, entry)

    @property
    def serves(self) -> bool:
        """Return whether it is a head that is open or closing."""
        return self.group is not None and self.group["state"] in ("open", "closing")

    def break_group(self) -> None:
        """Cut off the work of a head that has stood still for too long."""
        assert self.group is not None
        self._engines.record.write(
            f"{self.name}'s group {self.group['name']} is broken"
        )
        self._set(self.group | {"state": "broken"})

    async def _until_healed(self) -> None:
        while self.cut:  # noqa: ASYNC110
            await asyncio.sleep(0.02)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            await self._until_healed()
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            first, *lines = head.strip().split("\r\n")
            headers = {k.lower(): v for k, v in (x.split(": ", 1) for x in lines)}
            body = await reader.readexactly(int(headers.get("content-length", 0)))
            path = first.split(" ")[1]
            if reader.at_eof():
                return
            if headers.get("expect-instance", self.name) != self.name:
                self._answer(writer, 421, headers)
            elif path == "/report":
                load = {"num-waiting": 0, "num-running": self.running, "kv-used": 0}
                load |= {"sequence": self._sequence, "kv-total": 1860000}
                self._answer(writer, 200, headers, self.told() | load)
            elif path == "/order":
                order = json.loads(body)
                status = await self._engines.late(self, order, writer)
                if status:
                    self._answer(writer, status, headers)
            else:
                await self._run(reader, writer, headers, body)
            await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    def _answer(
        self,
        writer: asyncio.StreamWriter,
        status: int,
        headers: dict[str, str],
        value: object = None,
        more: str = "",
    ) -> None:
        body = b"" if value is None else json.dumps(value).encode()
        head = f"HTTP/1.1 {status} -\r\nContent-Length: {len(body)}\r\n{more}"
        if "attempt-id" in headers:
            head += f"Attempt-Id: {headers['attempt-id']}\r\n"
        writer.write(head.encode() + b"Connection: close\r\n\r\n" + body)

    def obey(self, order: dict) -> int:
        """Carry out an order, and return the status of the answer."""
        status = self._obey(order)
        self._engines.record.write(
            f"order {order['operation']} {order.get('group', '')} "
            f"epoch {order.get('epoch', '')} at {self.name}: {status}"
        )
        return status

    def _obey(self, order: dict) -> int:
        operation = order["operation"]
        if operation == "stage":
            if order["model"] in self.staged:
                return 200
            if not self.busy:
                self._sequence += 1
                task = asyncio.create_task(self._stage(order["model"]))
                self._stagings.append(task)
            return 202
        name, epoch = order["group"], order["epoch"]
        own = self.group is not None and (self.group["name"], self.group["epoch"]) == (
            name,
            epoch,
        )
        if operation == "join":
            members = order["members"]
            known = self._known.setdefault((name, epoch), members)
            if epoch < self._epoch or known != members:
                return 412
            if own and self.group["state"] != "broken":
                return 200
            self._engines.check_join(self, order)
            self._epoch, self.members = epoch, members
            self._begin(self._join(name, epoch, order["model"]))
            return 202
        if not own:
            return 200 if operation in ("leave", "close") else 409
        if operation == "leave":
            self._set(None)
            return 200
        if operation == "open":
            if self.group["state"] == "open":
                return 200
            if self.group["state"] != "ready":
                return 409
            self._begin(self._open(name, epoch))
            return 202
        if operation == "close":
            self._set(self.group | {"state": "closing"})
            self._begin(self._close(name, epoch))
            return 202
        return 400

    def _begin(self, work) -> None:
        if self._task is not None:
            self._task.cancel()
        self._sequence += 1
        self._task = asyncio.create_task(work)

    def _set(self, group: dict[str, object] | None) -> None:
        self.group = group
        self.register()

    async def _stage(self, model: str) -> None:
        self.busy = True
        await asyncio.sleep(LOAD_S / self._engines.haste)
        self.staged, self.busy = [model], False
        self.register()

    async def _join(self, name: str, epoch: int, model: str) -> None:
        rank = self.members.index(self.name)
        group = {"name": name, "epoch": epoch, "rank": rank, "state": "joining"}
        self._set(group)
        if self.last_model == model:
            await asyncio.sleep(REJOIN_S)
        elif model in self.staged:
            await asyncio.sleep(WARM_S / self._engines.haste)
        else:
            await asyncio.sleep(LOAD_S / self._engines.haste)
        self.staged, self.last_model = [model], model
        self._set(group | {"state": "ready"})

    async def _open(self, name: str, epoch: int) -> None:
        await asyncio.sleep(FORM_S)
        self._set(self.group | {"state": "open"})

    async def _close(self, name: str, epoch: int) -> None:
        while self.running:  # noqa: ASYNC110
            await asyncio.sleep(0.02)
        self._set(self.group | {"state": "ready"})

    async def _run(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        headers: dict[str, str],
        body: bytes,
    ) -> None:
        attempt = headers.get("attempt-id", "")
        refused = "Not-Executed: 1\r\n"
        if self.group is None or self.group["rank"] != 0:
            self._answer(writer, 421, headers, more=refused)
            return
        if self.group["state"] != "open":
            self._answer(writer, 503, headers, more=refused)
            return
        if self.rest_s:
            self.turned_away += 1
            refused += f"Retry-After: {self.rest_s}\r\n"
            self._answer(writer, 503, headers, more=refused)
            return
        group = self.group["name"]
        start, events = int(headers.get("last-event-id") or 0), int(body or b"20")
        note = self._engines.record.write
        note(f"run {attempt} from event {start + 1} at {self.name} in {group}")
        framed = self._engines.framed
        self.running += 1
        try:
            await asyncio.sleep(0.1)
            head = f"HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\n"
            head += f"Engine-Stamp: {self.name}.{attempt}\r\n"
            head += "Transfer-Encoding: chunked\r\n" if framed else ""
            head += "Content-Type: text/event-stream\r\nConnection: close\r\n\r\n"
            writer.write(head.encode())
            if self.endless:
                note(f"{attempt} gets single bytes without end from {self.name}")
                while self.endless:
                    writer.write(SINGLE_BYTES)
                    await writer.drain()
                return
            for number in range(start + 1, events + 1):
                await asyncio.sleep(0.1)
                while self.serves and self._engines.stands_still(self):  # noqa: ASYNC110
                    await asyncio.sleep(0.02)
                if not self.serves or self.ended or self.group["name"] != group:
                    note(f"{attempt} ends after event {number - 1} at {self.name}")
                    if not self.ended:
                        reset(writer)
                    return
                if reader.at_eof():
                    return
                data = b"id: %d\ndata: %d\n\n" % (number, number)
                if framed:
                    data = b"%x\r\n%b\r\n" % (len(data), data)
                writer.write(data)
                await writer.drain()
            if framed:
                writer.write(b"0\r\n\r\n")
            note(f"{attempt} is whole after event {events} at {self.name}")
        finally:
            self.running -= 1


class GroupEngines:
    """All engines of the model service; checks each join."""

    def __init__(self, store: Store, record: Record) -> None:
        self.store, self.record = store, record
        self.by_name: dict[str, GroupEngine] = {}
        self.haste = 10.0
        """Loads take a tenth of their time before the first request."""
        self.violations: list[str] = []
        self.framed = True
        """Whether streams come in chunks, or end with their connections."""
        self.late_share = 0.0
        """Share of the orders that get no answer and are carried out late."""
        self._late: set[asyncio.Task[None]] = set()

    async def late(
        self, engine: GroupEngine, order: dict, writer: asyncio.StreamWriter
    ) -> int:
        """Return the status of an order's answer, 0 if it is carried out late."""
        if random.random() >= self.late_share:
            return engine.obey(order)
        seconds = random.uniform(2.0, 12.0)
        self.record.write(
            f"order {order['operation']} {order.get('group', '')} at {engine.name} "
            f"gets no answer and is carried out {seconds:.1f} s later"
        )

        async def obey() -> None:
            await asyncio.sleep(seconds)
            engine.obey(order)

        task = asyncio.create_task(obey())
        self._late.add(task)
        await asyncio.sleep(2.0)
        return 0

    async def add(self, name: str, zone: str) -> None:
        """Start an engine."""
        self.by_name[name] = engine = GroupEngine(name, zone, self)
        await engine.start()

    async def run(self) -> None:
        """Write heartbeats, expire silent entries and break stalled heads."""
        beaten: dict[str, float] = {}
        stood: dict[str, float] = {}
        while True:
            now = time.monotonic()
            for name, engine in self.by_name.items():
                if not (engine.serves and self.stands_still(engine)):
                    stood.pop(name, None)
                elif now - stood.setdefault(name, now) > STALL_S:
                    engine.break_group()
                if now - beaten.get(name, 0.0) >= HEARTBEAT_S:
                    beaten[name] = now
                    engine.register()
                silent_s = now - engine.cut_at if engine.cut else 0.0
                if silent_s > SILENT_INTERVALS * HEARTBEAT_S and name in (
                    self.store.newest("keyed.servers")
                ):
                    self.store.put("keyed.servers", name, None)
            await asyncio.sleep(0.05)

    def open_heads(self) -> list[str]:
        """Return the heads that serve."""
        return [
            engine.name
            for engine in self.by_name.values()
            if engine.group is not None and engine.group["state"] == "open"
        ]

    def busiest_head(self) -> GroupEngine:
        """Return the head with most streams at work."""
        heads = [self.by_name[name] for name in self.open_heads()]
        return max(heads, key=lambda head: 0 if head.draining else head.running)

    def stands_still(self, head: GroupEngine) -> bool:
        """Return whether a head waits for a member, which may break it."""
        group = head.group
        if head.cut:
            return True
        if group is None:
            return False
        away = [
            m
            for m in map(self.by_name.get, head.members)
            if m is not None
            and (
                m.cut or m.ended or m.group is None or m.group["name"] != group["name"]
            )
        ]
        return bool(away)

    def check_join(self, engine: GroupEngine, order: dict) -> None:
        """Note a join that takes an engine from a group whose head is open."""
        old = engine.group
        if old is None or old["name"] == order["group"]:
            return
        head = self.by_name[engine.members[0]]
        if head.group is not None and head.group["name"] == old["name"]:
            state = head.group["state"]
            if state in ("open", "closing"):
                text = (
                    f"TWO: {engine.name} takes the join of {order['group']} while "
                    f"{head.name}, the head of its group {old['name']}, is {state} "
                    f"with {head.running} streams at work"
                )
                self.violations.append(text)

    async def stop(self) -> None:
        """Stop all engines."""
        for task in self._late:
            task.cancel()
        for engine in self.by_name.values():
            await engine.stop()


class Daemon:
    """One process of the deploy file's role, on a loopback address of its own."""

    def __init__(self, number: int, zone: str, store: str, folder: Path) -> None:
        self.name, self.zone = f"front-{zone}-{number}", zone
        self._ip = f"127.0.0.{number + 2}"
        ports = [free_port(self._ip) for _ in range(4)]
        self.front = f"{self._ip}:{ports[0]}"
        self.log = folder / f"{self.name}.log"
        self._settings = folder / f"{self.name}.yaml"
        settings = {
            "node-name": self.name,
            "ip": self._ip,
            "zone": zone,
            "listen": {"front": self.front, "readiness": f"{self._ip}:{ports[1]}"},
            "internal-ports": ports[2:],
            "bootstrap": True,
            "limits": {
                "cpu-share": 0.537,
                "cores": 2,
                "memory-mb": 300,
                "max-fds": 4100,
            },
            "contracts": ["base", "drain", "config", "retry", "recover", "engine"]
            + ["stream", "tenants", "places", "platform", "gangs"],
            "bounds": {
                "settle-window-ms": 3000,
                "drain-ms": 2000,
                "grace-s": 8,
                "config-apply-ms": 2000,
                "retry-budget-ratio": 0.2,
                "budget-window-s": 10,
                "budget-slack": 103,
                "stall-ms": 5000,
            },
            "platform": {"address": store, "form": "log"},
        }
        self._write(settings)
        self._values = settings
        self._process: subprocess.Popen[bytes] | None = None

    def _write(self, settings: dict[str, object]) -> None:
        self._settings.write_text(yaml.safe_dump(settings))

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = deploy["roles"]["entry"]["run"].split()
        command[0] = sys.executable
        deps = str(ROOT / "target/deps")
        keep = ("PATH", "HOME", "LANG")
        variables = {k: v for k, v in os.environ.items() if k in keep}
        variables |= {
            "AUBURNPROXY_CONFIG": str(self._settings),
            "PYTHONPATH": deps,
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        with self.log.open("ab") as log:
            self._process = subprocess.Popen(
                command, cwd=ROOT, env=variables, stdout=log, stderr=log
            )

    def restart(self) -> None:
        """Start again; only the first start of the whole system is a bootstrap."""
        self._write(self._values | {"bootstrap": False})
        self.start()

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self._process is not None
        if self._process.poll() is None:
            os.kill(self._process.pid, number)

    @property
    def exit_code(self) -> int | None:
        """Return the exit code, None while the process runs."""
        assert self._process is not None
        return self._process.poll()

    def cpu_s(self) -> float:
        """Return the processor time that the process has taken."""
        assert self._process is not None
        fields = Path(f"/proc/{self._process.pid}/stat").read_text().split()
        return (int(fields[13]) + int(fields[14])) / os.sysconf("SC_CLK_TCK")

    def end(self) -> None:
        """End the process, if it runs."""
        if self._process is not None:
            self.send(signal.SIGCONT)
            self.send(signal.SIGKILL)
            self._process.wait()


class Answer:
    """What a client has received for one request."""

    def __init__(self) -> None:
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b""
        self.whole = False
        """Whether it looks complete."""


def new_id() -> str:
    """Return the id of a client attempt."""
    return f"{random.getrandbits(64):016x}"


async def ask(
    address: str,
    method: str,
    path: str,
    attempt: str,
    *,
    body: bytes = b"",
    deadline_ms: int = 6000,
    headers: dict[str, str] | None = None,
    on_bytes: Callable[[int], None] = lambda size: None,
) -> Answer:
    """Send one request on a new connection and return what came back."""
    host, _, port = address.rpartition(":")
    answer = Answer()
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"Attempt-Id: {attempt}"]
    lines += [f"Api-Key: {KEY}", f"Deadline-Ms: {deadline_ms}", "Connection: close"]
    lines += [f"{k}: {v}" for k, v in (headers or {}).items()]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    writer = None
    try:
        async with asyncio.timeout(deadline_ms / 1000 + 1):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            first, *rest = head.strip().split("\r\n")
            answer.status = int(first.split(" ")[1])
            answer.headers = {
                k.lower(): v for k, v in (line.split(": ", 1) for line in rest)
            }
            if answer.headers.get("transfer-encoding") == "chunked":
                while size := int(await reader.readuntil(b"\r\n"), 16):
                    answer.body += (await reader.readexactly(size + 2))[:-2]
                    on_bytes(size)
                await reader.readuntil(b"\r\n")
                answer.whole = True
            elif "content-length" in answer.headers:
                length = int(answer.headers["content-length"])
                answer.body = await reader.readexactly(length)
                answer.whole = True
            else:
                answer.body = await reader.read()
                answer.whole = True
    except asyncio.IncompleteReadError as error:
        answer.body += error.partial
    except (OSError, TimeoutError, ValueError):
        pass
    finally:
        if writer is not None:
            writer.close()
    return answer


def run_case(folder: Path, play: Callable[[Path, Record], Awaitable[list[str]]]) -> int:
    """Play a case, which returns how the rule was broken, and return the exit code."""
    record = Record(folder / "record.txt")

    async def play_in_time(place: Path) -> list[str]:
        # Ends the processes of the case also when the case itself is ended.
        task = asyncio.current_task()
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        async with asyncio.timeout(LONGEST_S):
            return await play(place, record)

    with tempfile.TemporaryDirectory() as place:
        try:
            broken = asyncio.run(play_in_time(Path(place)))
            code = BROKEN if broken else HELD
        except (Exception, asyncio.CancelledError):
            broken, code = traceback.format_exc().splitlines(), NOT_RUN
        for log in sorted(Path(place).glob("*.log")):
            if not broken:
                break
            lines = log.read_text(errors="replace").splitlines()
            for line in [x for x in lines if '"kind":"task_failed"' in x]:
                record.write(f"log of {log.stem}: {line}")
    for text in broken:
        record.write(text)
        print(text)
    outcome = {HELD: "the rule held", BROKEN: "the rule was broken"}
    record.write(f"exit code {code}: {outcome.get(code, 'the case could not run')}")
    print(outcome.get(code, "the case could not run"))
    return code
