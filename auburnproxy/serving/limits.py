"""The bounds that the face puts on requests."""

from __future__ import annotations

from typing import NamedTuple


class Limits(NamedTuple):
    """Bounds on one request; settings may change them."""

    body_bytes: int = 4 * 1024 * 1024
    """Longest body."""
    body_timeout_s: float = 10.0
    """Seconds in which a caller has to send its body."""
    deadline_s: float = 120.0
    """Seconds to the deadline of a request that names none."""
    longest_deadline_s: float = 900.0
    """Longest deadline that a request may ask for, in seconds."""
    first_chunk_s: float = 30.0
    """Seconds without a first chunk after which an engine counts as stalled."""
    next_chunk_s: float = 5.0
    """Seconds without a further chunk after which an engine counts as stalled."""
    attempts: int = 3
    """Dispatches of one repeatable request."""
