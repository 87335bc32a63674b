"""Stand-in for an engine: plain answers, event streams and the orders of groups."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Callable

STAMP = "3e1b.07.5a2.600.0.c9f2a4d1"


class Engine:
    """An engine that follows PROTOCOL.md unless a script changes its hooks.

    :param name: its id
    :param address: IP address and port
    :param service: the service that it runs
    :param zone: its zone
    """

    def __init__(self, name: str, address: str, *, service: str, zone: str) -> None:
        self.name, self.address = name, address
        self.service, self.zone = service, zone
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.ran: list[tuple[str, str, dict[str, str], bytes]] = []
        """Method and path, id, headers and body of each request that ran."""
        self.work_s = 0.02
        self.events, self.event_s = 0, 0.05
        self.framed = True
        self.model = ""
        self.group: dict[str, object] | None = None
        self.refuse: Callable[[], dict[str, str] | None] = lambda: None
        """Returns headers of a 503 with Not-Executed, or None to run the request."""
        self.arrived_at: list[float] = []
        self.on_change: Callable[[], None] = lambda: None
        self.on_run: Callable[[str], None] = lambda attempt: None
        self._server: asyncio.Server | None = None

    def entry(self) -> dict[str, object]:
        """Return its entry in the store."""
        self.sequence += 1
        entry: dict[str, object] = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "1",
            "slots": 9,
            "state": "ready",
            "cold-remaining-ms": 0,
            "sequence": self.sequence,
            "born": self.born,
        }
        return entry | self._parts()

    def _parts(self) -> dict[str, object]:
        if not self.model:
            return {}
        parts: dict[str, object] = {"domain": self.zone + "-d0", "staged": [self.model]}
        parts["models"] = [] if self.group is None else [_model(self.model)]
        if self.group is not None:
            parts["group"] = self.group
        return parts

    async def start(self) -> None:
        """Listen at its address."""
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))

    async def stop(self) -> None:
        """Close the listener."""
        if self._server is not None:
            self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            await self._serve_one(reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def _serve_one(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        first, *lines = head.strip().split("\r\n")
        pairs = (line.partition(":") for line in lines)
        headers = {name.lower(): value.strip() for name, _, value in pairs}
        body = await reader.readexactly(int(headers.get("content-length", 0)))
        method, path, _ = first.split(" ", 2)
        if headers.get("expect-instance", self.name) != self.name:
            self._answer(writer, headers, 421, b"", {"Not-Executed": "1"})
        elif path == "/report":
            report = {"stage": "both", "busy": False, "sequence": 0, "born": self.born}
            report |= {"models": [], "num-waiting": 0, "num-running": 0}
            self._answer(writer, headers, 200, json.dumps(report | self._parts()))
        elif path == "/order":
            status = self._order(json.loads(body))
            self._answer(writer, headers, status, b"")
        else:
            await self._run(reader, writer, f"{method} {path}", headers, body)
        await writer.drain()

    async def _run(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        request: str,
        headers: dict[str, str],
        body: bytes,
    ) -> None:
        self.arrived_at.append(time.monotonic())
        refusal = self.refuse()
        if refusal is not None:
            refusal = refusal | {"Not-Executed": "1"}
            self._answer(writer, headers, 503, b"", refusal)
            return
        self.ran.append((request, headers.get("attempt-id", ""), headers, body))
        self.on_run(headers.get("attempt-id", ""))
        await asyncio.sleep(self.work_s)
        if not self.events:
            text = f"{self.name} answers {headers.get('attempt-id', '')}"
            self._answer(writer, headers, 200, text)
            return
        self._begin_stream(writer, headers)
        start = int(headers.get("last-event-id", 0)) + 1
        for number in range(start, self.events + 1):
            event = b"id: %d\ndata: piece %d\n\n" % (number, number)
            if self.framed:
                event = b"%x\r\n%b\r\n" % (len(event), event)
            writer.write(event)
            await writer.drain()
            await asyncio.sleep(self.event_s)
        if self.framed:
            writer.write(b"0\r\n\r\n")

    def _begin_stream(
        self, writer: asyncio.StreamWriter, headers: dict[str, str]
    ) -> None:
        lines = [
            "HTTP/1.1 200 OK",
            f"Attempt-Id: {headers.get('attempt-id', '')}",
            f"Engine-Stamp: {STAMP}",
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked" if self.framed else "Connection: close",
        ]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())

    def _answer(
        self,
        writer: asyncio.StreamWriter,
        headers: dict[str, str],
        status: int,
        body: str | bytes,
        more: dict[str, str] | None = None,
    ) -> None:
        data = body.encode() if isinstance(body, str) else body
        lines = [
            f"HTTP/1.1 {status} Status",
            f"Attempt-Id: {headers.get('attempt-id', '')}",
            f"Engine-Stamp: {STAMP}",
            f"Content-Length: {len(data)}",
            "Connection: close",
            *(f"{name}: {value}" for name, value in (more or {}).items()),
        ]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + data)

    def _order(self, order: dict) -> int:
        operation = order["operation"]
        if operation == "stage":
            return 200
        part = {"name": order["group"], "epoch": order["epoch"]}
        if operation == "join":
            rank = order["members"].index(self.name)
            self.group = part | {"rank": rank, "state": "ready"}
        elif self.group is None or self.group["name"] != order["group"]:
            return 409
        elif operation == "open":
            self.group = self.group | {"state": "open"}
        elif operation == "close":
            self.group = self.group | {"state": "ready"}
        elif operation == "leave":
            self.group = None
        self.on_change()
        return 202


def _model(name: str) -> dict[str, object]:
    return {"name": name, "version": 1, "adapters": []}
