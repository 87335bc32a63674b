"""Placement of replicas on hosts: which ones to form, repair and dissolve next."""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Iterable, Sequence
from typing import NamedTuple

from .replica import Replica
from .replicas import Kind

REPLACEMENT_WAIT_S = 60.0
"""Time that a replica waits for an unavailable host before another model's replica may
be dissolved to make room for replacements."""


class Candidate(NamedTuple):
    """An engine host and its availability for placement."""

    name: str
    fabric_domain: str
    available: bool
    """Whether the host is present, not leaving and not taken out by an operator."""
    weights: tuple[str, ...] = ()
    """Models whose weights are on the host."""
    unavailable_s: float = 0.0
    """Time since the host became unavailable."""


class ReplicaTarget(NamedTuple):
    """Target number of replicas of a model in one failure domain."""

    model: str
    hosts_per_replica: int
    min_replicas: int
    demand: float = 1.0
    """Relative weight of the model when extra replicas are formed."""


class Policy(NamedTuple):
    """How idle hosts are used beyond the target number of replicas."""

    spares: int = 0
    """Idle hosts that each fabric domain reserves for repairs."""
    form_extra: bool = True
    """Whether the other idle hosts form extra replicas."""


class Change(NamedTuple):
    """A change of one replica, to be proposed as a journal record."""

    kind: Kind
    replica: str
    """Name; empty for a new replica."""
    model: str
    fabric_domain: str
    hosts: tuple[str, ...] = ()


class Placement:
    """Chooses the changes for one snapshot of a failure domain.

    :param candidates: all listed engine hosts of the failure domain
    :param replicas: the recorded replicas of the failure domain
    :param targets: the targets, one for each model
    :param policy: how idle hosts are used beyond the targets
    :param kept: models whose replicas are kept even without a target
    """

    def __init__(
        self,
        candidates: Iterable[Candidate],
        replicas: Iterable[Replica],
        targets: Sequence[ReplicaTarget],
        policy: Policy,
        *,
        kept: Collection[str] = (),
    ) -> None:
        self._by_name = {candidate.name: candidate for candidate in candidates}
        self._replicas = tuple(replicas)
        self._targets = targets
        self._target_by_model = {target.model: target for target in targets}
        self._policy = policy
        self._kept_models = {*kept, *self._target_by_model}
        self._idle_by_fabric_domain = self._group_idle_hosts()
        self._unavailable_by_replica = {
            replica.name: [h for h in replica.hosts if not self._is_available(h)]
            for replica in self._replicas
        }
        self._complete_by_model = Counter(
            replica.model for replica in self._replicas if self._is_complete(replica)
        )
        self._changes: list[Change] = []

    def changes(self) -> tuple[Change, ...]:
        """Return the changes to propose, in order; no host is in two of them."""
        self._dissolve_unlisted()
        self._repair()
        self._form_up_to_targets()
        if self._policy.form_extra:
            self._form_extra()
        return tuple(self._changes)

    def _group_idle_hosts(self) -> dict[str, list[Candidate]]:
        occupied = {host for replica in self._replicas for host in replica.hosts}
        idle_by_fabric_domain: dict[str, list[Candidate]] = {}
        for candidate in self._by_name.values():
            if candidate.available and candidate.name not in occupied:
                idle_by_fabric_domain.setdefault(candidate.fabric_domain, []).append(
                    candidate
                )
        return idle_by_fabric_domain

    def _is_available(self, host: str) -> bool:
        candidate = self._by_name.get(host)
        return candidate is not None and candidate.available

    def _is_complete(self, replica: Replica) -> bool:
        return not self._unavailable_by_replica[replica.name]

    def _target_count(self, model: str) -> int:
        target = self._target_by_model.get(model)
        return target.min_replicas if target else 0

    def _is_below_target(self, model: str) -> bool:
        return self._complete_by_model[model] < self._target_count(model)

    def _shortfall(self, target: ReplicaTarget) -> int:
        return target.min_replicas - self._complete_by_model[target.model]

    def _is_surplus(self, replica: Replica) -> bool:
        if replica.model not in self._target_by_model:
            return False
        if not self._is_complete(replica):
            return not self._is_below_target(replica.model)
        return self._complete_by_model[replica.model] > self._target_count(
            replica.model
        )

    def _dissolve_unlisted(self) -> None:
        for replica in self._replicas:
            if replica.model not in self._kept_models:
                self._dissolve(replica)

    def _dissolve(self, replica: Replica) -> None:
        if self._is_complete(replica):
            self._complete_by_model[replica.model] -= 1
        self._changes.append(
            Change(Kind.DISSOLVE, replica.name, replica.model, replica.fabric_domain)
        )

    @property
    def _dissolved(self) -> set[str]:
        return {c.replica for c in self._changes if c.kind is Kind.DISSOLVE}

    def _repair(self) -> None:
        incomplete = [r for r in self._replicas if not self._is_complete(r)]
        incomplete.sort(
            key=lambda r: (
                not self._is_below_target(r.model),
                self._unavailable_count(r),
                r.name,
            )
        )
        for replica in incomplete:
            if replica.name in self._dissolved:
                continue
            idle = self._idle_by_fabric_domain.get(replica.fabric_domain, [])
            if len(idle) >= self._unavailable_count(replica):
                self._replace_hosts(replica, idle)
            else:
                self._free_hosts_for_repair(replica, len(idle))

    def _unavailable_count(self, replica: Replica) -> int:
        return len(self._unavailable_by_replica[replica.name])

    def _replace_hosts(self, replica: Replica, idle: list[Candidate]) -> None:
        missing = self._unavailable_by_replica[replica.name]
        spares = iter(_take_hosts(idle, len(missing), replica.model))
        hosts = tuple(h if h not in missing else next(spares) for h in replica.hosts)
        self._changes.append(
            Change(
                Kind.REPAIR, replica.name, replica.model, replica.fabric_domain, hosts
            )
        )
        self._unavailable_by_replica[replica.name] = []
        self._complete_by_model[replica.model] += 1

    def _free_hosts_for_repair(self, replica: Replica, idle: int) -> None:
        """Dissolve another replica so that its hosts can repair this one later."""
        missing = self._unavailable_count(replica) - idle
        donors = [
            other
            for other in self._replicas
            if other.fabric_domain == replica.fabric_domain
            and other.name not in {replica.name, *self._dissolved}
            and len(other.hosts) - self._unavailable_count(other) >= missing
            and self._may_donate(other, replica)
        ]
        if donors:
            donors.sort(key=lambda r: (self._is_complete(r), len(r.hosts), r.name))
            self._dissolve(donors[0])

    def _may_donate(self, donor: Replica, replica: Replica) -> bool:
        if not self._is_complete(donor):
            return (self._unavailable_count(donor), donor.name) > (
                self._unavailable_count(replica),
                replica.name,
            )
        return self._is_below_target(replica.model) and self._is_surplus(donor)

    def _form_up_to_targets(self) -> None:
        for target in sorted(self._targets, key=self._shortfall, reverse=True):
            while self._is_below_target(target.model):
                fabric_domain = self._choose_fabric_domain(target, keep=0)
                if fabric_domain is None:
                    if not self._dissolve_surplus_for(target):
                        self._dissolve_complete_for(target)
                    break
                self._form(target, fabric_domain)

    def _choose_fabric_domain(self, target: ReplicaTarget, *, keep: int) -> str | None:
        """Return the fabric domain for a new replica, or None if none has room.

        The one with the fewest replicas of the model is chosen, then the one with
        the fewest idle hosts (best fit).

        :param keep: idle hosts that must remain
        """
        options = [
            (self._replica_count(target.model, fabric_domain), len(idle), fabric_domain)
            for fabric_domain, idle in self._idle_by_fabric_domain.items()
            if len(idle) - keep >= target.hosts_per_replica
        ]
        return min(options)[2] if options else None

    def _replica_count(self, model: str, fabric_domain: str) -> int:
        recorded = sum(
            r.model == model and r.fabric_domain == fabric_domain
            for r in self._replicas
        )
        return recorded + sum(
            c.kind is Kind.FORM and (c.model, c.fabric_domain) == (model, fabric_domain)
            for c in self._changes
        )

    def _form(self, target: ReplicaTarget, fabric_domain: str) -> None:
        hosts = tuple(
            _take_hosts(
                self._idle_by_fabric_domain[fabric_domain],
                target.hosts_per_replica,
                target.model,
            )
        )
        self._changes.append(Change(Kind.FORM, "", target.model, fabric_domain, hosts))
        self._complete_by_model[target.model] += 1

    def _dissolve_surplus_for(self, target: ReplicaTarget) -> bool:
        """Dissolve a surplus replica of another model to make room for a new one.

        :return: whether a replica was dissolved
        """
        for replica in self._replicas:
            idle = len(self._idle_by_fabric_domain.get(replica.fabric_domain, []))
            freed = len(replica.hosts) - self._unavailable_count(replica)
            if replica.name in self._dissolved or not self._is_surplus(replica):
                continue
            if (
                replica.model != target.model
                and idle + freed >= target.hosts_per_replica
            ):
                self._dissolve(replica)
                return True
        return False

    def _dissolve_complete_for(self, target: ReplicaTarget) -> None:
        """Dissolve another model's replica if its hosts give several of this model.

        This is done only once every incomplete replica of this model has waited long
        enough for its hosts. A model's last complete replica is never dissolved.
        """
        shortfall = self._shortfall(target)
        own = [r for r in self._replicas if r.model == target.model]
        if not all(self._is_complete(r) or self._is_wait_over(r) for r in own):
            return
        for replica in self._replicas:
            if replica.name in self._dissolved or not self._is_complete(replica):
                continue
            if (
                replica.model == target.model
                or self._complete_by_model[replica.model] < 2
            ):
                continue
            idle = len(self._idle_by_fabric_domain.get(replica.fabric_domain, []))
            if (
                min(shortfall, (idle + len(replica.hosts)) // target.hosts_per_replica)
                >= 2
            ):
                self._dissolve(replica)
                return

    def _is_wait_over(self, replica: Replica) -> bool:
        candidates = map(self._by_name.get, self._unavailable_by_replica[replica.name])
        unavailable_s = [
            c.unavailable_s if c else REPLACEMENT_WAIT_S for c in candidates
        ]
        return max(unavailable_s, default=0.0) >= REPLACEMENT_WAIT_S

    def _form_extra(self) -> None:
        while True:
            targets = sorted(self._targets, key=self._extra_order)
            for target in targets:
                fabric_domain = self._choose_fabric_domain(
                    target, keep=self._policy.spares
                )
                if fabric_domain is not None:
                    self._form(target, fabric_domain)
                    break
            else:
                return

    def _extra_order(self, target: ReplicaTarget) -> tuple[float, int, str]:
        """Return the sort key by which models get extra replicas, lowest first.

        On ties the model with more hosts per replica is first, because its replicas
        lose a host more often.
        """
        surplus = self._complete_by_model[target.model] - target.min_replicas
        return surplus / target.demand, -target.hosts_per_replica, target.model


def _take_hosts(idle: list[Candidate], count: int, model: str) -> list[str]:
    """Remove and return idle hosts, preferring those that have the model's weights."""
    idle.sort(key=lambda candidate: (model not in candidate.weights, candidate.name))
    taken = [candidate.name for candidate in idle[:count]]
    del idle[:count]
    return taken
