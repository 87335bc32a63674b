"""Limit on the number of upstreams that may run one request."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from ..clock import loop_time
from .host import Host, Incarnation
from .liveness import LivenessChecker

MAX_EARLY_EXITS = 2
"""Upstreams that may end while one request waits for its first event there. The second
one tells a failure of the first from a request that ends each of them."""


class AttemptCounter:
    """Counts the upstreams that were tried and are not known to have ended.

    :param allowed: maximum number of upstreams that the request may run on
    :param liveness_checker: checks whether a process is still alive
    :param on_absent: called with each upstream that no longer counts
    """

    def __init__(
        self,
        allowed: int,
        liveness_checker: LivenessChecker,
        *,
        on_absent: Callable[[Host], None],
    ) -> None:
        self._allowed = allowed
        self._liveness_checker = liveness_checker
        self._on_absent = on_absent
        self._counted: list[Host] = []
        self._early_exits: set[Incarnation] = set()

    def count(self, host: Host) -> None:
        """Count an upstream that received the request."""
        self._counted.append(host)

    def record_early_exit(self, host: Host) -> None:
        """Record that an upstream has ended before it sent an event of its answer."""
        self._early_exits.add(host.incarnation)

    @property
    def may_end_another(self) -> bool:
        """Return whether one more upstream may get a request that may end upstreams."""
        return len(self._early_exits) < MAX_EARLY_EXITS

    @property
    def used_up(self) -> bool:
        """Return whether one more upstream is allowed only if one counted has ended."""
        return len(self._counted) >= self._allowed

    def counts(self, host: Host) -> bool:
        """Return whether an upstream was tried and is not known to have ended."""
        return any(h.incarnation == host.incarnation for h in self._counted)

    async def discount_if_absent(self, host: Host) -> None:
        """Check an upstream, which no longer counts if it ended or is unreachable."""
        if await self._liveness_checker.confirm_absent(host):
            self._discount(host)

    async def any_remaining(self, *, within_s: float) -> bool:
        """Return whether the request may be sent to one more upstream.

        Once the route's attempts are used up, the tried upstreams are checked: one that
        has ended or is unreachable no longer counts.

        :param within_s: time limit of the check in seconds
        """
        if not self.used_up:
            return True
        host_by_incarnation = {host.incarnation: host for host in self._counted}
        checks = {
            asyncio.create_task(self._liveness_checker.confirm_absent(host)): host
            for host in host_by_incarnation.values()
        }
        until = loop_time() + within_s
        try:
            while checks and (left_s := until - loop_time()) > 0:
                done, _ = await asyncio.wait(
                    checks, timeout=left_s, return_when=asyncio.FIRST_COMPLETED
                )
                for check in done:
                    host = checks.pop(check)
                    if check.result():
                        self._discount(host)
                        return True
            return False
        finally:
            for check in checks:
                check.cancel()

    def _discount(self, host: Host) -> None:
        """Remove the tries at a process from the count."""
        self._counted = [h for h in self._counted if h.incarnation != host.incarnation]
        self._on_absent(host)
