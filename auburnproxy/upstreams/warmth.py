"""The slow start of an upstream: how much load it has shown that it bears."""

from __future__ import annotations

from .observation import Observation, Result

STEP_S = 5.0
"""Least seconds of evidence before the limit is doubled."""
STEP_EVIDENCE = 4
"""Answers and reports under load that a doubling needs."""
LOADED = 0.5
"""Part of the limit from which an upstream counts as under load."""
JUMP_FACTOR = 4.0
"""Times the usual time to first token that count as a jump."""
JUMP_FLOOR_S = 1.0
"""Times to first token below this many seconds never count as a jump."""
JUMPS = 2
"""Jumps in a row that show an upstream to be cold again."""
BASELINE_SAMPLES = 5
"""Answers that a usual time to first token rests on at least."""
SMOOTHING = 0.2
"""Weight of the newest sample in the usual time to first token."""


class Warmth:
    """The limit of one upstream, doubled by evidence and put back by trouble.

    :param cold_slots: calls that a freshly started upstream bears at once
    :param slots: calls that a warm upstream bears at once
    """

    def __init__(self, cold_slots: int, slots: int) -> None:
        self.cold_slots = cold_slots
        self.slots = slots
        self.incarnation = ""
        self._part: object = None
        self.usual_first_token_s = 0.0
        self._samples = 0
        self._steps = 0
        self._evidence = 0
        self._jumps = 0
        self._loaded = False
        self._evidence_since = 0.0

    @property
    def limit(self) -> int:
        """Return how many calls the upstream bears at once, from all daemons."""
        return min(self.slots, self.cold_slots << self._steps)

    @property
    def warm(self) -> bool:
        """Return whether the limit has risen to the warm one."""
        return self.limit == self.slots

    def see_start(self, incarnation: str, part: object, *, ready: bool) -> None:
        """Go back to cold if the upstream has started, or is formed anew.

        :param incarnation: the upstream's incarnation, from its report
        :param part: what it plays in a replica, None for nothing
        :param ready: whether it takes calls
        """
        if not ready:
            self._reset()
        if (incarnation, part) == (self.incarnation, self._part):
            return
        self.incarnation, self._part = incarnation, part
        self._samples = 0
        self._reset()

    def see_load(self, in_flight: int, queued: int, now: float) -> None:
        """Take a report of load; a limit that is hardly used shows nothing."""
        self._loaded = in_flight >= LOADED * self.limit and not queued
        if self._loaded:
            self._add_evidence(now)

    def see_call(self, observation: Observation, now: float) -> None:
        """Take what a call showed; what was meant for another start is ignored."""
        if observation.incarnation not in ("", self.incarnation):
            return
        if observation.result is Result.COMPLETED:
            self._see_answer(observation.first_token_s, now)
        elif observation.result is not Result.FAILED:
            self._reset()

    def _see_answer(self, first_token_s: float | None, now: float) -> None:
        if first_token_s is None:
            self._add_answer(now)
            return
        if self._is_jump(first_token_s):
            self._jumps += 1
            if self._jumps >= JUMPS:
                self._reset()
            return
        self._jumps = 0
        self._samples += 1
        weight = max(SMOOTHING, 1 / self._samples)
        self.usual_first_token_s += weight * (first_token_s - self.usual_first_token_s)
        self._add_answer(now)

    def _is_jump(self, first_token_s: float) -> bool:
        if self._samples < BASELINE_SAMPLES or first_token_s < JUMP_FLOOR_S:
            return False
        return first_token_s > JUMP_FACTOR * self.usual_first_token_s

    def _add_answer(self, now: float) -> None:
        if self._loaded:
            self._add_evidence(now)

    def _add_evidence(self, now: float) -> None:
        if self.warm:
            return
        if not self._evidence:
            self._evidence_since = now
        self._evidence += 1
        if self._evidence >= STEP_EVIDENCE and now - self._evidence_since >= STEP_S:
            self._steps += 1
            self._evidence = 0

    def _reset(self) -> None:
        self._steps = 0
        self._evidence = 0
        self._jumps = 0
