"""Limits that the HTTP front end applies to requests."""

from __future__ import annotations

from typing import NamedTuple


class RequestLimits(NamedTuple):
    """Limits for one request; the settings override some of them."""

    body_bytes: int = 4 * 1024 * 1024
    """Longest request body."""
    body_timeout_s: float = 10.0
    """Seconds in which a caller must have sent the body."""
    deadline_s: float = 120.0
    """Default deadline, in seconds after the arrival of a request."""
    longest_deadline_s: float = 900.0
    """Longest deadline that a request may ask for, in seconds."""
    first_chunk_s: float = 30.0
    """Seconds without a first chunk after which an engine counts as stalled."""
    next_chunk_s: float = 5.0
    """Seconds without a further chunk after which an engine counts as stalled."""
    max_attempts: int = 3
    """Attempts for one model call or repeatable plain call, the first included."""
