"""Quarantine of prompt parts whose requests end the engines that answer them.

One such request ends an engine process before its answer begins. Sent again and again,
requests with the same part would end one engine after the other, together with all
other requests that run there.
"""

from .part_quarantine import PartQuarantine

__all__ = ["PartQuarantine"]
