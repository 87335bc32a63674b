"""Audit of the callers' answers against the upstreams' run counts."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple

from hdrh.histogram import HdrHistogram
from rich.table import Table

from .callers import Answer, CallKind, Result, Timing
from .runs import RunReport

US_PER_S = 1_000_000
MS_PER_S = 1000
MAX_TIME_S = 600
SIGNIFICANT_DIGITS = 3


class Lie(NamedTuple):
    """An answer that the run counts contradict."""

    plan: str
    kind: CallKind
    key: str
    reason: str


def _histogram() -> HdrHistogram:
    return HdrHistogram(1, MAX_TIME_S * US_PER_S, SIGNIFICANT_DIGITS)


def _milliseconds(histogram: HdrHistogram, percentile: float) -> str:
    if not histogram.get_total_count():
        return "-"
    value_us = histogram.get_value_at_percentile(percentile)
    return f"{value_us * MS_PER_S / US_PER_S:.1f}"


class PlanAudit:
    """Answers and times of the calls of one plan.

    :param name: name of the plan
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.sent = 0
        self.skipped = 0
        """Calls that were not sent because too many were outstanding."""
        self.answers: list[Answer] = []
        self._first_us = _histogram()
        self._between_us = _histogram()
        self.timing = Timing(
            lambda seconds: self._first_us.record_value(round(seconds * US_PER_S)),
            lambda seconds: self._between_us.record_value(round(seconds * US_PER_S)),
        )

    def add(self, answer: Answer) -> None:
        """Record an answer.

        :param answer: the answer to a call
        """
        self.answers.append(answer)

    @property
    def results(self) -> Counter[Result]:
        """Return the number of calls with each result."""
        return Counter(answer.result for answer in self.answers)

    @property
    def details(self) -> Counter[str]:
        """Return the reasons why calls got no complete answer, with their counts."""
        return Counter(
            f"{answer.kind} {answer.result}: {answer.detail}"
            for answer in self.answers
            if answer.result is not Result.WHOLE
        )

    def lies(self, runs: RunReport) -> list[Lie]:
        """Return the answers that the run counts contradict.

        :param runs: run counts of all upstreams
        """
        last_by_key = {(each.kind, each.key): each for each in self.answers}
        return [
            Lie(self.name, each.kind, each.key, reason)
            for each in last_by_key.values()
            if (reason := _find_contradiction(each, runs))
        ]

    def row(self, runs: RunReport) -> tuple[str, ...]:
        """Return the plan's row of the table.

        :param runs: run counts of all upstreams
        """
        results = self.results
        orders = {each.key for each in self.answers if each.kind is CallKind.ORDER}
        orders_run = sum(runs["orders_by_key"].get(key, 0) for key in orders)
        counts = (self.sent, *(results[result] for result in Result))
        times = [
            _milliseconds(histogram, percentile)
            for histogram in (self._first_us, self._between_us)
            for percentile in (50, 99)
        ]
        numbers = (*counts, len(orders), orders_run, len(self.lies(runs)))
        return (self.name, *map(str, numbers), *times)


def _find_contradiction(answer: Answer, runs: RunReport) -> str:
    is_order = answer.kind is CallKind.ORDER
    counts = runs["orders_by_key"] if is_order else runs["runs_by_key"]
    run_count = counts.get(answer.key, 0)
    if is_order and run_count > 1:
        return f"order ran {run_count} times"
    if answer.result is Result.REFUSED and run_count:
        return "told not run, and ran"
    if answer.result is Result.WHOLE and not run_count:
        return "answered, and never ran"
    return ""


def _sum(counts: Iterable[Mapping[str, int]]) -> dict[str, int]:
    total: Counter[str] = Counter()
    for each in counts:
        total.update(each)
    return dict(total)


def merge(reports: Sequence[RunReport]) -> RunReport:
    """Return the summed run counts of several processes.

    :param reports: run counts of each process
    """
    return RunReport(
        runs_by_key=_sum(report["runs_by_key"] for report in reports),
        orders_by_key=_sum(report["orders_by_key"] for report in reports),
        collapses_by_host=_sum(report["collapses_by_host"] for report in reports),
        refused_by_host=_sum(report["refused_by_host"] for report in reports),
        late_by_host=_sum(report["late_by_host"] for report in reports),
    )


def table(audits: Iterable[PlanAudit], runs: RunReport) -> Table:
    """Return the table of all plans; times are in milliseconds.

    :param audits: the plans
    :param runs: run counts of all upstreams
    """
    columns = ("plan", "sent", *Result, "orders", "orders run", "lies")
    times = ("first p50", "first p99", "between p50", "between p99")
    result = Table(*columns, *times)
    for audit in audits:
        result.add_row(*audit.row(runs))
    return result
