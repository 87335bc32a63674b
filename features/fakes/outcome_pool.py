"""Daemons that share a pool of upstreams, some of which fail what they get."""

from __future__ import annotations

import asyncio
from random import Random

from auburnproxy.errors import RefusalError
from auburnproxy.gateway.backoffs import UpstreamBackoffs
from auburnproxy.gateway.directory import Directory
from auburnproxy.gateway.health import Health
from auburnproxy.gateway.host import ReplicaPart, ReplicaPartState
from auburnproxy.gateway.outcome_record import Outcome
from auburnproxy.gateway.outcomes import OutcomeTracker
from auburnproxy.gateway.shared_rates import SharedRates
from auburnproxy.gateway.subsets import Subsets
from auburnproxy.gateway.upstream_selector import UpstreamSelector
from features.fakes.fleet import SERVICE, configuration, host
from features.fakes.gossip import GossipCluster
from features.fakes.store import null_decisions

RESET_S, ANSWER_S = 0.005, 0.2
MAX_TRIES = 2


class PoolDaemon:
    """One daemon's health, outcomes and selection, with probes that are always good."""

    def __init__(self, gossip, pool):
        self.name = gossip.name
        self.facts = gossip.facts
        self.health = Health(null_decisions(), probe=self._probe)
        self.outcomes = OutcomeTracker(
            gossip.facts,
            pool.directory,
            null_decisions(),
            name=gossip.name,
            daemons=lambda domain: pool.cluster.names,
            tell=lambda names: pool.cluster.send(
                gossip, pool.cluster.daemons_named(names)
            ),
        )
        self.selector = UpstreamSelector(
            pool.directory,
            self.health,
            UpstreamBackoffs(null_decisions()),
            Subsets(gossip.name, lambda: pool.cluster.names),
            gossip.limits,
            SharedRates(gossip.facts, name=gossip.name),
            failure_domain="fd1",
            remote_load=lambda name: pool.load_elsewhere(self, name),
            distrusted=self.outcomes.distrusted,
            random=pool.random,
        )

    async def _probe(self, name):
        return True


class OutcomePool:
    """Plays requests at random daemons, and records which upstreams get them.

    :param upstreams: number of upstreams
    :param daemons: number of daemons
    :param plain: whether they are hosts of a plain service instead of replicas
    """

    def __init__(self, upstreams, daemons, *, plain=False):
        self.random = Random(upstreams)
        self.plain = plain
        self.directory = Directory(null_decisions())
        self.directory.configure(configuration())
        self.names = [f"e{number:03d}" for number in range(upstreams)]
        for name in self.names:
            self.directory.register(self._host(name))
        self.directory.recorded_replicas = lambda: {f"r-{n}" for n in self.names}
        self.cluster = GossipCluster(daemons)
        self.daemons = [PoolDaemon(each, self) for each in self.cluster.daemons]
        self.failing = set()
        """Upstreams that reset all that they get."""
        self.badly_linked = set()
        """Daemons whose connections to upstreams are all reset."""
        self.tries = []
        """Time, daemon, upstream and whether it may run again, of each try."""
        self.ends = []
        """Time, daemon and what each caller got."""

    def _host(self, name):
        if self.plain:
            return host(name, fabric="")
        part = ReplicaPart(f"r-{name}", 1, 0, ReplicaPartState.OPEN)
        return host(name, models=("small",), part=part)

    def load_elsewhere(self, daemon, name):
        others = [d.health for d in self.daemons if d is not daemon]
        return sum(h.in_flight(name) for h in others), sum(
            h.unanswered(name) for h in others
        )

    async def play(self, seconds, per_s, *, repeatable=True):
        """Let callers send requests for a time, evenly."""
        async with asyncio.TaskGroup() as group:
            traffic = self._send(group, int(seconds * per_s), 1 / per_s, repeatable)
            await asyncio.gather(traffic, self.cluster.run(seconds))

    async def _send(self, group, count, pause_s, repeatable):
        for _ in range(count):
            daemon = self.random.choice(self.daemons)
            group.create_task(self._request(daemon, repeatable))
            await asyncio.sleep(pause_s)

    async def _request(self, daemon, repeatable):
        loop, tried, end = asyncio.get_running_loop(), set(), "failed"
        for _ in range(MAX_TRIES if repeatable else 1):
            trials = set()
            if not tried:
                trials = daemon.outcomes.trials(repeatable=repeatable)
            try:
                chosen = self._select(
                    daemon, tried=tried, repeatable=repeatable, trials=trials
                )
            except RefusalError:
                end = "refused"
                break
            if chosen.id in trials:
                daemon.outcomes.begin_trial(chosen, "a")
            tried.add(chosen.id)
            sent_at = loop.time()
            self.tries.append((sent_at, daemon.name, chosen.id, repeatable))
            if await self._answers(daemon, chosen, sent_at):
                end = "served"
                break
        self.ends.append((loop.time(), daemon.name, end))

    def _select(self, daemon, **demand):
        if self.plain:
            return daemon.selector.select_host(SERVICE, **demand)
        return daemon.selector.select_replica(SERVICE, "small", **demand).head

    async def _answers(self, daemon, chosen, sent_at):
        fails = chosen.id in self.failing or daemon.name in self.badly_linked
        with daemon.health.track_request(chosen.id, lambda: None) as begin:
            await asyncio.sleep(RESET_S if fails else ANSWER_S / 2)
            begin()
            outcome = Outcome.RESET if fails else Outcome.ANSWERED
            daemon.outcomes.record(chosen, outcome, sent_at=sent_at)
            if not fails:
                daemon.health.record_data(chosen.id)
                await asyncio.sleep(ANSWER_S / 2)
        return not fails
