"""Histograms for each plan and target, counters and logs."""

from .logs import configure_logs, part
from .measure import Counter, Gauge, Measure
from .telemetry import Reading, Telemetry

__all__ = [
    "Counter",
    "Gauge",
    "Measure",
    "Reading",
    "Telemetry",
    "configure_logs",
    "part",
]
