"""Adapter to the users' platform.

It only translates: the platform's names, headers, topics and record fields are
known in this package alone, and it makes no decisions of its own.
"""

from .adapter import PlatformAdapter, adapter

__all__ = ["PlatformAdapter", "adapter"]
