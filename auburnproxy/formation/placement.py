"""Placement of replicas: what each fabric domain should form and load next.

Weights that are loaded onto a host before it joins a replica are called staged. A lost
host ends its whole replica, and a join that has to load weights takes ten times as
long as one with staged weights, so hosts can be lost faster than weights load. A
fabric domain therefore serves a single model where possible: the survivors of a lost
replica and the hosts left over are spares for the next one and have its weights
staged. Once the system runs, replicas are formed only from staged hosts.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Mapping, Sequence
from math import ceil
from typing import NamedTuple

from ..gateway.host import Host
from ..gateway.route import EngineSpec, ModelSpec


class NewReplica(NamedTuple):
    """A replica to form."""

    model: str
    fabric_domain: str
    """Failure domain and fabric domain of its head, separated by a slash."""
    hosts: tuple[Host, ...]
    """Ordered by rank; the first is the head."""
    spread: bool = False
    """Whether the hosts are in several fabric domains."""


class WeightLoad(NamedTuple):
    """Weights to load onto a spare host."""

    host: Host
    model: str


class FabricDomain(NamedTuple):
    """The state of one fabric domain, from which placement is decided."""

    name: str
    failure_domain: str
    idle: tuple[Host, ...]
    """Hosts that may join a replica."""
    staging_model_by_host: dict[str, str]
    """Model whose weights are being loaded, by the id of an idle host."""
    replicas_by_model: dict[str, int]
    """Number of replicas that serve or are being formed."""
    size: int
    """Number of live hosts, idle or not."""


class FormationPlan(NamedTuple):
    """What to do next in one fabric domain."""

    new_replicas: tuple[NewReplica, ...]
    weight_loads: tuple[WeightLoad, ...]


def replica_targets_by_domain(
    domains: Sequence[FabricDomain], engine: EngineSpec
) -> dict[str, dict[str, int]]:
    """Return how many replicas of each model each fabric domain should have.

    The fabric domains of a failure domain are divided between the models by share, so
    that as few as possible serve two models. The survivors of lost replicas and the
    spares of a fabric domain then have the same weights and can form a replica
    together. In a fabric domain with two models, the hosts of each are rarely a
    multiple of its replica size. What a model loses there by rounding it gains in the
    next failure domain (error diffusion).

    :param domains: the fabric domains of all failure domains
    :param engine: the models
    """
    by_failure_domain: dict[str, list[FabricDomain]] = {}
    for domain in domains:
        by_failure_domain.setdefault(domain.failure_domain, []).append(domain)
    found: dict[str, dict[str, int]] = {}
    carried_hosts = dict.fromkeys((model.name for model in engine.models), 0.0)
    for siblings in by_failure_domain.values():
        for index, domain in enumerate(siblings):
            shares = _model_shares(
                index / len(siblings), (index + 1) / len(siblings), engine
            )
            found[domain.name] = _replica_targets(
                domain.size, shares, engine, carried_hosts
            )
    return found


def _model_shares(start: float, end: float, engine: EngineSpec) -> dict[str, float]:
    """Return the share of each model in a range of a failure domain's hosts.

    :param start: start of the range as a fraction of the failure domain's hosts
    :param end: end of the range as such a fraction
    :param engine: the models
    """
    total = sum(model.share for model in engine.models) or 1.0
    position, found = 0.0, {}
    for model in sorted(engine.models, key=lambda model: -model.hosts):
        end_position = position + model.share / total
        overlap = min(end, end_position) - max(start, position)
        found[model.name] = max(overlap, 0.0) / (end - start)
        position = end_position
    return found


def _replica_targets(
    size: int,
    shares: Mapping[str, float],
    engine: EngineSpec,
    carried_hosts: dict[str, float],
) -> dict[str, int]:
    """Return the number of replicas of each model in one fabric domain.

    Models are placed by replica size, largest first, since small replicas fit into
    the remaining hosts.

    :param carried_hosts: hosts that each model has lost by rounding so far, negative
        if it has gained; updated in place
    """
    remaining = size
    targets: dict[str, int] = {}
    for model in sorted(engine.models, key=lambda model: -model.hosts):
        shared = 0 < shares[model.name] < 1
        host_share = size * shares[model.name] + (
            carried_hosts[model.name] if shared else 0.0
        )
        count = max(
            _round_half_down(host_share / model.hosts)
            if shared
            else host_share // model.hosts,
            0,
        )
        targets[model.name] = int(min(count, remaining // model.hosts))
        remaining -= targets[model.name] * model.hosts
        if shared:
            carried_hosts[model.name] = host_share - targets[model.name] * model.hosts
    if not any(targets.values()):
        _fall_back_to_one_model(size, shares, engine, targets)
    return targets


def _round_half_down(value: float) -> int:
    """Return the nearest integer; a half is rounded down."""
    return ceil(value - 0.5)


def _fall_back_to_one_model(
    size: int,
    shares: Mapping[str, float],
    engine: EngineSpec,
    targets: dict[str, int],
) -> None:
    """Assign one model to a fabric domain with too few hosts for any share.

    That is the case if most of its hosts are lost, or while it is being built up.
    """
    fit = [model for model in engine.models if model.hosts <= size]
    if fit:
        model = max(fit, key=lambda model: (shares[model.name], -model.hosts))
        targets[model.name] = size // model.hosts


def plan_fabric_domain(
    domain: FabricDomain,
    engine: EngineSpec,
    targets: Mapping[str, int],
    *,
    starting: bool,
) -> FormationPlan:
    """Return the replicas to form and the weights to load next in a fabric domain.

    :param domain: the fabric domain
    :param engine: the models
    :param targets: the number of replicas that it should have, by model
    :param starting: whether replicas may also be formed from hosts without weights;
        weights load faster before the first request
    """
    return _Planner(domain, engine, targets, starting=starting).plan()


class _Planner:
    def __init__(
        self,
        domain: FabricDomain,
        engine: EngineSpec,
        targets: Mapping[str, int],
        *,
        starting: bool,
    ) -> None:
        self._domain = domain
        self._models = {model.name: model for model in engine.models}
        self._targets = targets
        self._replica_counts = Counter(domain.replicas_by_model)
        self._starting = starting
        self._idle = {host.id: host for host in domain.idle}
        self._new_replicas: list[NewReplica] = []

    def plan(self) -> FormationPlan:
        while model := self._next_to_form():
            self._form_replica(model)
        return FormationPlan(
            tuple(self._new_replicas), tuple(self._plan_weight_loads())
        )

    def _model_on(self, host: Host) -> str:
        """Return the model whose weights a host has staged or is loading."""
        if host.id in self._domain.staging_model_by_host:
            return self._domain.staging_model_by_host[host.id]
        return host.staged[-1] if host.staged else ""

    def _staged_hosts(self, model: str) -> list[Host]:
        """Return the idle hosts with a model's weights, the last to run it first."""
        staging_model_by_host = self._domain.staging_model_by_host
        found = [
            host
            for host in self._idle.values()
            if model in host.staged and host.id not in staging_model_by_host
        ]
        return sorted(found, key=lambda host: (model not in host.models, host.id))

    def _empty_hosts(self) -> list[Host]:
        found = (h for h in self._idle.values() if not self._model_on(h))
        return sorted(found, key=lambda host: host.id)

    def _usable_hosts(self, model: str) -> list[Host]:
        return self._staged_hosts(model) + (
            self._empty_hosts() if self._starting else []
        )

    def _fill_ratio(self, model: ModelSpec) -> tuple[float, int]:
        target = self._targets[model.name]
        count = self._replica_counts[model.name]
        return count / target if target else float("inf"), -model.hosts

    def _next_to_form(self) -> ModelSpec | None:
        for model in sorted(self._models.values(), key=self._fill_ratio):
            below_target = self._replica_counts[model.name] < self._targets[model.name]
            hosts = (
                self._usable_hosts(model.name)
                if below_target
                else self._staged_hosts(model.name)
            )
            if len(hosts) >= model.hosts:
                return model
        return None

    def _form_replica(self, model: ModelSpec) -> None:
        hosts = tuple(self._usable_hosts(model.name)[: model.hosts])
        for host in hosts:
            del self._idle[host.id]
        self._replica_counts[model.name] += 1
        self._new_replicas.append(NewReplica(model.name, self._domain.name, hosts))

    def _plan_weight_loads(self) -> list[WeightLoad]:
        hosts_by_model = Counter(map(self._model_on, self._idle.values()))
        found = []
        for host in [*self._empty_hosts(), *self._hosts_to_restage(hosts_by_model)]:
            model = self._next_to_stage(hosts_by_model)
            if model is None or model == self._model_on(host):
                continue
            hosts_by_model[self._model_on(host)] -= 1
            hosts_by_model[model] += 1
            found.append(WeightLoad(host, model))
        return found

    def _hosts_to_restage(self, hosts_by_model: Counter[str]) -> list[Host]:
        """Return the model that most needs one more host with its weights."""
        lacking = [
            m
            for m in self._models.values()
            if self._replica_counts[m.name] < self._targets[m.name]
        ]
        if not lacking:
            return []
        return [
            host
            for host in self._idle.values()
            if (own := self._model_on(host))
            and host.id not in self._domain.staging_model_by_host
            and self._replica_counts[own] >= self._targets.get(own, 0)
            and hosts_by_model[own] > 1
        ][:1]

    def _next_to_stage(self, hosts_by_model: Counter[str]) -> str | None:
        """Return the model that most needs another host with its weights."""
        lacking = [
            model
            for model in sorted(self._models.values(), key=self._fill_ratio)
            if self._replica_counts[model.name] < self._targets[model.name]
            and hosts_by_model[model.name] < model.hosts
        ]
        if lacking:
            return lacking[0].name
        spares = sorted(
            (m for m in self._models.values() if self._targets[m.name]),
            key=lambda m: (hosts_by_model[m.name] / m.hosts, -m.hosts),
        )
        return spares[0].name if spares else None


def plan_spread_replicas(
    domains: Sequence[FabricDomain],
    plans: Sequence[FormationPlan],
    engine: EngineSpec,
    short_of_capacity: Collection[str],
) -> list[NewReplica]:
    """Return replicas to form across fabric domains.

    Losses can leave many spares, but not enough for a replica in any single fabric
    domain. A replica across fabric domains is slow, so only a model that is short of
    capacity gets one, and it is ended once one of its fabric domains has enough hosts
    for a replica again.

    :param domains: the fabric domains of all failure domains
    :param plans: the plan of each of these domains
    :param short_of_capacity: models whose utilization is too high
    """
    pools: dict[tuple[str, str], list[list[Host]]] = {}
    for domain, domain_plan in zip(domains, plans, strict=True):
        used = {
            host.id
            for new_replica in domain_plan.new_replicas
            for host in new_replica.hosts
        }
        used |= {
            weight_load.host.id for weight_load in domain_plan.weight_loads
        } | domain.staging_model_by_host.keys()
        for model in engine.models:
            spares = [h for h in domain.idle if model.name in h.staged]
            spares = [host for host in spares if host.id not in used]
            if model.name in short_of_capacity and spares:
                key = domain.failure_domain, model.name
                pools.setdefault(key, []).append(spares)
    found: list[NewReplica] = []
    taken: set[str] = set()
    for (failure_domain, name), pool in pools.items():
        model_spec = engine.model(name)
        assert model_spec is not None
        largest_first = sorted(pool, key=len, reverse=True)
        hosts = [host for spares in largest_first for host in spares]
        # A host that has several models staged is in several pools.
        hosts = [host for host in hosts if host.id not in taken]
        while len(hosts) >= model_spec.hosts:
            members = tuple(hosts[: model_spec.hosts])
            del hosts[: model_spec.hosts]
            fabric_domain = f"{failure_domain}/{members[0].fabric_domain}"
            found.append(NewReplica(name, fabric_domain, members, spread=True))
            taken.update(host.id for host in members)
    return found


def group_by_fabric_domain(
    hosts: Sequence[Host],
    taken: Mapping[str, tuple[str, str | None]],
    staging_model_by_host: dict[str, str],
) -> list[FabricDomain]:
    """Return the fabric domains of the given hosts.

    :param hosts: the usable hosts, idle or not
    :param taken: replica and model of each host in a replica, by host id; the model is
        None if the replica has hosts in other fabric domains
    :param staging_model_by_host: model whose weights are being loaded, by host id
    """
    hosts_by_domain: dict[str, list[Host]] = {}
    for host in hosts:
        name = f"{host.failure_domain}/{host.fabric_domain}"
        hosts_by_domain.setdefault(name, []).append(host)
    found = []
    for name, members in sorted(hosts_by_domain.items()):
        idle = tuple(host for host in members if host.id not in taken)
        replicas = {taken[host.id] for host in members if host.id in taken}
        found.append(
            FabricDomain(
                name=name,
                failure_domain=members[0].failure_domain,
                idle=idle,
                staging_model_by_host={
                    h.id: staging_model_by_host[h.id]
                    for h in idle
                    if h.id in staging_model_by_host
                },
                replicas_by_model=dict(
                    Counter(model for _, model in replicas if model is not None)
                ),
                size=len(members),
            )
        )
    return found
