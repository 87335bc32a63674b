"""Limits divided among daemons in advance, so that calls need no coordination."""

from .orphaned_calls import OrphanedCalls
from .share import PLAN_PREFIX, UPSTREAM_PREFIX, domain_share, owner, owns, share
from .slot_limiter import SlotLimiter, SlotLimiters

__all__ = [
    "PLAN_PREFIX",
    "UPSTREAM_PREFIX",
    "OrphanedCalls",
    "SlotLimiter",
    "SlotLimiters",
    "domain_share",
    "owner",
    "owns",
    "share",
]
