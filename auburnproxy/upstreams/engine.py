"""Interface to a model engine, independent of its wire protocol."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import AsyncIterator
from enum import StrEnum
from typing import NamedTuple


class FencingToken(NamedTuple):
    """A fencing token; tokens are compared as tuples."""

    epoch: int
    """Offset of the accepted record that authorizes the order."""
    counter: int
    """Number of the order among one reconciler's orders under that record, from 0."""


class EngineState(StrEnum):
    """State that an engine reports."""

    IDLE = "idle"
    LOADING = "loading"
    READY = "ready"
    LEAVING = "leaving"


class Assignment(NamedTuple):
    """Membership of one host in a replica."""

    replica: str
    generation: int
    """Offset of the record that formed or repaired the replica."""
    model: str
    rank: int
    """Index in the replica; rank 0 is the head, which accepts calls."""
    addresses: tuple[str, ...]
    """Addresses of all hosts of the replica, ordered by rank."""


class Order(NamedTuple):
    """A command to an engine to take an assignment, or to have none."""

    fence: FencingToken
    assignment: Assignment | None


class EngineReport(NamedTuple):
    """State and load of an engine, delayed by up to its publishing interval."""

    host: str
    incarnation: str
    """Identifies one start of the engine's process."""
    state: EngineState
    fence: FencingToken
    """Token of the last order that was carried out, ``(0, 0)`` before the first."""
    assignment: Assignment | None
    in_flight: int
    queued: int
    weights: tuple[str, ...]
    """Models whose weights are present on the host."""
    prefixes: tuple[str, ...]
    """Digests of cached prompt prefixes, most recently used first."""
    prefix_gaps: int
    """Number of cache events dropped since the process started."""


class ModelCall(NamedTuple):
    """A model call as sent to an engine."""

    request_id: str
    model: str
    body: bytes
    """The caller's JSON body, forwarded unchanged."""
    priority: int
    deadline_s: float
    """Seconds remaining."""
    resume_from: int = 0
    """Number of chunks that the caller has already received."""
    incarnation: str = ""
    """Incarnation of the target head; any other incarnation refuses the call."""
    generation: int = 0
    """Generation of the target replica."""


class ChunkKind(StrEnum):
    """Kind of a stream chunk."""

    TOKEN = "token"
    END = "end"
    ERROR = "error"


class Chunk(NamedTuple):
    """One chunk of a streamed response."""

    request_id: bytes
    position: int
    """Index in the response, from 0; the end marker is counted as well."""
    data: bytes
    """Payload for the caller, not decoded."""
    kind: ChunkKind


class Engine(ABC):
    """A model engine on one host."""

    @abstractmethod
    async def report(self) -> EngineReport:
        """Return the engine's newest report.

        :raises UpstreamError: if the engine does not answer
        """

    @abstractmethod
    async def order(self, order: Order) -> None:
        """Command the engine to take an assignment, or to have none.

        Success means that the order was accepted, not that it is carried out yet.

        :raises StaleFenceError: if the engine checks fencing tokens and this one is
            stale
        :raises UpstreamError: if the engine does not answer
        """

    @abstractmethod
    def generate(self, call: ModelCall) -> AsyncIterator[Chunk]:
        """Run a model call and yield its chunks as they arrive.

        Closing the iterator cancels the call at the engine. The consumer checks
        the chunks' order, request ID and completeness; the iterator doesn't.

        :raises UpstreamError: with ``ran`` NO if the engine refused the call
        """

    @abstractmethod
    async def close(self) -> None:
        """Close all connections to the engine."""
