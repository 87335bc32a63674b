"""A replica controller and the fake engines that it controls, on a virtual clock."""

from __future__ import annotations

import asyncio

from auburnproxy.clock import loop_time
from auburnproxy.formation import ReplicaController, ReplicaRegistry
from auburnproxy.gateway.directory import Directory
from auburnproxy.store import EraChangePolicy, Follower
from features.fakes.fleet import FakeFleet, configuration
from features.fakes.store import FakeStore, FakeTopics, null_decisions

READ_INTERVAL_S = 0.4


def make_registry(topics):
    store = FakeStore(topics)
    follower = Follower(
        store,
        "replicas",
        null_decisions(),
        pause_s=lambda: READ_INTERVAL_S,
        era_policy=EraChangePolicy.NEW_TOPIC,
    )
    return ReplicaRegistry(
        store, null_decisions(), follower, unique_suffix=topics.unique_token
    )


class FormationSite:
    """The controller of a leader with its registry and fake engines.

    :param shared_with: another site, whose store and engines this one uses as well
    """

    def __init__(self, hosts, *, topics=None, served=False, shared_with=None):
        self.served = served or shared_with is not None
        self.topics = shared_with.topics if shared_with else topics or FakeTopics()
        self.in_flight = 0
        """Number of requests in flight at each head."""
        self.hears_daemons = True
        """Whether daemons of the hosts' failure domain are heard from."""
        self.stalled_heads = shared_with.stalled_heads if shared_with else set()
        self.directory = (
            shared_with.directory if shared_with else Directory(null_decisions())
        )
        self.directory.configure(configuration())
        self.fleet = shared_with.fleet if shared_with else FakeFleet(self.directory)
        self.fleet.add(*hosts)
        self.replica_registry = make_registry(self.topics)
        self.directory.recorded_replicas = lambda: self.replica_registry.by_name
        self.replica_controller = ReplicaController(
            "a",
            self.directory,
            self.replica_registry,
            self.fleet,
            null_decisions(),
            is_leader=lambda: True,
            stalled_heads=lambda: self.stalled_heads,
            last_heard_at=lambda domain: loop_time() if self.hears_daemons else -1.0,
            starting=lambda: not self.served,
            in_flight=lambda head: self.in_flight,
        )

    async def run(self, seconds):
        if not self.replica_registry.follower.complete:
            await self.replica_registry.follower.read_once(wait=False)
        tasks = [asyncio.create_task(self.replica_controller.run())]
        tasks.append(asyncio.create_task(self.fleet.renew_registrations()))
        if self.topics.era:
            tasks.append(asyncio.create_task(self.replica_registry.follower.run()))
        await asyncio.sleep(seconds)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
