"""Calls of gone daemons that still run at an upstream."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable, Mapping

from .share import UPSTREAM_PREFIX
from .slot_limiter import SlotLimiter, SlotLimiters

SAMPLE_INTERVAL_S = 0.5
SAMPLES_PER_ESTIMATE = 3
"""The largest of these samples counts, because reports and heartbeats lag."""


class OrphanedCalls:
    """Withholds inherited slots until the calls of their previous holder have ended.

    After a member is lost, a limiter keeps to its previous share. The calls that an
    upstream reports beyond those of live daemons are the orphaned ones.

    :param limiters: this daemon's limiters, before one for an upstream is created
    :param busy: returns the slots of a key that live peers use, by member id
    :param reported: returns the calls that a host reports, None if unknown
    """

    def __init__(
        self,
        limiters: SlotLimiters,
        busy: Callable[[str], Mapping[str, int]],
        reported: Callable[[str], int | None],
    ) -> None:
        limiters.withholds_inherited = True
        self._limiters = limiters
        self._busy_slots = busy
        self._reported_calls = reported
        self._samples_by_key: dict[str, deque[int]] = {}

    async def run(self) -> None:
        """Update the estimates every ``SAMPLE_INTERVAL_S``, until cancelled."""
        while True:
            self.update()
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    def update(self) -> None:
        """Release the inherited slots that no call of a gone member uses."""
        for key, limiter in self._limiters.limiters_by_key.items():
            if limiter.orphaned:
                self._update_estimate(limiter)
            else:
                self._samples_by_key.pop(key, None)

    def _update_estimate(self, limiter: SlotLimiter) -> None:
        reported = self._reported_calls(limiter.key.removeprefix(UPSTREAM_PREFIX))
        if reported is None:
            return
        samples = self._samples_by_key.setdefault(
            limiter.key, deque(maxlen=SAMPLES_PER_ESTIMATE)
        )
        accounted = limiter.in_flight + sum(self._busy_slots(limiter.key).values())
        samples.append(max(reported - accounted, 0))
        if len(samples) == SAMPLES_PER_ESTIMATE:
            limiter.orphaned = max(samples)
