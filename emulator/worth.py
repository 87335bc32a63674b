"""What a day was worth to its callers, as a whole and where it was worst."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from typing import NamedTuple

import numpy

from .callers import Outcome

WINDOW_S = 2.0
WORST_WINDOWS = 0.1
"""Part of the windows that count as the worst ones."""
DAY_WEIGHT, DOMAIN_WEIGHT, KIND_WEIGHT, WINDOWS_WEIGHT = 0.32, 0.36, 0.24, 0.08


class Row(NamedTuple):
    """Some requests of a day, summed up."""

    name: str
    asked: int
    in_time: int
    late: int
    refused: int
    failed: int
    worth: float
    """Part of what was possible."""


def row(name: str, outcomes: Sequence[Outcome]) -> Row:
    """Sum some requests up."""
    states = [outcome.state for outcome in outcomes]
    possible = sum(outcome.possible for outcome in outcomes)
    earned = sum(outcome.earned for outcome in outcomes)
    return Row(
        name,
        asked=len(outcomes),
        in_time=states.count("in time"),
        late=states.count("late"),
        refused=states.count("refused"),
        failed=states.count("failed"),
        worth=earned / possible if possible else 1.0,
    )


def rows(outcomes: Iterable[Outcome], key: Callable[[Outcome], str]) -> list[Row]:
    """Sum requests up by a key, in the order of the keys."""
    found: dict[str, list[Outcome]] = {}
    for outcome in outcomes:
        found.setdefault(key(outcome), []).append(outcome)
    return [row(name, found[name]) for name in sorted(found)]


def by_kind(outcomes: Iterable[Outcome]) -> list[Row]:
    """Sum requests up by kind."""
    return rows(outcomes, lambda outcome: outcome.kind)


def by_domain(outcomes: Iterable[Outcome]) -> list[Row]:
    """Sum requests up by the failure domain that they came from."""
    return rows(outcomes, lambda outcome: outcome.failure_domain)


def by_window(outcomes: Iterable[Outcome]) -> list[Row]:
    """Sum requests up by two seconds of the day."""
    return rows(outcomes, lambda each: f"{int(each.at_s / WINDOW_S) * WINDOW_S:05.1f}")


def worth(outcomes: Sequence[Outcome]) -> float:
    """Return the worth of a day, between 0 and 1."""
    windows = sorted(each.worth for each in by_window(outcomes))
    count = max(round(len(windows) * WORST_WINDOWS), 1)
    return float(
        DAY_WEIGHT * row("day", outcomes).worth
        + DOMAIN_WEIGHT * min(each.worth for each in by_domain(outcomes))
        + KIND_WEIGHT * min(each.worth for each in by_kind(outcomes))
        + WINDOWS_WEIGHT * numpy.mean(windows[:count])
    )
