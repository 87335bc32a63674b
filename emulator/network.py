"""Emulated links between processes: their latencies and partitions."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, NamedTuple

import async_solipsism

NEAR_S = 0.0003
"""One-way latency within a failure domain."""
FAR_S = 0.0039
"""One-way latency between failure domains."""


class Location(NamedTuple):
    """Name and failure domain of a process."""

    name: str
    failure_domain: str


class Network:
    """Latencies and reachability between processes.

    :param near_s: one-way latency within a failure domain, in seconds
    :param far_s: one-way latency between failure domains, in seconds
    """

    def __init__(self, *, near_s: float = NEAR_S, far_s: float = FAR_S) -> None:
        self.cut_domains: set[str] = set()
        """Failure domains that are partitioned from all others."""
        self.location_by_address: dict[tuple[str, int], Location] = {}
        self.protocol_by_address: dict[tuple[str, int], asyncio.DatagramProtocol] = {}
        self.retransmission_delay_s: Callable[[], float] = lambda: 0.0
        """Returns the delay of the next block by lost packets, in seconds."""
        self._near_s = near_s
        self._far_s = far_s

    def delay_s(self, source: Location, target: Location) -> float | None:
        """Return the one-way latency in seconds, None if the target is unreachable."""
        domains = {source.failure_domain, target.failure_domain}
        if len(domains) == 1:
            return self._near_s
        return None if domains & self.cut_domains else self._far_s


class VirtualLoop(async_solipsism.EventLoop):  # type: ignore[misc]
    """Event loop on virtual time whose datagrams travel over an emulated network.

    :param network: links between processes
    """

    def __init__(self, network: Network) -> None:
        super().__init__()
        self._network = network

    async def create_datagram_endpoint(
        self, protocol_factory: Any, local_addr: Any = None, **more: Any
    ) -> tuple[asyncio.DatagramTransport, Any]:
        """Return a datagram transport on the emulated network and its protocol."""
        protocol = protocol_factory()
        transport = _EmulatedTransport(self, self._network, local_addr)
        self._network.protocol_by_address[local_addr] = protocol
        protocol.connection_made(transport)
        return transport, protocol

    def add_signal_handler(self, *arguments: Any) -> None:
        """Ignore signal handlers, since no signals arrive."""


class _EmulatedTransport(asyncio.DatagramTransport):
    """Transport that sends datagrams from one address."""

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
