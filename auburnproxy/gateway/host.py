"""Hosts of upstreams as they register themselves."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple


class PartState(StrEnum):
    """What a host reports of its part in a replica."""

    JOINING = "joining"
    READY = "ready"
    OPEN = "open"
    """The head takes requests."""
    CLOSING = "closing"
    BROKEN = "broken"
    """The head has noticed that a member is lost."""


Life = tuple[str, int]
"""Names one start of a process: its id, and its start in Unix milliseconds."""


class Part(NamedTuple):
    """The part of a replica that a host plays."""

    replica: str
    epoch: int
    rank: int
    """Place in the replica; rank 0 is the head, which takes requests."""
    state: PartState


class Host(NamedTuple):
    """One upstream process, as its newest registration tells."""

    id: str
    service: str
    address: str
    failure_domain: str
    slots: int
    leaving: bool
    cold_s: float
    """Seconds for which it was still cold when it wrote the registration."""
    born: int
    """Unix milliseconds of the process's start; a restart may keep the id."""
    fabric_domain: str = ""
    models: tuple[str, ...] = ()
    """Models that it serves or has served last."""
    staged: tuple[str, ...] = ()
    """Models whose weights are on the host."""
    busy: bool = False
    """Whether it is carrying out an order."""
    part: Part | None = None
    seen_at: float = 0.0
    """The loop's time in seconds at which this registration was read."""

    @property
    def life(self) -> Life:
        """Return what names this start of the process."""
        return self.id, self.born
