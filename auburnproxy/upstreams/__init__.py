"""Upstreams: model engines and plain services."""

from .observation import Observation, Result
from .warmth import Warmth
from .watcher import Watcher

__all__ = ["Observation", "Result", "Warmth", "Watcher"]
