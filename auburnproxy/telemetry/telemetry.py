"""Histograms and counters, limited in number, which can be merged across daemons."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import NamedTuple, Protocol, TypedDict

from hdrh.histogram import HdrHistogram

from .measure import Counter, Gauge, Measure

LOWEST_US = 1
HIGHEST_US = 3_600_000_000
SIGNIFICANT_DIGITS = 2
US_PER_S = 1_000_000
PERCENTILES = (50.0, 95.0, 99.0)

MAX_SERIES = 512
"""Maximum number of series; further plans and targets share the label ``OTHER``."""
OTHER = "other"


class DurationRecorder(Protocol):
    """Records a duration in seconds, once or several times."""

    def __call__(self, seconds: float, count: int = 1) -> None:
        """DurationRecorder the duration ``count`` times."""


class SeriesKey(NamedTuple):
    """Key of a histogram."""

    measure: Measure
    plan: str
    target: str


class CountKey(NamedTuple):
    """Key of a count."""

    counter: Counter
    plan: str
    target: str
    code: str


class GaugeReading(NamedTuple):
    """The current value of a gauge."""

    gauge: Gauge
    value: float
    target: str = ""
    """The service, model or topic that the value belongs to."""
    state: str = ""


class SeriesSummary(TypedDict):
    """One histogram in a report; durations in seconds."""

    measure: str
    plan: str
    target: str
    count: int
    p50_s: float
    p95_s: float
    p99_s: float
    encoded: str
    """The encoded histogram, for merging with those of other daemons."""


class CountSummary(TypedDict):
    """One count in a report."""

    counter: str
    plan: str
    target: str
    code: str
    count: int


class TelemetryReport(TypedDict):
    """All histograms and counts of a daemon since its start."""

    histograms: list[SeriesSummary]
    counts: list[CountSummary]


def _new_histogram() -> HdrHistogram:
    return HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)


class Telemetry:
    """The metrics of a daemon.

    :param max_series: maximum number of histograms, and of counts
    """

    def __init__(self, *, max_series: int = MAX_SERIES) -> None:
        self.histogram_by_key: dict[SeriesKey, HdrHistogram] = {}
        self.count_by_key: dict[CountKey, int] = {}
        self.gauges: list[Callable[[], Iterable[GaugeReading]]] = []
        """Functions that return the gauge readings of a component."""
        self._max_series = max_series

    def observe(self, measure: Measure, plan: str, target: str, seconds: float) -> None:
        """DurationRecorder one duration.

        :param measure: what was measured
        :param plan: name of the caller's plan
        :param target: name of the model or plain service
        :param seconds: the duration, clamped to at most an hour
        """
        self.recorder(measure, plan, target)(seconds)

    def recorder(self, measure: Measure, plan: str, target: str) -> DurationRecorder:
        """Return a function that records durations in seconds.

        On a hot path, keep the function for the duration of a call.
        """
        record_value = self.histogram(measure, plan, target).record_value

        def record(seconds: float, count: int = 1) -> None:
            microseconds = int(seconds * US_PER_S)
            record_value(min(max(microseconds, LOWEST_US), HIGHEST_US), count)

        return record

    def histogram(self, measure: Measure, plan: str, target: str) -> HdrHistogram:
        """Return a histogram, created if missing, or the shared one at the limit."""
        key = SeriesKey(measure, plan, target)
        found = self.histogram_by_key.get(key)
        if found is not None:
            return found
        if len(self.histogram_by_key) >= self._max_series:
            key = SeriesKey(measure, OTHER, OTHER)
        return self.histogram_by_key.setdefault(key, _new_histogram())

    def count(self, counter: Counter, plan: str, target: str, code: str = "") -> None:
        """Add one to a count.

        :param counter: the event
        :param plan: name of the caller's plan
        :param target: name of the model or plain service
        :param code: stable code of the reason
        """
        key = CountKey(counter, plan, target, code)
        if key not in self.count_by_key and len(self.count_by_key) >= self._max_series:
            key = CountKey(counter, OTHER, OTHER, code)
        self.count_by_key[key] = self.count_by_key.get(key, 0) + 1

    def readings(self) -> Iterable[GaugeReading]:
        """Yield the current value of every gauge."""
        for read in self.gauges:
            yield from read()

    def report(self) -> TelemetryReport:
        """Return all histograms and counts in a form that can be merged."""
        histograms = [
            _summary(key, histogram)
            for key, histogram in sorted(self.histogram_by_key.items())
        ]
        counts = [
            CountSummary(
                counter=key.counter,
                plan=key.plan,
                target=key.target,
                code=key.code,
                count=count,
            )
            for key, count in sorted(self.count_by_key.items())
        ]
        return TelemetryReport(histograms=histograms, counts=counts)


def _summary(key: SeriesKey, histogram: HdrHistogram) -> SeriesSummary:
    p50, p95, p99 = (
        histogram.get_value_at_percentile(p) / US_PER_S for p in PERCENTILES
    )
    return SeriesSummary(
        measure=key.measure,
        plan=key.plan,
        target=key.target,
        count=histogram.total_count,
        p50_s=p50,
        p95_s=p95,
        p99_s=p99,
        encoded=histogram.encode().decode(),
    )


def merge(reports: Iterable[TelemetryReport]) -> TelemetryReport:
    """Merge the reports of several daemons.

    :param reports: each daemon's own report
    """
    merged = Telemetry()
    for report in reports:
        for series in report["histograms"]:
            histogram = merged.histogram(
                Measure(series["measure"]), series["plan"], series["target"]
            )
            histogram.decode_and_add(series["encoded"])
        for count in report["counts"]:
            key = CountKey(
                Counter(count["counter"]),
                count["plan"],
                count["target"],
                count["code"],
            )
            previous = merged.count_by_key.get(key, 0)
            merged.count_by_key[key] = previous + count["count"]
    return merged.report()
