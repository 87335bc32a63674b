"""Score of a simulated day: overall value to callers and the worst slices."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from typing import NamedTuple

import numpy

from .callers import Outcome

WINDOW_S = 2.0
WORST_WINDOW_FRACTION = 0.1
"""Fraction of the windows that count as the worst ones."""
DAY_WEIGHT, DOMAIN_WEIGHT, KIND_WEIGHT, WINDOWS_WEIGHT = 0.32, 0.36, 0.24, 0.08


class Row(NamedTuple):
    """Summary of a group of requests."""

    name: str
    asked: int
    in_time: int
    late: int
    refused: int
    failed: int
    worth: float
    """Earned value as a fraction of the possible value."""


def summarize(name: str, outcomes: Sequence[Outcome]) -> Row:
    """Summarize a group of requests."""
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


def summarize_by(
    outcomes: Iterable[Outcome], key: Callable[[Outcome], str]
) -> list[Row]:
    """Summarize requests by key, in the order of the keys."""
    found: dict[str, list[Outcome]] = {}
    for outcome in outcomes:
        found.setdefault(key(outcome), []).append(outcome)
    return [summarize(name, found[name]) for name in sorted(found)]


def by_kind(outcomes: Iterable[Outcome]) -> list[Row]:
    """Summarize requests by kind."""
    return summarize_by(outcomes, lambda outcome: outcome.kind)


def by_domain(outcomes: Iterable[Outcome]) -> list[Row]:
    """Summarize requests by the failure domain of their callers."""
    return summarize_by(outcomes, lambda outcome: outcome.failure_domain)


def by_window(outcomes: Iterable[Outcome]) -> list[Row]:
    """Summarize requests by arrival window of ``WINDOW_S`` seconds."""
    return summarize_by(
        outcomes, lambda each: f"{int(each.at_s / WINDOW_S) * WINDOW_S:05.1f}"
    )


def worth(outcomes: Sequence[Outcome]) -> float:
    """Return the score of a day, between 0 and 1.

    The score weights the whole day, its worst failure domain, its worst request kind
    and its worst windows.
    """
    windows = sorted(each.worth for each in by_window(outcomes))
    count = max(round(len(windows) * WORST_WINDOW_FRACTION), 1)
    return float(
        DAY_WEIGHT * summarize("day", outcomes).worth
        + DOMAIN_WEIGHT * min(each.worth for each in by_domain(outcomes))
        + KIND_WEIGHT * min(each.worth for each in by_kind(outcomes))
        + WINDOWS_WEIGHT * numpy.mean(windows[:count])
    )
