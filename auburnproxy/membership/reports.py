"""Reports on polled upstreams that daemons share."""

from __future__ import annotations

from typing import NamedTuple


class Reports(NamedTuple):
    """An encoded bundle of reports, as sent over a link."""

    sent_at: float
    """The sender's monotonic clock in seconds."""
    min_difference_s: float | None
    """Least difference in seconds between a reception by the sender's clock and the
    sending by the receiver's clock, of the receiver's frames; None before the first."""
    data: bytes
    """The bundle, opaque to membership."""
