"""Limit on the memory that the bodies of all requests in flight take together."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager

from ..errors import RefusalError

RETRY_S = 0.5
"""Retry-After of a request whose body has no room: about as long as a body is held."""


class HeldBody:
    """The memory of one request's body.

    :param memory: the memory of all bodies
    """

    def __init__(self, memory: BodyMemory) -> None:
        self.size = 0
        """Bytes that are held."""
        self._memory = memory

    def grow(self, size: int) -> None:
        """Hold more bytes.

        :param size: number of further bytes
        :raises RefusalError: if all bodies together would exceed the limit
        """
        if self._memory.used + size > self._memory.limit:
            message = "Too many large bodies are being handled."
            refusal = RefusalError("no_memory", message, retry_after_s=RETRY_S)
            refusal.inputs = {"body_bytes": self._memory.used}
            raise refusal
        self._memory.used += size
        self.size += size


class BodyMemory:
    """Memory for the bodies of requests in flight.

    :param limit: bytes that all bodies together may take
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.used = 0
        """Bytes that are held now."""

    @contextmanager
    def hold(self) -> Iterator[HeldBody]:
        """Hold a body's memory, which is released at the end of the context."""
        held = HeldBody(self)
        try:
            yield held
        finally:
            self.used -= held.size
