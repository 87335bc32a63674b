"""Exposition of one daemon's metrics in the Prometheus text format."""

from __future__ import annotations

from collections.abc import Iterator

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    SummaryMetricFamily,
)
from prometheus_client.metrics_core import Metric
from prometheus_client.registry import Collector

from .measure import Counter, Gauge, Measure
from .telemetry import PERCENTILES, US_PER_S, Telemetry

PREFIX = "auburnproxy"


class _TelemetryCollector(Collector):
    def __init__(self, telemetry: Telemetry) -> None:
        self._telemetry = telemetry

    def collect(self) -> Iterator[Metric]:
        """Yield the summaries with their quantiles, the counters and the gauges."""
        yield from self._summaries()
        yield from self._counters()
        yield from self._gauges()

    def _summaries(self) -> Iterator[Metric]:
        for measure in Measure:
            name = f"{PREFIX}_{measure}_seconds"
            family = SummaryMetricFamily(name, measure, labels=["plan", "target"])
            quantiles = GaugeMetricFamily(
                f"{name}_quantile", measure, labels=["plan", "target", "quantile"]
            )
            for key, histogram in self._telemetry.histogram_by_key.items():
                if key.measure is not measure:
                    continue
                count = histogram.total_count
                total = histogram.get_mean_value() * count / US_PER_S
                family.add_metric([key.plan, key.target], count, total)
                for percentile in PERCENTILES:
                    value = histogram.get_value_at_percentile(percentile) / US_PER_S
                    labels = [key.plan, key.target, str(percentile / 100)]
                    quantiles.add_metric(labels, value)
            yield family
            yield quantiles

    def _counters(self) -> Iterator[Metric]:
        for counter in Counter:
            family = CounterMetricFamily(
                f"{PREFIX}_{counter}", counter, labels=["plan", "target", "code"]
            )
            for key, count in self._telemetry.count_by_key.items():
                if key.counter is counter:
                    family.add_metric([key.plan, key.target, key.code], count)
            yield family

    def _gauges(self) -> Iterator[Metric]:
        readings = list(self._telemetry.readings())
        for gauge in Gauge:
            family = GaugeMetricFamily(
                f"{PREFIX}_{gauge}", gauge, labels=["target", "state"]
            )
            for reading in readings:
                if reading.gauge is gauge:
                    family.add_metric([reading.target, reading.state], reading.value)
            yield family


def exposition(telemetry: Telemetry) -> bytes:
    """Return the metrics in the Prometheus text format.

    :param telemetry: the metrics of a daemon
    """
    registry = CollectorRegistry()
    registry.register(_TelemetryCollector(telemetry))
    return generate_latest(registry)
