"""Call results while a failure domain is taken out of service or returned to it."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import NamedTuple

from ..configuration import Configuration
from ..operators import DomainTransitionReport
from ..telemetry import Counter, Telemetry

SAMPLE_INTERVAL_S = 0.25
OBSERVED_S = 20.0
"""Seconds after a transition during which calls are counted for it."""
MAX_TRANSITIONS = 64
"""Number of latest transitions that are kept."""


class CallCounts(NamedTuple):
    """Finished calls by result."""

    answered: int
    refused: int
    unknown: int


class DomainTransition:
    """One failure domain that is taken out of service or returned to it.

    :param version: version of the configuration that caused it
    :param out: whether the failure domain is taken out
    :param before: the counts when it began
    :param began: the loop's time in seconds
    """

    def __init__(
        self,
        version: int,
        failure_domain: str,
        out: bool,
        before: CallCounts,
        began: float,
    ) -> None:
        self.version = version
        self.failure_domain = failure_domain
        self.out = out
        self.began = began
        self.ended = began
        self._before = before
        self._after = before

    def update(self, counts: CallCounts, now: float) -> None:
        """Update the counts, unless the observed time is over."""
        if now - self.began <= OBSERVED_S:
            self._after, self.ended = counts, now

    def report(self) -> DomainTransitionReport:
        """Return the calls that finished since it began."""
        answered, refused, unknown = (
            after - before
            for after, before in zip(self._after, self._before, strict=True)
        )
        return DomainTransitionReport(
            version=self.version,
            failure_domain=self.failure_domain,
            out=self.out,
            seconds=self.ended - self.began,
            answered=answered,
            refused=refused,
            unknown=unknown,
        )


class DomainTransitions:
    """CallCounts the calls that finish during and after each transition.

    :param configuration: tells which failure domains are out of service
    :param telemetry: counts calls by result
    """

    def __init__(self, configuration: Configuration, telemetry: Telemetry) -> None:
        self._configuration = configuration
        self._telemetry = telemetry
        self._out = configuration.out_domains
        self._transitions: deque[DomainTransition] = deque(maxlen=MAX_TRANSITIONS)

    async def run(self) -> None:
        """Sample until cancelled."""
        while True:
            self.sample()
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    def sample(self) -> None:
        """Sample the counts and detect new transitions."""
        now, counts = asyncio.get_running_loop().time(), self._counts()
        for transition in self._transitions:
            transition.update(counts, now)
        out = self._configuration.out_domains
        version = self._configuration.version
        for domain in sorted(out ^ self._out):
            self._transitions.append(
                DomainTransition(version, domain, domain in out, counts, now)
            )
        self._out = out

    def report(self) -> list[DomainTransitionReport]:
        """Return the latest transitions, oldest first."""
        return [transition.report() for transition in self._transitions]

    def _counts(self) -> CallCounts:
        total = dict.fromkeys(Counter, 0)
        for key, count in self._telemetry.count_by_key.items():
            total[key.counter] += count
        return CallCounts(
            total[Counter.ANSWERED], total[Counter.REFUSED], total[Counter.UNKNOWN]
        )
