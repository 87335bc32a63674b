"""Heartbeats that daemons exchange over UDP several times a second."""

from .beat import Beat
from .circle import Circle
from .seat import Seat

__all__ = ["Beat", "Circle", "Seat"]
