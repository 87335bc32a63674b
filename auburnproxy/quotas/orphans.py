"""Work of daemons that are gone, as long as it still runs at an upstream."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable, Mapping

from .gate import Gate, Gates
from .share import UPSTREAM_PREFIX

TICK_S = 0.5
READINGS = 3
"""Readings of which the largest counts, since reports and beats lag."""


class Orphans:
    """Holds back inherited slots until the calls of their last holder have ended.

    After a loss a gate keeps to its share from before. What an upstream reports
    beyond the calls of live daemons is the work that is left.

    :param gates: this daemon's gates; made before any gate of an upstream
    :param busy: returns the slots that live peers use of a key, by member id
    :param reported: returns the calls that a host reports to run, None if unknown
    """

    def __init__(
        self,
        gates: Gates,
        busy: Callable[[str], Mapping[str, int]],
        reported: Callable[[str], int | None],
    ) -> None:
        gates.holds_growth = True
        self._gates = gates
        self._busy = busy
        self._reported = reported
        self._readings_by_key: dict[str, deque[int]] = {}

    async def run(self) -> None:
        """Count twice a second; until cancelled."""
        while True:
            self.count()
            await asyncio.sleep(TICK_S)

    def count(self) -> None:
        """Give back the inherited slots that no work of a gone member uses."""
        for key, gate in self._gates.gates_by_key.items():
            if gate.foreign:
                self._count(gate)
            else:
                self._readings_by_key.pop(key, None)

    def _count(self, gate: Gate) -> None:
        reported = self._reported(gate.key.removeprefix(UPSTREAM_PREFIX))
        if reported is None:
            return
        readings = self._readings_by_key.setdefault(gate.key, deque(maxlen=READINGS))
        known = gate.in_flight + sum(self._busy(gate.key).values())
        readings.append(max(reported - known, 0))
        if len(readings) == READINGS:
            gate.foreign = max(readings)
