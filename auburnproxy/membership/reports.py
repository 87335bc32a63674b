"""What daemons tell each other of the upstreams that they poll."""

from __future__ import annotations

from typing import NamedTuple


class Reports(NamedTuple):
    """A bundle of reports as it travels over a link."""

    sent_at: float
    """The sender's monotonic clock in seconds."""
    least_s: float | None
    """Least seconds, between both clocks, that a frame of the receiver took; None
    before the first."""
    data: bytes
    """The bundle, which membership does not read."""
