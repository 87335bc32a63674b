"""The operators' two lists and their out-of-service marks."""

from .lists import Grant, Lists, Plan, TargetKind

__all__ = ["Grant", "Lists", "Plan", "TargetKind"]
