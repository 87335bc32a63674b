"""Upstreams that are much slower than their peers."""

from __future__ import annotations

from collections.abc import Mapping
from statistics import median

SLOW_FACTOR = 3.0
"""Times the median of its peers from which an upstream counts as slow."""
SLOW_FLOOR_S = 0.5
"""An upstream that answers within this many seconds is never slow."""
LEAST_SAMPLES = 5
"""Samples that a verdict on an upstream rests on at least."""
MOST_EJECTED = 0.2
"""Greatest fraction of a group of peers that is ejected at once."""
EJECTED_S = 30.0
"""Seconds until an ejected upstream is tried again."""
SMOOTHING = 0.3
"""Weight of the newest sample."""


class _Pace:
    def __init__(self) -> None:
        self.seconds = 0.0
        self.samples = 0

    def add(self, seconds: float) -> None:
        self.samples += 1
        weight = max(SMOOTHING, 1 / self.samples)
        self.seconds += weight * (seconds - self.seconds)


class Stragglers:
    """Ejects the slowest upstreams of each group of peers for a while."""

    def __init__(self) -> None:
        self._pace_by_host: dict[str, _Pace] = {}
        self._until_by_host: dict[str, float] = {}

    def add(self, host: str, seconds: float) -> None:
        """Take the time to first token of one answer.

        :param host: the upstream's host
        :param seconds: time to first token
        """
        self._pace_by_host.setdefault(host, _Pace()).add(seconds)

    def forget(self, host: str) -> None:
        """Drop what is known of an upstream that has gone or started anew."""
        self._pace_by_host.pop(host, None)
        self._until_by_host.pop(host, None)

    def ejected(self, group_by_host: Mapping[str, str], now: float) -> frozenset[str]:
        """Return the upstreams that are to get no work for now.

        :param group_by_host: group of peers, such as the model, of each upstream
        :param now: the loop's time in seconds
        """
        self._readmit(now)
        for group in set(group_by_host.values()):
            self._eject([h for h, g in group_by_host.items() if g == group], now)
        return frozenset(self._until_by_host.keys() & group_by_host.keys())

    def _readmit(self, now: float) -> None:
        for host, until in list(self._until_by_host.items()):
            if until <= now:
                self.forget(host)

    def _eject(self, peers: list[str], now: float) -> None:
        pace_by_host = {
            host: pace.seconds
            for host in peers
            if (pace := self._pace_by_host.get(host)) and pace.samples >= LEAST_SAMPLES
        }
        if not pace_by_host:
            return
        bound = max(SLOW_FLOOR_S, SLOW_FACTOR * median(pace_by_host.values()))
        already = sum(host in self._until_by_host for host in peers)
        room = int(MOST_EJECTED * len(peers)) - already
        slow = [h for h, seconds in pace_by_host.items() if seconds > bound]
        slow = [host for host in slow if host not in self._until_by_host]
        slow.sort(key=lambda host: -pace_by_host[host])
        for host in slow[: max(0, room)]:
            self._until_by_host[host] = now + EJECTED_S
