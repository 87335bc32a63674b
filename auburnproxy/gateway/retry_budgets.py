"""Retry budgets of all services."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from functools import partial

from .retry_budget import RetryAllowance, RetryBudget, RetryLimit


class RetryBudgets:
    """Holds one retry budget for each service that gets requests.

    :param allowance: budget of each service, over all daemons together
    :param daemons: returns how many daemons share it, 0 while unknown
    :param full_slack_at: the loop's time from which the full slack may be used
    :param on_retry: called for each retry with the service, the code of the failure
        before it and whether it was allowed
    """

    def __init__(
        self,
        allowance: RetryAllowance,
        daemons: Callable[[], int],
        *,
        full_slack_at: float,
        on_retry: Callable[[str, str, bool], None],
    ) -> None:
        self._allowance = allowance
        self.daemons = daemons
        """Returns how many daemons share each budget."""
        self._full_slack_at = full_slack_at
        self._on_retry = on_retry
        self._by_service: dict[str, RetryBudget] = {}

    def budget(self, service: str) -> RetryBudget:
        """Return the budget of a service.

        :param service: name of the service
        """
        found = self._by_service.get(service)
        if found is None:
            found = RetryBudget(
                self._allowance,
                lambda: self.daemons(),
                full_slack_at=self._full_slack_at,
                on_retry=partial(self._on_retry, service),
            )
            self._by_service[service] = found
        return found

    def remaining(self) -> Iterator[tuple[str, int]]:
        """Yield each service with the number of retries that are allowed now."""
        for service, budget in self._by_service.items():
            yield service, budget.remaining


class CurrentRetryLimit(RetryLimit):
    """The retry budget of the service that would get the next try of a request.

    :param budgets: the budgets of all services
    :param service: returns the service, which a new configuration may change
    """

    def __init__(self, budgets: RetryBudgets, service: Callable[[], str]) -> None:
        self._budgets = budgets
        self._service = service

    @property
    def remaining(self) -> int:
        """Return the number of retries that are allowed now."""
        return self._budgets.budget(self._service()).remaining

    def spend(self, reason: str) -> bool:
        """Use one retry and return whether one was left."""
        return self._budgets.budget(self._service()).spend(reason)
