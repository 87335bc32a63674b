"""Upstreams: model engines and plain services."""

from .observation import Observation, Result
from .slow_start import SlowStart
from .watcher import Watcher

__all__ = ["Observation", "Result", "SlowStart", "Watcher"]
