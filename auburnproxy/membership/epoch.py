"""Epochs of a failure domain's roster, and the window that a daemon acts within."""

from __future__ import annotations

from typing import NamedTuple

from .member import Member


class Epoch(NamedTuple):
    """Who divides the parts of a failure domain, from one record on."""

    number: int
    """Offset of the record that began the epoch."""
    members: tuple[Member, ...]
    """Ordered by name; one incarnation of each."""


class Weight(NamedTuple):
    """A failure domain's part of what all of them divide."""

    failure_domain: str
    weight: int
    """Relative to the other weights of the division."""


class Division(NamedTuple):
    """How the failure domains divide a limit of the whole system."""

    number: int
    """Offset of the record that began the division."""
    weights: tuple[Weight, ...]
    """Ordered by failure domain."""


class Window(NamedTuple):
    """What a daemon has to obey: every epoch and division at once."""

    epochs: tuple[Epoch, ...]
    """From the settled one to the newest, oldest first; empty: nothing is held."""
    gone: frozenset[str]
    """Ids of members that can never act again."""
    divisions: tuple[Division, ...] = ()
    """From the one that all failure domains obey to the newest, oldest first."""
    failure_domain: str = ""


NOTHING = Window((), frozenset())
