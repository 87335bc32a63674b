"""Continuous batching: each step generates one token for every call in the batch."""

from __future__ import annotations

import asyncio
import heapq
from collections.abc import Callable

from auburnproxy.upstreams.engine import Chunk, ChunkKind

from .tokens import Prompt, token_data


class Stream:
    """Token stream of one call, queued or in the batch.

    :param request_id: id of the call
    :param prompt: prompt to answer
    :param position: position of the first token to generate
    :param prefill_steps: prefill steps before that token
    """

    def __init__(
        self, request_id: str, prompt: Prompt, *, position: int, prefill_steps: int
    ) -> None:
        self.chunks: asyncio.Queue[Chunk | None] = asyncio.Queue()
        """Generated chunks; None tells the handler to abort the connection."""
        self._request_id = request_id.encode()
        self._seed = prompt.seed
        self._tokens = prompt.tokens
        self._position = position
        self._prefill_steps = prefill_steps

    @property
    def is_done(self) -> bool:
        """Tell whether every token was generated."""
        return self._position >= self._tokens

    def advance(self) -> None:
        """Run one step: prefill or one token; the end follows the last token."""
        if self._prefill_steps > 0:
            self._prefill_steps -= 1
            return
        if not self.is_done:
            self._enqueue_chunk(token_data(self._seed, self._position), ChunkKind.TOKEN)
            self._position += 1
        if self.is_done:
            self._enqueue_chunk(b"", ChunkKind.END)

    def fail(self, reason: bytes) -> None:
        """End the stream with an error.

        :param reason: error code sent to the client
        """
        self._enqueue_chunk(b'{"error":"' + reason + b'"}', ChunkKind.ERROR)

    def _enqueue_chunk(self, data: bytes, kind: ChunkKind) -> None:
        chunk = Chunk(self._request_id, self._position, data, kind)
        self.chunks.put_nowait(chunk)


class Batch:
    """Queue and batch of one engine, ordered by priority, then by arrival.

    :param slots: maximum number of calls in the batch
    :param step_s: returns the step time in seconds for a number of calls
    :param resumed: set unless the engine is paused
    """

    def __init__(
        self, slots: int, step_s: Callable[[int], float], resumed: asyncio.Event
    ) -> None:
        self._slots = slots
        self._step_s = step_s
        self._resumed = resumed
        self._waiting: list[tuple[int, int, Stream]] = []
        self._running: list[Stream] = []
        self._arrivals = 0
        self._arrived = asyncio.Event()

    @property
    def queued(self) -> int:
        """Return the number of queued calls."""
        return len(self._waiting)

    @property
    def in_flight(self) -> int:
        """Return the number of calls in the batch."""
        return len(self._running)

    def add(self, stream: Stream, priority: int) -> None:
        """Queue a call.

        :param stream: the call
        :param priority: higher values are admitted first
        """
        self._arrivals += 1
        heapq.heappush(self._waiting, (-priority, self._arrivals, stream))
        self._arrived.set()

    def cancel(self, stream: Stream) -> None:
        """Remove a call from the queue or the batch.

        :param stream: the call
        """
        if stream in self._running:
            self._running.remove(stream)
        self._waiting = [entry for entry in self._waiting if entry[2] is not stream]
        heapq.heapify(self._waiting)

    def fail(self, reason: bytes) -> None:
        """End every call with an error.

        :param reason: error code sent to the client
        """
        for stream in self._remove_all():
            stream.fail(reason)

    def abort_all(self) -> None:
        """Abort the connection of every call."""
        for stream in self._remove_all():
            stream.chunks.put_nowait(None)

    def _remove_all(self) -> list[Stream]:
        streams = [*self._running, *(entry[2] for entry in self._waiting)]
        self._running.clear()
        self._waiting.clear()
        return streams

    async def run(self) -> None:
        """Run steps while there are calls, until cancelled."""
        while True:
            self._admit()
            if not self._running:
                self._arrived.clear()
                await self._arrived.wait()
                continue
            await asyncio.sleep(self._step_s(len(self._running)))
            await self._resumed.wait()
            for stream in tuple(self._running):
                self._advance(stream)

    def _admit(self) -> None:
        while self._waiting and len(self._running) < self._slots:
            self._running.append(heapq.heappop(self._waiting)[2])

    def _advance(self, stream: Stream) -> None:
        stream.advance()
        if stream.is_done:
            self._running.remove(stream)
