"""Stand-ins on loopback for the users' platform: its store, engines and settings."""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import socket
import struct
import time
from collections.abc import AsyncIterator, Callable, Sequence
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

import yaml
from aiohttp import web

from auburnproxy.daemon.gateway_daemon import GatewayDaemon
from auburnproxy.daemon.gateway_services import callers_listener
from auburnproxy.daemon.listener import Listener
from auburnproxy.platform.adapter import PlatformAdapter
from features.fakes.endless import (
    FLOOD_BY_NAME,
    STAMP,
    send_endless_response,
    send_endlessly,
)
from features.fakes.heads import RawHead
from features.fakes.store import null_decisions
from features.loopback import free_addresses

FREEZE_S = 0.6
"""Time for which the whole process, with every daemon in it, is blocked."""
HOST = "works.example"
ATTEMPTS = 2
"""Maximum attempts per request in the configuration."""
STREAM_PATH, ONCE_PATH, SAFE_PATH, PUBLIC_PATH = "/s/", "/o/", "/i/", "/p/"
KEY = "key-1"
MODEL = "large"
EVENTS = 6
MODEL_SERVICES = frozenset({"engines", "engines-new"})
"""Services whose engines form replicas; by default only the first is configured."""
NOT_EXECUTED_ACTIONS = frozenset({"shed", "rest", "leaving refusal", "misdirect"})
"""Actions that answer without executing the request."""
SOUND_ACTIONS = NOT_EXECUTED_ACTIONS | {"ok", "leaving success", "leaving failure"}
"""Actions that send a complete response without delay."""


class StoreStandIn:
    """Subset of the store's HTTP API that the adapter uses, with records in memory."""

    def __init__(self) -> None:
        self.records_by_topic: dict[str, list[bytes]] = {}
        self.era: str | None = None
        """Value of the Store-Era header in responses, None to omit it."""
        self.first = 0
        self.refuse: Callable[[web.Request], bool] = lambda request: False
        self.silent = False
        """Whether requests, also those already waiting, never get a response."""
        self._appended = asyncio.Event()

    def app(self) -> web.Application:
        app = web.Application(client_max_size=2**24)
        app.on_response_prepare.append(self._add_era_header)
        app.router.add_get("/log-read", self._read)
        app.router.add_get("/log-newest", self._newest)
        app.router.add_post("/log-append", self._append)
        return app

    async def _add_era_header(self, request: web.Request, response) -> None:
        if self.era is not None:
            response.headers["Store-Era"] = self.era

    def restore_older_copy(self, counts: dict[str, int]) -> None:
        """Truncate each topic to a number of records and start a new era."""
        for topic, count in counts.items():
            del self.records_by_topic.get(topic, [])[count:]
        self.era = str(int(self.era or 0) + 1)

    def put(self, topic: str, key: str, value: object) -> None:
        text = b"" if value is None else json.dumps(value).encode()
        self._append_records(topic, [bytes([len(key)]) + key.encode() + text])

    def put_raw(self, topic: str, key: str, value: bytes) -> None:
        self._append_records(topic, [bytes([len(key)]) + key.encode() + value])

    def _append_records(self, topic: str, records: list[bytes]) -> int:
        found = self.records_by_topic.setdefault(topic, [])
        found += records
        turn, self._appended = self._appended, asyncio.Event()
        turn.set()
        return len(found)

    async def _hang_if_silent(self) -> None:
        if self.silent:
            await asyncio.Event().wait()

    async def _read(self, request: web.Request) -> web.Response:
        await self._hang_if_silent()
        if self.refuse(request):
            return web.Response(status=503)
        start = int(request.query["from"])
        topic = request.query["topic"]
        if not self.first <= start <= len(self.records_by_topic.get(topic, [])):
            return web.json_response({"first": self.first}, status=410)
        wait_s = int(request.query.get("wait-ms", 0)) / 1000
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                while len(self.records_by_topic.get(topic, [])) <= start:
                    await self._appended.wait()
        await self._hang_if_silent()
        if self.refuse(request):
            return web.Response(status=503)
        records = self.records_by_topic.get(topic, [])
        body = len(records).to_bytes(8, "big") + self.first.to_bytes(8, "big")
        body += b"".join(len(r).to_bytes(4, "big") + r for r in records[start:])
        return web.Response(body=body)

    async def _newest(self, request: web.Request) -> web.Response:
        if self.refuse(request):
            return web.Response(status=503)
        records = self.records_by_topic.get(request.query["topic"], [])
        newest: dict[str, tuple[bytes, int]] = {}
        for offset, record in enumerate(records):
            key = record[1 : 1 + record[0]].decode()
            newest[key] = (record[1 + record[0] :], offset)
        keys = sorted(k for k, (value, _) in newest.items() if value)
        keys = [k for k in keys if k > request.query.get("after", "")]
        items = [
            {
                "key": key,
                "value": base64.b64encode(newest[key][0]).decode(),
                "offset": newest[key][1],
            }
            for key in keys[:2]
        ]
        return web.json_response(
            {"items": items, "has-more": len(keys) > 2, "end": len(records)}
        )

    async def _append(self, request: web.Request) -> web.Response:
        if self.refuse(request):
            return web.Response(status=503)
        topic = request.query["topic"]
        end = len(self.records_by_topic.get(topic, []))
        if "at" in request.query and int(request.query["at"]) != end:
            return web.json_response({"end": end}, status=412)
        body, records = await request.read(), []
        while body:
            length = int.from_bytes(body[:4], "big")
            records.append(body[4 : 4 + length])
            body = body[4 + length :]
        return web.json_response(
            {"offset": end, "end": self._append_records(topic, records)}
        )


def _query_value(path: str, name: str, default: float) -> str | float:
    query = parse_qs(urlsplit(path).query)
    return query[name][0] if name in query else default


def event(number: int, size: int = 0) -> bytes:
    """Return an event of a stream, padded by some bytes."""
    return b"id: %d\ndata: token %d%b\n\n" % (number, number, b"." * size)


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection, as a crashing engine does."""
    linger = struct.pack("ii", 1, 0)
    connection = writer.get_extra_info("socket")
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


class EngineStandIn:
    """One engine that writes raw bytes, so that it can misbehave as real ones do.

    ``script`` holds the actions for successive requests; the last one repeats.
    """

    def __init__(self, name: str, address: str) -> None:
        self.name = name
        self.address = address
        self.script = ["ok"]
        self.requests: list[tuple[str, str, dict[str, str], bytes]] = []
        self.cancelled = 0
        self.part: dict[str, object] | None = None
        """The replica membership that it reports."""
        self.born = 1
        self.staged: list[str] = []
        self.on_order: Callable[[dict], None] = lambda order: None
        self.ran: list[str] = []
        """Ids of the requests that it executed."""
        self.ran_at: list[float] = []
        """Times at which it began to execute them."""
        self.ended_at: list[float] = []
        """Times at which its process ended."""
        self.asked_at: list[float] = []
        """Times at which it received anything, including probes and orders."""
        self.leaving_reports = False
        self.retry_after_s = "1.0"
        self.endless = ""
        """Kind of endless response that it sends; empty for none."""
        self.raw_head: RawHead | None = None
        """Head of its responses to report requests and orders, None for sound ones.
        A head in ``script`` is that of a response to a request."""
        self.byte_by_byte = False
        """Whether it writes a response with a head of the script in single bytes."""
        self.open_connections = 0
        self.events = EVENTS
        """Events of a stream, unless the query of its request has ``events``."""
        self.event_interval_s = 0.01
        """Pause after each event; the query ``interval`` overrides it."""
        self.answer = b"the whole answer"
        self.answer_delay_s = 0.0
        """Time that a plain answer takes; the query ``delay`` overrides it."""
        self.worked_until: dict[str, float] = {}
        """Times at which it ended its work on requests, by request id."""
        self.unsound_ids: set[str] = set()
        """Ids of the requests whose responses it broke off or held back."""
        self.limit = ""
        """Value of the header Server-Limit in its answers, empty to send none."""
        self.deadly_parts: set[str] = set()
        """Prompt parts on which it crashes as it begins an answer."""
        self.crashed_at_by_part: dict[str, list[float]] = {}
        """Times at which it crashed on each of them."""
        self.on_crash: Callable[[str], None] = lambda name: None
        """Called with its name when it crashes on a part."""
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))

    async def stop(self) -> None:
        if self._server is not None:
            self._server.close()
            self._server = None
            self.ended_at.append(time.monotonic())

    async def crash(self) -> None:
        """End the process: nothing listens any more, and all connections are reset."""
        await self.stop()
        for writer in tuple(self._writers):
            reset(writer)

    def _deadly_part(self, headers: dict[str, str]) -> str | None:
        """Return a part of a request's prompt on which the engine crashes, if any."""
        prefix = headers.get("prompt-prefix", "")
        parts = {part.partition(":")[0] for part in prefix.split(",")[:-1]}
        return next(iter(parts & self.deadly_parts), None)

    async def _crash_on(self, part: str, writer, headers: dict[str, str]) -> None:
        """Begin an answer without a length, and crash inside its first event."""
        self.unsound_ids.add(headers.get("attempt-id", ""))
        self.crashed_at_by_part.setdefault(part, []).append(time.monotonic())
        self._begin_stream(writer, headers, framed=False)
        writer.write(event(1)[:5])
        await writer.drain()
        await self.crash()
        self.on_crash(self.name)

    def _run(self, headers: dict[str, str]) -> None:
        self.ran.append(headers.get("attempt-id", ""))
        self.ran_at.append(time.monotonic())

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.open_connections += 1
        self._writers.add(writer)
        try:
            await self._serve_one(reader, writer)
        finally:
            self._writers.discard(writer)
            self.open_connections -= 1
            writer.close()

    async def _serve_one(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            first, *lines = head.strip().split("\r\n")
            headers = {k.lower(): v for k, v in (x.split(": ", 1) for x in lines)}
            body = await reader.readexactly(int(headers.get("content-length", 0)))
            method, path, _ = first.split(" ")
            self.asked_at.append(time.monotonic())
            report = {"models": [], "staged": self.staged}
            report |= {"born": self.born, "group": self.part}
            if self.raw_head is not None and path in ("/report", "/order"):
                writer.write(self.raw_head.respond("", json.dumps(report).encode()))
            elif path == "/report":
                more = "leaving" if self.leaving_reports else ""
                self._plain(writer, headers, json.dumps(report).encode(), more=more)
            elif path == "/order":
                self.on_order(json.loads(body))
                self._plain(writer, headers, b"", "202 Accepted")
            else:
                self.requests.append((method, path, headers, body))
                action = self.script.pop(0) if len(self.script) > 1 else self.script[0]
                if self.endless or action not in SOUND_ACTIONS:
                    self.unsound_ids.add(headers.get("attempt-id", ""))
                if self.endless:
                    self._run(headers)
                    await send_endless_response(
                        self.endless, writer, headers.get("attempt-id", "")
                    )
                    return
                if action not in NOT_EXECUTED_ACTIONS:
                    self._run(headers)
                try:
                    await self._act(action, reader, writer, path, headers)
                finally:
                    request_id = headers.get("attempt-id", "")
                    self.worked_until[request_id] = time.monotonic()
            await writer.drain()
        writer.close()

    def _plain(self, writer, headers, body, status="200 OK", more="") -> None:
        stamp = f"Engine-Stamp: {STAMP}\r\n" if "unsigned" not in more else ""
        request_id = "other" if "foreign" in more else headers.get("attempt-id", "")
        length = "" if "unframed" in more else f"Content-Length: {len(body)}\r\n"
        refused = "Not-Executed: 1\r\n" if "refused" in more else ""
        if "leaving" in more:
            refused += "Server-Leaving: 1\r\n"
        if self.limit:
            refused += f"Server-Limit: {self.limit}\r\n"
        if "rest" in more.split():
            refused += f"Retry-After: {self.retry_after_s}\r\n"
        head = f"HTTP/1.1 {status}\r\nAttempt-Id: {request_id}\r\n{stamp}{refused}"
        head += f"{length}Connection: close\r\n\r\n"
        writer.write(head.encode() + body)

    async def _act(self, action, reader, writer, path, headers) -> None:
        if (part := self._deadly_part(headers)) is not None:
            await self._crash_on(part, writer, headers)
        elif isinstance(action, RawHead):
            await self._respond_raw(action, writer, path, headers)
        elif action == "endless event":
            await send_endless_response("an event", writer, headers["attempt-id"])
        elif action.startswith("flood of "):
            self._begin_stream(writer, headers, framed=False)
            block = FLOOD_BY_NAME[action.removeprefix("flood of ")]
            await send_endlessly(writer, block * 8_000)
        elif path.startswith(STREAM_PATH) and action not in (
            "shed",
            "silent",
            "reset",
            "failed",
            "rest",
            "misdirect",
        ):
            await self._stream(action, reader, writer, headers | {":path": path})
        elif action == "ok":
            delay_s = float(_query_value(path, "delay", self.answer_delay_s))
            if not await self._closed_within(reader, delay_s):
                size = int(_query_value(path, "size", 0))
                self._plain(writer, headers, b"a" * size or self.answer)
        elif action == "failed":
            self._plain(writer, headers, b"boom", "500 Internal Server Error")
        elif action == "shed":
            self._plain(writer, headers, b"", "503 Service Unavailable", "refused")
        elif action == "misdirect":
            self._plain(writer, headers, b"", "421 Misdirected Request")
        elif action == "rest":
            status = "503 Service Unavailable"
            self._plain(writer, headers, b"", status, "refused rest")
        elif action == "leaving success":
            self._plain(writer, headers, b"the whole answer", more="leaving")
        elif action == "leaving failure":
            status = "500 Internal Server Error"
            self._plain(writer, headers, b"boom", status, "leaving")
        elif action == "leaving refusal":
            status = "503 Service Unavailable"
            self._plain(writer, headers, b"", status, "refused leaving")
        elif action == "second copy":
            await self._answer_twice(writer, headers)
        elif action == "short":
            head = f"HTTP/1.1 200 OK\r\nAttempt-Id: {headers['attempt-id']}\r\n"
            head += f"Engine-Stamp: {STAMP}\r\nContent-Length: 16\r\n\r\n"
            writer.write(head.encode() + b"the whole")
        elif action == "chunked cut":
            head = f"HTTP/1.1 200 OK\r\nAttempt-Id: {headers['attempt-id']}\r\n"
            head += f"Engine-Stamp: {STAMP}\r\nTransfer-Encoding: chunked\r\n\r\n"
            writer.write(head.encode() + b"9\r\nthe whole\r\n")
        elif action == "half a head":
            writer.write(b"HTTP/1.1 200 OK\r\nAttempt-")
        elif action == "silent close":
            writer.close()
        elif action == "reset":
            reset(writer)
        elif action == "silent":
            await self._until_closed(reader)
        elif action == "unframed reset":
            self._plain(writer, headers, b"the whole ans", more="unframed")
            await writer.drain()
            await asyncio.sleep(0.05)
            reset(writer)
        else:
            self._plain(writer, headers, b"the whole answer", more=action)

    async def _respond_raw(self, head: RawHead, writer, path, headers) -> None:
        body, more = self.answer, ()
        if path.startswith(STREAM_PATH):
            first = int(headers.get("last-event-id", 0)) + 1
            body = b"".join(event(n) for n in range(first, self.events + 1))
            more = (b"Content-Type: text/event-stream",)
        response = head.respond(headers["attempt-id"], body, *more)
        step = 1 if self.byte_by_byte else len(response)
        for start in range(0, len(response), step):
            writer.write(response[start : start + step])
            await writer.drain()
            if self.byte_by_byte:
                await asyncio.sleep(0.0005)

    async def _answer_twice(self, writer, headers) -> None:
        """Answer on a kept connection, then send a late duplicate of the answer."""
        request_id = headers["attempt-id"]
        body = f"answer to {request_id}"
        answer = f"HTTP/1.1 200 OK\r\nAttempt-Id: {request_id}\r\n"
        answer += f"Engine-Stamp: {STAMP}\r\nContent-Length: {len(body)}\r\n\r\n{body}"
        for _ in range(2):
            writer.write(answer.encode())
            await writer.drain()
            await asyncio.sleep(0.03)

    async def _trickle(self, writer) -> None:
        """Send single bytes at intervals that never complete an event."""
        for _ in range(100):
            writer.write(b"1\r\n:\r\n")
            await writer.drain()
            await asyncio.sleep(0.05)

    def _begin_stream(self, writer, headers, *, framed: bool, leaving=False) -> None:
        head = f"HTTP/1.1 200 OK\r\nAttempt-Id: {headers['attempt-id']}\r\n"
        head += f"Engine-Stamp: {STAMP}.{self.name}\r\n"
        if framed:
            head += "Transfer-Encoding: chunked\r\n"
        if self.limit:
            head += f"Server-Limit: {self.limit}\r\n"
        if leaving:
            head += "Server-Leaving: 1\r\n"
        head += "Content-Type: text/event-stream\r\nConnection: close\r\n\r\n"
        writer.write(head.encode())

    async def _stream(self, action, reader, writer, headers) -> None:
        path = headers[":path"]
        events = int(_query_value(path, "events", self.events))
        interval_s = float(_query_value(path, "interval", self.event_interval_s))
        start = int(headers.get("last-event-id", 0))
        if action == "unframed close":
            self._begin_stream(writer, headers, framed=False)
            return
        framed = not action.startswith("unframed")
        self._begin_stream(writer, headers, framed=framed, leaving=action == "leaving")
        pause_s = float(_query_value(path, "pause", 0.0))
        size = int(_query_value(path, "size", 0))
        for number in range(start + 1, events + 1):
            block = event(number, size)
            if action == "trickle from start" or (
                action == "trickle after event" and number == 4
            ):
                await self._trickle(writer)
                return
            if action == "close halfway" and number == 4:
                return
            if action == "unframed exit" and number == 4:
                await self.stop()
                return
            if action == "unframed cut" and number == 4:
                writer.write(block[:9])
                return
            if action in ("stall", "break") and number == 4:
                half = block[:9]
                writer.write(b"%x\r\n%b\r\n" % (len(half), half))
                await writer.drain()
                if action == "stall":
                    await self._until_closed(reader)
                else:
                    await asyncio.sleep(0.05)
                    reset(writer)
                return
            writer.write(b"%x\r\n%b\r\n" % (len(block), block) if framed else block)
            await writer.drain()
            if action == "freeze" and number == 4:
                time.sleep(FREEZE_S)  # noqa: ASYNC251
            await asyncio.sleep(0.2 if action == "slow" else interval_s)
            if number in (events // 2, events * 3 // 4):
                await asyncio.sleep(pause_s)
            if reader.at_eof():
                self.cancelled += 1
                return
        if framed:
            writer.write(b"0\r\n\r\n")

    async def _closed_within(self, reader, seconds: float) -> bool:
        """Return whether the daemon closed the connection within some seconds."""
        if not seconds:
            return False
        try:
            async with asyncio.timeout(seconds):
                await self._until_closed(reader)
        except TimeoutError:
            return False
        return True

    async def _until_closed(self, reader: asyncio.StreamReader) -> None:
        await reader.read()
        self.cancelled += 1


def config(*, version: int = 1, keys: tuple[str, ...] = (KEY,), **more) -> dict:
    """Return an operators' configuration in the platform's format."""

    def route(name, prefix, kind, service, **values):
        return {
            "name": name,
            "host": HOST,
            "path-prefix": prefix,
            "kind": kind,
            "timeout-ms": 3000,
            "target-latency-ms": 400,
            "priority": 1,
            "service": service,
            "max-attempts": ATTEMPTS,
            "public": False,
        } | values

    engine = {
        "slots": 9,
        "models": [{"name": MODEL, "size": 1, "share": 1.0, "pace": 1.0}],
        "step_ms": 8.0,
        "per_seq_ms": 0.2,
        "read_per_s": 45900.0,
        "stride": 5,
        "loads_at_once": 7,
        "loads-per-s": 5.0,
        "form-ms": 300.0,
        "unknown-field": [1, 2],
    }
    stream = {"resumable": True, "gap-aim-ms": 300, "session-affinity": True}
    return {
        "version": version,
        "routes": [
            route("s", STREAM_PATH, "streaming", "engines", **stream),
            route("o", ONCE_PATH, "non_idempotent", "plain"),
            route("i", SAFE_PATH, "idempotent", "plain"),
            route("p", PUBLIC_PATH, "idempotent", "plain", public=True),
        ],
        "services": [
            {"name": "engines", "cold-start-s": 3.0, "cold-per-s": 36.0}
            | {"engine": engine},
            {"name": "plain", "cold-start-s": 0.0, "cold-per-s": 0.0},
        ],
        "limits": {"max-body-bytes": 100_000, "idle-timeout-ms": 15000},
        "tenants": [{"name": "works", "api-keys": list(keys), "priority": 1}],
    } | more


class Site:
    """A store, engines and gateway daemons on loopback."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.contracts: list[str] = []
        """Contracts that the settings of its daemons name."""
        self.store = StoreStandIn()
        self.store_address = free_addresses(1)[0]
        self.engines: dict[str, EngineStandIn] = {}
        self.daemons: list[GatewayDaemon] = []
        self.addresses: list[str] = []
        self._runners: list[web.AppRunner] = []
        self._listeners: list[Listener] = []
        self._registration_fields: dict[str, dict[str, object]] = {}

    async def start(self) -> None:
        await self._listen(self.store.app(), self.store_address)

    async def add_engine(self, name: str, *, service="engines", zone="z1", **more):
        engine = EngineStandIn(name, free_addresses(1)[0])
        await engine.start()
        self.engines[name] = engine
        if service in MODEL_SERVICES:
            group = {"name": f"r-{name}", "epoch": 1, "rank": 0, "state": "open"}
            engine.part = group
            engine.on_order = lambda order: self._apply_order(
                name, zone, order, service
            )
        self.register(name, service=service, zone=zone, **more)
        return engine

    def _apply_order(self, name: str, zone: str, order: dict, service: str) -> None:
        """Apply an order at once; replicas here have one host."""
        engine = self.engines[name]
        operation = order["operation"]
        named = {"name": order.get("group"), "epoch": order.get("epoch"), "rank": 0}
        same = engine.part is not None and engine.part["name"] == named["name"]
        if operation == "join":
            engine.part = named | {"state": "ready"}
        elif operation == "open" and same:
            engine.part = named | {"state": "open"}
        elif operation == "close" and same:
            engine.part = named | {"state": "ready"}
        elif operation == "leave" and same:
            engine.part = None
        fields = self._registration_fields.get(name, {})
        self.register(name, service=service, zone=zone, **fields)

    def register(self, name: str, *, service="engines", zone="z1", **more) -> None:
        """Append an engine's registration and, for model engines, its own replica."""
        self._registration_fields[name] = more
        entry = {
            "service": service,
            "address": self.engines[name].address,
            "zone": zone,
            "version": "v1",
            "slots": 9,
            "state": "ready",
            "cold-remaining-ms": 0,
            "sequence": 1,
            "born": 1,
        }
        if service in MODEL_SERVICES:
            entry |= {
                "domain": "d0",
                "models": [{"name": MODEL, "version": 1}],
                "staged": [MODEL],
                "group": self.engines[name].part,
            }
            member = [name, 1, self.engines[name].address]
            replica = [f"r-{name}", 1, MODEL, f"{zone}/d0", [member]]
            if not any(
                f"replica/r-{name}".encode() in record
                for record in self.store.records_by_topic.get("keyed.replicas", [])
            ):
                self.store.put("keyed.replicas", f"replica/r-{name}", replica)
        self.store.put("keyed.servers", name, entry | more)

    async def add_daemon(self, name: str = "d1", *, zone: str = "z1") -> GatewayDaemon:
        callers, readiness, metrics, beats, internal = free_addresses(5)
        settings = {
            "node-name": name,
            "ip": "127.0.0.1",
            "zone": zone,
            "listen": {"front": callers, "readiness": readiness},
            "internal-ports": [int(beats[10:]), int(internal[10:])],
            "platform": {"address": self.store_address},
            "bounds": {
                "retry-budget-ratio": 0.2,
                "budget-slack": 103,
                "budget-window-s": 10,
                "grace-s": 8,
            },
            "contracts": self.contracts,
            "a-new-field": {"to": "ignore"},
        }
        path = self.folder / f"{name}.yaml"
        path.write_text(yaml.safe_dump(settings))
        daemon = GatewayDaemon(PlatformAdapter(path), decisions=null_decisions())
        self.daemons.append(daemon)
        self.addresses.append(callers)
        listener = callers_listener(daemon)
        await listener.start()
        self._listeners.append(listener)
        daemon.start()
        await self._listen(daemon.readiness_application(), readiness)
        await self._listen(daemon.internal_application(), internal)
        return daemon

    async def _listen(self, app: web.Application, address: str) -> None:
        runner = web.AppRunner(
            app, handler_cancellation=True, shutdown_timeout=0.1, access_log=None
        )
        await runner.setup()
        host, _, port = address.rpartition(":")
        await web.TCPSite(runner, host, int(port)).start()
        self._runners.append(runner)

    async def stop(self) -> None:
        for daemon in self.daemons:
            daemon.drained.set()
            daemon.health.close()
            daemon.exits.close()
            daemon.peer_sync.close()
            daemon._registration_task.cancel()
            await daemon.tasks.cancel()
            await daemon._session.close()
            await daemon._store.close()
            await daemon.engine_commands.close_connections()
        for listener in self._listeners:
            await listener.stop()
        for engine in self.engines.values():
            await engine.stop()
        for runner in self._runners:
            await runner.cleanup()


@contextlib.asynccontextmanager
async def running_site(
    folder: Path,
    *,
    engines: int = 2,
    era: str | None = None,
    contracts: Sequence[str] = (),
) -> AsyncIterator[Site]:
    """Run a site with some engines of each kind and one daemon that is ready."""
    site = Site(folder)
    site.store.era = era
    site.contracts = list(contracts)
    await site.start()
    site.store.put("keyed.op", "config", config())
    # Another site's daemon is the leader, so that no replicas are formed here.
    site.store.put_raw("keyed.replicas", "duty", b"elsewhere")
    for number in range(engines):
        await site.add_engine(f"e{number}")
        await site.add_engine(f"p{number}", service="plain")
    daemon = await site.add_daemon()
    until = time.monotonic() + 5
    while not daemon.ready or len(daemon.directory.hosts) < 2 * engines:
        assert time.monotonic() < until, "the daemon is not ready"
        await asyncio.sleep(0.02)
    try:
        yield site
    finally:
        await site.stop()
