"""Histogram of the intervals between the chunks of one answer."""

from __future__ import annotations

from ..telemetry.telemetry import DurationRecorder

BUCKETS_PER_S = 2000
"""Resolution at which intervals are counted until the answer has ended."""


class ChunkIntervals:
    """Counts intervals in fixed-width buckets until they are flushed.

    Recording each chunk in the telemetry histogram would cost more than relaying it.
    """

    def __init__(self) -> None:
        self._last_at: float | None = None
        self._count_by_bucket: dict[int, int] = {}

    def add_chunk(self, now: float) -> None:
        """Count the time since the previous chunk.

        :param now: time of the event loop in seconds
        """
        if self._last_at is not None:
            bucket = int((now - self._last_at) * BUCKETS_PER_S)
            self._count_by_bucket[bucket] = self._count_by_bucket.get(bucket, 0) + 1
        self._last_at = now

    def flush(self, record: DurationRecorder) -> None:
        """Record all counted intervals and reset the counts.

        :param record: records an interval in seconds a number of times
        """
        for bucket, count in self._count_by_bucket.items():
            record((bucket + 0.5) / BUCKETS_PER_S, count)
        self._count_by_bucket.clear()
