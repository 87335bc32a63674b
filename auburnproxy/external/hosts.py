"""The platform's lagging list of live and leaving hosts."""

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
    """What the platform says of a host that it lists."""

    LIVE = "live"
    LEAVING = "leaving"


class HostEntry(NamedTuple):
    """One host on the platform's list."""

    name: str
    address: str
    """IP number and port, ``127.0.0.1:9000``."""
    failure_domain: str
    fabric_domain: str
    """Empty for hosts that are no engines."""
    kind: HostKind
    presence: Presence
    service: str = ""
    """Name of the plain service that runs there, if one does."""
    checks_fence: bool = False
    """Whether the upstream refuses an order with an old fencing token."""
    slots: int = 1
    """Calls that a warm upstream bears at once (a replica bears its head's)."""
    cold_slots: int = 1
    """Calls that a freshly started upstream bears at once."""


class HostList(ABC):
    """The platform's list of hosts; a host that is not on it is gone."""

    @abstractmethod
    async def fetch(self) -> tuple[HostEntry, ...]:
        """Return the list as the platform sees it now, late by some seconds.

        :raises PlatformError: if the service does not answer
        """
