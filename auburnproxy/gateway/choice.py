"""The upstream that a request goes to."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable, Collection
from itertools import count
from random import Random

from ..errors import RefusalError
from .directory import Directory
from .health import Health
from .host import Host
from .serving_replica import ServingReplica

FAR_LOAD = 0.1
"""Load, as a part of the slots, that a near upstream may have more than a far one."""
WAITING_WEIGHT = 3.0
"""Requests that one without its first event counts as: reading its prompt holds up
every stream of the replica for about as long as the objective for pauses."""
SUSPECT_LOAD = 1.0
"""Load that an upstream counts as having which another daemon leaves out."""
QUIET_S = 0.13
"""Silence towards this daemon's streams after which new requests go elsewhere if
they can; nine in ten pauses are half as long."""
QUIET_LOAD = 0.5
MISSING_LOAD = 0.5
"""Load that a replica counts as having whose member is not registered any more."""
QUEUE_PART = 0.2
"""Requests beyond an upstream's slots, as a part of them, that it may queue."""
COLD_WINDOW_S = 1.0
FULL_RETRY_S = 1.0
"""Wait after which slots are likely free: a stream holds one for about a second,
and a caller that was refused is past its objective whenever it returns."""
NONE_RETRY_S = 1.5
"""Wait after which a replica is likely formed again or an exclusion has ended."""
JITTER = 0.4
"""Part by which waits differ, so that refused callers do not return together."""


class Choice:
    """Chooses by load, distance and health.

    :param directory: the registered hosts
    :param health: what this daemon's requests showed of them
    :param failure_domain: where this daemon runs
    :param elsewhere: returns the requests of other daemons at an upstream, and of
        those the ones without an answer
    :param suspected: returns the upstreams that other daemons leave out
    :param lost: returns the heads of replicas that are being ended
    :param daemons: returns how many daemons share the bound of a cold upstream
    """

    def __init__(
        self,
        directory: Directory,
        health: Health,
        *,
        failure_domain: str,
        elsewhere: Callable[[str], tuple[int, int]] = lambda host: (0, 0),
        suspected: Callable[[], Collection[str]] = tuple,
        lost: Callable[[], Collection[str]] = tuple,
        daemons: Callable[[], int] = lambda: 1,
        random: Random | None = None,
    ) -> None:
        self._directory = directory
        self._health = health
        self._failure_domain = failure_domain
        self._elsewhere = elsewhere
        self._suspected = suspected
        self._lost = lost
        self._daemons = daemons
        self._random = random or Random()
        self._turn = count()
        self._sent_by_cold_host: dict[str, deque[float]] = {}

    def replica(self, model: str, *, exclude: Collection[str] = ()) -> ServingReplica:
        """Return the replica that suits a request best.

        :param model: the model that the caller asks for
        :param exclude: heads that the request has failed on
        :raises RefusalError: if none can take it now
        """
        recorded = self._directory.recorded()
        found = [
            replica
            for replica in self._directory.replicas()
            if replica.model.name == model
            and replica.name in recorded
            and not replica.leaving
            and self._directory.may_use(replica.head)
        ]
        lost = self._lost()
        fit = [
            replica
            for replica in found
            if replica.head.id not in exclude
            and replica.head.id not in lost
            and not self._health.excluded(replica.head.id)
        ]
        if not fit:
            message = f"No replica of {model} serves now."
            raise RefusalError(
                "no_replica", message, retry_after_s=self._later(NONE_RETRY_S)
            )
        free = [r for r in fit if self._has_room(r.head) and self._bears(r.head)]
        if not free:
            message = f"Every replica of {model} is full."
            raise RefusalError(
                "no_slot", message, retry_after_s=self._later(FULL_RETRY_S)
            )
        turn = next(self._turn)
        chosen = min(free, key=lambda r: (self._score(r), hash((r.head.id, turn))))
        self._note_sent(chosen.head)
        return chosen

    def plain(self, service: str, *, exclude: Collection[str] = ()) -> Host:
        """Return the host of a plain service that suits a request best.

        :param service: name of the service
        :param exclude: hosts that the request has failed on
        :raises RefusalError: if none can take it now
        """
        found = list(self._directory.plain_hosts(service))
        fit = [
            host
            for host in found
            if host.id not in exclude and not self._health.excluded(host.id)
        ]
        if not fit:
            message = f"No host of {service} answers now."
            raise RefusalError(
                "no_service", message, retry_after_s=self._later(NONE_RETRY_S)
            )
        free = [host for host in fit if self._has_room(host) and self._bears(host)]
        if not free:
            message = f"Every host of {service} is full."
            raise RefusalError(
                "no_slot", message, retry_after_s=self._later(FULL_RETRY_S)
            )
        turn = next(self._turn)
        chosen = min(free, key=lambda h: (self._host_score(h), hash((h.id, turn))))
        self._note_sent(chosen)
        return chosen

    def load(self, host: Host) -> int:
        """Return the requests at an upstream, as far as they are known."""
        return self._health.in_flight(host.id) + self._elsewhere(host.id)[0]

    def _score(self, replica: ServingReplica) -> float:
        missing = MISSING_LOAD if replica.missing else 0.0
        return self._host_score(replica.head) + missing

    def _host_score(self, host: Host) -> float:
        in_flight, waiting = self._elsewhere(host.id)
        in_flight += self._health.in_flight(host.id)
        waiting += self._health.waiting(host.id)
        score = (in_flight + WAITING_WEIGHT * waiting) / max(host.slots, 1)
        if host.failure_domain != self._failure_domain:
            score += FAR_LOAD
        if host.id in self._suspected():
            score += SUSPECT_LOAD
        if self._health.quiet_s(host.id) > QUIET_S:
            score += QUIET_LOAD
        return score

    def _has_room(self, host: Host) -> bool:
        return self.load(host) < host.slots * (1 + QUEUE_PART)

    def _bears(self, host: Host) -> bool:
        """Return whether a cold upstream bears another request in this second."""
        if self._directory.cold_s(host) <= 0:
            self._sent_by_cold_host.pop(host.id, None)
            return True
        service = self._directory.configuration.services_by_name.get(host.service)
        if service is None or not service.cold_per_s:
            return True
        sent = self._sent_by_cold_host.get(host.id, deque())
        since = _now() - COLD_WINDOW_S
        while sent and sent[0] <= since:
            sent.popleft()
        return len(sent) < max(service.cold_per_s / max(self._daemons(), 1), 1)

    def _note_sent(self, host: Host) -> None:
        if self._directory.cold_s(host) > 0:
            self._sent_by_cold_host.setdefault(host.id, deque()).append(_now())

    def _later(self, seconds: float) -> float:
        return seconds * (1 + JITTER * (self._random.random() - 0.5))


def _now() -> float:
    return asyncio.get_running_loop().time()
