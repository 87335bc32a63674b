"""Scoring of upstreams: what sending a request to each of them costs."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable, Iterable, Iterator, Mapping
from contextlib import contextmanager

from ..telemetry import GaugeReading
from .cost_model import RequestSize
from .health import Health
from .host import Host
from .prompt_load import PromptLoad
from .serving_replica import ServingReplica

UNANSWERED_WEIGHT = 3.0
"""Weight of a request that has no first event yet: prefill of its prompt stalls every
stream of the replica for about as long as the pause objective."""
QUEUE_FRACTION = 0.2
"""Requests beyond its slots, as a fraction of them, that an upstream may queue."""
SPREAD_PENALTY = 0.3
"""Penalty for a replica with hosts in several fabric domains: it is slower, so it only
takes overflow while the others are busy."""
SUBSET_MAX_LOAD = 0.7
"""Load of the best head in this daemon's subset up to which no other head is
considered."""
OUTSIDE_SUBSET_PENALTY = 0.15
"""Penalty for heads outside the subset, whose load reports are older."""
UNKNOWN_SIZE = RequestSize()


class Progress:
    """What one try of a request shows about its upstream; this one ignores it."""

    def record_events(self, count: int, *, at: float) -> None:
        """Record that events have arrived.

        :param at: the loop's time in seconds
        """


class Scoring(ABC):
    """Scores the upstreams that could take a request."""

    spread_penalty: float
    """Added for replicas with hosts in several fabric domains."""
    subset_max_score: float
    """Score of the best head in this daemon's subset up to which no other head is
    considered."""
    outside_penalty: float
    """Added for heads outside the subset, whose load reports are older."""
    counts_report_age: bool
    """Whether scores themselves rise with the age of load reports."""

    @abstractmethod
    def score(self, replica: ServingReplica, size: RequestSize) -> float | None:
        """Return what sending a request to a replica costs, lower is better.

        :return: None if the replica has no room for it
        """

    @contextmanager
    def track(self, replica: ServingReplica, size: RequestSize) -> Iterator[Progress]:
        """Track a request at a replica for the duration of the context."""
        yield Progress()

    @property
    def prompt_load_by_host(self) -> Mapping[str, PromptLoad]:
        """Return the tokens of this daemon's requests at each upstream, if counted."""
        return {}

    def inputs(self, hosts: Iterable[Host]) -> dict[str, object]:
        """Return what the scores of upstreams rest on, for the log of a refusal."""
        return {}

    def readings(self) -> Iterator[GaugeReading]:
        """Yield the gauge readings of this scoring."""
        yield from ()


class CountScoring(Scoring):
    """Scores upstreams by the number of their requests as a fraction of their slots.

    :param health: this daemon's own requests
    :param remote_load: returns the requests of other daemons at an upstream, and how
        many of those have no answer yet
    """

    spread_penalty = SPREAD_PENALTY
    subset_max_score = SUBSET_MAX_LOAD
    outside_penalty = OUTSIDE_SUBSET_PENALTY
    counts_report_age = False

    def __init__(
        self, health: Health, remote_load: Callable[[str], tuple[int, int]]
    ) -> None:
        self._health = health
        self._remote_load = remote_load

    def score(self, replica: ServingReplica, size: RequestSize) -> float | None:
        """Return the load of a replica, None if it has no room."""
        if not self.has_room(replica.head, replica.slowdown):
            return None
        return self.load_fraction(replica.head, replica.slowdown)

    def load(self, host: Host) -> int:
        """Return the known requests of all daemons at an upstream."""
        return self._health.in_flight(host.id) + self._remote_load(host.id)[0]

    def has_room(self, host: Host, slowdown: float = 1.0) -> bool:
        """Return whether an upstream may get another request.

        :param slowdown: factor on its processing times
        """
        return self.load(host) < host.slots * (1 + QUEUE_FRACTION) / slowdown

    def load_fraction(self, host: Host, slowdown: float = 1.0) -> float:
        """Return an upstream's requests, weighted, as a fraction of its slots.

        :param slowdown: factor on its processing times
        """
        in_flight, unanswered = self._remote_load(host.id)
        in_flight += self._health.in_flight(host.id)
        unanswered += self._health.unanswered(host.id)
        weighted = in_flight + UNANSWERED_WEIGHT * unanswered
        return slowdown * weighted / max(host.slots, 1)
