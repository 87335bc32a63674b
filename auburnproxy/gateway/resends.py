"""How many requests may be sent to a second upstream.

Answers retries that multiply load: the bound holds for all daemons together, so
each takes its part of the fixed allowance, and its own requests earn the rest.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import NamedTuple

from ..clock import loop_time

MARGIN = 0.8
"""Part of the bound that is used: windows of daemons and callers are not aligned."""
RESTARTED_PART = 0.25
"""Part of its slack that a daemon uses in the first window after it has started again:
with what it may have used just before, that is :data:`MARGIN` times 1.25."""


class Allowance(NamedTuple):
    """The bound for all daemons together, for each service."""

    ratio: float
    """Resends for each request of a window."""
    slack: float
    """Resends that are allowed beside those."""
    window_s: float


class Resends:
    """Counts the requests and resends to one service in a sliding window.

    :param allowance: the bound for all daemons together
    :param daemons: returns how many daemons share it, 0 while they are not known
    :param slack_from: the loop's time from which the whole part of the slack may be
        used; a daemon that has started again does not know what it resent before
    :param note: takes each resend, by the failure that it follows and whether it
        was allowed
    """

    def __init__(
        self,
        allowance: Allowance,
        daemons: Callable[[], int],
        *,
        slack_from: float = 0.0,
        note: Callable[[str, bool], None] = lambda reason, allowed: None,
    ) -> None:
        self._allowance = allowance
        self._daemons = daemons
        self._slack_from = slack_from
        self._note = note
        self._requests: deque[float] = deque()
        self._resends: deque[float] = deque()

    def request(self) -> None:
        """Count a request."""
        self._requests.append(loop_time())

    @property
    def left(self) -> int:
        """Return how many resends may be made now."""
        now = loop_time()
        since = now - self._allowance.window_s
        for times in (self._requests, self._resends):
            while times and times[0] <= since:
                times.popleft()
        earned = self._allowance.ratio * len(self._requests)
        daemons = self._daemons()
        own = self._allowance.slack / daemons if daemons else 0.0
        if now < self._slack_from:
            own *= RESTARTED_PART
        return int(MARGIN * (earned + own)) - len(self._resends)

    def spend(self, reason: str) -> bool:
        """Take a resend if one is left.

        :param reason: code of the failure that it follows
        """
        allowed = self.left >= 1
        if allowed:
            self._resends.append(loop_time())
        self._note(reason, allowed)
        return allowed
