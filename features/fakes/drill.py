"""Whole daemons on a store in memory that comes back from an older copy."""

from __future__ import annotations

import asyncio

from auburnproxy.clock import loop_time
from auburnproxy.formation.record import decode
from auburnproxy.formation.registry import REPLICA_PREFIX, TOPIC
from auburnproxy.store import Change
from emulator.daemons import (
    CONFIGURATION,
    OPERATORS,
    UPSTREAMS,
    Group,
    settings_of,
)
from emulator.network import Network, VirtualLoop
from emulator.registrations import Registrations
from features.fakes.fleet import LAPSE_S, FakeFleet, configuration, host
from features.fakes.store import FakeTopics, StorePort, quiet

VERSION = b"1"
CHECK_S = 0.1


class Drill:
    """Daemons in failure domains, engines, and a store that tells its era.

    :param daemons: how many there are
    :param domains: failure domains that they and the engines are spread over
    :param hosts: engines of each failure domain, in fabric domains of 8
    """

    def __init__(self, *, daemons: int, domains: int, hosts: int) -> None:
        self.network = Network()
        self.loop = VirtualLoop(self.network)
        self.ports: dict[str, StorePort] = {}
        self._lost_at: dict[str, float] = {}
        self._shape = daemons, domains, hosts
        self.loop.run_until_complete(self._start())

    async def _start(self) -> None:
        daemons, domains, hosts = self._shape
        self.topics = FakeTopics(era=1)
        self.topics.take(OPERATORS, [Change(CONFIGURATION, VERSION)])
        self.fleet = FakeFleet(Registrations(self.topics.take))
        for domain in range(domains):
            for number in range(hosts):
                self.fleet.add(
                    host(
                        f"h{domain}-{number}",
                        failure_domain=f"fd{domain}",
                        fabric=f"f{domain}-{number // 8}",
                    )
                )
        self._tasks = [
            asyncio.create_task(self.fleet.beat()),
            asyncio.create_task(self._lapse()),
        ]
        self.group = Group(
            self.network,
            self.fleet,
            {VERSION: configuration()},
            open_store=self._open_store,
            open_decisions=lambda name: quiet(),
        )
        for number in range(daemons):
            self.group.start(
                settings_of(number, failure_domain=f"fd{number % domains}")
            )

    def lose_engine(self, name: str) -> None:
        """End an engine's process; its registration lapses later."""
        self.fleet.stop(name)
        self._lost_at[name] = self.loop.time()

    async def _lapse(self) -> None:
        """Drop the registrations of lost engines, again if the store forgets that."""
        while True:
            await asyncio.sleep(1)
            newest = {c.key for c in self.topics.newest(UPSTREAMS).changes}
            for name, at in self._lost_at.items():
                if name in newest and loop_time() - at > LAPSE_S:
                    self.topics.take(UPSTREAMS, [Change(name, b"")])

    def _open_store(self, location) -> StorePort:
        return self.ports.setdefault(location.name, StorePort(self.topics))

    @property
    def daemons(self):
        return list(self.group.daemon_by_name.values())

    @property
    def holder(self):
        """Return the daemon that is on duty by its own belief."""
        held = [daemon for daemon in self.daemons if daemon.leader_election.is_leader]
        return held[0] if len(held) == 1 else None

    @property
    def calls(self) -> int:
        return sum(port.calls for port in self.ports.values())

    def run(self, seconds: float) -> None:
        self.loop.run_until_complete(asyncio.sleep(seconds))

    def agree(self) -> bool:
        """Return whether all daemons know the store's register, era and holder."""
        topic = f"{TOPIC}-{self.topics.era}"
        newest = {c.key: c.value for c in self.topics.newest(topic).changes}
        recorded = {
            key.removeprefix(REPLICA_PREFIX): decode(value)
            for key, value in newest.items()
            if key.startswith(REPLICA_PREFIX)
        }
        return bool(recorded) and all(
            daemon.replica_registry.follower.era == self.topics.era
            and not daemon.replica_registry.follower.awaiting_writer
            and daemon.replica_registry.by_name == recorded
            for daemon in self.daemons
        )

    def until_agreed(self, most_s: float) -> float:
        """Return the seconds that pass until all agree and one is on duty."""

        async def wait() -> float:
            began = loop_time()
            while not (self.agree() and self.holder):
                if loop_time() - began > most_s:
                    break
                await asyncio.sleep(CHECK_S)
            return loop_time() - began

        return self.loop.run_until_complete(wait())

    def served(self) -> set[str]:
        """Return the names of the replicas whose heads are open."""
        return {head.part.replica for head in self.fleet.open_heads()}

    def lose_topic_records(self, topic: str, count: int) -> None:
        """Come back without the newest records of all topics since one of these."""
        order = self.topics._topics_in_order
        places = [n for n, name in enumerate(order) if name.startswith(topic)]
        first = places[-count:][:1] if count else []
        lost = len(order) - first[0] if first else 0
        self.topics.come_back_older(lost)

    def close(self) -> None:
        async def end() -> None:
            for name in list(self.group.daemon_by_name):
                await self.group.kill(name)
            for task in self._tasks:
                task.cancel()

        self.loop.run_until_complete(end())
        self.loop.run_until_complete(asyncio.sleep(10))
        self.loop.close()
