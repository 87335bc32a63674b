"""Which hosts should change their model, so that the layout follows demand.

The layout in place is read from the recorded replicas and the weights on idle hosts, so
every leader finds the same one. A move takes hosts of one fabric domain from a model
with room to one that is short. Weights load beside all other work, so the hosts of a
replica load the other weights while it serves, and it is ended when they have them.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator, Mapping, Sequence
from typing import NamedTuple

from ..gateway.host import Host, Incarnation
from ..gateway.route import EngineSpec, ModelSpec
from .placement import FabricDomain

SHORT_UTILIZATION = 0.5
"""Sustained utilization above which a model may get hosts of another one; below it, a
model bears the loss of a third of its replicas."""
MIN_MARGIN = 0.05
"""Least difference by which the model that gives a replica stays below what the other
one's utilization was."""
MIN_SPARES = 1
"""Idle hosts that a model keeps in a fabric domain where it has a replica."""


class ModelLoad(NamedTuple):
    """Demand for a model and what its replicas bear."""

    sustained: float
    """Requests in flight during all of the observed time."""
    peak: float
    """Most requests in flight in that time."""
    replicas: float
    """Replicas that serve or are being formed; a slow one counts as less."""
    replica_capacity: int
    """Requests that one replica bears within its objectives."""

    def utilization(self, demand: float, *, more_replicas: float = 0.0) -> float:
        """Return a demand as a fraction of what the replicas bear.

        :param demand: number of requests in flight
        :param more_replicas: replicas to add, negative to take away
        """
        capacity = (self.replicas + more_replicas) * self.replica_capacity
        if capacity <= 0:
            return float("inf") if demand > 0 else 0.0
        return demand / capacity


class RetirableReplica(NamedTuple):
    """A replica that serves and could be ended."""

    name: str
    model: str
    fabric_domain: str
    hosts: tuple[Incarnation, ...]
    in_flight: int


class MovableHosts(NamedTuple):
    """Where hosts may change their model now."""

    domains: tuple[FabricDomain, ...]
    """The fabric domains of the failure domains that may change."""
    replicas: tuple[RetirableReplica, ...]
    """The replicas that serve there."""
    weights: Mapping[Incarnation, str]
    """The model whose weights each host has staged, if any."""
    max_loads: int
    """Loads that may be started."""


class Move(NamedTuple):
    """Hosts of one fabric domain that change their model."""

    fabric_domain: str
    donor: str
    receiver: str
    retired: tuple[str, ...]
    """Names of the replicas that are ended for it."""
    hosts: tuple[Incarnation, ...]
    """The hosts that load the receiver's weights."""
    gained: int
    """Replicas that the receiver can form then."""

    @property
    def failure_domain(self) -> str:
        """Return the failure domain of the hosts."""
        return self.fabric_domain.partition("/")[0]


def present_targets(
    domains: Sequence[FabricDomain], engine: EngineSpec, neediest: str
) -> dict[str, dict[str, int]]:
    """Return as targets what the weights in each fabric domain are enough for.

    Hosts without weights complete a replica of which half is left, since that takes the
    fewest loads. The others are for the neediest model.

    :param domains: the fabric domains of all failure domains
    :param engine: the models
    :param neediest: the model that is to have the other hosts without weights
    """
    found = {}
    for domain in domains:
        weights = Counter(_weights(domain, host) for host in domain.idle)
        empty = weights[""]
        hosts = {
            model.name: weights[model.name]
            + domain.replicas_by_model.get(model.name, 0) * model.hosts
            for model in engine.models
        }
        for model in engine.models:
            missing = -hosts[model.name] % model.hosts
            if 0 < missing <= min(model.hosts // 2, empty):
                hosts[model.name] += missing
                empty -= missing
        if neediest in hosts:
            hosts[neediest] += empty
        found[domain.name] = {m.name: hosts[m.name] // m.hosts for m in engine.models}
    return found


def plan_moves(
    movable: MovableHosts, engine: EngineSpec, loads: Mapping[str, ModelLoad]
) -> tuple[Move, ...]:
    """Return the moves to start now, at most one in each failure domain.

    :param movable: hosts and replicas that may change
    :param engine: the models
    :param loads: demand and replicas by model
    """
    moves: list[Move] = []
    remaining = dict(loads)
    while (move := _next_move(movable, engine, remaining)) is not None:
        moves.append(move)
        movable = movable._replace(
            domains=tuple(
                domain
                for domain in movable.domains
                if domain.failure_domain != move.failure_domain
            ),
            max_loads=movable.max_loads - _load_count(move, movable),
        )
        donor, receiver = remaining[move.donor], remaining[move.receiver]
        remaining[move.donor] = donor._replace(
            replicas=donor.replicas - len(move.retired)
        )
        remaining[move.receiver] = receiver._replace(
            replicas=receiver.replicas + move.gained
        )
    return tuple(moves)


def neediest_model(loads: Mapping[str, ModelLoad]) -> str:
    """Return the model with the highest sustained utilization, empty if none has any.

    Models that meet no objective even with a single request are left out.
    """
    able = {name: load for name, load in loads.items() if load.replica_capacity}
    if not any(load.sustained for load in able.values()):
        return ""
    return max(able, key=lambda name: able[name].utilization(able[name].sustained))


def _next_move(
    movable: MovableHosts, engine: EngineSpec, loads: Mapping[str, ModelLoad]
) -> Move | None:
    """Return the best move that lowers the higher utilization of its two models."""
    receiver = engine.model(neediest_model(loads))
    if receiver is None:
        return None
    need = loads[receiver.name]
    if need.utilization(need.sustained) <= SHORT_UTILIZATION:
        return None
    options = [
        move
        for donor in engine.models
        if donor.name != receiver.name and loads[donor.name].replica_capacity
        for domain in movable.domains
        for move in _options(domain, donor, receiver, movable)
        if _improves(move, loads) and _load_count(move, movable) <= movable.max_loads
    ]
    serving = {
        domain.name: domain.replicas_by_model.get(receiver.name, 0)
        for domain in movable.domains
    }
    in_flight = {replica.name: replica.in_flight for replica in movable.replicas}
    return min(
        options,
        key=lambda move: (
            len(move.retired),
            _load_count(move, movable) / move.gained,
            -serving[move.fabric_domain],
            sum(in_flight[name] for name in move.retired),
            move.fabric_domain,
        ),
        default=None,
    )


def _load_count(move: Move, movable: MovableHosts) -> int:
    """Return how many hosts of a move do not have the weights yet."""
    return sum(movable.weights.get(host) != move.receiver for host in move.hosts)


def _improves(move: Move, loads: Mapping[str, ModelLoad]) -> bool:
    """Return whether a move helps, although the donor loses one more replica then.

    Idle hosts alone cost the donor nothing that serves.
    """
    need, donor = loads[move.receiver], loads[move.donor]
    lost = len(move.retired)
    if not lost:
        return True
    before = need.utilization(need.sustained)
    return donor.utilization(donor.peak, more_replicas=-lost - 1) <= before - MIN_MARGIN


def _options(
    domain: FabricDomain,
    donor: ModelSpec,
    receiver: ModelSpec,
    movable: MovableHosts,
) -> Iterator[Move]:
    """Yield the moves of a fabric domain: of idle hosts alone, and with replicas."""
    spares = _movable_spares(domain, donor)
    # Idle hosts with the receiver's weights complete what the moved ones form.
    staged = sum(_weights(domain, h) == receiver.name for h in domain.idle)
    if staged >= receiver.hosts:
        return
    candidates = sorted(
        (
            replica
            for replica in movable.replicas
            if (replica.model, replica.fabric_domain) == (donor.name, domain.name)
        ),
        key=lambda replica: (replica.in_flight, replica.name),
    )
    kept = sum(
        each.replicas_by_model.get(donor.name, 0)
        for each in movable.domains
        if each.failure_domain == domain.failure_domain
    )
    for retired in range(min(len(candidates), max(kept - 1, 0)) + 1):
        freed = [host for replica in candidates[:retired] for host in replica.hosts]
        gained = (staged + len(freed) + len(spares)) // receiver.hosts
        if not gained:
            continue
        moved = gained * receiver.hosts - staged
        # Hosts of a replica that is ended move before those that lie idle as spares.
        hosts = (*freed, *spares)[:moved]
        names = tuple(replica.name for replica in candidates[:retired])
        yield Move(domain.name, donor.name, receiver.name, names, hosts, gained)
        if retired:
            return


def _movable_spares(domain: FabricDomain, donor: ModelSpec) -> list[Incarnation]:
    """Return the idle hosts with a model's weights that it does not need."""
    idle = sorted(
        host.incarnation
        for host in domain.idle
        if host.id not in domain.staging_model_by_host
        and _weights(domain, host) == donor.name
    )
    if len(idle) >= donor.hosts:
        return []
    kept = MIN_SPARES if domain.replicas_by_model.get(donor.name, 0) else 0
    return idle[: max(len(idle) - kept, 0)]


def _weights(domain: FabricDomain, host: Host) -> str:
    """Return the model whose weights an idle host has staged or is loading."""
    loading = domain.staging_model_by_host.get(host.id)
    return loading or (host.staged[-1] if host.staged else "")
