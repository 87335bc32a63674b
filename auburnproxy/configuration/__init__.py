"""Configuration set by operators: plans, grants and out-of-service marks."""

from .configuration import (
    LISTS_KEY,
    LISTS_KIND,
    MARK_KIND,
    Configuration,
    Mark,
    digest_key,
)
from .lists import Grant, Lists, Plan, TargetKind
from .parsing import read_lists

__all__ = [
    "LISTS_KEY",
    "LISTS_KIND",
    "MARK_KIND",
    "Configuration",
    "Grant",
    "Lists",
    "Mark",
    "Plan",
    "TargetKind",
    "digest_key",
    "read_lists",
]
