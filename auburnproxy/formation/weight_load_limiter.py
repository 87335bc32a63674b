"""Limits on loading weights from the weight store."""

from __future__ import annotations

from ..clock import loop_time

RATE_FRACTION = 0.8
"""Fraction of the weight store's rate that is used; the rest is left for loads that the
next leader may already have started."""


class WeightLoadLimiter:
    """Limits the start rate and the number of concurrent weight loads."""

    def __init__(self) -> None:
        self._deadline_by_host: dict[str, float] = {}
        self._last_start_at = -1.0

    def try_start(
        self, host: str, *, timeout_s: float, loads_per_s: float, max_concurrent: int
    ) -> bool:
        """Start a load if the limits allow it.

        :param host: the host that loads
        :param timeout_s: time after which the load no longer counts
        :param loads_per_s: starts per second that the weight store bears; 0: no limit
        :param max_concurrent: loads at once that do not slow each other down
        """
        now = loop_time()
        self._drop_expired(now)
        if len(self._deadline_by_host) >= max_concurrent:
            return False
        if loads_per_s and now - self._last_start_at < 1 / (
            loads_per_s * RATE_FRACTION
        ):
            return False
        self._last_start_at = now
        self._deadline_by_host[host] = now + timeout_s
        return True

    def finish(self, host: str) -> None:
        """Stop counting the load of a host that has its weights or is gone."""
        self._deadline_by_host.pop(host, None)

    def _drop_expired(self, now: float) -> None:
        for host, deadline in list(self._deadline_by_host.items()):
            if deadline <= now:
                del self._deadline_by_host[host]
