"""Request rates of upstreams that daemons share.

A rate of many requests a second is divided: each daemon has a quota of whole requests
for each second. A lower one would leave most daemons without any, so its requests are
claimed one by one instead, by whichever daemon has a request to send. A claim is told
to the other daemons at once. Daemons wait for their turn after each claim, in an order
that differs from claim to claim, so that the first has told its claim by then.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Collection
from typing import NamedTuple

from ..clock import loop_time
from ..gossip import FactKind, FactTable
from ..rendezvous import rank_names

QUOTA_WINDOW_S = 1.0
CLAIM_BELOW_PER_S = 8.0
"""Rate below which requests are claimed; claims that follow faster would cross."""
CLAIM_TURN_S = 0.025
"""Time between the turns of two daemons; a claim is told in less."""
BURST = 2.0
"""Requests that may be claimed at once after a pause."""
CLAIM_REMEMBERED_S = 5.0
"""Time for which a claim is remembered once all requests it left have been earned."""
URGENCIES = 9


class SharedRate(NamedTuple):
    """The rate of one upstream process, and the daemons that share it."""

    process: str
    per_s: float
    began_at: float
    """The loop's time from which the rate holds."""
    sharers: Collection[str]
    """Names of the daemons that may send requests; none while they are unknown."""


class SharedRates:
    """Tells whether this daemon may send an upstream one more request.

    :param facts: facts shared with the other daemons
    :param name: name of this daemon
    :param tell: sends the facts to daemons soon
    """

    def __init__(
        self,
        facts: FactTable,
        *,
        name: str,
        tell: Callable[[Collection[str]], None] = lambda names: None,
    ) -> None:
        self._facts = facts
        self._name = name
        self._tell = tell
        self._sent_at_by_process: dict[str, deque[float]] = {}

    def allows(self, rate: SharedRate, *, urgency: int = 0) -> bool:
        """Return whether one more request may be sent to an upstream now.

        :param rate: the upstream's rate
        :param urgency: urgency of the request, 0 first; a less urgent one leaves the
            others a part of the rate that is claimed
        """
        if self._name not in rate.sharers:
            return False
        if rate.per_s >= CLAIM_BELOW_PER_S:
            return self._recently_sent(rate.process) < self._quota(rate)
        return self._claimable_s(rate, urgency) >= 0

    def record_sent(self, rate: SharedRate) -> None:
        """Record that a request is sent to an upstream."""
        if rate.per_s >= CLAIM_BELOW_PER_S:
            self._forget_idle()
            sent_at = self._sent_at_by_process.setdefault(rate.process, deque())
            sent_at.append(loop_time())
            return
        left = max(min(self._earned(rate), BURST) - 1.0, 0.0)
        ttl_s = BURST / rate.per_s + CLAIM_REMEMBERED_S
        self._facts.tell(
            FactKind.CLAIM, rate.process, ttl_s=ttl_s, value=left, at_once=False
        )
        self._tell(rate.sharers)

    def _recently_sent(self, process: str) -> int:
        """Return the requests that were sent to an upstream within the last second."""
        sent_at = self._sent_at_by_process.get(process, deque())
        since = loop_time() - QUOTA_WINDOW_S
        while sent_at and sent_at[0] <= since:
            sent_at.popleft()
        return len(sent_at)

    def _forget_idle(self) -> None:
        """Drop the upstreams to which nothing was sent within the last second."""
        since = loop_time() - QUOTA_WINDOW_S
        self._sent_at_by_process = {
            process: sent_at
            for process, sent_at in self._sent_at_by_process.items()
            if sent_at and sent_at[-1] > since
        }

    def _quota(self, rate: SharedRate) -> int:
        """Return this daemon's requests a second.

        The remainder goes to the first daemons in an order that all agree on, so that
        the quotas add up to the rate.
        """
        quota, remainder = divmod(int(rate.per_s), len(rate.sharers))
        rank = rank_names(f"rate {rate.process}", rate.sharers).index(self._name)
        return quota + (rank < remainder)

    def _earned(self, rate: SharedRate) -> float:
        """Return the requests that may be claimed, without the limit of a burst."""
        claim = self._facts.get(FactKind.CLAIM, rate.process)
        left, since = (claim.value, claim.began_at) if claim else (1.0, rate.began_at)
        return left + (loop_time() - since) * rate.per_s

    def _claimable_s(self, rate: SharedRate, urgency: int) -> float:
        """Return for how long this daemon has had a turn, negative if it has none."""
        claim = self._facts.get(FactKind.CLAIM, rate.process)
        number = claim.version if claim else 0
        needed = 1.0 + min(urgency / URGENCIES, BURST - 1.0)
        open_s = (self._earned(rate) - needed) / rate.per_s
        order = rank_names(f"claim {rate.process} {number}", rate.sharers)
        return open_s - order.index(self._name) * CLAIM_TURN_S
