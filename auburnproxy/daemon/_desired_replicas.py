"""Replica counts that the operators' lists ask for."""

from __future__ import annotations

from collections.abc import Iterator

from ..configuration import Configuration, TargetKind


class DesiredReplicas:
    """Derives the desired replicas of each model from the grants in force.

    :param configuration: holds the operators' lists in force
    """

    def __init__(self, configuration: Configuration) -> None:
        self._configuration = configuration

    def count_by_model(self) -> dict[str, int]:
        """Return the number of replicas desired in each failure domain, by model."""
        desired: dict[str, int] = {}
        for model, replicas in self._granted_models():
            desired[model] = max(desired.get(model, 0), replicas)
        return {model: count for model, count in desired.items() if count}

    def weight_by_model(self) -> dict[str, float]:
        """Return the weight of each model when spare hosts are allocated."""
        weights: dict[str, float] = {}
        for model, replicas in self._granted_models():
            weights[model] = weights.get(model, 0.0) + max(replicas, 1)
        return weights

    def _granted_models(self) -> Iterator[tuple[str, int]]:
        for grant in self._configuration.lists.grants:
            if grant.kind is TargetKind.MODEL:
                yield grant.target, grant.replicas
