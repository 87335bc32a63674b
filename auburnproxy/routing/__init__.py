"""Which upstream a call goes to."""

from .prefix import prefix_digests
from .router import Router

__all__ = ["Router", "prefix_digests"]
