"""Group downtime and stranded accelerators, the metrics of placement quality."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable, Mapping

from ..external import HostKind
from ..upstreams import Watcher
from .readiness import Readiness
from .replicas import Replicas

SAMPLE_INTERVAL_S = 1.0


class Downtime:
    """Accumulates group downtime and stranded host time of one failure domain.

    :param replicas: the recorded replicas
    :param watcher: observed state of the hosts
    :param readiness: which replicas are serving
    :param desired_replicas: returns the number of replicas desired here, by model
    """

    def __init__(
        self,
        replicas: Replicas,
        watcher: Watcher,
        readiness: Readiness,
        *,
        desired_replicas: Callable[[], Mapping[str, int]],
    ) -> None:
        self._replicas = replicas
        self._watcher = watcher
        self._readiness = readiness
        self._desired_replicas = desired_replicas
        self.group_downtime_s = 0.0
        self.stranded_host_s = 0.0
        self.live_host_s = 0.0

    @property
    def missing_replicas(self) -> int:
        """Return how many replicas are missing to reach the targets now."""
        if self._watcher.domain_out:
            return 0
        serving = Counter(r.model for r in self._readiness.all_serving())
        missing = (
            count - serving[model] for model, count in self._desired_replicas().items()
        )
        return sum(max(0, count) for count in missing)

    @property
    def live_hosts(self) -> frozenset[str]:
        """Return the engine hosts that may receive calls now."""
        return frozenset(
            entry.name
            for entry in self._watcher.entries_by_host.values()
            if entry.kind is HostKind.ENGINE and self._watcher.usable(entry.name)
        )

    @property
    def stranded_hosts(self) -> frozenset[str]:
        """Return the live engine hosts that are in no serving replica."""
        serving = self._readiness.all_serving()
        return self.live_hosts - {host for r in serving for host in r.hosts}

    async def run(self) -> None:
        """Sample until cancelled."""
        loop = asyncio.get_running_loop()
        last = loop.time()
        while True:
            await asyncio.sleep(SAMPLE_INTERVAL_S)
            now = loop.time()
            self.sample(now - last)
            last = now

    def sample(self, seconds: float) -> None:
        """Count the last ``seconds`` with the state seen now."""
        self.group_downtime_s += self.missing_replicas * seconds
        self.stranded_host_s += len(self.stranded_hosts) * seconds
        self.live_host_s += len(self.live_hosts) * seconds
