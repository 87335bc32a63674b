"""Which replicas are serving, according to the reports of all their hosts."""

from __future__ import annotations

import asyncio

from ..upstreams import Watcher
from ..upstreams.engine import EngineState
from .assignment import find_reported, is_reported
from .replica import Replica
from .replicas import Replicas

PAUSE_THRESHOLD_S = 1.0
"""If the wait for a check takes longer, this daemon was paused meanwhile."""
REPOLL_S = 1.5
"""Time in which every host is polled again after a pause."""
CHECK_INTERVAL_S = 0.25
"""Maximum time between two checks of the serving replicas."""
READY_STATES = (EngineState.READY, EngineState.LEAVING)
"""States in which an engine processes its calls in flight."""


class Readiness:
    """Determines which replicas are serving, from fresh reports of all their hosts.

    :param replicas: the recorded replicas
    :param watcher: observed state of the hosts
    """

    def __init__(self, replicas: Replicas, watcher: Watcher) -> None:
        self._replicas = replicas
        self._watcher = watcher
        self._serving: tuple[Replica, ...] = ()
        self._checked_state = (-1, -1)
        self._checked_at = 0.0
        self._loss_tasks_by_replica: dict[Replica, asyncio.Task[None]] = {}

    def serving(self, model: str) -> tuple[Replica, ...]:
        """Return the replicas of a model that may receive new calls."""
        return tuple(r for r in self.all_serving() if r.model == model)

    def all_serving(self) -> tuple[Replica, ...]:
        """Return the replicas of all models that may receive new calls.

        The result is recomputed when a host, an assignment or a record has changed, and
        at least every ``CHECK_INTERVAL_S`` seconds because reports expire.
        """
        now = asyncio.get_running_loop().time()
        state = (self._replicas.version, self._watcher.changes.notification_count)
        if state != self._checked_state or now - self._checked_at >= CHECK_INTERVAL_S:
            self._serving = self._find_serving()
            self._checked_state, self._checked_at = state, now
        return self._serving

    def is_serving(self, replica: Replica) -> bool:
        """Return whether a replica is complete and all its hosts may receive calls."""
        if not all(self._watcher.usable(host) for host in replica.hosts):
            return False
        return self.is_complete(replica)

    def is_complete(self, replica: Replica) -> bool:
        """Return whether fresh reports of all hosts show this replica and its hosts.

        A complete replica finishes its calls in flight, even if it gets no new ones.
        """
        recorded = self._replicas.by_name.get(replica.name)
        if recorded is None or recorded.generation != replica.generation:
            return False
        if recorded.hosts != replica.hosts and not self._replicas.free_for(replica):
            return False
        if not all(map(self._is_ready, replica.hosts)):
            return False
        return is_reported(replica, self._watcher)

    def _find_serving(self) -> tuple[Replica, ...]:
        found = map(self._with_reported_hosts, self._replicas.by_name.values())
        return tuple(
            replica for replica in found if replica and self.is_serving(replica)
        )

    def _with_reported_hosts(self, recorded: Replica) -> Replica | None:
        """Return a replica with the hosts that report it now, or None."""
        if self.is_complete(recorded):
            return recorded
        return find_reported(recorded, self._watcher)

    async def wait_until_lost(self, replica: Replica) -> None:
        """Wait until a replica is incomplete or one of its hosts has restarted.

        The caller then aborts the replica's calls.
        """
        task = self._loss_tasks_by_replica.get(replica)
        if task is None:
            task = asyncio.create_task(self._wait_for_loss(replica))
            self._loss_tasks_by_replica[replica] = task
        await asyncio.shield(task)

    async def _wait_for_loss(self, replica: Replica) -> None:
        incarnations = self._incarnations(replica)
        try:
            while (
                self.is_complete(replica)
                and self._incarnations(replica) == incarnations
            ):
                await self._next_check()
        finally:
            del self._loss_tasks_by_replica[replica]

    async def _next_check(self) -> None:
        """Wait for a change or the next check, longer if this daemon was paused.

        All reports are stale after a pause, so every host is polled again first.
        """
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        await self._watcher.changes.wait(CHECK_INTERVAL_S)
        if loop.time() - started_at > PAUSE_THRESHOLD_S:
            await asyncio.sleep(REPOLL_S)

    def _incarnations(self, replica: Replica) -> tuple[str, ...]:
        reports = [self._watcher.report(host) for host in replica.hosts]
        return tuple(report.incarnation for report in reports if report)

    def _is_ready(self, host: str) -> bool:
        report = self._watcher.report(host)
        return report is not None and report.state in READY_STATES
