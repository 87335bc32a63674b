"""The platform's host list: live and leaving hosts, updated with a delay."""

from __future__ import annotations

from abc import ABC, abstractmethod
from enum import StrEnum
from typing import NamedTuple


class HostKind(StrEnum):
    """What runs on a host."""

    ENGINE = "engine"
    SERVICE = "service"
    DAEMON = "daemon"


class Presence(StrEnum):
    """State of a host on the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


class HostEntry(NamedTuple):
    """An entry of the platform's host list."""

    name: str
    address: str
    """IP address and port, for example ``127.0.0.1:9000``."""
    failure_domain: str
    fabric_domain: str
    """Empty for hosts other than engines."""
    kind: HostKind
    presence: Presence
    service: str = ""
    """Name of the plain service that the host runs, empty if it runs none."""
    checks_fence: bool = False
    """Whether the upstream rejects an order with a stale fencing token."""
    slots: int = 1
    """Concurrent calls of a warm upstream (for a replica, those of its head)."""
    cold_slots: int = 1
    """Concurrent calls of a freshly started, cold upstream."""


class HostList(ABC):
    """The platform's list of hosts; a host that is not listed has been removed."""

    @abstractmethod
    async def fetch(self) -> tuple[HostEntry, ...]:
        """Return the current list, which lags behind the hosts by some seconds.

        :raises PlatformError: if the service does not respond
        """
