"""Counts of the calls that the upstreams of one process ran, for auditing answers."""

from __future__ import annotations

from collections import Counter
from typing import TypedDict


class RunReport(TypedDict):
    """Counts since the start of the process."""

    runs_by_key: dict[str, int]
    """Number of runs of each call; see :func:`Runs.count` for the keys."""
    orders_by_key: dict[str, int]
    collapses_by_host: dict[str, int]
    refused_by_host: dict[str, int]
    """Calls rejected because they named another incarnation or replica."""
    late_by_host: dict[str, int]
    """Calls that reached a host while it was leaving."""


class Runs:
    """Counters that the hosts of one process share."""

    def __init__(self) -> None:
        self._runs: Counter[str] = Counter()
        self._orders: Counter[str] = Counter()
        self.collapses: Counter[str] = Counter()
        self.refused: Counter[str] = Counter()
        self.late: Counter[str] = Counter()

    def count(self, key: str, *, order: bool = False) -> int:
        """Count one run and return the total for the key.

        :param key: digest of a model call's body, path of a lookup, id of an order
        :param order: whether the call is an order, which must not run twice
        """
        counter = self._orders if order else self._runs
        counter[key] += 1
        return counter[key]

    def report(self) -> RunReport:
        """Return every count."""
        return RunReport(
            runs_by_key=dict(self._runs),
            orders_by_key=dict(self._orders),
            collapses_by_host=dict(self.collapses),
            refused_by_host=dict(self.refused),
            late_by_host=dict(self.late),
        )
