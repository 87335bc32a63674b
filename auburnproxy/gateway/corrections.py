"""Corrections of predicted times by what this daemon observes of each upstream."""

from __future__ import annotations

from collections.abc import Hashable
from typing import NamedTuple

from ..clock import loop_time

SMOOTHING = 0.2
"""Weight of the newest observation."""
MIN_RATIO, MAX_RATIO = 0.5, 8.0
"""Bounds of an observed ratio; a single late event must not rule an upstream out for
longer than its effect on callers lasts."""
RECOVERY_S = 10.0
"""Seconds in which a correction that is not confirmed fades: an upstream that is
avoided gets no requests that could show that it has recovered."""
TYPICAL_STEP = 0.05
"""Largest change of a typical value by one observation, as a fraction of its scale."""
LEARNING = 8
"""Observations from which typical values are known well enough to compare an upstream
with them; until then they change faster."""
OFFSET_SCALE_S = 0.2
MAX_OFFSET_S = 1.0
"""Bound of the time to the first event that the published times don't explain."""
MAX_UPSTREAMS = 4096
MAX_MODELS = 256


class Typical:
    """What is usual at the upstreams of one model."""

    __slots__ = ("first_events", "intervals", "offset_s", "ratio")

    def __init__(self) -> None:
        self.offset_s = 0.0
        """Median of what predictions lack of the time to the first event."""
        self.first_events = 0
        self.intervals = 0
        self.ratio = 1.0
        """Median ratio of observed to predicted intervals between events."""


class _Correction(NamedTuple):
    ratio: float
    observed_at: float


class Corrections:
    """Smoothed ratios of observed to expected times, in tables of bounded size."""

    def __init__(self) -> None:
        self._by_host: dict[str, _Correction] = {}
        self._typical: dict[Hashable, Typical] = {}

    def typical(self, model: Hashable) -> Typical:
        """Return what is usual at the upstreams of a model."""
        found = self._typical.get(model)
        if found is None:
            if len(self._typical) >= MAX_MODELS:
                del self._typical[next(iter(self._typical))]
            found = self._typical[model] = Typical()
        return found

    def factor(self, host: str) -> float:
        """Return the factor by which an upstream is slower than usual."""
        known = self._by_host.get(host)
        if known is None:
            return 1.0
        left = 1.0 - (loop_time() - known.observed_at) / RECOVERY_S
        return 1.0 + (known.ratio - 1.0) * left if left > 0 else 1.0

    def slowest(self) -> float:
        """Return the largest factor of any upstream, 1 if none is known."""
        return max(map(self.factor, self._by_host), default=1.0)

    def record_first_event(
        self, host: str, model: Hashable, *, predicted_s: float, took_s: float
    ) -> None:
        """Record the time to the first event of a request.

        :param predicted_s: what the published times explain of it
        :param took_s: the time that it took
        """
        typical = self.typical(model)
        if typical.first_events >= LEARNING:
            self._record(host, took_s / (predicted_s + typical.offset_s))
        step_s = OFFSET_SCALE_S * _step(typical.first_events)
        typical.first_events += 1
        change_s = took_s - predicted_s - typical.offset_s
        offset_s = typical.offset_s + min(max(change_s, -step_s), step_s)
        typical.offset_s = min(max(offset_s, 0.0), MAX_OFFSET_S)

    def record_interval(
        self, host: str, model: Hashable, *, predicted_s: float, took_s: float
    ) -> None:
        """Record the mean interval between the events of a stream.

        :param predicted_s: the interval by the published times
        :param took_s: the interval that was seen
        """
        typical = self.typical(model)
        ratio = took_s / predicted_s
        if typical.intervals >= LEARNING:
            self._record(host, ratio / typical.ratio)
        step = _step(typical.intervals)
        typical.intervals += 1
        change = min(max(ratio - typical.ratio, -step), step)
        typical.ratio = min(max(typical.ratio + change, MIN_RATIO), MAX_RATIO)

    def _record(self, host: str, ratio: float) -> None:
        ratio = min(max(ratio, MIN_RATIO), MAX_RATIO)
        smoothed = self.factor(host)
        smoothed += SMOOTHING * (ratio - smoothed)
        self._by_host.pop(host, None)
        self._by_host[host] = _Correction(smoothed, loop_time())
        if len(self._by_host) > MAX_UPSTREAMS:
            del self._by_host[next(iter(self._by_host))]


def _step(observations: int) -> float:
    """Return the largest change of a typical value by the next observation."""
    return TYPICAL_STEP * max(LEARNING - observations, 1)
