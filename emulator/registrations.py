"""Registration records of engines in the store."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from auburnproxy.gateway.host import Host
from auburnproxy.store import Change

from .daemons import UPSTREAMS, registration


class Registrations:
    """Registry that writes engine records to the store.

    It stands in for the host directory of a daemon.

    :param append: appends records to a topic
    """

    def __init__(self, append: Callable[[str, Sequence[Change]], object]) -> None:
        self.hosts: dict[str, Host] = {}
        self._append = append

    def register(self, host: Host) -> None:
        """Write an engine's record."""
        self.hosts[host.id] = host
        self._append(UPSTREAMS, [registration(host)])

    def unregister(self, host_id: str) -> None:
        """Delete an engine's record."""
        self.hosts.pop(host_id, None)
        self._append(UPSTREAMS, [Change(host_id, b"")])
