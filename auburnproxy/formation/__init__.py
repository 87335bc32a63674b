"""Forms replicas from registered hosts and keeps the record of who is in which."""

from .conductor import Conductor
from .orders import Orders
from .register import Register

__all__ = ["Conductor", "Orders", "Register"]
