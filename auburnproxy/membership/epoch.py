"""Epochs of a failure domain's roster, and the window of those that a daemon obeys.

An epoch is settled once it is obeyed by all members of older epochs that are not gone.
Older epochs need not be obeyed from then on.
"""

from __future__ import annotations

from typing import NamedTuple

from .member import Member


class Epoch(NamedTuple):
    """The members that divide a failure domain's limits, from one journal record on."""

    number: int
    """Offset of the record that began the epoch."""
    members: tuple[Member, ...]
    """Ordered by name, one incarnation each."""


class DomainWeight(NamedTuple):
    """A failure domain's weight in a division of system-wide limits."""

    failure_domain: str
    weight: int
    """Relative to the other weights of the division."""


class Division(NamedTuple):
    """How system-wide limits are divided among the failure domains."""

    number: int
    """Offset of the record that began the division."""
    weights: tuple[DomainWeight, ...]
    """Ordered by failure domain."""


class EpochWindow(NamedTuple):
    """The epochs and divisions that a daemon has to obey, all of them at once."""

    epochs: tuple[Epoch, ...]
    """From the settled one to the newest, oldest first; if empty, no slot is held."""
    gone: frozenset[str]
    """Ids of members that can never act again."""
    divisions: tuple[Division, ...] = ()
    """From the newest that all failure domains obey to the newest, oldest first."""
    failure_domain: str = ""


EMPTY_WINDOW = EpochWindow((), frozenset())
