"""Registrations of upstream hosts."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple


class ReplicaPartState(StrEnum):
    """State of a host's membership in a replica, as the host reports it."""

    JOINING = "joining"
    READY = "ready"
    OPEN = "open"
    """The head accepts requests."""
    CLOSING = "closing"
    BROKEN = "broken"
    """The head has detected the loss of a member."""


Incarnation = tuple[str, int]
"""Identity of one run of a process: its id, and its start in Unix milliseconds."""


class ReplicaPart(NamedTuple):
    """A host's membership in a replica."""

    replica: str
    epoch: int
    rank: int
    """Rank in the replica; rank 0 is the head, which accepts requests."""
    state: ReplicaPartState


class Host(NamedTuple):
    """One upstream process as of its latest registration."""

    id: str
    service: str
    address: str
    failure_domain: str
    slots: int
    leaving: bool
    cold_s: float
    """Seconds for which it was still cold when it wrote the registration."""
    born: int
    """Start of the process in Unix milliseconds; a restarted process may keep its
    id."""
    fabric_domain: str = ""
    models: tuple[str, ...] = ()
    """Models that it serves, or served last."""
    staged: tuple[str, ...] = ()
    """Models whose weights are stored on the host."""
    busy: bool = False
    """Whether it is executing an order."""
    part: ReplicaPart | None = None
    seen_at: float = 0.0
    """The loop's time in seconds at which this registration was read."""

    @property
    def incarnation(self) -> Incarnation:
        """Return the identity of this run of the process."""
        return self.id, self.born
