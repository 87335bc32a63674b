"""How the replicas of each model stand, as one line a second."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Iterator, Mapping

from ..clock import loop_time
from ..gateway.directory import Directory
from ..gateway.route import EngineSpec
from ..telemetry import Gauge, Reading
from ..telemetry.decisions import Decisions
from .registry import ReplicaRegistry
from .standing import Standing, standing

INTERVAL_S = 1.0
"""Seconds between two lines."""


class Census:
    """Logs how many replicas serve and what the spares hold.

    :param directory: the registered hosts
    :param registry: the recorded replicas
    :param decisions: takes the lines
    """

    def __init__(
        self, directory: Directory, registry: ReplicaRegistry, decisions: Decisions
    ) -> None:
        self._directory = directory
        self._registry = registry
        self._decisions = decisions
        self._due = 0.0

    def take(
        self,
        spec: EngineSpec,
        standings: Mapping[str, Standing],
        loading: Iterable[str],
    ) -> None:
        """Log a line for each model, if that is due.

        :param standings: how each replica stands, by name
        :param loading: the model of each load that is under way
        """
        now = loop_time()
        if now < self._due:
            return
        self._due = now + INTERVAL_S
        spares = self._spares()
        loads = Counter(loading)
        for model in spec.models:
            states = Counter(
                standings[name]
                for name, replica in self._registry.by_name.items()
                if replica.model == model.name
            )
            self._decisions.belief(
                "census",
                model=model.name,
                hosts=model.hosts,
                replicas=states,
                spares=spares[model.name],
                loading=loads[model.name],
            )

    def readings(self) -> Iterator[Reading]:
        """Yield what the gauges of this slice show."""
        hosts = self._directory.hosts
        states = Counter(
            (replica.model, standing(replica, hosts))
            for replica in self._registry.by_name.values()
        )
        for (model, state), count in states.items():
            yield Reading(Gauge.REPLICAS, count, model, state)
        for model, count in self._spares().items():
            yield Reading(Gauge.SPARES, count, model)

    def _spares(self) -> Counter[str]:
        """Return how many hosts of no replica hold the weights of each model."""
        by_host = self._registry.by_host
        return Counter(
            model
            for host in self._directory.hosts.values()
            if host.id not in by_host
            for model in host.staged
        )
