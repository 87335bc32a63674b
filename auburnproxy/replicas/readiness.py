"""Which replicas serve, by what all their hosts report."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable

from ..upstreams import Watcher
from ..upstreams.engine import EngineState
from .assignment import observed, played
from .replica import Replica
from .replicas import Replicas

CHECK_INTERVAL_S = 0.25
"""Seconds between two checks of a replica that calls run on."""
READY_STATES = (EngineState.READY, EngineState.LEAVING)
"""States of an engine that finishes its calls."""


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
        recorded = self._replicas.by_name.values()
        return self._serving(replica for replica in recorded if replica.model == model)

    def all_serving(self) -> tuple[Replica, ...]:
        """Return the replicas of every model that may get new work."""
        return self._serving(self._replicas.by_name.values())

    def serves(self, replica: Replica) -> bool:
        """Return whether a replica is whole and none of its hosts is to be left."""
        if not all(self._watcher.usable(host) for host in replica.hosts):
            return False
        return self.whole(replica)

    def whole(self, replica: Replica) -> bool:
        """Return whether every host freshly reports this replica and its hosts.

        A whole replica finishes its calls in flight, also when it is left.
        """
        recorded = self._replicas.by_name.get(replica.name)
        if recorded is None or recorded.generation != replica.generation:
            return False
        if recorded.hosts != replica.hosts and not self._replicas.free_for(replica):
            return False
        if not all(map(self._ready, replica.hosts)):
            return False
        return played(replica, self._watcher)

    def _serving(self, recorded: Iterable[Replica]) -> tuple[Replica, ...]:
        found = (self._as_played(replica) for replica in recorded)
        return tuple(replica for replica in found if replica and self.serves(replica))

    def _as_played(self, recorded: Replica) -> Replica | None:
        """Return a replica with the hosts that play it now, None if none do."""
        if self.whole(recorded):
            return recorded
        return observed(recorded, self._watcher)

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

    def _ready(self, host: str) -> bool:
        report = self._watcher.report(host)
        return report is not None and report.state in READY_STATES
