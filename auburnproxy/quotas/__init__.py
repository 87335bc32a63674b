"""Limits that daemons divide ahead of time and then use without asking."""

from .gate import Gate, Gates
from .orphans import Orphans
from .share import PLAN_PREFIX, UPSTREAM_PREFIX, domain_share, owner, owns, share

__all__ = [
    "PLAN_PREFIX",
    "UPSTREAM_PREFIX",
    "Gate",
    "Gates",
    "Orphans",
    "domain_share",
    "owner",
    "owns",
    "share",
]
