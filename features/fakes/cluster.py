"""Simulated cluster: processes of several failure domains with links that can fail."""

from __future__ import annotations

import asyncio

from auburnproxy.configuration import Configuration
from auburnproxy.journal import Journal
from auburnproxy.operators import Changes
from features.fakes.log import FakeLog, LogPort

RELAY_INTERVAL_S = 0.25
MAX_RELAYED_ENTRIES = 128
CHECKPOINT_S = 30.0


class Process:
    """One run of a process; a restart creates a new one."""

    starts = 0

    def __init__(self, cluster, place):
        Process.starts += 1
        self.place, self.cluster = place, cluster
        self.domain = cluster.domains[place % len(cluster.domains)]
        self.port = LogPort(cluster.log)
        self.port.disconnected = place in cluster.cut_from_log
        self.configuration = Configuration()
        self.confirmed_version = 0
        self.journal = Journal(
            self.port,
            [self.configuration],
            author=f"{place}@{Process.starts}",
            failure_domain=self.domain,
            failure_domains=lambda: cluster.domains,
            rank=lambda: place,
            checkpoint_s=CHECKPOINT_S,
        )
        self.changes = Changes(
            self.configuration,
            self.journal,
            in_force=lambda: cluster.in_force(place),
            required_domains=lambda: cluster.domains,
        )
        loop = cluster.loop
        self.tasks = [loop.create_task(self.journal.run())]
        self.tasks.append(loop.create_task(self.relay()))

    async def relay(self):
        while True:
            await asyncio.sleep(RELAY_INTERVAL_S)
            self.confirmed_version = self.configuration.version
            if self.journal.up and self.journal.ready:
                continue
            peers = [p.journal for p in self.cluster.linked_peers(self.place)]
            most_advanced = max(
                peers, key=lambda journal: journal.offset, default=self.journal
            )
            entries = most_advanced.entries_after(
                self.journal.offset, MAX_RELAYED_ENTRIES
            )
            self.journal.apply_entries(entries)
            if not entries and most_advanced.offset > self.journal.offset:
                self.journal.install_checkpoint(most_advanced.checkpoint())


class Cluster:
    """Processes, their log and the links between them."""

    def __init__(self, loop, *, domains=("a", "b", "c"), processes=3):
        self.loop, self.domains = loop, domains
        self.log = FakeLog()
        self.cut_from_log: set[int] = set()
        self.cut_links: set[frozenset[int]] = set()
        self.processes = [Process(self, place) for place in range(processes)]

    def linked_peers(self, place):
        others = [p for p in self.processes if p.place != place]
        cut = self.cut_links
        return [p for p in others if frozenset((p.place, place)) not in cut]

    def in_force(self, place):
        reachable = [self.processes[place], *self.linked_peers(place)]
        versions = dict.fromkeys(self.domains, 0)
        for process in reachable:
            versions[process.domain] = max(
                versions[process.domain], process.confirmed_version
            )
        return versions

    def cut_log(self, place, cut=True):
        (self.cut_from_log.add if cut else self.cut_from_log.discard)(place)
        self.processes[place].port.disconnected = cut

    def cut_link(self, one, other, cut=True):
        pair = frozenset((one, other))
        (self.cut_links.add if cut else self.cut_links.discard)(pair)

    def heal(self):
        self.cut_links.clear()
        for process in self.processes:
            self.cut_log(process.place, cut=False)
            process.port.hidden_records = process.port.lost_responses = 0

    async def restart(self, place):
        await self.stop(self.processes[place])
        self.processes[place] = Process(self, place)

    async def stop(self, process):
        for task in process.tasks:
            task.cancel()
        await asyncio.gather(*process.tasks, return_exceptions=True)

    async def close(self):
        for process in self.processes:
            await self.stop(process)
