"""Ejection of upstreams that are much slower than their peers."""

from __future__ import annotations

from collections.abc import Mapping
from statistics import median

SLOW_FACTOR = 3.0
"""Multiple of the peers' median latency above which an upstream counts as slow."""
SLOW_FLOOR_S = 0.5
"""Latency in seconds up to which an upstream never counts as slow."""
MIN_SAMPLES = 5
"""Minimum number of samples before an upstream is compared with its peers."""
MAX_EJECTED_FRACTION = 0.2
"""Maximum fraction of a group of peers that is ejected at the same time."""
EJECTION_S = 30.0
"""Seconds until an ejected upstream is readmitted."""
SMOOTHING = 0.3
"""Weight of the newest sample in the moving average."""


class _SmoothedLatency:
    def __init__(self) -> None:
        self.seconds = 0.0
        self.samples = 0

    def add(self, seconds: float) -> None:
        self.samples += 1
        weight = max(SMOOTHING, 1 / self.samples)
        self.seconds += weight * (seconds - self.seconds)


class StragglerEjection:
    """Temporarily ejects the slowest upstreams of each group of peers."""

    def __init__(self) -> None:
        self._latency_by_host: dict[str, _SmoothedLatency] = {}
        self._ejected_until_by_host: dict[str, float] = {}

    def add(self, host: str, seconds: float) -> None:
        """Record the time to first token of one response.

        :param host: the upstream's host
        :param seconds: time to first token in seconds
        """
        self._latency_by_host.setdefault(host, _SmoothedLatency()).add(seconds)

    def forget(self, host: str) -> None:
        """Discard the state of an upstream that is gone or readmitted."""
        self._latency_by_host.pop(host, None)
        self._ejected_until_by_host.pop(host, None)

    def ejected(self, group_by_host: Mapping[str, str], now: float) -> frozenset[str]:
        """Return the upstreams that are ejected from routing.

        :param group_by_host: group of peers, such as the model, of each upstream
        :param now: event loop time in seconds
        """
        self._readmit(now)
        for group in set(group_by_host.values()):
            self._eject([h for h, g in group_by_host.items() if g == group], now)
        return frozenset(self._ejected_until_by_host.keys() & group_by_host.keys())

    def _readmit(self, now: float) -> None:
        for host, until in list(self._ejected_until_by_host.items()):
            if until <= now:
                self.forget(host)

    def _eject(self, peers: list[str], now: float) -> None:
        latency_by_host = {
            host: latency.seconds
            for host in peers
            if (latency := self._latency_by_host.get(host))
            and latency.samples >= MIN_SAMPLES
        }
        if not latency_by_host:
            return
        threshold_s = max(SLOW_FLOOR_S, SLOW_FACTOR * median(latency_by_host.values()))
        ejected = sum(host in self._ejected_until_by_host for host in peers)
        available = int(MAX_EJECTED_FRACTION * len(peers)) - ejected
        slow = [h for h, seconds in latency_by_host.items() if seconds > threshold_s]
        slow = [host for host in slow if host not in self._ejected_until_by_host]
        slow.sort(key=lambda host: -latency_by_host[host])
        for host in slow[: max(0, available)]:
            self._ejected_until_by_host[host] = now + EJECTION_S
