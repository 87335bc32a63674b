"""Reading of callers' bodies, bounded in size, time and processor time."""

from __future__ import annotations

import asyncio
import math

from aiohttp import web

from ..clock import loop_time
from ..errors import RefusalError
from .body_memory import HeldBody
from .route import RequestLimits

UNSHARED_BLOCKS = 4
"""Blocks of a chunked body after which its reading takes turns with that of others."""


class BodyReader:
    """Reads the bodies of requests.

    Of the bodies that arrive in chunks, one is parsed at a time: chunks of a byte cost
    as much processor time as large ones.
    """

    def __init__(self) -> None:
        self._turn = asyncio.Lock()

    async def read(
        self,
        http: web.Request,
        held: HeldBody,
        limits: RequestLimits,
        *,
        deadline: float = math.inf,
    ) -> bytes | bytearray:
        """Return a request's body.

        :param held: the memory that it takes
        :param limits: the limits in force
        :param deadline: the loop's time in seconds at which its caller leaves
        :raises RefusalError: if headers or body exceed the limits, if the body has no
            room, or if it does not arrive
        """
        if sum(len(k) + len(v) for k, v in http.raw_headers) > limits.header_bytes:
            message = "The head is too long."
            raise RefusalError("head_too_long", message, status=431)
        content = http.content
        if content.is_eof():
            body = await content.readany()
            if len(body) > limits.body_bytes:
                raise _too_long()
            held.grow(len(body))
            return body
        declared_bytes = http.content_length or 0
        if declared_bytes > limits.body_bytes:
            raise _too_long()
        held.grow(declared_bytes)
        try:
            async with asyncio.timeout_at(
                min(deadline, loop_time() + limits.idle_s)
            ) as timeout:

                def evict() -> None:
                    if not timeout.expired():
                        timeout.reschedule(loop_time())

                held.evict = evict
                return await self._read_blocks(http, held, limits, deadline, timeout)
        except TimeoutError:
            message = "The body did not arrive in time."
            raise RefusalError("body_stalled", message, status=408) from None
        finally:
            held.evict = None

    async def _read_blocks(
        self,
        http: web.Request,
        held: HeldBody,
        limits: RequestLimits,
        deadline: float,
        timeout: asyncio.Timeout,
    ) -> bytearray:
        chunked = http.content_length is None
        body = bytearray()
        blocks = 0
        while block := await http.content.readany():
            body += block
            if len(body) > limits.body_bytes:
                raise _too_long()
            if len(body) > held.size:
                held.grow(len(body) - held.size)
            held.progressed_at = loop_time()
            timeout.reschedule(min(deadline, held.progressed_at + limits.idle_s))
            blocks += 1
            if chunked and blocks > UNSHARED_BLOCKS:
                async with self._turn:
                    await asyncio.sleep(0)
        return body


def _too_long() -> RefusalError:
    return RefusalError("body_too_long", "The body is too long.", status=413)
