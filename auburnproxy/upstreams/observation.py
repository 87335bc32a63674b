"""What a daemon learns of an upstream from a call that it sent there."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple


class Result(StrEnum):
    """How a call to an upstream ended."""

    COMPLETED = "completed"
    REFUSED = "refused"
    """The upstream answered that it is too busy or not the one that was meant."""
    FAILED = "failed"
    """The upstream answered with an error of its own."""
    CLOSED = "closed"
    """The connection was refused, or closed before the answer was whole."""


class Observation(NamedTuple):
    """One call to an upstream, as its sender saw it."""

    result: Result
    first_token_s: float | None = None
    """Seconds from dispatch to the first chunk or byte, None if there was none."""
    incarnation: str = ""
    """Incarnation that the call was sent to, empty if it named none."""
