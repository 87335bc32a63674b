"""Record of a daemon in the store."""

from __future__ import annotations

from typing import NamedTuple


class DaemonRecord(NamedTuple):
    """Addresses and placement of a daemon, as it registers them in the store."""

    heartbeat_address: str
    """IP address and UDP port on which it receives heartbeats."""
    failure_domain: str
    internal_address: str
    """IP address and port of its HTTP listener for peers."""
    has_dedicated_core: bool = True
    """Whether its host has a whole core to itself."""
