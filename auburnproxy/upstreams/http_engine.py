"""Adapter for model engines over HTTP, with JSON reports and event streams."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncGenerator

import msgspec
from aiohttp import ClientResponse

from ..bounded_body import read_body
from ..decoding import JsonDecoder
from ..errors import Ran, StaleFenceError, UnreadableError, UpstreamError
from ..external import HostEntry
from .client import (
    CONTROL_TIMEOUT,
    MAX_RESPONSE_BYTES,
    STREAM_TIMEOUT,
    Connections,
    upstream_errors,
)
from .engine import Chunk, Engine, EngineReport, ModelCall, Order
from .events import EventParser

OK = 200
ACCEPTED = 202
CONFLICT = 409
REFUSALS = frozenset({400, 404, 409, 413, 429, 503})
MS_PER_S = 1000

_decoder = JsonDecoder(EngineReport)


def call_headers(call: ModelCall) -> dict[str, str]:
    """Return the headers that carry all fields of a call except its body.

    :param call: the call
    """
    return {
        "Content-Type": "application/json",
        "X-Request-Id": call.request_id,
        "X-Model": call.model,
        "X-Priority": str(call.priority),
        "X-Deadline-Ms": str(round(call.deadline_s * MS_PER_S)),
        "X-Resume-From": str(call.resume_from),
        "X-Incarnation": call.incarnation,
        "X-Generation": str(call.generation),
    }


class HttpEngine(Engine):
    """A model engine reached over HTTP.

    :param address: IP address and port, ``127.0.0.1:9100``
    """

    def __init__(self, address: str) -> None:
        self._address = address
        self._connections = Connections()

    async def _control_request(
        self, method: str, path: str, *, body: bytes | None = None
    ) -> tuple[int, bytes]:
        url = f"http://{self._address}{path}"
        with upstream_errors(self._address):
            async with self._connections.open().request(
                method, url, data=body, timeout=CONTROL_TIMEOUT
            ) as response:
                return response.status, await read_body(
                    response, max_bytes=MAX_RESPONSE_BYTES
                )

    async def report(self) -> EngineReport:
        """Return the engine's newest report.

        :raises UpstreamError: if the engine does not answer
        """
        status, body = await self._control_request("GET", "/report")
        if status != OK:
            raise UpstreamError(
                f"{self._address}: report request failed with status {status}"
            )
        try:
            return _decoder.decode(body)
        except UnreadableError as error:
            raise UpstreamError(f"{self._address}: {error}") from error

    async def order(self, order: Order) -> None:
        """Command the engine to take an assignment, or to have none.

        :param order: the order
        :raises StaleFenceError: if the engine checks fencing tokens and this one is
            stale
        :raises UpstreamError: if the engine does not answer
        """
        body = msgspec.json.encode(order)
        status, _ = await self._control_request("POST", "/order", body=body)
        if status == CONFLICT:
            raise StaleFenceError(
                f"{self._address}: fencing token {order.fence} is stale"
            )
        if status != ACCEPTED:
            raise UpstreamError(f"{self._address}: order failed with status {status}")

    async def generate(self, call: ModelCall) -> AsyncGenerator[Chunk, None]:
        """Run a model call and yield its chunks as they arrive.

        The caller must apply the timeout. Closing the generator closes the
        connection, which cancels the call at the engine.

        :param call: the call
        :raises UpstreamError: with ``ran`` NO if the engine refused the call
        """
        url = f"http://{self._address}/generate"
        headers = call_headers(call)
        with upstream_errors(self._address):
            async with self._connections.open().post(
                url, data=call.body, headers=headers, timeout=STREAM_TIMEOUT
            ) as response:
                self._raise_for_status(response)
                parser = EventParser()
                while block := await response.content.readany():
                    for number, chunks in enumerate(parser.feed(block)):
                        if number:
                            await asyncio.sleep(0)
                        for chunk in chunks:
                            yield chunk

    def _raise_for_status(self, response: ClientResponse) -> None:
        if response.status == OK:
            return
        ran = Ran.NO if response.status in REFUSALS else Ran.UNKNOWN
        message = f"{self._address}: call failed with status {response.status}"
        raise UpstreamError(message, ran=ran)

    async def close(self) -> None:
        """Close all connections to the engine."""
        await self._connections.close()


def connect_engine(entry: HostEntry) -> HttpEngine:
    """Return the adapter for a host's model engine.

    :param entry: the host's entry on the platform's list
    """
    return HttpEngine(entry.address)
