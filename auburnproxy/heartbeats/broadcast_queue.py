"""Bounds what heartbeats out of turn to all daemons take of a host's link.

Where much fails at once, each daemon has urgent news many times a second. Sent to
hundreds of daemons each time, they would fill the links, so that still more fails.
"""

from __future__ import annotations

from collections.abc import Iterable
from itertools import islice

from ..clock import loop_time

HEARTBEAT_BYTES_PER_S = 300_000
"""Bytes per second of all heartbeats, a quarter of a link of 10 Mbit/s; above it, none
are sent to all daemons out of turn."""
BURST_BYTES = 100_000
"""Bytes that may be sent at once after a pause; a short heartbeat to 200 daemons."""


class BroadcastQueue:
    """Daemons that wait for a heartbeat out of turn, the longest wait first.

    A heartbeat holds the current state, so one that is sent late tells all news.
    """

    def __init__(self) -> None:
        self._names: dict[str, None] = {}
        self._available_bytes = float(BURST_BYTES)
        self._refilled_at = loop_time()

    def __len__(self) -> int:
        """Return the number of daemons that wait."""
        return len(self._names)

    def add(self, names: Iterable[str]) -> None:
        """Add daemons; one that waits already keeps its place."""
        self._names |= dict.fromkeys(names)

    def discard(self, names: Iterable[str]) -> None:
        """Remove daemons that get a heartbeat otherwise."""
        for name in names:
            self._names.pop(name, None)

    def take(self, size: int) -> list[str]:
        """Remove and return the daemons that may get a heartbeat now.

        :param size: length of the heartbeat in bytes
        """
        self._refill()
        count = max(int(self._available_bytes // size), 0)
        names = list(islice(self._names, count))
        self.discard(names)
        return names

    def charge(self, size: int) -> None:
        """Count a heartbeat that is sent to a daemon, in turn or not.

        :param size: its length in bytes
        """
        self._available_bytes = max(self._available_bytes - size, -BURST_BYTES)

    def _refill(self) -> None:
        now = loop_time()
        gained = HEARTBEAT_BYTES_PER_S * (now - self._refilled_at)
        self._available_bytes = min(self._available_bytes + gained, BURST_BYTES)
        self._refilled_at = now
