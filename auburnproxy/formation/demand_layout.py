"""Layout by demand: observes the models' demand and moves hosts between them."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Callable, Container, Iterable, Iterator, Mapping, Sequence
from typing import NamedTuple

from ..clock import loop_time
from ..gateway.directory import Directory
from ..gateway.host import Host, Incarnation
from ..gateway.route import Configuration, EngineSpec, RouteKind
from ..telemetry import Gauge, GaugeReading
from ..telemetry.decisions import DecisionLog
from .capacity import StreamObjective, replica_capacity
from .demand import DemandWindow
from .placement import FabricDomain, WeightLoad, replica_targets_by_domain
from .rebalancing import (
    ModelLoad,
    MovableHosts,
    Move,
    RetirableReplica,
    neediest_model,
    plan_moves,
    present_targets,
)
from .record import ReplicaRecord
from .registry import ReplicaRegistry
from .replica_state import service_of

DECISION_INTERVAL_S = 0.5
"""Interval between two decisions, that of the samples of demand."""
LOG_INTERVAL_S = 5.0
"""Interval between two log lines on a service's demand."""
MOVE_TIMEOUT_FACTOR = 2.0
"""Time after which a move's loads are given up, as a multiple of a load's duration."""
RETIRE_TIMEOUT_S = 10.0
"""Further time in which the replicas of a move are ended: a drain and its repeats."""
MAX_LOGGED = 16
"""Maximum number of names in a log line."""


class _Progress(NamedTuple):
    service: str
    deadline: float
    """Loop time at which what is left of a move is abandoned."""


class DemandLayout:
    """Decides which model each host serves while the system runs.

    Every daemon observes demand, so that a new leader knows it. The moves under way
    are known to the leader alone.

    :param directory: the registered hosts
    :param registry: the recorded replicas
    :param in_flight: returns the requests that all daemons have in flight at a head
    :param decisions: log of the demand and of each move
    """

    def __init__(
        self,
        directory: Directory,
        registry: ReplicaRegistry,
        in_flight: Callable[[str], int],
        decisions: DecisionLog,
    ) -> None:
        self._directory = directory
        self._registry = registry
        self._in_flight = in_flight
        self._decisions = decisions
        self._window_by_service: defaultdict[str, DemandWindow] = defaultdict(
            DemandWindow
        )
        self._progress_by_move: dict[Move, _Progress] = {}
        self._logged_at_by_service: dict[str, float] = {}
        self._decided_at = -DECISION_INTERVAL_S
        self._capacities: dict[str, dict[str, int]] = {}
        """Requests that a replica bears, by service and model, of a configuration."""
        self._capacities_of: Configuration | None = None

    @property
    def decision_due(self) -> bool:
        """Return whether moves should be decided now."""
        return loop_time() - self._decided_at >= DECISION_INTERVAL_S

    @property
    def model_by_host(self) -> Mapping[Incarnation, str]:
        """Return the model that each host of a move under way changes to."""
        moves = self._progress_by_move
        return {host: move.receiver for move in moves for host in move.hosts}

    def observe(self, engines: Mapping[str, EngineSpec], *, starting: bool) -> None:
        """Sample the demand for each model, if that is due.

        :param engines: the engine specs of the services whose hosts form replicas
        :param starting: whether no request has been served yet
        """
        for gone in self._window_by_service.keys() - engines.keys():
            del self._window_by_service[gone]
            self._logged_at_by_service.pop(gone, None)
        for service, engine in engines.items():
            window = self._window_by_service[service]
            if starting:
                window.note_starting()
            elif window.due:
                counts = dict.fromkeys((model.name for model in engine.models), 0.0)
                for replica in self._replicas(service):
                    if replica.model in counts:
                        counts[replica.model] += self._in_flight(replica.head.id)
                window.sample(counts, _load_s(engine))

    def abandon(self) -> None:
        """Forget all moves, since another daemon is the leader now."""
        for move in list(self._progress_by_move):
            self._end(move, "not_leader")

    def expire(self) -> None:
        """Forget the moves that have ended or have taken too long."""
        now, hosts = loop_time(), self._directory.hosts
        recorded = self._registry.by_name
        for move, progress in list(self._progress_by_move.items()):
            loaded = self._loaded(move)
            if not any(_is_present(hosts, host) for host in move.hosts):
                self._end(move, "hosts_lost")
            elif loaded and not any(name in recorded for name in move.retired):
                self._end(move, "done")
            elif progress.deadline <= now:
                self._end(move, "timeout")

    def should_end(self, replica: ReplicaRecord) -> bool:
        """Return whether a serving replica's hosts have the weights of another model.

        Its successors could not be recorded while the store is away.

        :param replica: the replica
        """
        return self._registry.follower.up and any(
            replica.name in move.retired and self._loaded(move)
            for move in self._progress_by_move
        )

    def targets(
        self, service: str, engine: EngineSpec, domains: Sequence[FabricDomain]
    ) -> dict[str, dict[str, int]]:
        """Return how many replicas of each model each fabric domain should have.

        :param service: name of the service
        :param engine: its models
        :param domains: the fabric domains of all failure domains
        """
        neediest = neediest_model(self._loads(service, engine))
        if not neediest:
            return replica_targets_by_domain(domains, engine)
        return present_targets(domains, engine, neediest)

    def weight_loads(self, service: str, loading: Container[str]) -> list[WeightLoad]:
        """Return the loads of weights that the moves under way still need.

        :param service: name of the service
        :param loading: ids of the hosts whose loads are under way
        """
        return [
            WeightLoad(host, model)
            for (name, born), model in self.model_by_host.items()
            if name not in loading
            and (host := self._directory.hosts.get(name)) is not None
            and (host.born, host.service) == (born, service)
            and not host.leaving
            and model not in host.staged
        ]

    def start_moves(
        self,
        service: str,
        engine: EngineSpec,
        domains: Sequence[FabricDomain],
        serving: Iterable[ReplicaRecord],
    ) -> None:
        """Decide which hosts change their model, unless moves are under way.

        :param service: name of the service
        :param engine: its models
        :param domains: its fabric domains
        :param serving: its replicas that serve and are not being ended
        """
        self._decided_at = loop_time()
        window = self._window_by_service[service]
        loads = self._loads(service, engine)
        self._log_demand(service, loads)
        if any(p.service == service for p in self._progress_by_move.values()):
            return
        if not window.ready(_load_s(engine)):
            return
        out = self._directory.out_domains
        replicas = tuple(
            RetirableReplica(
                replica.name,
                replica.model,
                replica.fabric_domain,
                tuple(member.incarnation for member in replica.members),
                self._in_flight(replica.head.id),
            )
            for replica in serving
            if not replica.spread and replica.failure_domain not in out
        )
        movable = MovableHosts(
            tuple(domain for domain in domains if domain.failure_domain not in out),
            replicas,
            self._weights(service),
            engine.loads_at_once - sum(len(d.staging_model_by_host) for d in domains),
        )
        for move in plan_moves(movable, engine, loads):
            timeout_s = MOVE_TIMEOUT_FACTOR * _load_s(engine) + RETIRE_TIMEOUT_S
            self._progress_by_move[move] = _Progress(service, loop_time() + timeout_s)
            self._decisions.belief(
                "layout_move",
                service=service,
                fabric_domain=move.fabric_domain,
                donor=move.donor,
                receiver=move.receiver,
                retired=move.retired[:MAX_LOGGED],
                upstreams=[name for name, _ in move.hosts[:MAX_LOGGED]],
                gained=move.gained,
                demand=_summary(loads),
            )

    def readings(self) -> Iterator[GaugeReading]:
        """Yield the demand for each model and the replicas that are wanted."""
        for service, engine in self._directory.engines.items():
            loads = self._loads(service, engine)
            wanted = Counter({name: load.replicas for name, load in loads.items()})
            for move in self._progress_by_move:
                wanted[move.donor] -= len(move.retired)
                wanted[move.receiver] += move.gained
            for name, load in loads.items():
                yield GaugeReading(Gauge.MODEL_DEMAND, load.sustained, name)
                yield GaugeReading(Gauge.REPLICAS_WANTED, wanted[name], name)

    def _loads(self, service: str, engine: EngineSpec) -> dict[str, ModelLoad]:
        window = self._window_by_service[service]
        capacities = self._capacities_by_model(service, engine)
        counts: defaultdict[str, float] = defaultdict(float)
        for replica in self._replicas(service):
            counts[replica.model] += 1 / engine.spread_factor if replica.spread else 1
        return {
            model.name: ModelLoad(
                window.sustained(model.name),
                window.peak(model.name),
                counts[model.name],
                capacities[model.name],
            )
            for model in engine.models
        }

    def _capacities_by_model(self, service: str, engine: EngineSpec) -> dict[str, int]:
        """Return what one replica of each model bears; it is computed once."""
        configuration = self._directory.configuration
        if configuration is not self._capacities_of:
            self._capacities, self._capacities_of = {}, configuration
        if service not in self._capacities:
            objectives = stream_objectives(configuration, service)
            self._capacities[service] = {
                model.name: replica_capacity(engine, model, objectives)
                for model in engine.models
            }
        return self._capacities[service]

    def _replicas(self, service: str) -> Iterator[ReplicaRecord]:
        hosts = self._directory.hosts
        for replica in self._registry.by_name.values():
            if service_of(replica, hosts) == service:
                yield replica

    def _weights(self, service: str) -> dict[Incarnation, str]:
        hosts = self._directory.hosts.values()
        return {
            host.incarnation: host.staged[-1]
            for host in hosts
            if host.service == service and host.staged
        }

    def _loaded(self, move: Move) -> bool:
        """Return whether all hosts of a move that are left have the weights."""
        hosts = self._directory.hosts
        left = [name for name, born in move.hosts if _is_present(hosts, (name, born))]
        return all(move.receiver in hosts[name].staged for name in left)

    def _end(self, move: Move, reason: str) -> None:
        progress = self._progress_by_move.pop(move)
        self._decisions.belief(
            "layout_move_ended",
            service=progress.service,
            fabric_domain=move.fabric_domain,
            donor=move.donor,
            receiver=move.receiver,
            reason=reason,
        )

    def _log_demand(self, service: str, loads: Mapping[str, ModelLoad]) -> None:
        now = loop_time()
        if now < self._logged_at_by_service.get(service, 0.0) + LOG_INTERVAL_S:
            return
        self._logged_at_by_service[service] = now
        span_s = round(self._window_by_service[service].span_s, 1)
        self._decisions.belief(
            "layout_demand", service=service, span_s=span_s, demand=_summary(loads)
        )


def stream_objectives(
    configuration: Configuration, service: str
) -> frozenset[StreamObjective]:
    """Return the objectives of the streamed routes that a service gets requests of.

    :param configuration: the configuration in force
    :param service: name of the service
    """
    return frozenset(
        StreamObjective(route.objective_s, route.pause_objective_s)
        for routes in configuration.routes_by_host.values()
        for route in routes
        if route.kind is RouteKind.STREAM
        and any(target.service == service for target in route.targets)
    )


def _load_s(engine: EngineSpec) -> float:
    """Return the time of the longest load of weights, in seconds."""
    return max((model.load_s for model in engine.models), default=0.0)


def _is_present(hosts: Mapping[str, Host], host: Incarnation) -> bool:
    name, born = host
    found = hosts.get(name)
    return found is not None and found.born == born


def _summary(loads: Mapping[str, ModelLoad]) -> dict[str, list[float]]:
    """Return by model: sustained and peak demand, replicas, and capacity of each."""
    return {
        name: [
            round(load.sustained, 1),
            round(load.peak, 1),
            round(load.replicas, 1),
            load.replica_capacity,
        ]
        for name, load in list(loads.items())[:MAX_LOGGED]
    }
