"""Upstreams: model engines and plain services."""

from .exchange import Exchange
from .observation import Observation, Result
from .warmth import Warmth
from .watcher import Watcher

__all__ = ["Exchange", "Observation", "Result", "Warmth", "Watcher"]
