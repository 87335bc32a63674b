"""How many retries a plan may spend on a target."""

from __future__ import annotations

RETRY_SHARE = 0.1
"""Retries allowed for each call."""
MOST_SAVED = 100.0
"""Greatest number of retries that calls save up."""
FIRST_RETRIES = 10.0
"""Retries that a plan may spend before it has made calls."""


class Budget:
    """Retries as a share of calls, so that failures do not multiply load."""

    def __init__(self) -> None:
        self._saved = FIRST_RETRIES

    def earn(self) -> None:
        """Count a call."""
        self._saved = min(self._saved + RETRY_SHARE, MOST_SAVED)

    def spend(self) -> bool:
        """Take a retry if one is left."""
        if self._saved < 1.0:
            return False
        self._saved -= 1.0
        return True


class Budgets:
    """One budget for each plan and target."""

    def __init__(self) -> None:
        self._budget_by_key: dict[tuple[str, str], Budget] = {}

    def budget(self, plan: str, target: str) -> Budget:
        """Return the budget of a plan's calls to a target, the same every time."""
        return self._budget_by_key.setdefault((plan, target), Budget())
