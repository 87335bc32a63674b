"""Cold starts: a new upstream has reduced capacity until it has warmed up."""

from __future__ import annotations

import asyncio


class Warmth:
    """Warm-up state of an upstream and its capacity.

    :param slots: concurrent calls that it can run when warm
    :param cold_slots: concurrent calls that it can run when cold
    :param warm_calls: served calls after which it is warm
    :param warm_s: seconds after the first call when it is warm regardless of calls
    """

    def __init__(
        self, *, slots: int, cold_slots: int, warm_calls: int, warm_s: float
    ) -> None:
        self.slots = slots
        self.cold_slots = cold_slots
        self._warm_calls = warm_calls
        self._warm_s = warm_s
        self._served = 0
        self._first_call_at: float | None = None

    def __str__(self) -> str:
        """Return the cold slots and the number of served calls, for the log."""
        return f"{self.cold_slots} cold slots, {self._served} calls served"

    @property
    def is_cold(self) -> bool:
        """Tell whether the upstream is limited to its cold slots."""
        if self._first_call_at is None:
            return True
        age_s = asyncio.get_running_loop().time() - self._first_call_at
        return self._served < self._warm_calls and age_s < self._warm_s

    def mark_cold(self) -> None:
        """Return to the cold state."""
        self._served = 0
        self._first_call_at = None

    def record_served_call(self) -> None:
        """Count a served call."""
        self._served += 1

    def overloaded_by(self, calls: int) -> bool:
        """Tell whether a number of concurrent calls crashes the upstream while cold.

        :param calls: concurrent calls, including the newest
        """
        if self._first_call_at is None:
            self._first_call_at = asyncio.get_running_loop().time()
        return self.is_cold and calls > self.cold_slots
