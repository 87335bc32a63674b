"""Demand for each model: the requests that all daemons have in flight, over time."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Mapping

from ..clock import loop_time

SAMPLE_INTERVAL_S = 0.5
MIN_SPAN_S = 2.0
"""Shortest time over which demand is judged; a stream takes one to two seconds."""
START_S = 8.0
"""Time from the first request within which that short time is enough. Weights have
just been loaded for an assumed demand, and the first observations replace it."""
RAMP_S = 2.0
"""Time from the first request until streams end as fast as they begin."""


class DemandWindow:
    """Requests in flight by model over the time that a load of weights takes.

    What lasts for less is over before a load would help, so a model's sustained demand
    is the lowest one of the window. What a model may need again is its peak.

    :param clock: returns the time in seconds
    """

    def __init__(self, *, clock: Callable[[], float] = loop_time) -> None:
        self._clock = clock
        self._samples: deque[tuple[float, Mapping[str, float]]] = deque()
        self._first_request_at: float | None = None
        self._seen_start = False

    @property
    def span_s(self) -> float:
        """Return the time that the window covers, in seconds."""
        return self._samples[-1][0] - self._samples[0][0] if self._samples else 0.0

    @property
    def due(self) -> bool:
        """Return whether it is time for another sample."""
        last = self._samples[-1][0] if self._samples else None
        return last is None or self._clock() - last >= SAMPLE_INTERVAL_S

    def note_starting(self) -> None:
        """Record that the system has not served a request yet."""
        self._seen_start = True

    def sample(self, in_flight_by_model: Mapping[str, float], window_s: float) -> None:
        """Add the current requests in flight.

        :param in_flight_by_model: of all models, with those that have none
        :param window_s: length of the window in seconds
        """
        now = self._clock()
        if self._first_request_at is None:
            if not any(in_flight_by_model.values()):
                return
            self._first_request_at = now
        if now - self._first_request_at < RAMP_S:
            return
        self._samples.append((now, in_flight_by_model))
        while now - self._samples[0][0] > window_s + SAMPLE_INTERVAL_S:
            self._samples.popleft()

    def ready(self, window_s: float) -> bool:
        """Return whether demand has been observed for long enough.

        :param window_s: time that a load of weights takes
        """
        if self._seen_start and self._first_request_at is not None:
            age_s = self._clock() - self._first_request_at
            if age_s <= START_S:
                return self.span_s >= MIN_SPAN_S
        return self.span_s >= window_s

    def sustained(self, model: str) -> float:
        """Return the requests that a model had in flight all the time."""
        return min((s.get(model, 0.0) for _, s in self._samples), default=0.0)

    def peak(self, model: str) -> float:
        """Return the most requests that a model had in flight."""
        return max((s.get(model, 0.0) for _, s in self._samples), default=0.0)
