"""
Stand-in of one engine as its own process; it uses the standard library alone.

Settings come as JSON in the first argument. The engine registers in the store's
stand-in, renews its entry and answers requests, reports and orders. What it does is
written to standard output, a JSON object a line. Lines on standard input change it:
``drain`` reports that it leaves, ``mode NAME`` selects how it answers the next request.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import sys
import time

HEARTBEAT_S = 1.2
JOIN_S = 0.2
FORM_S = 0.3
EVENT_TEXT = "token"
FLOOD_BLOCK = b"\n" * 32_768
REASONS = {200: "OK", 202: "Accepted", 404: "Not Found", 409: "Conflict"}
REASONS |= {412: "Precondition Failed", 421: "Misdirected Request"}
REASONS |= {503: "Service Unavailable"}


def event(number: int) -> bytes:
    """Return one event of a stream."""
    return b"id: %d\ndata: %b %d\n\n" % (number, EVENT_TEXT.encode(), number)


def say(**fields: object) -> None:
    """Write one line about what this engine did."""
    line = json.dumps({"at": time.time(), **fields}) + "\n"
    os.write(1, line.encode())


class Engine:
    """An engine, its registration and its part in a group."""

    def __init__(self, settings: dict) -> None:
        self.settings = settings
        self.id = settings["id"]
        self.address = settings["address"]
        self.mode = "ok"
        self.state = "ready"
        self.sequence = 0
        self.group: dict | None = None
        self.highest_epoch = 0
        self.born = int(time.time() * 1000)
        self.running = 0
        self.registered = True

    # The registration.

    def entry(self) -> dict:
        """Return the entry that the store shows for this engine."""
        self.sequence += 1
        entry = {
            "service": self.settings["service"],
            "address": self.address,
            "zone": self.settings["zone"],
            "version": "v1",
            "slots": 9,
            "state": self.state,
            "cold-remaining-ms": 0,
            "sequence": self.sequence,
            "born": self.born,
        }
        if self.settings.get("model"):
            entry |= {"domain": self.settings["domain"], **self.report()}
        return entry

    def report(self) -> dict:
        """Return what the engine says of its models and its group."""
        model = self.settings.get("model")
        if not model:
            return {"born": self.born}
        loaded = [{"name": model, "version": 1, "adapters": []}] if self.group else []
        return {
            "stage": "both",
            "models": loaded,
            "staged": [model],
            "busy": False,
            "num-waiting": 0,
            "num-running": 0,
            "kv-used": 0,
            "kv-total": 90_000,
            "handles": 0,
            "born": self.born,
            "group": self.group,
        }

    async def register(self) -> None:
        """Write the entry to the store's stand-in."""
        host, _, port = self.settings["store"].rpartition(":")
        body = json.dumps(self.entry()).encode()
        with contextlib.suppress(OSError):
            reader, writer = await asyncio.open_connection(host, int(port))
            head = f"POST /put?topic=keyed.servers&key={self.id} HTTP/1.1\r\n"
            head += f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
            writer.write(head.encode() + body)
            await reader.read()
            writer.close()

    async def renew(self) -> None:
        """Renew the entry until the process ends."""
        while self.registered:
            await self.register()
            await asyncio.sleep(HEARTBEAT_S)

    # Orders.

    async def order(self, order: dict) -> int:
        """Carry an order out and return the status of its answer."""
        name, epoch = order.get("group", ""), order.get("epoch", 0)
        operation = order["operation"]
        same = self.group is not None and (
            (self.group["name"], self.group["epoch"]) == (name, epoch)
        )
        if operation == "join":
            if epoch < self.highest_epoch:
                return 412
            self.highest_epoch = epoch
            if same:
                return 200
            rank = order["members"].index(self.id)
            self.group = {"name": name, "epoch": epoch, "rank": rank}
            self.group["state"] = "joining"
            await self.change_state("ready", JOIN_S)
            return 202
        if operation == "stage":
            return 200
        if not same or self.group is None:
            return 409
        if operation == "open":
            if self.group["state"] == "open":
                return 200
            if self.group["state"] != "ready" or self.group["rank"] != 0:
                return 409
            await self.change_state("open", FORM_S)
        elif operation == "close" and self.group["state"] == "open":
            self.group["state"] = "closing" if self.running else "ready"
        elif operation == "leave":
            self.group = None
        await self.register()
        return 202

    async def change_state(self, state: str, delay_s: float) -> None:
        """Change the state of the group after a moment."""
        group = self.group

        async def change() -> None:
            await asyncio.sleep(delay_s)
            if group is not None and self.group is group:
                group["state"] = state
                await self.register()

        self.changing = asyncio.create_task(change())

    # Requests.

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one request on a connection."""
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            first, *lines = head.strip().split("\r\n")
            headers = {
                name.lower(): value.strip()
                for name, _, value in (line.partition(":") for line in lines)
            }
            body = await reader.readexactly(int(headers.get("content-length", 0)))
            method, path, _ = first.split(" ")
            if headers.get("expect-instance", self.id) != self.id:
                respond(writer, 421, headers)
            elif path == "/report":
                respond(writer, 200, headers, json.dumps(self.report()).encode())
            elif path == "/order":
                respond(writer, await self.order(json.loads(body)), headers)
            else:
                await self.run(method, path, headers, reader, writer)
            await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def run(self, method, path, headers, reader, writer) -> None:
        """Run a request, unless this engine is no open head."""
        request_id = headers.get("attempt-id", "")
        if self.settings.get("model"):
            if self.group is None or self.group["rank"] != 0:
                respond(writer, 421, headers)
                return
            if self.group["state"] != "open":
                respond(writer, 503, headers, refused=True)
                return
        say(kind="runs", engine=self.id, request=request_id, path=path, mode=self.mode)
        sent = 0
        self.running += 1
        try:
            if self.settings.get("model"):
                sent = await self.stream(headers, reader, writer)
            else:
                sent = await self.plain(headers, writer)
        finally:
            self.running -= 1
            if self.group and self.group["state"] == "closing" and not self.running:
                await self.change_state("ready", 0.0)
            done = {"kind": "sent", "engine": self.id, "request": request_id}
            say(**done, sent=sent)

    async def plain(self, headers, writer) -> int:
        """Answer a plain request; without a length, in parts, where settings say so."""
        size, parts = self.settings["answer_bytes"], self.settings.get("parts", 1)
        body = (b"%b " % headers["attempt-id"].encode()) * size
        body = body[:size]
        if parts == 1:
            respond(writer, 200, headers, body)
            return size
        writer.write(answer_head(headers, "application/json", framed=False))
        step = -(-size // parts)
        for start in range(0, size, step):
            writer.write(body[start : start + step])
            await writer.drain()
            await asyncio.sleep(self.settings["part_s"])
        return size

    async def stream(self, headers, reader, writer) -> int:
        """Send the events of a stream and return the number of the last one."""
        first = int(headers.get("last-event-id") or 0) + 1
        last = self.settings["events"]
        framed = not self.settings.get("unframed")
        if self.mode == "flood":
            self.mode = "ok"
            writer.write(answer_head(headers, "text/event-stream", framed=False))
            while not writer.is_closing():
                writer.write(FLOOD_BLOCK)
                await writer.drain()
            return 0
        repeats = self.mode == "repeat"
        if repeats:
            self.mode = "ok"
        writer.write(answer_head(headers, "text/event-stream", framed=framed))
        number = first
        while number <= last:
            block = event(number)
            if repeats and number == last // 2:
                # One event comes twice, in one piece with the two events before it.
                block += event(number + 1) + event(number + 1)
                number += 1
                say(kind="repeats", engine=self.id, request=headers["attempt-id"])
            if framed:
                block = b"%x\r\n%b\r\n" % (len(block), block)
            writer.write(block)
            await writer.drain()
            await asyncio.sleep(self.settings["interval_s"])
            if reader.at_eof():
                return number
            number += 1
        if framed:
            writer.write(b"0\r\n\r\n")
        return last

    async def follow_commands(self) -> None:
        """Carry out the lines on standard input; the engine ends with it."""
        loop = asyncio.get_running_loop()
        lines = asyncio.StreamReader()
        await loop.connect_read_pipe(
            lambda: asyncio.StreamReaderProtocol(lines), sys.stdin
        )
        while line := (await lines.readline()).decode().split():
            if line[0] == "drain":
                self.state = "draining"
                await self.register()
            elif line[0] == "mode":
                self.mode = line[1]
            elif line[0] == "leave":
                # Writes its entry once more; after that the store drops it.
                await self.register()
                self.registered = False
            say(kind="told", engine=self.id, what=" ".join(line))


def answer_head(headers: dict, content_type: str, *, framed: bool) -> bytes:
    """Return the head of a success, with chunks or without a length."""
    lines = [f"HTTP/1.1 200 OK\r\nAttempt-Id: {headers.get('attempt-id', '')}"]
    lines += ["Engine-Stamp: 3e1b.07.5a2.600.0", f"Content-Type: {content_type}"]
    if framed:
        lines.append("Transfer-Encoding: chunked")
    return ("\r\n".join([*lines, "Connection: close"]) + "\r\n\r\n").encode()


def respond(writer, status, headers, body=b"", *, refused=False) -> None:
    """Write a whole response."""
    lines = [f"HTTP/1.1 {status} {REASONS[status]}"]
    lines += [f"Attempt-Id: {headers.get('attempt-id', '')}"]
    lines += ["Engine-Stamp: 3e1b.07.5a2.600.0", f"Content-Length: {len(body)}"]
    if refused or status == 421:
        lines.append("Not-Executed: 1")
    lines.append("Connection: close")
    writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)


async def main() -> None:
    """Run the engine until its standard input ends."""
    engine = Engine(json.loads(sys.argv[1]))
    host, _, port = engine.address.rpartition(":")
    server = await asyncio.start_server(engine.serve, host, int(port))
    renewing = asyncio.create_task(engine.renew())
    await engine.follow_commands()
    renewing.cancel()
    server.close()


if __name__ == "__main__":
    asyncio.run(main())
