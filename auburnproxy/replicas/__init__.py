"""Groups of hosts that serve one copy of a model."""

from .replica import Replica

__all__ = ["Replica"]
