"""Limit on the memory that the bodies of all requests in flight take together."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from ..clock import loop_time
from ..errors import Ran, RefusalError

RETRY_S = 0.5
"""Retry-After of a request whose body has no room: about as long as a body is held."""
SMALL_BYTES = 65_536
"""Size up to which a body may use the part of the memory that is kept for small ones,
so that large ones do not take it all."""
LARGE_FRACTION = 0.75
"""Part of the memory that larger bodies may use together."""
STALL_S = 1.0
"""Time without progress after which a body that is being read may have to make room."""
ROOM_POLL_S = 0.05
MAX_ROOM_WAIT_S = 1.0
"""Longest wait of an answer for room; engines cut unread answers after seconds."""


class HeldBody:
    """The memory of one body.

    :param memory: the memory of all bodies
    """

    def __init__(self, memory: BodyMemory) -> None:
        self.size = 0
        """Bytes that are held."""
        self.progressed_at = loop_time()
        """The loop's time at which a part of it was received."""
        self.evict: Callable[[], None] | None = None
        """Ends the reading of it, None while it is not waiting for its caller."""
        self._memory = memory

    def grow(self, size: int) -> None:
        """Hold more bytes, if necessary in place of bodies that do not arrive.

        :param size: number of further bytes
        :raises RefusalError: if all bodies together would exceed the limit
        """
        if not self._memory.has_room(self, size):
            self._memory.evict_stalled(self, size)
        if not self._memory.has_room(self, size):
            raise _no_room(self._memory.used)
        self._take(size)

    async def grow_when_free(self, size: int) -> None:
        """Hold more bytes as soon as there is room.

        :param size: number of further bytes
        :raises RefusalError: if there is no room for some time; the request has run
        """
        give_up_at = loop_time() + MAX_ROOM_WAIT_S
        while not self._memory.has_room(self, size):
            if loop_time() > give_up_at:
                message = "Too many answers wait for their callers."
                raise RefusalError("no_memory", message, status=502, ran=Ran.UNKNOWN)
            self._memory.request_room(size)
            await asyncio.sleep(ROOM_POLL_S)
        self._take(size)

    def _take(self, size: int) -> None:
        self._memory.used += size
        self.size += size

    def release(self) -> None:
        """Hold nothing any more."""
        self._memory.used -= self.size
        self.size = 0


class BodyMemory:
    """Memory for the bodies of requests in flight.

    :param limit: bytes that all bodies together may take
    :param request_room: called with a number of bytes that are needed and not free
    """

    def __init__(
        self, limit: int, request_room: Callable[[int], None] = lambda size: None
    ) -> None:
        self.limit = limit
        self.used = 0
        """Bytes that are held now."""
        self.request_room = request_room
        self._bodies: set[HeldBody] = set()

    def has_room(self, held: HeldBody, size: int) -> bool:
        """Return whether a body may grow by a number of bytes."""
        small = held.size + size <= SMALL_BYTES
        limit = self.limit if small else self.limit * LARGE_FRACTION
        return self.used + size <= limit

    def evict_stalled(self, newcomer: HeldBody, size: int) -> None:
        """Give up bodies that do not arrive, until another one has room.

        Those that hold most for longest without progress are given up first.

        :param newcomer: the body that needs room
        :param size: bytes that it needs
        """
        now = loop_time()
        stalled = [
            body
            for body in self._bodies
            if body.evict is not None and now - body.progressed_at >= STALL_S
        ]
        stalled.sort(key=lambda body: body.size * (now - body.progressed_at))
        while stalled and not self.has_room(newcomer, size):
            body = stalled.pop()
            evict, body.evict = body.evict, None
            body.release()
            if evict is not None:
                evict()

    @contextmanager
    def hold(self) -> Iterator[HeldBody]:
        """Hold a body's memory, which is released at the end of the context."""
        held = HeldBody(self)
        self._bodies.add(held)
        try:
            yield held
        finally:
            self._bodies.discard(held)
            held.release()


def _no_room(used_bytes: int) -> RefusalError:
    """Return a refusal.

    A local variable of its raiser would keep it, and the body, in a reference cycle.

    :param used_bytes: bytes that all bodies take
    """
    message = "Too many large bodies are being handled."
    refusal = RefusalError("no_memory", message, retry_after_s=RETRY_S)
    refusal.inputs = {"body_bytes": used_bytes}
    return refusal
