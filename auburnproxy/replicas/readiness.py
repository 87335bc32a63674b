"""Which replicas serve, by what all their hosts report."""

from __future__ import annotations

import asyncio

from ..upstreams import Watcher
from ..upstreams.engine import EngineState
from .assignment import observed, played
from .replica import Replica
from .replicas import Replicas

PAUSED_S = 1.0
"""Seconds between two checks that show that this daemon did not run."""
POLL_S = 1.5
"""Seconds in which every host is polled anew after a pause."""
CHECK_INTERVAL_S = 0.25
"""Seconds between two checks of the replicas that serve."""
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
        self._served: tuple[Replica, ...] = ()
        self._state = (-1, -1)
        self._checked_at = 0.0
        self._guards_by_replica: dict[Replica, asyncio.Task[None]] = {}

    def serving(self, model: str) -> tuple[Replica, ...]:
        """Return the replicas of a model that may get new work."""
        return tuple(r for r in self.all_serving() if r.model == model)

    def all_serving(self) -> tuple[Replica, ...]:
        """Return the replicas of every model that may get new work.

        They are worked out anew when a host, a part or a record has changed, and
        at least every ``CHECK_INTERVAL_S`` seconds for what only time changes.
        """
        now = asyncio.get_running_loop().time()
        state = (self._replicas.version, self._watcher.changes.notification_count)
        if state != self._state or now - self._checked_at >= CHECK_INTERVAL_S:
            self._served = self._find_serving()
            self._state, self._checked_at = state, now
        return self._served

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

    def _find_serving(self) -> tuple[Replica, ...]:
        found = map(self._as_played, self._replicas.by_name.values())
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
                await self._next_check()
        finally:
            del self._guards_by_replica[replica]

    async def _next_check(self) -> None:
        """Wait for a change, or some time; longer if this daemon did not run.

        After a pause of its own every report is stale, so it polls first.
        """
        loop = asyncio.get_running_loop()
        began = loop.time()
        await self._watcher.changes.wait(CHECK_INTERVAL_S)
        if loop.time() - began > PAUSED_S:
            await asyncio.sleep(POLL_S)

    def _starts(self, replica: Replica) -> tuple[str, ...]:
        reports = [self._watcher.report(host) for host in replica.hosts]
        return tuple(report.incarnation for report in reports if report)

    def _ready(self, host: str) -> bool:
        report = self._watcher.report(host)
        return report is not None and report.state in READY_STATES
