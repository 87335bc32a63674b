"""What the operators' lists ask of replicas."""

from __future__ import annotations

from collections.abc import Iterator

from ..configuration import Configuration, TargetKind
from ..platform import HostEntry
from ..replicas import Replicas
from ..upstreams import Watcher


class Wants:
    """Reads the lists in force.

    :param configuration: the operators' lists
    """

    def __init__(self, configuration: Configuration) -> None:
        self._configuration = configuration

    def replicas(self) -> dict[str, int]:
        """Return the replicas wanted in each failure domain, by model."""
        wanted: dict[str, int] = {}
        for model, replicas in self._models():
            wanted[model] = max(wanted.get(model, 0), replicas)
        return {model: count for model, count in wanted.items() if count}

    def demand(self) -> dict[str, float]:
        """Return each model's weight where spare hosts are given out."""
        demand: dict[str, float] = {}
        for model, replicas in self._models():
            demand[model] = demand.get(model, 0.0) + max(replicas, 1)
        return demand

    def _models(self) -> Iterator[tuple[str, int]]:
        for grant in self._configuration.lists.grants:
            if grant.kind is TargetKind.MODEL:
                yield grant.target, grant.replicas


def upstream_keys(target: str, replicas: Replicas, watcher: Watcher) -> list[str]:
    """Return the gate keys of a target's upstreams in every failure domain.

    :param target: ``model/NAME`` or ``service/NAME``
    :param replicas: the recorded replicas
    :param watcher: holds the platform's whole list
    """
    kind, _, name = target.partition("/")
    if kind == TargetKind.MODEL:
        heads = (r.head for r in replicas.by_name.values() if r.model == name)
        return [f"upstream/{head}" for head in heads]
    entries: dict[str, HostEntry] = watcher.listed_by_name
    return [f"upstream/{e.name}" for e in entries.values() if e.service == name]
