"""Logs and gauges of the replicas and spare hosts of each model."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Iterator, Mapping

from ..clock import loop_time
from ..gateway.directory import Directory
from ..gateway.route import EngineSpec
from ..telemetry import Gauge, GaugeReading
from ..telemetry.decisions import DecisionLog
from .registry import ReplicaRegistry
from .replica_state import ReplicaState, replica_state, service_of

LOG_INTERVAL_S = 1.0
"""Interval between two log lines of a model."""


class ReplicaMetrics:
    """Reports the replicas by state, and the weights that spare hosts have loaded.

    :param directory: the registered hosts
    :param registry: the recorded replicas
    :param decisions: takes the log lines
    """

    def __init__(
        self, directory: Directory, registry: ReplicaRegistry, decisions: DecisionLog
    ) -> None:
        self._directory = directory
        self._registry = registry
        self._decisions = decisions
        self._next_log_at = 0.0

    def log_if_due(
        self,
        engines: Mapping[str, EngineSpec],
        states_by_name: Mapping[str, ReplicaState],
        loading: Iterable[tuple[str, str]],
    ) -> None:
        """Log a line for each service's model, unless one was within the interval.

        :param engines: the engine specs of the services whose hosts form replicas
        :param states_by_name: the state of each replica, by its name
        :param loading: the service and model of each weight load in progress
        """
        now = loop_time()
        if now < self._next_log_at:
            return
        self._next_log_at = now + LOG_INTERVAL_S
        hosts = self._directory.hosts
        loads = Counter(loading)
        for service, spec in engines.items():
            spares = self._spares_by_model(service)
            for model in spec.models:
                states = Counter(
                    states_by_name[name]
                    for name, replica in self._registry.by_name.items()
                    if replica.model == model.name
                    and service_of(replica, hosts) in (service, "")
                )
                self._decisions.belief(
                    "census",
                    service=service,
                    model=model.name,
                    hosts=model.hosts,
                    replicas=states,
                    spares=spares[model.name],
                    loading=loads[service, model.name],
                )

    def readings(self) -> Iterator[GaugeReading]:
        """Yield the values of the gauges."""
        hosts = self._directory.hosts
        states = Counter(
            (replica.model, replica_state(replica, hosts))
            for replica in self._registry.by_name.values()
        )
        for (model, state), count in states.items():
            yield GaugeReading(Gauge.REPLICAS, count, model, state)
        for model, count in self._spares_by_model().items():
            yield GaugeReading(Gauge.SPARES, count, model)

    def _spares_by_model(self, service: str | None = None) -> Counter[str]:
        """Return how many hosts outside replicas have the weights of each model.

        :param service: counts the hosts of one service, None for those of all
        """
        by_host = self._registry.by_host
        return Counter(
            model
            for host in self._directory.hosts.values()
            if host.id not in by_host and service in (host.service, None)
            for model in host.staged
        )
