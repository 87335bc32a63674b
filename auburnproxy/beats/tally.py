"""What other daemons' beats tell of upstreams, summed up as beats come and go.

A beat costs what it carries, and a question costs the same however many daemons
and upstreams there are.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Set

from .beat import Beat

MS_PER_S = 1000
HEARD_KEPT_S = 30.0
"""Seconds for which it is known when an upstream was last heard; no silence that is
asked for is longer."""


class Tally:
    """Sums over the newest beat of each daemon that is counted."""

    def __init__(self) -> None:
        self._beat_by_name: dict[str, Beat] = {}
        self._in_flight: Counter[str] = Counter()
        self._waiting: Counter[str] = Counter()
        self._suspects: Counter[str] = Counter()
        self._lost: Counter[str] = Counter()
        self._heard_at_by_host: dict[str, float] = {}

    @property
    def suspects(self) -> Set[str]:
        """Return the upstreams that a counted daemon leaves out."""
        return self._suspects.keys()

    @property
    def lost(self) -> Set[str]:
        """Return the heads of replicas that a counted daemon is ending."""
        return self._lost.keys()

    def work(self, host: str) -> tuple[int, int]:
        """Return the counted daemons' requests at an upstream, and those that wait."""
        return self._in_flight[host], self._waiting[host]

    def heard_at(self, host: str) -> float:
        """Return the loop's time at which a daemon last heard an upstream.

        :return: negative if none did of late
        """
        return self._heard_at_by_host.get(host, -1.0)

    def put(self, beat: Beat, *, at: float) -> None:
        """Count a daemon's newest beat in place of the one before.

        :param at: the loop's time in seconds at which it came
        """
        self.drop(beat.name)
        self._beat_by_name[beat.name] = beat
        self._add(beat, 1)
        for host, work in beat.work_by_host.items():
            heard_at = at - work.silent_ms / MS_PER_S
            if heard_at > self._heard_at_by_host.get(host, -1.0):
                self._heard_at_by_host[host] = heard_at

    def drop(self, name: str) -> None:
        """Count a daemon no more."""
        beat = self._beat_by_name.pop(name, None)
        if beat is not None:
            self._add(beat, -1)

    def forget(self, now: float) -> None:
        """Drop what is known of upstreams that nobody has heard for long.

        :param now: the loop's time in seconds
        """
        self._heard_at_by_host = {
            host: at
            for host, at in self._heard_at_by_host.items()
            if now - at < HEARD_KEPT_S
        }

    def _add(self, beat: Beat, sign: int) -> None:
        for host, work in beat.work_by_host.items():
            _count(self._in_flight, host, sign * work.in_flight)
            _count(self._waiting, host, sign * work.waiting)
        for host in beat.suspects:
            _count(self._suspects, host, sign)
        for host in beat.lost:
            _count(self._lost, host, sign)


def _count(counter: Counter[str], key: str, change: int) -> None:
    """Change a count; keys that count nothing are not kept."""
    count = counter[key] + change
    if count:
        counter[key] = count
    else:
        counter.pop(key, None)
