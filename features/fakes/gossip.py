"""Daemons that tell each other facts over links that lose and delay datagrams."""

from __future__ import annotations

import asyncio
from collections.abc import Collection
from random import Random

import msgspec

from auburnproxy.gateway.named_limits import NamedLimits
from auburnproxy.gateway.shared_rates import SharedRates
from auburnproxy.gossip import Fact, FactTable
from auburnproxy.quarantine import PartQuarantine
from features.fakes.store import null_decisions

LATENCY_S = 0.005
HEARTBEAT_S, LARGE_FLEET_HEARTBEAT_S = 0.1, 0.5
LARGE_FLEET = 9
HEARTBEAT_PEERS = 3


class GossipDaemon:
    """One daemon's facts and quarantine."""

    def __init__(self, name: str, cluster: GossipCluster) -> None:
        self.name = name
        self.facts = FactTable(on_told=lambda: cluster.send(self, cluster.daemons))
        self.quarantine = PartQuarantine(
            self.facts, null_decisions(), name=name, daemons=lambda: cluster.names
        )
        self.limits = NamedLimits(self.facts, null_decisions())
        self.rates = SharedRates(
            self.facts,
            name=name,
            tell=lambda names: cluster.send(self, cluster.daemons_named(names)),
        )


class GossipCluster:
    """Daemons that send facts at once when they tell one, and some others in turn.

    :param count: number of daemons
    :param loss: fraction of the datagrams that are lost
    """

    def __init__(self, count: int, *, loss: float = 0.0) -> None:
        self.random = Random(count)
        self.loss = loss
        self.heartbeat_s = HEARTBEAT_S
        if count >= LARGE_FLEET:
            self.heartbeat_s = LARGE_FLEET_HEARTBEAT_S
        self.daemons: list[GossipDaemon] = []
        self.names: set[str] = set()
        for number in range(count):
            self.start(f"d{number}")

    def start(self, name: str) -> GossipDaemon:
        """Start a daemon that knows nothing, in place of one with the same name."""
        self.daemons = [each for each in self.daemons if each.name != name]
        self.daemons.append(GossipDaemon(name, self))
        self.names.add(name)
        return self.daemons[-1]

    def daemons_named(self, names: Collection[str]) -> list[GossipDaemon]:
        """Return the daemons with some names."""
        return [each for each in self.daemons if each.name in names]

    def pick(self) -> GossipDaemon:
        """Return a random daemon."""
        return self.random.choice(self.daemons)

    def send(self, sender: GossipDaemon, receivers: list[GossipDaemon]) -> None:
        """Send the facts of a daemon to others."""
        data = msgspec.msgpack.encode(sender.facts.outgoing())
        for receiver in receivers:
            if receiver is not sender and self.random.random() >= self.loss:
                asyncio.get_running_loop().call_later(
                    LATENCY_S, self._deliver, receiver, data
                )

    async def run(self, seconds: float) -> None:
        """Let time pass, with heartbeats."""
        until = asyncio.get_running_loop().time() + seconds
        while (left_s := until - asyncio.get_running_loop().time()) > 1e-9:
            await asyncio.sleep(min(left_s, self.heartbeat_s))
            for daemon in self.daemons:
                count = min(HEARTBEAT_PEERS, len(self.daemons))
                self.send(daemon, self.random.sample(self.daemons, count))

    @staticmethod
    def _deliver(receiver: GossipDaemon, data: bytes) -> None:
        receiver.facts.merge(msgspec.msgpack.decode(data, type=list[Fact]))
