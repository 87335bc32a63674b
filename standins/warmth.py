"""Cold starts: a fresh upstream bears little until it has served for a while."""

from __future__ import annotations

import asyncio


class Warmth:
    """How much an upstream bears now.

    :param slots: calls that it bears when warm
    :param cold_slots: calls that it bears when cold
    :param warm_calls: served calls after which it is warm
    :param warm_s: seconds after its first call in which it warms by itself
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
        """Return what the upstream bears and has served, for the log."""
        return f"bears {self.cold_slots}, has served {self._served}"

    @property
    def is_cold(self) -> bool:
        """Tell whether the upstream bears only its cold slots."""
        if self._first_call_at is None:
            return True
        age_s = asyncio.get_running_loop().time() - self._first_call_at
        return self._served < self._warm_calls and age_s < self._warm_s

    def chill(self) -> None:
        """Turn cold."""
        self._served = 0
        self._first_call_at = None

    def served(self) -> None:
        """Count a served call."""
        self._served += 1

    def collapses(self, calls: int) -> bool:
        """Tell whether a cold upstream falls over under some calls at once.

        :param calls: calls at once, with the newest
        """
        if self._first_call_at is None:
            self._first_call_at = asyncio.get_running_loop().time()
        return self.is_cold and calls > self.cold_slots
