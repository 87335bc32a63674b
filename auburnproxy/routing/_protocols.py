"""Interfaces that routing requires from other packages."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Protocol

from ..external import HostEntry
from ..replicas import Replica
from ..upstreams.engine import Engine, EngineReport
from ..upstreams.observation import Observation
from ..upstreams.service import PlainService, ServiceReport


class Watcher(Protocol):
    """State of the upstreams in the own failure domain."""

    @property
    def entries_by_host(self) -> Mapping[str, HostEntry]:
        """Return the platform's host list entries by host."""

    @property
    def engines_by_host(self) -> Mapping[str, Engine]:
        """Return the engine adapters by host."""

    @property
    def services_by_host(self) -> Mapping[str, PlainService]:
        """Return the adapters of plain services by host."""

    @property
    def ejected(self) -> frozenset[str]:
        """Return the hosts excluded as much slower than comparable hosts."""

    def report(self, host: str) -> EngineReport | None:
        """Return an engine's report, or None if there is no fresh one."""

    def service_report(self, host: str) -> ServiceReport | None:
        """Return a plain service's report, or None if there is no fresh one."""

    def usable(self, host: str) -> bool:
        """Return whether a host may receive new calls."""

    def limit(self, host: str) -> int:
        """Return the concurrent calls that a host supports, from all daemons."""

    def observe(self, host: str, observation: Observation) -> None:
        """Record the outcome of a call to an upstream."""


class Readiness(Protocol):
    """Which replicas can serve calls."""

    def serving(self, model: str) -> tuple[Replica, ...]:
        """Return the replicas of a model that may receive new calls."""

    async def wait_until_lost(self, replica: Replica) -> None:
        """Wait until a replica is incomplete or one of its hosts has restarted."""
