"""Record of a daemon in the store."""

from __future__ import annotations

from typing import NamedTuple


class Seat(NamedTuple):
    """Addresses and placement of a daemon, as it registers them in the store."""

    address: str
    """IP address and UDP port on which it receives heartbeats."""
    failure_domain: str
    internal: str
    """IP address and port of its HTTP listener for peers."""
    strong: bool = True
    """Whether its host has a whole core to itself."""
