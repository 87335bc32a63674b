"""Bounds on the loads that are started from the weight store."""

from __future__ import annotations

from ..clock import loop_time

RATE_PART = 0.8
"""Part of the weight store's rate that is used; a successor may have begun some."""


class Loads:
    """Keeps loads within the weight store's rate and apart from each other."""

    def __init__(self) -> None:
        self._until_by_host: dict[str, float] = {}
        self._started_at = -1.0

    def begin(self, host: str, *, takes_s: float, per_s: float, at_once: int) -> bool:
        """Begin a load if the bounds allow it.

        :param host: the host that loads
        :param takes_s: how long the load takes at most
        :param per_s: loads that the weight store starts in a second
        :param at_once: loads that do not slow each other down
        """
        now = loop_time()
        self._forget(now)
        if len(self._until_by_host) >= at_once:
            return False
        if per_s and now - self._started_at < 1 / (per_s * RATE_PART):
            return False
        self._started_at = now
        self._until_by_host[host] = now + takes_s
        return True

    def end(self, host: str) -> None:
        """Note that a host has its weights, or is gone."""
        self._until_by_host.pop(host, None)

    def _forget(self, now: float) -> None:
        for host, until in list(self._until_by_host.items()):
            if until <= now:
                del self._until_by_host[host]
