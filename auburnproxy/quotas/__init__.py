"""Limits that daemons divide ahead of time and then use without asking."""

from .gate import Gate, Gates
from .orphans import Orphans
from .share import PLAN_PREFIX, UPSTREAM_PREFIX, custodian, domain_share, holds, share

__all__ = [
    "PLAN_PREFIX",
    "UPSTREAM_PREFIX",
    "Gate",
    "Gates",
    "Orphans",
    "custodian",
    "domain_share",
    "holds",
    "share",
]
