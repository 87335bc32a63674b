"""Which replicas a fabric domain should form next, and what its spares hold.

Answers engines that are lost faster than weights load: a lost host costs its
replica, a load takes ten times as long as a join with weights that are staged.
So a fabric domain serves one model where that can be had: survivors of a lost
replica and hosts left over are spares for the next one, with its weights staged,
and once the system runs replicas are formed from staged hosts alone.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Mapping, Sequence
from math import ceil
from typing import NamedTuple

from ..gateway.host import Host
from ..gateway.route import EngineSpec, ModelSpec


class Form(NamedTuple):
    """A replica to form."""

    model: str
    fabric_domain: str
    """Failure domain and fabric domain of its head, separated by a slash."""
    hosts: tuple[Host, ...]
    """The head first."""
    spread: bool = False
    """Whether the others are in several fabric domains."""


class Stage(NamedTuple):
    """Weights to load onto a spare host."""

    host: Host
    model: str


class Domain(NamedTuple):
    """One fabric domain as the layout sees it."""

    name: str
    failure_domain: str
    idle: tuple[Host, ...]
    """Hosts that may be given a part."""
    staging: dict[str, str]
    """Model that is being loaded, by the id of an idle host."""
    replicas_by_model: dict[str, int]
    """Replicas that serve or are being formed."""
    size: int
    """Hosts that are alive, idle or not."""


class Plan(NamedTuple):
    """What to do next in one fabric domain."""

    forms: tuple[Form, ...]
    stages: tuple[Stage, ...]


def targets_by_domain(
    domains: Sequence[Domain], engine: EngineSpec
) -> dict[str, dict[str, int]]:
    """Return the replicas of each model that each fabric domain should have.

    A failure domain's fabric domains are divided between the models by share, as
    few of them as can be serving two. So the survivors of lost replicas and the
    spares of one fabric domain hold the same weights and complete each other. Where
    one serves two models its parts are no whole replicas; what rounding takes from a
    model there is made up for in the next failure domain (error diffusion).

    :param domains: the fabric domains of all failure domains
    :param engine: the models
    """
    by_failure_domain: dict[str, list[Domain]] = {}
    for domain in domains:
        by_failure_domain.setdefault(domain.failure_domain, []).append(domain)
    found: dict[str, dict[str, int]] = {}
    owed = dict.fromkeys((model.name for model in engine.models), 0.0)
    for near in by_failure_domain.values():
        for index, domain in enumerate(near):
            shares = _shares(index / len(near), (index + 1) / len(near), engine)
            found[domain.name] = _targets(domain.size, shares, engine, owed)
    return found


def _shares(start: float, end: float, engine: EngineSpec) -> dict[str, float]:
    """Return how a stretch of a failure domain's hosts is divided between models."""
    total = sum(model.share for model in engine.models) or 1.0
    at, found = 0.0, {}
    for model in sorted(engine.models, key=lambda model: -model.hosts):
        until = at + model.share / total
        overlap = min(end, until) - max(start, at)
        found[model.name] = max(overlap, 0.0) / (end - start)
        at = until
    return found


def _targets(
    size: int,
    shares: Mapping[str, float],
    engine: EngineSpec,
    owed: dict[str, float],
) -> dict[str, int]:
    """Return the replicas of one fabric domain.

    The model with the most hosts in a replica comes first, since the small ones
    fill what is left.

    :param owed: hosts that rounding has taken from each model so far, or given it if
        negative; kept up
    """
    left = size
    wanted: dict[str, int] = {}
    for model in sorted(engine.models, key=lambda model: -model.hosts):
        shared = 0 < shares[model.name] < 1
        part = size * shares[model.name] + (owed[model.name] if shared else 0.0)
        count = max(_rounded(part / model.hosts) if shared else part // model.hosts, 0)
        wanted[model.name] = int(min(count, left // model.hosts))
        left -= wanted[model.name] * model.hosts
        if shared:
            owed[model.name] = part - wanted[model.name] * model.hosts
    if not any(wanted.values()):
        _serve_something(size, shares, engine, wanted)
    return wanted


def _rounded(part: float) -> int:
    """Return the nearest whole number, the lower one of two."""
    return ceil(part - 0.5)


def _serve_something(
    size: int,
    shares: Mapping[str, float],
    engine: EngineSpec,
    wanted: dict[str, int],
) -> None:
    """Let a fabric domain whose parts are all too small serve the model that fits.

    Most of its hosts may be lost, or it may just be growing.
    """
    fit = [model for model in engine.models if model.hosts <= size]
    if fit:
        model = max(fit, key=lambda model: (shares[model.name], -model.hosts))
        wanted[model.name] = size // model.hosts


def plan(
    domain: Domain,
    engine: EngineSpec,
    targets: Mapping[str, int],
    *,
    starting: bool,
) -> Plan:
    """Return what a fabric domain should form and stage next.

    :param domain: the fabric domain
    :param engine: the models
    :param targets: replicas that it should have, by model
    :param starting: whether replicas may be formed from hosts without weights,
        which load faster before the first request
    """
    return _Planner(domain, engine, targets, starting=starting).plan()


class _Planner:
    def __init__(
        self,
        domain: Domain,
        engine: EngineSpec,
        targets: Mapping[str, int],
        *,
        starting: bool,
    ) -> None:
        self._domain = domain
        self._models = {model.name: model for model in engine.models}
        self._targets = targets
        self._have = Counter(domain.replicas_by_model)
        self._starting = starting
        self._idle = {host.id: host for host in domain.idle}
        self._forms: list[Form] = []

    def plan(self) -> Plan:
        while model := self._next_to_form():
            self._form(model)
        return Plan(tuple(self._forms), tuple(self._stages()))

    def _held(self, host: Host) -> str:
        """Return the model that a host holds or is loading."""
        if host.id in self._domain.staging:
            return self._domain.staging[host.id]
        return host.staged[-1] if host.staged else ""

    def _staged(self, model: str) -> list[Host]:
        """Return the idle hosts with a model's weights, the last to run it first."""
        staging = self._domain.staging
        found = [
            host
            for host in self._idle.values()
            if model in host.staged and host.id not in staging
        ]
        return sorted(found, key=lambda host: (model not in host.models, host.id))

    def _empty(self) -> list[Host]:
        found = (h for h in self._idle.values() if not self._held(h))
        return sorted(found, key=lambda host: host.id)

    def _usable(self, model: str) -> list[Host]:
        return self._staged(model) + (self._empty() if self._starting else [])

    def _saturation(self, model: ModelSpec) -> tuple[float, int]:
        target = self._targets[model.name]
        have = self._have[model.name]
        return have / target if target else float("inf"), -model.hosts

    def _next_to_form(self) -> ModelSpec | None:
        for model in sorted(self._models.values(), key=self._saturation):
            lacks = self._have[model.name] < self._targets[model.name]
            hosts = self._usable(model.name) if lacks else self._staged(model.name)
            if len(hosts) >= model.hosts:
                return model
        return None

    def _form(self, model: ModelSpec) -> None:
        hosts = tuple(self._usable(model.name)[: model.hosts])
        for host in hosts:
            del self._idle[host.id]
        self._have[model.name] += 1
        self._forms.append(Form(model.name, self._domain.name, hosts))

    def _stages(self) -> list[Stage]:
        held = Counter(map(self._held, self._idle.values()))
        found = []
        for host in [*self._empty(), *self._misplaced(held)]:
            model = self._next_to_stage(held)
            if model is None or model == self._held(host):
                continue
            held[self._held(host)] -= 1
            held[model] += 1
            found.append(Stage(host, model))
        return found

    def _misplaced(self, held: Counter[str]) -> list[Host]:
        """Return staged spares that another model lacks more than their own does."""
        lacking = [
            m
            for m in self._models.values()
            if self._have[m.name] < self._targets[m.name]
        ]
        if not lacking:
            return []
        return [
            host
            for host in self._idle.values()
            if (own := self._held(host))
            and host.id not in self._domain.staging
            and self._have[own] >= self._targets.get(own, 0)
            and held[own] > 1
        ][:1]

    def _next_to_stage(self, held: Counter[str]) -> str | None:
        """Return the model that most lacks hosts with its weights."""
        lacking = [
            model
            for model in sorted(self._models.values(), key=self._saturation)
            if self._have[model.name] < self._targets[model.name]
            and held[model.name] < model.hosts
        ]
        if lacking:
            return lacking[0].name
        spares = sorted(
            (m for m in self._models.values() if self._targets[m.name]),
            key=lambda m: (held[m.name] / m.hosts, -m.hosts),
        )
        return spares[0].name if spares else None


def spread_forms(
    domains: Sequence[Domain],
    plans: Sequence[Plan],
    engine: EngineSpec,
    short: Collection[str],
) -> list[Form]:
    """Return replicas to form from spares of several fabric domains.

    Answers losses that leave many spares, and in no fabric domain enough of them.
    Such a replica is slow, so only a model that is short gets one, and it is ended
    once one of its fabric domains has a whole replica again.

    :param domains: the fabric domains of all failure domains
    :param plans: what each of them does by itself
    :param short: models whose replicas are close to what they bear
    """
    pools: dict[tuple[str, str], list[list[Host]]] = {}
    for domain, own in zip(domains, plans, strict=True):
        used = {host.id for form in own.forms for host in form.hosts}
        used |= {stage.host.id for stage in own.stages} | domain.staging.keys()
        for model in engine.models:
            spares = [h for h in domain.idle if model.name in h.staged]
            spares = [host for host in spares if host.id not in used]
            if model.name in short and spares:
                key = domain.failure_domain, model.name
                pools.setdefault(key, []).append(spares)
    found: list[Form] = []
    taken: set[str] = set()
    for (failure_domain, name), pool in pools.items():
        model_spec = engine.model(name)
        assert model_spec is not None
        largest_first = sorted(pool, key=len, reverse=True)
        hosts = [host for spares in largest_first for host in spares]
        # A host may hold the weights of several models.
        hosts = [host for host in hosts if host.id not in taken]
        while len(hosts) >= model_spec.hosts:
            members = tuple(hosts[: model_spec.hosts])
            del hosts[: model_spec.hosts]
            where = f"{failure_domain}/{members[0].fabric_domain}"
            found.append(Form(name, where, members, spread=True))
            taken.update(host.id for host in members)
    return found


def fabric_domains(
    hosts: Sequence[Host],
    taken: Mapping[str, tuple[str, str | None]],
    staging: dict[str, str],
) -> list[Domain]:
    """Return the fabric domains of hosts.

    :param hosts: the hosts that may be used, idle or not
    :param taken: replica and model of each host that is in one, by host id; no model
        if the replica has hosts in other fabric domains
    :param staging: model that is being loaded, by host id
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
            Domain(
                name=name,
                failure_domain=members[0].failure_domain,
                idle=idle,
                staging={h.id: staging[h.id] for h in idle if h.id in staging},
                replicas_by_model=dict(
                    Counter(model for _, model in replicas if model is not None)
                ),
                size=len(members),
            )
        )
    return found
