"""Runs the product on the users' platform: translation only.

Nothing outside this package knows the platform's names, headers, topics or
fields, and nothing in it decides anything.
"""

from .adapter import PlatformAdapter, adapter

__all__ = ["PlatformAdapter", "adapter"]
