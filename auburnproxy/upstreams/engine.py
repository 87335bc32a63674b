"""What a model engine is to this system, whatever its wire dialect."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import AsyncIterator
from enum import StrEnum
from typing import NamedTuple


class Fence(NamedTuple):
    """A fencing token; tokens are ordered as tuples."""

    epoch: int
    """Offset of the accepted record that the order rests on."""
    counter: int
    """Orders of one reconciler under that record, counted from 0."""


class EngineState(StrEnum):
    """What an engine reports itself to be doing."""

    IDLE = "idle"
    LOADING = "loading"
    READY = "ready"
    LEAVING = "leaving"


class Assignment(NamedTuple):
    """The part of a replica that one host plays."""

    replica: str
    generation: int
    """Offset of the record that formed or repaired the replica."""
    model: str
    rank: int
    """Place in the replica; rank 0 is the head, which takes calls."""
    addresses: tuple[str, ...]
    """Addresses of all hosts of the replica, by rank."""


class Order(NamedTuple):
    """An order to an engine: play a part, or none."""

    fence: Fence
    assignment: Assignment | None


class EngineReport(NamedTuple):
    """An engine's own report, late by its publishing interval."""

    host: str
    incarnation: str
    """Differs for every start of the engine's process."""
    state: EngineState
    fence: Fence
    """Token of the newest order carried out, ``(0, 0)`` before the first."""
    assignment: Assignment | None
    in_flight: int
    queued: int
    weights: tuple[str, ...]
    """Models whose weights are already on the host."""
    prefixes: tuple[str, ...]
    """Digests of cached prompt prefixes, most recently used first."""
    prefix_gaps: int
    """Cache events that were dropped since the process started."""


class ModelCall(NamedTuple):
    """One model call as it is dispatched."""

    request_id: str
    model: str
    body: bytes
    """The caller's JSON body, passed on unchanged."""
    priority: int
    deadline_s: float
    """Seconds that remain."""
    resume_from: int = 0
    """Number of chunks that the caller already has."""
    incarnation: str = ""
    """Incarnation of the head that the call is meant for; others refuse it."""
    generation: int = 0
    """Generation of the replica that the call is meant for."""


class ChunkKind(StrEnum):
    """What a chunk of a stream says."""

    TOKEN = "token"
    END = "end"
    ERROR = "error"


class Chunk(NamedTuple):
    """One chunk of a streamed answer."""

    request_id: bytes
    position: int
    """Place in the answer, counted from 0; the end marker has one too."""
    data: bytes
    """Bytes for the caller, undecoded."""
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
        """Order the engine to play a part in a replica, or none.

        The answer means that the order was taken, not that it is carried out.

        :raises StaleFenceError: if the engine checks fencing and the token is old
        :raises UpstreamError: if the engine does not answer
        """

    @abstractmethod
    def generate(self, call: ModelCall) -> AsyncIterator[Chunk]:
        """Run a model call and yield its chunks as they arrive.

        Closing the iterator cancels the call at the engine. The iterator does
        not check order, identity or completeness: its reader does.

        :raises UpstreamError: with ``ran`` NO if the engine refused the call
        """

    @abstractmethod
    async def close(self) -> None:
        """Close every connection to the engine."""
