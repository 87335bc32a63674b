"""What routing needs of the other slices."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Protocol

from ..external import HostEntry
from ..replicas import Replica
from ..upstreams.engine import Engine, EngineReport
from ..upstreams.observation import Observation
from ..upstreams.service import PlainService, ServiceReport


class Watcher(Protocol):
    """What is known of the upstreams of the own failure domain."""

    @property
    def entries_by_host(self) -> Mapping[str, HostEntry]:
        """Return the platform's entries."""

    @property
    def engines_by_host(self) -> Mapping[str, Engine]:
        """Return the adapters of the engines."""

    @property
    def services_by_host(self) -> Mapping[str, PlainService]:
        """Return the adapters of the plain services."""

    @property
    def ejected(self) -> frozenset[str]:
        """Return the hosts that are much slower than their peers."""

    def report(self, host: str) -> EngineReport | None:
        """Return an engine's report if it is fresh."""

    def service_report(self, host: str) -> ServiceReport | None:
        """Return a plain service's report if it is fresh."""

    def usable(self, host: str) -> bool:
        """Return whether a host may get new work."""

    def limit(self, host: str) -> int:
        """Return the calls that an upstream bears at once, from all daemons."""

    def observe(self, host: str, observation: Observation) -> None:
        """Learn from a call that was sent to an upstream."""


class Readiness(Protocol):
    """Which replicas serve."""

    def serving(self, model: str) -> tuple[Replica, ...]:
        """Return the replicas of a model that may get new work."""

    async def lost(self, replica: Replica) -> None:
        """Wait until a replica is not whole any more."""
