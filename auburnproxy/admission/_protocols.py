"""What admission needs of the other slices."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Protocol

from ..configuration import Grant, Lists, Plan, TargetKind


class Gate(Protocol):
    """This daemon's share of one limit."""

    limit: int

    @property
    def in_flight(self) -> int:
        """Return the calls that hold a slot."""

    @property
    def free(self) -> int:
        """Return the slots that may still be taken."""

    def try_acquire(self) -> bool:
        """Take a slot if one is free."""

    def release(self) -> None:
        """Give a slot back."""


class Gates(Protocol):
    """The gates of this daemon, by key."""

    def gate(self, key: str) -> Gate:
        """Return the gate of a key, the same one every time."""


class Configuration(Protocol):
    """The operators' lists in force."""

    @property
    def lists(self) -> Lists:
        """Return both lists."""

    @property
    def plans_by_name(self) -> Mapping[str, Plan]:
        """Return the plans."""

    @property
    def plan_by_digest(self) -> Mapping[str, Plan]:
        """Return the plan of each key digest."""

    def grant(self, plan: str, kind: TargetKind, target: str) -> Grant | None:
        """Return what a plan may use of a target."""


class Targets(Protocol):
    """What the targets of calls can bear at this daemon."""

    def check(self, target: str) -> None:
        """Raise an error if nothing of a target is usable here.

        :param target: ``model/NAME`` or ``service/NAME``
        :raises RefusalError: 503
        """

    def slots(self, target: str) -> int:
        """Return the slots that this daemon may use of a target, free or not."""
