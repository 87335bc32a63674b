"""The times between the chunks of one answer, counted cheaply."""

from __future__ import annotations

from ..telemetry.telemetry import Record

STEPS_PER_S = 2000
"""Resolution at which times are counted until the answer has ended."""


class Gaps:
    """Counts times in steps, since a histogram costs more than passing a chunk on."""

    def __init__(self) -> None:
        self._last_at: float | None = None
        self._count_by_step: dict[int, int] = {}

    def chunk(self, now: float) -> None:
        """Count the time since the chunk before.

        :param now: the loop's time in seconds
        """
        if self._last_at is not None:
            step = int((now - self._last_at) * STEPS_PER_S)
            self._count_by_step[step] = self._count_by_step.get(step, 0) + 1
        self._last_at = now

    def flush(self, record: Record) -> None:
        """Record everything that was counted.

        :param record: records a number of equal times in seconds
        """
        for step, count in self._count_by_step.items():
            record((step + 0.5) / STEPS_PER_S, count)
        self._count_by_step.clear()
