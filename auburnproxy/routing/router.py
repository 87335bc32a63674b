"""Selects the upstream for a call and takes one of its slots."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Collection, Iterable, Sequence
from typing import NamedTuple

from ..admission._protocols import SlotLimiter, SlotLimiters
from ..configuration import TargetKind
from ..errors import RefusalError
from ..replicas import Replica
from ._protocols import Readiness, Watcher

AFFINITY_WEIGHT = 0.5
"""Load, as a fraction of the limit, that a fully cached prompt outweighs."""
MAX_SENT_PREFIXES = 4096
"""Digests of sent prompts kept per head until its reports include them."""
RETRY_AFTER_S = 2.0


class Candidate(NamedTuple):
    """An upstream that may take the call; the lowest score is the best."""

    score: float
    host: str
    replica: Replica | None


class Router:
    """Selects a local upstream by load, free slots and cached prompt prefixes.

    :param watcher: state of the upstreams
    :param readiness: which replicas can serve calls
    :param limiters: this daemon's shares of the limits; upstreams have the keys
        ``upstream/HOST``
    :param affinity_weight: load, as a fraction of the limit, that a fully cached
        prompt outweighs; 0 selects the least loaded
    """

    def __init__(
        self,
        watcher: Watcher,
        readiness: Readiness,
        limiters: SlotLimiters,
        *,
        affinity_weight: float = AFFINITY_WEIGHT,
    ) -> None:
        self._watcher = watcher
        self._readiness = readiness
        self._limiters = limiters
        self._affinity_weight = affinity_weight
        self._sent_prefixes_by_head: dict[str, OrderedDict[str, None]] = {}

    def acquire_replica(
        self, model: str, prefixes: Sequence[str], *, exclude: Collection[str] = ()
    ) -> Replica | None:
        """Take a slot of the best replica for a call.

        :param model: the model that the caller requests
        :param prefixes: digests of the prompt's leading blocks, shortest first
        :param exclude: heads on which the call has failed
        :return: the replica, or None if no slot is free
        :raises RefusalError: if no replica of the model is usable here
        """
        replicas = self._readiness.serving(model)
        usable = [r for r in replicas if self._is_usable(r.head, exclude)]
        if not usable:
            raise _no_replica(model)
        candidates = [
            Candidate(self._score(r.head, prefixes), r.head, r)
            for r in self._preferred(usable)
        ]
        chosen = self._acquire_first_free(candidates)
        if chosen is None or chosen.replica is None:
            return None
        self._record_sent(chosen.host, prefixes)
        return chosen.replica

    def acquire_service_host(
        self, service: str, *, exclude: Collection[str] = ()
    ) -> str | None:
        """Take a slot of the least loaded host of a plain service.

        :param service: name of the service
        :param exclude: hosts on which the call has failed
        :return: the host, or None if no slot is free
        :raises RefusalError: if no host of the service is usable here
        """
        hosts = [h for h in self._hosts(service) if self._is_usable(h, exclude)]
        if not hosts:
            raise _no_service(service)
        ejected = self._watcher.ejected
        preferred = [host for host in hosts if host not in ejected] or hosts
        chosen = self._acquire_first_free(
            Candidate(self._load(host), host, None) for host in preferred
        )
        return chosen.host if chosen else None

    def release(self, host: str) -> None:
        """Release the slot that was taken at a host."""
        self._limiters.limiter(f"upstream/{host}").release()

    def check_usable(self, target: str) -> None:
        """Raise an error if no upstream of a target is usable here.

        :param target: ``model/NAME`` or ``service/NAME``
        :raises RefusalError: 503
        """
        kind, _, name = target.partition("/")
        is_model = kind == TargetKind.MODEL
        hosts = self._heads(name) if is_model else self._hosts(name)
        if not any(map(self._watcher.usable, hosts)):
            raise _no_replica(name) if is_model else _no_service(name)

    def slots(self, target: str) -> int:
        """Return this daemon's slots of a target, both free and in use.

        :param target: ``model/NAME`` or ``service/NAME``
        """
        kind, _, name = target.partition("/")
        hosts = self._heads(name) if kind == TargetKind.MODEL else self._hosts(name)
        limiters = [self._limiter(host) for host in hosts]
        return sum(limiter.in_flight + limiter.free for limiter in limiters)

    def refresh(self) -> None:
        """Update the limits of all upstreams' limiters so that peers see free slots."""
        for host in self._watcher.entries_by_host:
            self._limiter(host)

    def _heads(self, model: str) -> list[str]:
        return [replica.head for replica in self._readiness.serving(model)]

    def _hosts(self, service: str) -> list[str]:
        entries = self._watcher.entries_by_host.items()
        return [name for name, entry in entries if entry.service == service]

    def _is_usable(self, host: str, exclude: Collection[str]) -> bool:
        return host not in exclude and self._watcher.usable(host)

    def _preferred(self, replicas: list[Replica]) -> list[Replica]:
        ejected = self._watcher.ejected
        return [r for r in replicas if r.head not in ejected] or replicas

    def _acquire_first_free(self, candidates: Iterable[Candidate]) -> Candidate | None:
        for candidate in sorted(candidates, key=lambda c: (c.score, c.host)):
            if self._limiter(candidate.host).try_acquire():
                return candidate
        return None

    def _limiter(self, host: str) -> SlotLimiter:
        limiter = self._limiters.limiter(f"upstream/{host}")
        limiter.limit = self._watcher.limit(host)
        return limiter

    def _load(self, host: str) -> float:
        """Return the calls in flight at a host as a fraction of its limit."""
        limiter = self._limiter(host)
        report = self._watcher.report(host) or self._watcher.service_report(host)
        reported = report.in_flight if report else 0
        return max(reported, limiter.in_flight) / max(limiter.limit, 1)

    def _score(self, head: str, prefixes: Sequence[str]) -> float:
        load = self._load(head)
        if not prefixes or not self._affinity_weight:
            return load
        cached = self._cached_blocks(head, prefixes) / len(prefixes)
        return load - self._affinity_weight * cached

    def _cached_blocks(self, head: str, prefixes: Sequence[str]) -> int:
        """Return how many leading blocks a head has probably cached."""
        report = self._watcher.report(head)
        reported = frozenset(report.prefixes) if report else frozenset()
        sent = self._sent_prefixes_by_head.get(head) or OrderedDict[str, None]()
        for length in range(len(prefixes), 0, -1):
            digest = prefixes[length - 1]
            if digest in reported or digest in sent:
                return length
        return 0

    def _record_sent(self, head: str, prefixes: Sequence[str]) -> None:
        sent = self._sent_prefixes_by_head.get(head)
        if sent is None:
            sent = self._sent_prefixes_by_head[head] = OrderedDict()
        for digest in prefixes:
            sent[digest] = None
            sent.move_to_end(digest)
        while len(sent) > MAX_SENT_PREFIXES:
            sent.popitem(last=False)


def _no_replica(model: str) -> RefusalError:
    message = f"No replica of {model} serves here."
    return RefusalError("no_replica", message, retry_after_s=RETRY_AFTER_S)


def _no_service(service: str) -> RefusalError:
    message = f"No host of {service} is usable here."
    return RefusalError("no_service", message, retry_after_s=RETRY_AFTER_S)
