"""Retry budget: limits how many requests are sent to a second upstream.

Without it retries multiply load during failures. The budget holds for all daemons
together: each has its share of the fixed slack, and earns the rest by its own requests.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections import deque
from collections.abc import Callable
from typing import NamedTuple

from ..clock import loop_time

WINDOW_MARGIN = 0.8
"""Fraction of the budget that is used, since the windows of daemons and callers are not
aligned."""
RESTART_SLACK_FRACTION = 0.25
"""Fraction of its slack that a restarted daemon uses in the first window. With the
retries that it may have made just before the restart, the total is
:data:`WINDOW_MARGIN` times 1.25."""


class RetryAllowance(NamedTuple):
    """Retry budget for each service, over all daemons together."""

    ratio: float
    """Retries per request in the window."""
    slack: float
    """Retries that are allowed in addition to those."""
    window_s: float


class RetryLimit(ABC):
    """Decides whether a request may be sent to another upstream."""

    @property
    @abstractmethod
    def remaining(self) -> int:
        """Return the number of retries that are allowed now."""

    @abstractmethod
    def spend(self, reason: str) -> bool:
        """Use one retry and return whether one was left.

        :param reason: code of the failure that the retry follows
        """


class RetryBudget(RetryLimit):
    """Counts the requests and retries of one service in a sliding window.

    :param allowance: budget of all daemons together
    :param daemons: returns how many daemons share it, 0 while unknown
    :param full_slack_at: the loop's time from which the full share of the slack may be
        used; a restarted daemon does not know how many retries it made before
    :param on_retry: called for each retry with the code of the failure before it and
        whether it was allowed
    """

    def __init__(
        self,
        allowance: RetryAllowance,
        daemons: Callable[[], int],
        *,
        full_slack_at: float = 0.0,
        on_retry: Callable[[str, bool], None] = lambda reason, allowed: None,
    ) -> None:
        self._allowance = allowance
        self._daemons = daemons
        self._full_slack_at = full_slack_at
        self._on_retry = on_retry
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()

    def record_request(self) -> None:
        """Count a request."""
        self._requests.append(loop_time())

    @property
    def remaining(self) -> int:
        """Return the number of retries that are allowed now."""
        now = loop_time()
        window_start = now - self._allowance.window_s
        for times in (self._requests, self._retries):
            while times and times[0] <= window_start:
                times.popleft()
        earned = self._allowance.ratio * len(self._requests)
        daemons = self._daemons()
        slack = self._allowance.slack / daemons if daemons else 0.0
        if now < self._full_slack_at:
            slack *= RESTART_SLACK_FRACTION
        return int(WINDOW_MARGIN * (earned + slack)) - len(self._retries)

    def spend(self, reason: str) -> bool:
        """Use one retry of the budget and return whether one was left."""
        allowed = self.remaining >= 1
        if allowed:
            self._retries.append(loop_time())
        self._on_retry(reason, allowed)
        return allowed
