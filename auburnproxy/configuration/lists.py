"""Entries of the operators' lists of plans and grants."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple


class TargetKind(StrEnum):
    """Kind of upstream that a plan can be granted."""

    MODEL = "model"
    SERVICE = "service"


class Plan(NamedTuple):
    """One customer's plan, an entry of the list of plans."""

    name: str
    key_digests: tuple[str, ...]
    """SHA-256 digests, in hex, of the bearer keys."""
    weight: int
    """Share in the weighted fair queue, 1 or more."""
    concurrent: int
    """Maximum calls of the plan in flight in the whole system."""
    queue: int
    """Maximum queued calls of the plan at one daemon."""


class Grant(NamedTuple):
    """Access of a plan to a model or service, an entry of the list of grants."""

    plan: str
    kind: TargetKind
    target: str
    """Name of the model or plain service."""
    replicas: int = 0
    """Target replicas per failure domain; the maximum over all grants of a model."""
    repeatable: tuple[str, ...] = ()
    """``METHOD /path-prefix`` of a service's calls that are safe to retry."""


class Lists(NamedTuple):
    """Both lists, replaced together in one change."""

    plans: tuple[Plan, ...]
    grants: tuple[Grant, ...]
