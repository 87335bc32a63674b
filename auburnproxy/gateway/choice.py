"""The upstream that a request goes to."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Collection, Sequence
from random import Random

from ..clock import loop_time
from ..errors import RefusalError
from .directory import Directory
from .health import Health
from .host import Host
from .rests import Rests
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
    :param rests: the ones that are to get nothing for a while
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
        rests: Rests,
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
        self._rests = rests
        self._failure_domain = failure_domain
        self._elsewhere = elsewhere
        self._suspected = suspected
        self._lost = lost
        self._daemons = daemons
        self._random = random or Random()
        self._sent_by_cold_host: dict[str, deque[float]] = {}

    def replica(
        self, model: str, *, exclude: Collection[str] = (), any_head: bool = False
    ) -> ServingReplica:
        """Return the replica that suits a request best.

        :param model: the model that the caller asks for
        :param exclude: heads that the request has failed on
        :param any_head: whether a head that is left out will do if no other is there
        :raises RefusalError: if none can take it now
        """
        recorded = self._directory.recorded()
        by_head = {
            replica.head.id: replica
            for replica in self._directory.replicas()
            if replica.model.name == model
            and replica.name in recorded
            and not replica.leaving
            and self._directory.may_use(replica.head)
        }
        missing = {head for head, replica in by_head.items() if replica.missing}
        heads = [replica.head for replica in by_head.values()]
        lost = self._lost()
        excluded = {head for head in by_head if head in exclude or head in lost}
        chosen = self._pick(
            heads, "no_replica", exclude=excluded, missing=missing, any_host=any_head
        )
        return by_head[chosen.id]

    def plain(self, service: str, *, exclude: Collection[str] = ()) -> Host:
        """Return the host of a plain service that suits a request best.

        :param service: name of the service
        :param exclude: hosts that the request has failed on
        :raises RefusalError: if none can take it now
        """
        hosts = list(self._directory.plain_hosts(service))
        return self._pick(hosts, "no_service", exclude=exclude)

    def _pick(
        self,
        hosts: Sequence[Host],
        code: str,
        *,
        exclude: Collection[str],
        missing: Collection[str] = (),
        any_host: bool = False,
    ) -> Host:
        """Return the least loaded host.

        :param code: code of the refusal if none of them answers
        :param missing: heads of replicas that may have lost a member
        :param any_host: whether a host that is left out will do
        :raises RefusalError: if none can take a request now
        """
        rests_s = [self._rests.left_s(host.life) for host in hosts]
        left = [
            host
            for host, rest_s in zip(hosts, rests_s, strict=True)
            if not rest_s and host.id not in exclude
        ]
        fit = [host for host in left if not self._health.excluded(host.id)]
        if not fit and any_host:
            fit = left
        if not fit:
            wait_s = max(NONE_RETRY_S, min(rests_s, default=0.0))
            raise self._refusal(code, wait_s, hosts, fit)
        free = [host for host in fit if self._has_room(host) and self._bears(host)]
        if not free:
            raise self._refusal("no_slot", FULL_RETRY_S, hosts, fit)

        suspected = self._suspected()

        def score(host: Host) -> tuple[float, float]:
            load = self._score(host)
            if host.id in missing:
                load += MISSING_LOAD
            if host.id in suspected:
                load += SUSPECT_LOAD
            return load, self._random.random()

        chosen = min(free, key=score)
        self._note_sent(chosen)
        return chosen

    def _refusal(
        self, code: str, wait_s: float, hosts: Sequence[Host], fit: Sequence[Host]
    ) -> RefusalError:
        refusal = RefusalError(
            code,
            f"{len(fit)} of {len(hosts)} upstreams answer, none has a free slot.",
            retry_after_s=wait_s * (1 + JITTER * (self._random.random() - 0.5)),
        )
        refusal.inputs = {
            "known": len(hosts),
            "answering": len(fit),
            "loads": [self.load(host) for host in fit],
        }
        return refusal

    def gone(self, host_id: str) -> bool:
        """Return whether an upstream has ended or is cut off from this daemon."""
        if host_id not in self._directory.hosts or host_id in self._lost():
            return True
        return self._health.unanswered(host_id)

    def load(self, host: Host) -> int:
        """Return the requests at an upstream, as far as they are known."""
        return self._health.in_flight(host.id) + self._elsewhere(host.id)[0]

    def _score(self, host: Host) -> float:
        in_flight, waiting = self._elsewhere(host.id)
        in_flight += self._health.in_flight(host.id)
        waiting += self._health.waiting(host.id)
        score = (in_flight + WAITING_WEIGHT * waiting) / max(host.slots, 1)
        if host.failure_domain != self._failure_domain:
            score += FAR_LOAD
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
        since = loop_time() - COLD_WINDOW_S
        while sent and sent[0] <= since:
            sent.popleft()
        return len(sent) < max(service.cold_per_s / max(self._daemons(), 1), 1)

    def _note_sent(self, host: Host) -> None:
        if self._directory.cold_s(host) > 0:
            self._sent_by_cold_host.setdefault(host.id, deque()).append(loop_time())
