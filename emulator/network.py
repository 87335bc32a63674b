"""The links between processes: how long a message takes, and which are cut."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, NamedTuple

import async_solipsism

NEAR_S = 0.0003
"""One way within a failure domain."""
FAR_S = 0.0039
"""One way between failure domains."""


class Location(NamedTuple):
    """Where a process runs."""

    name: str
    failure_domain: str


class Network:
    """Which processes reach each other.

    :param near_s: seconds of a message within a failure domain
    :param far_s: the same between two of them
    """

    def __init__(self, *, near_s: float = NEAR_S, far_s: float = FAR_S) -> None:
        self.cut_domains: set[str] = set()
        """Failure domains that reach no other one."""
        self.location_by_address: dict[tuple[str, int], Location] = {}
        self.protocol_by_address: dict[tuple[str, int], asyncio.DatagramProtocol] = {}
        self.loss_s: Callable[[], float] = lambda: 0.0
        """Returns the seconds that lost packets hold the next block up."""
        self._near_s = near_s
        self._far_s = far_s

    def delay_s(self, source: Location, target: Location) -> float | None:
        """Return the seconds that a message takes, None if it does not arrive."""
        domains = {source.failure_domain, target.failure_domain}
        if len(domains) == 1:
            return self._near_s
        return None if domains & self.cut_domains else self._far_s


class VirtualLoop(async_solipsism.EventLoop):  # type: ignore[misc]
    """An event loop on virtual time whose datagrams travel over a network.

    :param network: the links
    """

    def __init__(self, network: Network) -> None:
        super().__init__()
        self._network = network

    async def create_datagram_endpoint(
        self, protocol_factory: Any, local_addr: Any = None, **more: Any
    ) -> tuple[asyncio.DatagramTransport, Any]:
        """Return a transport for one address and its protocol."""
        protocol = protocol_factory()
        transport = _Datagrams(self, self._network, local_addr)
        self._network.protocol_by_address[local_addr] = protocol
        protocol.connection_made(transport)
        return transport, protocol

    def add_signal_handler(self, *arguments: Any) -> None:
        """Ignore handlers, since no signal comes."""


class _Datagrams(asyncio.DatagramTransport):
    """Sends from one address."""

    def __init__(
        self, loop: VirtualLoop, network: Network, address: tuple[str, int]
    ) -> None:
        super().__init__()
        self._loop = loop
        self._network = network
        self._address = address

    def sendto(self, data: Any, addr: Any = None) -> None:
        located = self._network.location_by_address
        target = located.get(addr)
        if target is None or self._address not in located:
            return
        delay_s = self._network.delay_s(located[self._address], target)
        if delay_s is not None:
            self._loop.call_later(delay_s, self._deliver, data, addr)

    def close(self) -> None:
        self._network.protocol_by_address.pop(self._address, None)

    def _deliver(self, data: bytes, address: tuple[str, int]) -> None:
        protocol = self._network.protocol_by_address.get(address)
        if protocol is not None:
            protocol.datagram_received(data, self._address)
