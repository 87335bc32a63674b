"""What the system measures of the calls that it serves."""

from __future__ import annotations

from enum import StrEnum


class Measure(StrEnum):
    """A duration that a histogram holds."""

    QUEUE_WAIT = "queue_wait"
    """From arrival to dispatch."""
    FIRST_CHUNK = "first_chunk"
    """From arrival to the first chunk of a stream."""
    BETWEEN_CHUNKS = "between_chunks"
    """Between one chunk and the next."""
    WHOLE_ANSWER = "whole_answer"
    """From arrival to the end of the answer."""


class Counter(StrEnum):
    """An event that is counted."""

    ANSWERED = "answered"
    """Calls answered whole."""
    REFUSED = "refused"
    """Calls refused, by the refusal's code."""
    UNKNOWN = "unknown"
    """Calls that ended without a known outcome, by code."""
    CANCELLED = "cancelled"
    """Calls whose caller went away."""
    RESUMED = "resumed"
    """Streams that went on at another replica."""
    RETRIED = "retried"
    """Second and later tries of repeatable calls."""
    FORWARDED = "forwarded"
    """Calls handed to another daemon."""
