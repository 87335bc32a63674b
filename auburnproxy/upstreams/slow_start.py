"""Slow start of upstreams: a concurrency limit that grows under proven load."""

from __future__ import annotations

from .observation import Observation, Result

MIN_LOAD_S = 5.0
"""Minimum seconds of samples under load before the limit is doubled."""
MIN_LOAD_SAMPLES = 4
"""Number of responses and reports under load before the limit is doubled."""
LOADED_FRACTION = 0.5
"""Fraction of the limit at which an upstream counts as under load."""
SPIKE_FACTOR = 4.0
"""Multiple of the baseline above which a time to first token is a spike."""
SPIKE_FLOOR_S = 1.0
"""Seconds below which a time to first token is never a spike."""
SPIKES_UNTIL_COLD = 2
"""Consecutive spikes after which an upstream counts as cold again."""
MIN_BASELINE_SAMPLES = 5
"""Minimum number of responses before the baseline is used."""
SMOOTHING = 0.2
"""Weight of the newest sample in the baseline time to first token."""


class SlowStart:
    """Concurrency limit of one upstream, doubled under load and reset on failure.

    :param cold_slots: concurrency limit of a freshly started upstream
    :param slots: concurrency limit of a warm upstream
    """

    def __init__(self, cold_slots: int, slots: int) -> None:
        self.cold_slots = cold_slots
        self.slots = slots
        self.incarnation = ""
        self._assignment: object = None
        self.baseline_first_token_s = 0.0
        self._baseline_samples = 0
        self._doublings = 0
        self._load_samples = 0
        self._consecutive_spikes = 0
        self._loaded = False
        self._load_samples_since = 0.0

    @property
    def limit(self) -> int:
        """Return the upstream's concurrency limit, counting calls of all daemons."""
        return min(self.slots, self.cold_slots << self._doublings)

    @property
    def warm(self) -> bool:
        """Return whether the limit has reached that of a warm upstream."""
        return self.limit == self.slots

    def record_start(
        self, incarnation: str, assignment: object, *, ready: bool
    ) -> None:
        """Reset the limit if the upstream restarted, was reassigned or isn't ready.

        :param incarnation: the upstream's incarnation, from its report
        :param assignment: its place in a replica, None if it has none
        :param ready: whether it accepts calls
        """
        if not ready:
            self._reset()
        if (incarnation, assignment) == (self.incarnation, self._assignment):
            return
        self.incarnation, self._assignment = incarnation, assignment
        self._baseline_samples = 0
        self._reset()

    def record_load(self, in_flight: int, queued: int, now: float) -> None:
        """Record a reported load; one far below the limit is no reason to raise it."""
        self._loaded = in_flight >= LOADED_FRACTION * self.limit and not queued
        if self._loaded:
            self._add_load_sample(now)

    def record_call(self, observation: Observation, now: float) -> None:
        """Record a call's outcome; calls to another incarnation are ignored."""
        if observation.incarnation not in ("", self.incarnation):
            return
        if observation.result is Result.COMPLETED:
            self._record_response(observation.first_token_s, now)
        elif observation.result is not Result.FAILED:
            self._reset()

    def _record_response(self, first_token_s: float | None, now: float) -> None:
        if first_token_s is None:
            self._record_response_load(now)
            return
        if self._is_spike(first_token_s):
            self._consecutive_spikes += 1
            if self._consecutive_spikes >= SPIKES_UNTIL_COLD:
                self._reset()
            return
        self._consecutive_spikes = 0
        self._baseline_samples += 1
        weight = max(SMOOTHING, 1 / self._baseline_samples)
        self.baseline_first_token_s += weight * (
            first_token_s - self.baseline_first_token_s
        )
        self._record_response_load(now)

    def _is_spike(self, first_token_s: float) -> bool:
        if (
            self._baseline_samples < MIN_BASELINE_SAMPLES
            or first_token_s < SPIKE_FLOOR_S
        ):
            return False
        return first_token_s > SPIKE_FACTOR * self.baseline_first_token_s

    def _record_response_load(self, now: float) -> None:
        if self._loaded:
            self._add_load_sample(now)

    def _add_load_sample(self, now: float) -> None:
        if self.warm:
            return
        if not self._load_samples:
            self._load_samples_since = now
        self._load_samples += 1
        if (
            self._load_samples >= MIN_LOAD_SAMPLES
            and now - self._load_samples_since >= MIN_LOAD_S
        ):
            self._doublings += 1
            self._load_samples = 0

    def _reset(self) -> None:
        self._doublings = 0
        self._load_samples = 0
        self._consecutive_spikes = 0
