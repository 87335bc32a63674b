"""What the operators' lists ask of replicas."""

from __future__ import annotations

from collections.abc import Iterator

from ..configuration import Configuration, TargetKind


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
