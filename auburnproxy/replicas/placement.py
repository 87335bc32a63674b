"""The choice of hosts for replicas: what to form, repair and dissolve next."""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Iterable, Sequence
from typing import NamedTuple

from .replica import Replica
from .replicas import Kind

PATIENCE_S = 60.0
"""Seconds that a replica waits for a host before other replicas make up for it."""


class Candidate(NamedTuple):
    """A host as the choice sees it."""

    name: str
    fabric_domain: str
    available: bool
    """Whether it is present and neither leaving nor marked."""
    weights: tuple[str, ...] = ()
    """Models whose weights it holds."""
    away_s: float = 0.0
    """Seconds for which it has been unavailable."""


class Want(NamedTuple):
    """How many replicas of a model one failure domain is to have."""

    model: str
    hosts: int
    """Hosts of one replica."""
    replicas: int
    """Least number of replicas."""
    demand: float = 1.0
    """Weight of the model where spare hosts are given out."""


class Policy(NamedTuple):
    """How spare hosts are used."""

    spares: int = 0
    """Hosts that each fabric domain keeps for repairs."""
    fill: bool = True
    """Whether further hosts are given to extra replicas."""


class Change(NamedTuple):
    """One record to propose."""

    kind: Kind
    replica: str
    """Name, empty for a new replica."""
    model: str
    fabric_domain: str
    hosts: tuple[str, ...] = ()


class Placement:
    """One look at a failure domain, from which changes are chosen.

    :param candidates: every listed engine host of the failure domain
    :param replicas: the recorded replicas of the failure domain
    :param wants: the models to be served
    :param policy: how spare hosts are used
    :param kept: models whose replicas stay though no want tells of them
    """

    def __init__(
        self,
        candidates: Iterable[Candidate],
        replicas: Iterable[Replica],
        wants: Sequence[Want],
        policy: Policy,
        *,
        kept: Collection[str] = (),
    ) -> None:
        self._by_name = {candidate.name: candidate for candidate in candidates}
        self._replicas = tuple(replicas)
        self._wants = wants
        self._want_by_model = {want.model: want for want in wants}
        self._policy = policy
        self._kept = {*kept, *self._want_by_model}
        self._idle_by_fabric = self._idle()
        self._missing_by_replica = {
            replica.name: [h for h in replica.hosts if not self._available(h)]
            for replica in self._replicas
        }
        self._whole_by_model = Counter(
            replica.model for replica in self._replicas if self._whole(replica)
        )
        self._changes: list[Change] = []

    def changes(self) -> tuple[Change, ...]:
        """Return the changes to propose, in order, none touching a host twice."""
        self._dissolve_unwanted()
        self._repair()
        self._form_wanted()
        if self._policy.fill:
            self._fill()
        return tuple(self._changes)

    def _idle(self) -> dict[str, list[Candidate]]:
        taken = {host for replica in self._replicas for host in replica.hosts}
        idle_by_fabric: dict[str, list[Candidate]] = {}
        for candidate in self._by_name.values():
            if candidate.available and candidate.name not in taken:
                idle_by_fabric.setdefault(candidate.fabric_domain, []).append(candidate)
        return idle_by_fabric

    def _available(self, host: str) -> bool:
        candidate = self._by_name.get(host)
        return candidate is not None and candidate.available

    def _whole(self, replica: Replica) -> bool:
        return not self._missing_by_replica[replica.name]

    def _wanted(self, model: str) -> int:
        want = self._want_by_model.get(model)
        return want.replicas if want else 0

    def _lacks(self, model: str) -> bool:
        return self._whole_by_model[model] < self._wanted(model)

    def _gaps(self, want: Want) -> int:
        return want.replicas - self._whole_by_model[want.model]

    def _surplus(self, replica: Replica) -> bool:
        if replica.model not in self._want_by_model:
            return False
        if not self._whole(replica):
            return not self._lacks(replica.model)
        return self._whole_by_model[replica.model] > self._wanted(replica.model)

    def _dissolve_unwanted(self) -> None:
        for replica in self._replicas:
            if replica.model not in self._kept:
                self._dissolve(replica)

    def _dissolve(self, replica: Replica) -> None:
        if self._whole(replica):
            self._whole_by_model[replica.model] -= 1
        self._changes.append(
            Change(Kind.DISSOLVE, replica.name, replica.model, replica.fabric_domain)
        )

    @property
    def _dissolved(self) -> set[str]:
        return {c.replica for c in self._changes if c.kind is Kind.DISSOLVE}

    def _repair(self) -> None:
        broken = [r for r in self._replicas if not self._whole(r)]
        broken.sort(key=lambda r: (not self._lacks(r.model), self._cost(r), r.name))
        for replica in broken:
            if replica.name in self._dissolved:
                continue
            idle = self._idle_by_fabric.get(replica.fabric_domain, [])
            if len(idle) >= self._cost(replica):
                self._repair_with(replica, idle)
            else:
                self._free_for(replica, len(idle))

    def _cost(self, replica: Replica) -> int:
        return len(self._missing_by_replica[replica.name])

    def _repair_with(self, replica: Replica, idle: list[Candidate]) -> None:
        missing = self._missing_by_replica[replica.name]
        spares = iter(_take(idle, len(missing), replica.model))
        hosts = tuple(h if h not in missing else next(spares) for h in replica.hosts)
        self._changes.append(
            Change(
                Kind.REPAIR, replica.name, replica.model, replica.fabric_domain, hosts
            )
        )
        self._missing_by_replica[replica.name] = []
        self._whole_by_model[replica.model] += 1

    def _free_for(self, replica: Replica, idle: int) -> None:
        """Dissolve another replica whose hosts then repair this one."""
        need = self._cost(replica) - idle
        donors = [
            other
            for other in self._replicas
            if other.fabric_domain == replica.fabric_domain
            and other.name not in {replica.name, *self._dissolved}
            and len(other.hosts) - self._cost(other) >= need
            and self._gives(other, replica)
        ]
        if donors:
            donors.sort(key=lambda r: (self._whole(r), len(r.hosts), r.name))
            self._dissolve(donors[0])

    def _gives(self, donor: Replica, replica: Replica) -> bool:
        if not self._whole(donor):
            return (self._cost(donor), donor.name) > (self._cost(replica), replica.name)
        return self._lacks(replica.model) and self._surplus(donor)

    def _form_wanted(self) -> None:
        for want in sorted(self._wants, key=self._gaps, reverse=True):
            while self._lacks(want.model):
                fabric = self._roomiest(want, keep=0)
                if fabric is None:
                    if not self._free_fabric(want):
                        self._trade(want)
                    break
                self._form(want, fabric)

    def _roomiest(self, want: Want, *, keep: int) -> str | None:
        """Return the fabric domain to form in: fewest copies, then tightest fit."""
        rooms = [
            (self._copies(want.model, fabric), len(idle), fabric)
            for fabric, idle in self._idle_by_fabric.items()
            if len(idle) - keep >= want.hosts
        ]
        return min(rooms)[2] if rooms else None

    def _copies(self, model: str, fabric_domain: str) -> int:
        recorded = sum(
            r.model == model and r.fabric_domain == fabric_domain
            for r in self._replicas
        )
        return recorded + sum(
            c.kind is Kind.FORM and (c.model, c.fabric_domain) == (model, fabric_domain)
            for c in self._changes
        )

    def _form(self, want: Want, fabric: str) -> None:
        hosts = tuple(_take(self._idle_by_fabric[fabric], want.hosts, want.model))
        self._changes.append(Change(Kind.FORM, "", want.model, fabric, hosts))
        self._whole_by_model[want.model] += 1

    def _free_fabric(self, want: Want) -> bool:
        """Dissolve a surplus replica whose hosts make room for a wanted one."""
        for replica in self._replicas:
            idle = len(self._idle_by_fabric.get(replica.fabric_domain, []))
            gain = len(replica.hosts) - self._cost(replica)
            if replica.name in self._dissolved or not self._surplus(replica):
                continue
            if replica.model != want.model and idle + gain >= want.hosts:
                self._dissolve(replica)
                return True
        return False

    def _trade(self, want: Want) -> None:
        """Give a wanted replica's hosts to several lasting gaps of another model.

        A model's last whole replica is never given.
        """
        gaps = self._gaps(want)
        broken = [r for r in self._replicas if r.model == want.model]
        if not all(self._whole(r) or self._waits_in_vain(r) for r in broken):
            return
        for replica in self._replicas:
            if replica.name in self._dissolved or not self._whole(replica):
                continue
            if replica.model == want.model or self._whole_by_model[replica.model] < 2:
                continue
            idle = len(self._idle_by_fabric.get(replica.fabric_domain, []))
            if min(gaps, (idle + len(replica.hosts)) // want.hosts) >= 2:
                self._dissolve(replica)
                return

    def _waits_in_vain(self, replica: Replica) -> bool:
        candidates = map(self._by_name.get, self._missing_by_replica[replica.name])
        away_s = [c.away_s if c else PATIENCE_S for c in candidates]
        return max(away_s, default=0.0) >= PATIENCE_S

    def _fill(self) -> None:
        while True:
            wants = sorted(self._wants, key=self._saturation)
            for want in wants:
                fabric = self._roomiest(want, keep=self._policy.spares)
                if fabric is not None:
                    self._form(want, fabric)
                    break
            else:
                return

    def _saturation(self, want: Want) -> tuple[float, int, str]:
        """Return the order in which models get spare hosts, the least first.

        Between equals the model over more hosts is first: it loses one oftener.
        """
        surplus = self._whole_by_model[want.model] - want.replicas
        return surplus / want.demand, -want.hosts, want.model


def _take(idle: list[Candidate], count: int, model: str) -> list[str]:
    """Remove hosts from the idle ones, those that hold the weights first."""
    idle.sort(key=lambda candidate: (model not in candidate.weights, candidate.name))
    taken = [candidate.name for candidate in idle[:count]]
    del idle[:count]
    return taken
