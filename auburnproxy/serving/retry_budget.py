"""Retry budgets: how many retries a plan may spend on a target."""

from __future__ import annotations

RETRIES_PER_CALL = 0.1
"""Retries that each call adds to the budget."""
MAX_BALANCE = 100.0
"""Upper bound of the balance, in retries."""
INITIAL_BALANCE = 10.0
"""Balance before the first call, in retries."""


class RetryBudget:
    """Limits retries to a fraction of calls, so that failures don't multiply load."""

    def __init__(self) -> None:
        self._balance = INITIAL_BALANCE

    def deposit(self) -> None:
        """Credit the budget for a call."""
        self._balance = min(self._balance + RETRIES_PER_CALL, MAX_BALANCE)

    @property
    def available(self) -> bool:
        """Return whether a retry can be withdrawn."""
        return self._balance >= 1.0

    def try_withdraw(self) -> bool:
        """Withdraw one retry; return False if none is left."""
        if not self.available:
            return False
        self._balance -= 1.0
        return True


class RetryBudgets:
    """Retry budgets by plan and target."""

    def __init__(self) -> None:
        self._budget_by_key: dict[tuple[str, str], RetryBudget] = {}

    def budget(self, plan: str, target: str) -> RetryBudget:
        """Return the budget of a plan's calls to a target, created on first use."""
        return self._budget_by_key.setdefault((plan, target), RetryBudget())
