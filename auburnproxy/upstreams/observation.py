"""Outcome of a call that a daemon sent to an upstream."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple


class Result(StrEnum):
    """How a call to an upstream ended."""

    COMPLETED = "completed"
    REFUSED = "refused"
    """The upstream answered that it is overloaded or not the intended target."""
    FAILED = "failed"
    """The upstream answered with an application error."""
    CLOSED = "closed"
    """The connection was refused, or closed before the response was complete."""


class Observation(NamedTuple):
    """Outcome of one call to an upstream, as observed by its sender."""

    result: Result
    first_token_s: float | None = None
    """Seconds from dispatch to the first chunk or byte, None if there was none."""
    incarnation: str = ""
    """Target incarnation of the call, empty if it named none."""
