"""Metrics by plan and target, and logs."""

from .logs import component_logger, configure_logs
from .measure import Counter, Gauge, Measure
from .telemetry import GaugeReading, Telemetry

__all__ = [
    "Counter",
    "Gauge",
    "Measure",
    "GaugeReading",
    "Telemetry",
    "component_logger",
    "configure_logs",
]
