"""What daemons tell each other several times a second, by datagrams."""

from .beat import Beat
from .circle import Circle
from .seat import Seat

__all__ = ["Beat", "Circle", "Seat"]
