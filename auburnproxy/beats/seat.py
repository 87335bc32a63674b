"""Where a daemon listens for beats."""

from __future__ import annotations

from typing import NamedTuple


class Seat(NamedTuple):
    """Where a daemon listens for beats, as it has recorded."""

    address: str
    """IP number and port."""
    failure_domain: str
    internal: str
    """IP number and port of its listener for peers."""
    strong: bool = True
    """Whether its host has a whole core to itself."""
