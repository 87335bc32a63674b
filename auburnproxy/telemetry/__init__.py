"""Histograms for each plan and target, counters and logs."""

from .logs import configure_logs, part
from .measure import Counter, Measure
from .telemetry import Telemetry

__all__ = ["Counter", "Measure", "Telemetry", "configure_logs", "part"]
