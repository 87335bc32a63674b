"""Utilization of each model's replicas, by the requests of all daemons."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Callable, Iterable
from math import exp
from typing import NamedTuple

from ..clock import loop_time

SMOOTHING_TIME_CONSTANT_S = 3.0
"""Time constant of the moving average: a burst ends within it, and loading weights
takes four times as long."""
HIGH_UTILIZATION = 0.5
"""Fraction of slots in use above which a model is short of capacity: losing one of
three replicas would raise it to three quarters."""


class ReplicaUsage(NamedTuple):
    """Current use of one replica that serves."""

    model: str
    in_flight: int
    """Number of its requests, summed over all daemons."""
    slots: float
    """Effective number of slots; a slow replica counts with fewer."""


class UtilizationTracker:
    """Exponential moving average of the fraction of slots in use, by model.

    :param clock: returns the time in seconds
    """

    def __init__(self, *, clock: Callable[[], float] = loop_time) -> None:
        self._clock = clock
        self._utilization_by_model: dict[str, float] = {}
        self._sampled_at: float | None = None

    def sample(self, usages: Iterable[ReplicaUsage]) -> None:
        """Update the averages.

        A model without any replica keeps its last value.

        :param usages: every replica that serves
        """
        in_flight: Counter[str] = Counter()
        slots: defaultdict[str, float] = defaultdict(float)
        for usage in usages:
            in_flight[usage.model] += usage.in_flight
            slots[usage.model] += usage.slots
        now = self._clock()
        elapsed_s = now - self._sampled_at if self._sampled_at is not None else 0.0
        self._sampled_at = now
        weight = 1 - exp(-elapsed_s / SMOOTHING_TIME_CONSTANT_S)
        for model, slot_count in slots.items():
            utilization = in_flight[model] / slot_count if slot_count else 0.0
            previous = self._utilization_by_model.get(model, utilization)
            self._utilization_by_model[model] = previous + weight * (
                utilization - previous
            )

    @property
    def short_of_capacity(self) -> frozenset[str]:
        """Return the models whose utilization is above ``HIGH_UTILIZATION``."""
        utilizations = self._utilization_by_model.items()
        return frozenset(
            model
            for model, utilization in utilizations
            if utilization > HIGH_UTILIZATION
        )
