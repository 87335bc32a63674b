"""A replica controller and the fake engines that it controls, on a virtual clock."""

from __future__ import annotations

import asyncio

from auburnproxy.clock import loop_time
from auburnproxy.formation import ReplicaController, ReplicaRegistry
from auburnproxy.formation.demand_layout import DemandLayout
from auburnproxy.gateway.directory import Directory
from auburnproxy.store import EraChangePolicy, Follower
from features.fakes.fleet import FakeFleet, configuration
from features.fakes.store import FakeStore, FakeTopics, null_decisions

READ_INTERVAL_S = 0.4


def make_registry(topics, store=None):
    store = store or FakeStore(topics)
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
    :param load_aware: whether the layout follows demand
    """

    def __init__(
        self,
        hosts,
        *,
        topics=None,
        served=False,
        shared_with=None,
        load_aware=False,
        decisions=None,
    ):
        self.load_aware = load_aware
        self.served = served or shared_with is not None
        self.topics = shared_with.topics if shared_with else topics or FakeTopics()
        self.in_flight = 0
        """Number of requests in flight at each head."""
        self.demand_by_model = {}
        """Requests in flight that the heads of a model share, in place of that."""
        self.leads = True
        """Whether its daemon is the leader."""
        self.hears_daemons = True
        """Whether daemons of the hosts' failure domain are heard from."""
        self.stalled_heads = shared_with.stalled_heads if shared_with else set()
        self.directory = (
            shared_with.directory if shared_with else Directory(null_decisions())
        )
        self.directory.configure(configuration())
        self.fleet = shared_with.fleet if shared_with else FakeFleet(self.directory)
        self.fleet.add(*hosts)
        self.store = FakeStore(self.topics)
        self.replica_registry = make_registry(self.topics, self.store)
        self.directory.recorded_replicas = lambda: self.replica_registry.by_name
        decisions = decisions or null_decisions()
        layout = DemandLayout(
            self.directory, self.replica_registry, self.requests_at, decisions
        )
        self.replica_controller = ReplicaController(
            "a",
            self.directory,
            self.replica_registry,
            self.fleet,
            decisions,
            is_leader=lambda: self.leads,
            stalled_heads=lambda: self.stalled_heads,
            last_heard_at=lambda domain: loop_time() if self.hears_daemons else -1.0,
            starting=lambda: not self.served,
            in_flight=self.requests_at,
            layout=layout if load_aware else None,
        )

    def requests_at(self, head):
        """Return the requests in flight at a head, evenly for each model."""
        models = {r.head.id: r.model for r in self.replica_registry.by_name.values()}
        demand = self.demand_by_model.get(models.get(head))
        if demand is None:
            return self.in_flight
        return demand // list(models.values()).count(models[head])

    async def run(self, seconds):
        if not self.replica_registry.follower.complete:
            await self.replica_registry.follower.read_once(wait=False)
        tasks = [asyncio.create_task(self.replica_controller.run())]
        tasks.append(asyncio.create_task(self.fleet.renew_registrations()))
        if self.topics.era or self.load_aware:
            tasks.append(asyncio.create_task(self.replica_registry.follower.run()))
        await asyncio.sleep(seconds)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
