"""Which replicas serve, by what all their hosts report."""

from __future__ import annotations

import asyncio

from ..upstreams import Watcher
from ..upstreams.engine import EngineState
from .assignment import plays
from .replica import Replica
from .replicas import Replicas

CHECK_INTERVAL_S = 0.25
"""Seconds between two checks of a replica that calls run on."""


class Readiness:
    """Tells the replicas that serve, each shown by fresh reports of all its hosts.

    :param replicas: the recorded replicas
    :param watcher: what is known of the hosts
    """

    def __init__(self, replicas: Replicas, watcher: Watcher) -> None:
        self._replicas = replicas
        self._watcher = watcher
        self._guards_by_replica: dict[Replica, asyncio.Task[None]] = {}

    def serving(self, model: str) -> tuple[Replica, ...]:
        """Return the replicas of a model that may get new work."""
        return tuple(
            replica
            for replica in self._replicas.by_name.values()
            if replica.model == model and self.serves(replica)
        )

    def serves(self, replica: Replica) -> bool:
        """Return whether a replica is whole and none of its hosts is to be left."""
        if not self.whole(replica):
            return False
        return all(self._watcher.usable(host) for host in replica.hosts)

    def whole(self, replica: Replica) -> bool:
        """Return whether every host freshly reports this replica and generation.

        A whole replica finishes its calls in flight, also when it is left.
        """
        if self._replicas.by_name.get(replica.name) != replica:
            return False
        return all(
            self._plays(replica, host, rank) for rank, host in enumerate(replica.hosts)
        )

    async def lost(self, replica: Replica) -> None:
        """Wait until a replica is not whole any more; then its calls are cut."""
        guard = self._guards_by_replica.get(replica)
        if guard is None:
            guard = asyncio.create_task(self._guard(replica))
            self._guards_by_replica[replica] = guard
        await asyncio.shield(guard)

    async def _guard(self, replica: Replica) -> None:
        starts = self._starts(replica)
        try:
            while self.whole(replica) and self._starts(replica) == starts:
                await self._watcher.changes.wait(CHECK_INTERVAL_S)
        finally:
            del self._guards_by_replica[replica]

    def _starts(self, replica: Replica) -> tuple[str, ...]:
        reports = [self._watcher.report(host) for host in replica.hosts]
        return tuple(report.incarnation for report in reports if report)

    def _plays(self, replica: Replica, host: str, rank: int) -> bool:
        report = self._watcher.report(host)
        if report is None or not plays(report.assignment, replica, rank):
            return False
        return report.state in (EngineState.READY, EngineState.LEAVING)
