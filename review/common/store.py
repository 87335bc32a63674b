"""Stand-in for the platform's store: the calls of the log that a daemon makes."""

from __future__ import annotations

import asyncio
import base64
import json

from aiohttp import web


class Store:
    """Keeps the records of keyed topics in memory, as PROTOCOL.md describes them."""

    def __init__(self, address: str) -> None:
        self.address = address
        self._topics: dict[str, list[tuple[str, bytes]]] = {}
        self._grown = asyncio.Event()
        self._runner: web.AppRunner | None = None

    async def start(self) -> None:
        """Listen at the store's address."""
        app = web.Application(client_max_size=2**24)
        app.router.add_get("/log-read", self._read)
        app.router.add_get("/log-newest", self._newest)
        app.router.add_post("/log-append", self._append)
        self._runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await self._runner.setup()
        host, _, port = self.address.rpartition(":")
        await web.TCPSite(self._runner, host, int(port)).start()

    async def stop(self) -> None:
        """Close the listener and its connections."""
        if self._runner is not None:
            await self._runner.cleanup()

    def put(self, topic: str, key: str, value: object) -> None:
        """Append a record whose value is JSON; None drops the key."""
        body = b"" if value is None else json.dumps(value).encode()
        self.put_raw(topic, key, body)

    def put_raw(self, topic: str, key: str, value: bytes) -> None:
        """Append a record with any bytes as its value."""
        self._topics.setdefault(topic, []).append((key, value))
        grown, self._grown = self._grown, asyncio.Event()
        grown.set()

    async def _read(self, request: web.Request) -> web.Response:
        topic, start = request.query["topic"], int(request.query["from"])
        if start > len(self._topics.get(topic, [])):
            return web.json_response({"first": 0}, status=410)
        wait_s = int(request.query.get("wait-ms", 0)) / 1000
        try:
            async with asyncio.timeout(wait_s):
                while len(self._topics.get(topic, [])) <= start:
                    await self._grown.wait()
        except TimeoutError:
            pass
        records = self._topics.get(topic, [])
        body = len(records).to_bytes(8, "big") + (0).to_bytes(8, "big")
        for key, value in records[start:]:
            record = bytes([len(key)]) + key.encode() + value
            body += len(record).to_bytes(4, "big") + record
        return web.Response(body=body)

    async def _newest(self, request: web.Request) -> web.Response:
        records = self._topics.get(request.query["topic"], [])
        newest = {key: (value, offset) for offset, (key, value) in enumerate(records)}
        after = request.query.get("after", "")
        keys = sorted(k for k, (value, _) in newest.items() if value and k > after)
        items = [
            {
                "key": key,
                "value": base64.b64encode(newest[key][0]).decode(),
                "offset": newest[key][1],
            }
            for key in keys[:500]
        ]
        return web.json_response(
            {"items": items, "has-more": len(keys) > 500, "end": len(records)}
        )

    async def _append(self, request: web.Request) -> web.Response:
        topic = request.query["topic"]
        end = len(self._topics.get(topic, []))
        if topic in ("keyed.op", "keyed.servers"):
            return web.Response(status=403)
        body = await request.read()
        end = len(self._topics.get(topic, []))
        if "at" in request.query and int(request.query["at"]) != end:
            return web.json_response({"end": end}, status=412)
        while body:
            length = int.from_bytes(body[:4], "big")
            record, body = body[4 : 4 + length], body[4 + length :]
            key_end = 1 + record[0]
            self.put_raw(topic, record[1:key_end].decode(), record[key_end:])
        return web.json_response({"offset": end, "end": len(self._topics[topic])})
