"""Fleet of complete daemons on an in-memory store that can be restored."""

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
    DaemonGroup,
    settings_of,
)
from emulator.network import Network, VirtualLoop
from emulator.registrations import Registrations
from features.fakes.fleet import LAPSE_S, FakeFleet, configuration, host
from features.fakes.store import FakeStore, FakeTopics, null_decisions

VERSION = b"1"
CHECK_S = 0.1


class RestoreDrill:
    """Daemons, engines, and a store that sends its era, on a virtual clock.

    :param daemons: number of daemons
    :param domains: number of failure domains over which daemons and engines are spread
    :param hosts: engines in each failure domain, in fabric domains of 8
    """

    def __init__(self, *, daemons: int, domains: int, hosts: int) -> None:
        self.network = Network()
        self.loop = VirtualLoop(self.network)
        self.store_by_name: dict[str, FakeStore] = {}
        self._lost_at_by_engine: dict[str, float] = {}
        self._shape = daemons, domains, hosts
        self.loop.run_until_complete(self._start())

    async def _start(self) -> None:
        daemons, domains, hosts = self._shape
        self.topics = FakeTopics(era=1)
        self.topics.append(OPERATORS, [Change(CONFIGURATION, VERSION)])
        self.fleet = FakeFleet(Registrations(self.topics.append))
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
            asyncio.create_task(self.fleet.renew_registrations()),
            asyncio.create_task(self._drop_lost_registrations()),
        ]
        self.group = DaemonGroup(
            self.network,
            self.fleet,
            {VERSION: configuration()},
            open_store=self._open_store,
            open_decisions=lambda name: null_decisions(),
        )
        for number in range(daemons):
            self.group.start(
                settings_of(number, failure_domain=f"fd{number % domains}")
            )

    def lose_engine(self, name: str) -> None:
        """Stop an engine's process; its registration expires later."""
        self.fleet.stop(name)
        self._lost_at_by_engine[name] = self.loop.time()

    async def _drop_lost_registrations(self) -> None:
        """Delete the registrations of lost engines, again after each restore."""
        while True:
            await asyncio.sleep(1)
            newest = {c.key for c in self.topics.newest(UPSTREAMS).changes}
            for name, at in self._lost_at_by_engine.items():
                if name in newest and loop_time() - at > LAPSE_S:
                    self.topics.append(UPSTREAMS, [Change(name, b"")])

    def _open_store(self, location) -> FakeStore:
        return self.store_by_name.setdefault(location.name, FakeStore(self.topics))

    @property
    def daemons(self):
        return list(self.group.daemon_by_name.values())

    @property
    def leader(self):
        """Return the only daemon that considers itself the leader, or None."""
        leaders = [
            daemon for daemon in self.daemons if daemon.leader_election.is_leader
        ]
        return leaders[0] if len(leaders) == 1 else None

    @property
    def calls(self) -> int:
        return sum(store.calls for store in self.store_by_name.values())

    def run(self, seconds: float) -> None:
        self.loop.run_until_complete(asyncio.sleep(seconds))

    def all_agree(self) -> bool:
        """Return whether all daemons know the replicas and the era of the store."""
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

    def wait_until_agreed(self, timeout_s: float) -> float:
        """Return the seconds until all daemons agree and there is one leader."""

        async def wait() -> float:
            started_at = loop_time()
            while not (self.all_agree() and self.leader):
                if loop_time() - started_at > timeout_s:
                    break
                await asyncio.sleep(CHECK_S)
            return loop_time() - started_at

        return self.loop.run_until_complete(wait())

    def serving_replicas(self) -> set[str]:
        """Return the names of the replicas whose heads accept requests."""
        return {head.part.replica for head in self.fleet.open_heads()}

    def restore_without_records(self, topic: str, count: int) -> None:
        """Restore the store as it was before the newest records of a topic.

        :param topic: prefix of the topic's name
        :param count: number of its newest records that are lost
        """
        topic_by_append = self.topics._topic_by_append
        indices = [
            n for n, name in enumerate(topic_by_append) if name.startswith(topic)
        ]
        first = indices[-count:][:1] if count else []
        lost = len(topic_by_append) - first[0] if first else 0
        self.topics.restore_older_copy(lost)

    def close(self) -> None:
        async def end() -> None:
            for name in list(self.group.daemon_by_name):
                await self.group.kill(name)
            for task in self._tasks:
                task.cancel()

        self.loop.run_until_complete(end())
        self.loop.run_until_complete(asyncio.sleep(10))
        self.loop.close()
