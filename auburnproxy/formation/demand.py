"""How busy the replicas of each model are, by what all daemons have in flight."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Callable, Iterable
from math import exp
from typing import NamedTuple

from ..clock import loop_time

SMOOTHED_S = 3.0
"""Time constant of the mean load: a burst passes within it, a load takes four times
as long."""
SHORT_LOAD = 0.5
"""Part of its slots in use beyond which a model is short: the loss of one replica of
three would bring it to three quarters."""


class Use(NamedTuple):
    """One replica that serves."""

    model: str
    in_flight: int
    """Its requests, as all daemons together see them."""
    slots: float
    """Those that count; a slow replica has fewer."""


class Demand:
    """Keeps the mean load of each model, as a part of its slots.

    :param clock: returns the time in seconds
    """

    def __init__(self, *, clock: Callable[[], float] = loop_time) -> None:
        self._clock = clock
        self._load_by_model: dict[str, float] = {}
        self._taken_at: float | None = None

    def take(self, uses: Iterable[Use]) -> None:
        """Take how the replicas are used now.

        A model without any replica keeps the load that it had.

        :param uses: every replica that serves
        """
        in_flight: Counter[str] = Counter()
        slots: defaultdict[str, float] = defaultdict(float)
        for use in uses:
            in_flight[use.model] += use.in_flight
            slots[use.model] += use.slots
        now = self._clock()
        passed_s = now - self._taken_at if self._taken_at is not None else 0.0
        self._taken_at = now
        part = 1 - exp(-passed_s / SMOOTHED_S)
        for model, count in slots.items():
            load = in_flight[model] / count if count else 0.0
            known = self._load_by_model.get(model, load)
            self._load_by_model[model] = known + part * (load - known)

    @property
    def short(self) -> frozenset[str]:
        """Return the models whose replicas are close to what they bear."""
        loads = self._load_by_model.items()
        return frozenset(model for model, load in loads if load > SHORT_LOAD)
