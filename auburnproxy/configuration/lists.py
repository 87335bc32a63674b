"""The values of the operators' two lists."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple


class TargetKind(StrEnum):
    """What a plan may be allowed to use."""

    MODEL = "model"
    SERVICE = "service"


class Plan(NamedTuple):
    """One customer's plan, an entry of the first list."""

    name: str
    key_digests: tuple[str, ...]
    """SHA-256 digests, in hex, of the bearer keys."""
    weight: int
    """Share in the weighted fair queue, 1 or more."""
    concurrent: int
    """Calls of the plan in flight at once, in the whole system."""
    queue: int
    """Calls of the plan that may wait at one daemon."""


class Grant(NamedTuple):
    """What a plan may use, an entry of the second list."""

    plan: str
    kind: TargetKind
    target: str
    """Name of the model or plain service."""
    replicas: int = 0
    """Replicas wanted in each failure domain; a model gets its greatest value."""
    repeatable: tuple[str, ...] = ()
    """``METHOD /path-prefix`` of a service's calls that may be repeated."""


class Lists(NamedTuple):
    """Both lists, applied as one."""

    plans: tuple[Plan, ...]
    grants: tuple[Grant, ...]
