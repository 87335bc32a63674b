"""The engines' records in the store."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from auburnproxy.gateway.host import Host
from auburnproxy.store import Change

from .daemons import UPSTREAMS, registration


class Registrations:
    """Writes what engines register, in place of one daemon's directory.

    :param take: takes the records of a topic
    """

    def __init__(self, take: Callable[[str, Sequence[Change]], object]) -> None:
        self.hosts: dict[str, Host] = {}
        self._take = take

    def register(self, host: Host) -> None:
        """Write an engine's record."""
        self.hosts[host.id] = host
        self._take(UPSTREAMS, [registration(host)])

    def unregister(self, host_id: str) -> None:
        """Drop an engine's record."""
        self.hosts.pop(host_id, None)
        self._take(UPSTREAMS, [Change(host_id, b"")])
