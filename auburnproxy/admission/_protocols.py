"""Interfaces that admission requires from other packages."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Protocol

from ..configuration import Grant, Lists, Plan, TargetKind


class SlotLimiter(Protocol):
    """This daemon's share of one concurrency limit."""

    limit: int

    @property
    def in_flight(self) -> int:
        """Return the calls that hold a slot."""

    @property
    def free(self) -> int:
        """Return the slots that are still free."""

    def try_acquire(self) -> bool:
        """Take a slot if one is free."""

    def release(self) -> None:
        """Release a slot."""


class SlotLimiters(Protocol):
    """The limiters of this daemon, by key."""

    def limiter(self, key: str) -> SlotLimiter:
        """Return the limiter of a key, always the same object."""


class Configuration(Protocol):
    """The operators' lists in force."""

    @property
    def lists(self) -> Lists:
        """Return the lists of plans and grants."""

    @property
    def plans_by_name(self) -> Mapping[str, Plan]:
        """Return the plans by name."""

    @property
    def plan_by_digest(self) -> Mapping[str, Plan]:
        """Return the plans by the digest of an API key."""

    def grant(self, plan: str, kind: TargetKind, target: str) -> Grant | None:
        """Return a plan's grant for a target, or None."""


class Targets(Protocol):
    """Availability and capacity of call targets at this daemon."""

    def check_usable(self, target: str) -> None:
        """Raise an error if no upstream of a target is usable here.

        :param target: ``model/NAME`` or ``service/NAME``
        :raises RefusalError: 503
        """

    def slots(self, target: str) -> int:
        """Return this daemon's slots of a target, both free and in use."""
