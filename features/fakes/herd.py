"""Many daemons that select heads by the latest heartbeats of each other.

Runs with a seed, on a virtual clock and without a network. Heartbeats are objects
passed to the daemons whose turn it is, and requests stay at their heads for about a
second.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from random import Random

from auburnproxy.errors import RefusalError
from auburnproxy.gateway.backoffs import UpstreamBackoffs
from auburnproxy.gateway.directory import Directory
from auburnproxy.gateway.health import Health
from auburnproxy.gateway.host import ReplicaPart, ReplicaPartState
from auburnproxy.gateway.named_limits import NamedLimits
from auburnproxy.gateway.shared_rates import SharedRates
from auburnproxy.gateway.subsets import Subsets
from auburnproxy.gateway.upstream_selector import UpstreamSelector
from auburnproxy.gossip import FactTable
from auburnproxy.heartbeats import Heartbeat
from auburnproxy.heartbeats.peer_group import (
    LOCAL_HEARTBEATS_PER_S,
    REMOTE_HEARTBEATS_PER_S,
    REMOTE_INTERVAL_TICKS,
    SEND_DELAY_S,
)
from auburnproxy.heartbeats.upstream_aggregate import UpstreamAggregate
from features.fakes.fleet import SERVICE, configuration, host
from features.fakes.store import null_decisions

TICK_S = 0.1
FIRST_EVENT_S = 0.15
WARM_UP_TICKS = 20
"""Ticks after which about as many requests end as begin."""


class SimulatedDaemon:
    """One daemon: the load that it knows of the others, and its own requests."""

    def __init__(self, name, domain, fleet):
        self.name, self.domain, self.fleet = name, domain, fleet
        self.aggregate = UpstreamAggregate()
        self.facts = FactTable()
        self.health = Health(
            fleet.decisions, probe=self.probe, heard_elsewhere=self.aggregate.heard_at
        )
        self.subsets = Subsets(name, lambda: fleet.names_by_domain[domain])
        self.health.on_requests_changed = self.announce_soon
        self.health.on_excluded = self.announce_excluded
        self._pending_announcements = set()
        self.selector = UpstreamSelector(
            fleet.directory,
            self.health,
            UpstreamBackoffs(fleet.decisions),
            self.subsets,
            NamedLimits(self.facts, fleet.decisions),
            SharedRates(self.facts, name=name),
            failure_domain=domain,
            remote_load=self.aggregate.requests_at,
            suspected=lambda: self.aggregate.suspects,
            sharers=lambda domain: fleet.names_by_domain[domain],
            far_interval_s=lambda: fleet.far_interval_s,
            random=Random(name),
        )

    async def probe(self, name):
        return name not in self.fleet.dead

    def announce_soon(self, head):
        if not self._pending_announcements:
            asyncio.get_running_loop().call_later(SEND_DELAY_S, self._announce_now)
        self._pending_announcements |= {*self.subsets.sharers(head)} - {self.name}

    def announce_excluded(self, head):
        if head not in self.aggregate.suspects:
            self.announce_soon(head)
            self._pending_announcements |= self.fleet.daemon_by_name.keys() - {
                self.name
            }

    def _announce_now(self):
        names, self._pending_announcements = self._pending_announcements, set()
        now = asyncio.get_running_loop().time()
        for name in names:
            self.fleet.announced += 1
            self.fleet.daemon_by_name[name].aggregate.update(self.heartbeat(), at=now)

    def heartbeat(self):
        suspects = list(self.health.suspects)
        work = self.health.load_by_host
        return Heartbeat(self.name, False, True, True, work, {}, suspects, [])


class DaemonFleet:
    """Daemons with unequal shares of the requests, and the heads of one model.

    :param heads: heads in each failure domain
    """

    def __init__(self, *, daemons, domains, heads, slots, seed=1, cold_s=0.0):
        self.random = Random(seed)
        self.decisions = null_decisions()
        self.directory = Directory(self.decisions)
        self.directory.configure(configuration())
        names = [f"fd{number}" for number in range(domains)]
        self.slots = slots
        self.heads = []
        for domain in names:
            for number in range(heads):
                name = f"{domain}-{number}"
                part = ReplicaPart(f"r-{name}", 1, 0, ReplicaPartState.OPEN)
                self.heads.append(name)
                self.directory.register(
                    host(
                        name,
                        failure_domain=domain,
                        models=("small",),
                        part=part,
                        slots=slots,
                        cold_s=cold_s,
                        seen_at=asyncio.get_running_loop().time(),
                    )
                )
        self.slots_at_first = len(self.heads) * slots
        self.end(set())
        self.names_by_domain = {d: set() for d in names}
        self.daemons = []
        for number in range(daemons):
            domain = names[number % domains]
            self.names_by_domain[domain].add(f"d{number}")
            self.daemons.append(SimulatedDaemon(f"d{number}", domain, self))
        self.daemon_by_name = {daemon.name: daemon for daemon in self.daemons}
        self.announced = 0
        self.weights = [self.random.expovariate(1.0) + 0.2 for _ in self.daemons]
        far = daemons * (domains - 1) / domains
        self.far_interval_s = max(0.3, far / REMOTE_HEARTBEATS_PER_S)
        self.dead: set[str] = set()
        self.load = Counter()
        self.peak = Counter()
        self.placed = self.refused = self.over = self.refused_while_free = 0
        self.over_with_own_free = 0
        self._load_ticks: Counter[str] = Counter()
        self._watched_ticks = 0
        self.noticed_at: dict[str, float] = {}
        self.sent_to_dead: list[tuple[float, str, str]] = []
        self.sent_at: dict[str, list[float]] = {}
        self._tasks: set[asyncio.Task] = set()

    def end(self, heads):
        """Dissolve the replicas of some heads, which removes their records."""
        self.heads = [head for head in self.heads if head not in heads]
        recorded = frozenset(f"r-{head}" for head in self.heads)
        self.directory.recorded_replicas = lambda: recorded

    def mean_load(self, domain):
        """Return the mean number of requests at a head of a failure domain."""
        heads = [head for head in self.heads if head.startswith(f"{domain}-")]
        loads = sum(self._load_ticks[head] for head in heads)
        return loads / len(heads) / self._watched_ticks

    async def run(self, seconds, *, per_s):
        """Send requests at random times while heartbeats are exchanged."""
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        beating = asyncio.create_task(self._send_heartbeats())
        while loop.time() < until:
            await asyncio.sleep(self.random.expovariate(per_s))
            daemon = self.random.choices(self.daemons, self.weights)[0]
            task = asyncio.create_task(self._request(daemon))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        beating.cancel()

    async def finish(self):
        await asyncio.gather(*self._tasks)

    async def _request(self, daemon):
        free = any(
            self.load[head] < self.slots for head in self.heads if head not in self.dead
        )
        try:
            head = daemon.selector.select_replica(SERVICE, "small").head.id
        except RefusalError:
            self.refused += 1
            self.refused_while_free += free
            return
        now = asyncio.get_running_loop().time()
        self.placed += 1
        own_free = any(
            self.load[other] < self.slots
            for other in self.heads
            if daemon.subsets.contains(other)
        )
        self.sent_at.setdefault(head, []).append(now)
        if head in self.dead:
            self.sent_to_dead.append((now, daemon.domain, head))
        self.load[head] += 1
        self.peak[head] = max(self.peak[head], self.load[head])
        beyond = self.load[head] > 1.1 * self.slots
        self.over += free and beyond
        self.over_with_own_free += own_free and beyond
        lost = asyncio.Event()
        with daemon.health.track_request(head, lost.set) as begin:
            if head in self.dead:
                await asyncio.sleep(0.3)
                loop_time = asyncio.get_running_loop().time()
                self.noticed_at.setdefault(head, loop_time)
                daemon.health.record_stall(head, silence_s=0.3, reason="no event")
            else:
                await asyncio.sleep(FIRST_EVENT_S)
                begin()
                daemon.health.record_data(head)
                await asyncio.sleep(self.random.uniform(0.5, 1.2))
        self.load[head] -= 1

    async def _send_heartbeats(self):
        tick = 0
        near = {
            domain: [d for d in self.daemons if d.domain == domain]
            for domain in self.names_by_domain
        }
        far = {
            domain: [d for d in self.daemons if d.domain != domain]
            for domain in self.names_by_domain
        }
        while True:
            tick += 1
            if tick > WARM_UP_TICKS:
                self._watched_ticks += 1
                self._load_ticks.update(self.load)
            for daemon in self.daemons:
                heartbeat = daemon.heartbeat()
                self._send(
                    heartbeat,
                    near[daemon.domain],
                    tick,
                    LOCAL_HEARTBEATS_PER_S * TICK_S,
                )
                if tick % REMOTE_INTERVAL_TICKS == 0:
                    limit = REMOTE_HEARTBEATS_PER_S * TICK_S * REMOTE_INTERVAL_TICKS
                    self._send(heartbeat, far[daemon.domain], tick, limit)
            await asyncio.sleep(TICK_S)

    def _send(self, heartbeat, daemons, tick, limit):
        now = asyncio.get_running_loop().time()
        limit = int(limit)
        start = tick * limit % len(daemons) if len(daemons) > limit else 0
        for other in (daemons[start:] + daemons[:start])[:limit]:
            if other.name != heartbeat.name:
                other.aggregate.update(heartbeat, at=now)
