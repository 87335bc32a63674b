"""Selection of the upstream for a call."""

from .prefix import prefix_digests
from .router import Router

__all__ = ["Router", "prefix_digests"]
