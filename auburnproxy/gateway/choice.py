"""The upstream that a request goes to."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Collection, Iterator, Sequence
from random import Random
from typing import NamedTuple

from ..clock import loop_time
from ..errors import RefusalError
from ..rendezvous import rank_names
from .directory import Directory
from .health import Health
from .host import Host
from .rests import Rests
from .serving_replica import ServingReplica
from .subsets import Subsets

FAR_LOAD = 0.1
"""Load, as a part of the slots, that a near upstream may have more than a far one."""
FRESH_S = 0.3
"""Age up to which news of far upstreams is as good as any."""
STALE_LOAD = 0.2
"""The same for each second that the news of far upstreams is older."""
NEARLY_FULL = 0.85
"""Load of the best near replica beyond which far ones are looked at however old the
news of them is."""
MOST_FAR_LOAD = 0.35
"""The most of that: beyond it a failure domain that has lost heads would fill the
others beyond their slots."""
OWN_LOAD = 0.7
"""Load of the best of its own heads up to which a daemon looks at no other."""
OTHERS_DRAWN = 3
"""Near heads of other daemons that are looked at beyond that."""
OTHERS_LOAD = 0.15
"""Load that one of them must have less: news of it is older."""
WAITING_WEIGHT = 3.0
"""Requests that one without its first event counts as: reading its prompt holds up
every stream of the replica for about as long as the objective for pauses."""
SUSPECT_LOAD = 1.0
"""Load that an upstream counts as having which another daemon leaves out."""
QUIET_S = 0.13
"""Silence towards this daemon's streams after which new requests go elsewhere if
they can; nine in ten pauses are half as long."""
QUIET_LOAD = 0.5
SPREAD_LOAD = 0.3
"""Load that a replica with hosts in several fabric domains counts as having: its times
are longer, so it helps out where the others are busy."""
MISSING_LOAD = 0.5
"""Load that a replica counts as having whose member is not registered any more."""
QUEUE_PART = 0.2
"""Requests beyond an upstream's slots, as a part of them, that it may queue."""
LEAST_DRAWN = 2
MOST_DRAWN = 16
"""Far replicas that are looked at if those drawn first cannot take a request."""
DRAWN_BEATS_S = 4.0
"""Far replicas that are drawn, times the seconds between two beats from there."""
MOST_LOGGED = 32
"""Loads that the line of a refusal names."""
COLD_WINDOW_S = 1.0
FULL_RETRY_S = 1.0
"""Wait after which slots are likely free: a stream holds one for about a second,
and a caller that was refused is past its objective whenever it returns."""
NONE_RETRY_S = 1.5
"""Wait after which a replica is likely formed again or an exclusion has ended."""
JITTER = 0.4
"""Part by which waits differ, so that refused callers do not return together."""


class _Scored(NamedTuple):
    score: float
    """Load of its head as a part of its slots, with what speaks against it."""
    replica: ServingReplica


class Choice:
    """Chooses by load, distance and health.

    :param directory: the registered hosts
    :param health: what this daemon's requests showed of them
    :param rests: the ones that are to get nothing for a while
    :param subsets: the near heads that this daemon sends to first
    :param failure_domain: where this daemon runs
    :param elsewhere: returns the requests of other daemons at an upstream, and of
        those the ones without an answer
    :param suspected: returns the upstreams that other daemons leave out
    :param lost: returns the heads of replicas that are being ended
    :param sharers: returns the daemons that share the bound of a cold upstream of a
        failure domain, none while they are not known
    :param name: name of this daemon
    :param far_interval_s: returns the seconds between two beats of a far daemon
    """

    def __init__(
        self,
        directory: Directory,
        health: Health,
        rests: Rests,
        subsets: Subsets,
        *,
        failure_domain: str,
        elsewhere: Callable[[str], tuple[int, int]] = lambda host: (0, 0),
        suspected: Callable[[], Collection[str]] = tuple,
        lost: Callable[[], Collection[str]] = tuple,
        sharers: Callable[[str], Collection[str]] = lambda domain: (),
        name: str = "",
        far_interval_s: Callable[[], float] = lambda: 0.3,
        random: Random | None = None,
    ) -> None:
        self._directory = directory
        self._health = health
        self._rests = rests
        self._subsets = subsets
        self._failure_domain = failure_domain
        self._elsewhere = elsewhere
        self._suspected = suspected
        self._lost = lost
        self._sharers = sharers
        self._name = name
        self._far_interval_s = far_interval_s
        self._random = random or Random()
        self._sent_by_cold_host: dict[str, deque[float]] = {}
        self._indexed: tuple[ServingReplica, ...] | None = None
        self._near: dict[str, list[ServingReplica]] = {}
        self._far: dict[str, list[ServingReplica]] = {}

    def replica(
        self, model: str, *, exclude: Collection[str] = (), any_head: bool = False
    ) -> ServingReplica:
        """Return the replica that suits a request best.

        :param model: the model that the caller asks for
        :param exclude: heads that the request has failed on
        :param any_head: whether a head that is left out will do if no other is there
        :raises RefusalError: if none can take it now
        """
        near, far = self._candidates(model)
        chosen = self._best_near(near, exclude)
        if chosen is None or chosen.score > min(self._stale_load, NEARLY_FULL):
            for sample in self._samples(far):
                chosen = _better(chosen, self._best(sample, exclude))
                if chosen is not None:
                    break
        if chosen is None and any_head:
            chosen = self._best([*near, *far], exclude, any_head=True)
        if chosen is None:
            raise self._refusal("no_replica", [*near, *far], exclude)
        self._note_sent(chosen.replica.head)
        return chosen.replica

    def _best_near(
        self, near: Sequence[ServingReplica], exclude: Collection[str]
    ) -> _Scored | None:
        """Return the best near replica, one of this daemon's own while they bear it."""
        own = [r for r in near if self._subsets.holds(r.head.id)]
        chosen = self._best(own, exclude)
        if chosen is not None and chosen.score <= OWN_LOAD:
            return chosen
        others = [r for r in near if not self._subsets.holds(r.head.id)]
        drawn = self._random.sample(others, min(OTHERS_DRAWN, len(others)))
        other = self._best(drawn, exclude)
        if other is not None:
            other = other._replace(score=other.score + OTHERS_LOAD)
        return _better(chosen, other) or self._best(near, exclude)

    @property
    def _stale_load(self) -> float:
        """Return the load that the age of the news of far replicas is worth."""
        late_s = max(self._far_interval_s() - FRESH_S, 0.0)
        return FAR_LOAD + STALE_LOAD * late_s

    def _candidates(
        self, model: str
    ) -> tuple[Sequence[ServingReplica], Sequence[ServingReplica]]:
        """Return the replicas of a model, near and far, that are not leaving."""
        replicas = self._directory.replicas()
        if replicas is not self._indexed:
            self._indexed = replicas
            self._near, self._far = {}, {}
            for replica in replicas:
                if not replica.leaving:
                    near = replica.head.failure_domain == self._failure_domain
                    found = self._near if near else self._far
                    found.setdefault(replica.model.name, []).append(replica)
            self._subsets.deal(
                {m: tuple(r.head.id for r in near) for m, near in self._near.items()}
            )
        return self._near.get(model, ()), self._far.get(model, ())

    def _samples(
        self, far: Sequence[ServingReplica]
    ) -> Iterator[Sequence[ServingReplica]]:
        """Yield far replicas to choose the best of, a few drawn ones first.

        All daemons would choose the one that looked best when they last heard. Of a
        few drawn ones each chooses its own; the older the news, the fewer.
        """
        drawn = max(LEAST_DRAWN, round(DRAWN_BEATS_S / self._far_interval_s()))
        if drawn < len(far):
            yield self._random.sample(far, drawn)
            yield self._random.sample(far, min(MOST_DRAWN, len(far)))
        yield far

    def _best(
        self,
        replicas: Sequence[ServingReplica],
        exclude: Collection[str],
        *,
        any_head: bool = False,
    ) -> _Scored | None:
        """Return the least loaded replica of those that can take a request now.

        :param any_head: whether heads that are left out will do
        """
        recorded, lost = self._directory.recorded(), self._lost()
        left = [
            replica
            for replica in replicas
            if replica.name in recorded
            and replica.head.id not in exclude
            and replica.head.id not in lost
            and self._directory.may_use(replica.head)
            and not self._rests.left_s(replica.head.life)
        ]
        fit = [r for r in left if any_head or not self._health.excluded(r.head.id)]
        suspected = self._suspected()
        best: _Scored | None = None
        ties = 0
        for replica in fit:
            head = replica.head
            if not self._has_room(head, replica.slowdown) or not self._bears(head):
                continue
            score = self._score(head, replica.slowdown)
            if replica.slowdown > 1:
                score += SPREAD_LOAD
            if replica.missing:
                score += MISSING_LOAD
            if head.id in suspected:
                score += SUSPECT_LOAD
            if best is not None and score == best.score:
                ties += 1
                if self._random.random() * (ties + 1) >= 1:
                    continue
            elif best is not None and score > best.score:
                continue
            else:
                ties = 0
            best = _Scored(score, replica)
        return best

    def _refusal(
        self,
        code: str,
        replicas: Sequence[ServingReplica],
        exclude: Collection[str],
    ) -> RefusalError:
        """Return what a caller is told whom no replica can take now."""
        heads = [
            replica.head
            for replica in replicas
            if replica.name in self._directory.recorded()
            and self._directory.may_use(replica.head)
        ]
        return self._refuse(code, heads, [h for h in heads if h.id not in exclude])

    def plain(self, service: str, *, exclude: Collection[str] = ()) -> Host:
        """Return the host of a plain service that suits a request best.

        :param service: name of the service
        :param exclude: hosts that the request has failed on
        :raises RefusalError: if none can take it now
        """
        hosts = list(self._directory.plain_hosts(service))
        left = [host for host in hosts if host.id not in exclude]
        suspected = self._suspected()
        free = [
            host
            for host in left
            if not self._rests.left_s(host.life)
            and not self._health.excluded(host.id)
            and self._has_room(host)
            and self._bears(host)
        ]
        if not free:
            raise self._refuse("no_service", hosts, left)

        def score(host: Host) -> tuple[float, float]:
            load = self._score(host)
            if host.id in suspected:
                load += SUSPECT_LOAD
            return load, self._random.random()

        chosen = min(free, key=score)
        self._note_sent(chosen)
        return chosen

    def _refuse(
        self, code: str, hosts: Sequence[Host], left: Sequence[Host]
    ) -> RefusalError:
        """Return what a caller is told whom no upstream can take now.

        :param code: code of the refusal if none of them answers
        :param hosts: the upstreams that there are
        :param left: those that the request has not failed on
        """
        rests_s = [self._rests.left_s(host.life) for host in hosts]
        resting = {h.id for h, rest_s in zip(hosts, rests_s, strict=True) if rest_s}
        fit = [
            host
            for host in left
            if host.id not in resting and not self._health.excluded(host.id)
        ]
        wait_s = FULL_RETRY_S if fit else max(NONE_RETRY_S, min(rests_s, default=0.0))
        refusal = RefusalError(
            "no_slot" if fit else code,
            f"{len(fit)} of {len(hosts)} upstreams answer, none has a free slot.",
            retry_after_s=wait_s * (1 + JITTER * (self._random.random() - 0.5)),
        )
        refusal.inputs = {
            "known": len(hosts),
            "answering": len(fit),
            "loads": [self.load(host) for host in fit[:MOST_LOGGED]],
        }
        return refusal

    def load(self, host: Host) -> int:
        """Return the requests at an upstream, as far as they are known."""
        return self._health.in_flight(host.id) + self._elsewhere(host.id)[0]

    def _score(self, host: Host, slowdown: float = 1.0) -> float:
        in_flight, waiting = self._elsewhere(host.id)
        in_flight += self._health.in_flight(host.id)
        waiting += self._health.waiting(host.id)
        score = slowdown * (in_flight + WAITING_WEIGHT * waiting) / max(host.slots, 1)
        if host.failure_domain != self._failure_domain:
            score += min(self._stale_load, MOST_FAR_LOAD)
        if self._health.quiet_s(host.id) > QUIET_S:
            score += QUIET_LOAD
        return score

    def _has_room(self, host: Host, slowdown: float = 1.0) -> bool:
        return self.load(host) < host.slots * (1 + QUEUE_PART) / slowdown

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
        return len(sent) < self._cold_part(host, service.cold_per_s)

    def _cold_part(self, host: Host, cold_per_s: float) -> int:
        """Return the requests a second that this daemon may send to a cold upstream.

        The bound is dealt to the daemons of its failure domain, one request to each
        in an order that all agree on, so that their parts add up to the bound.
        """
        sharers = {*self._sharers(host.failure_domain)}
        if self._name not in sharers:
            return 0
        whole, rest = divmod(int(cold_per_s), len(sharers))
        place = rank_names(f"cold {host.id}", sharers).index(self._name)
        return whole + (place < rest)

    def _note_sent(self, host: Host) -> None:
        if self._directory.cold_s(host) > 0:
            self._sent_by_cold_host.setdefault(host.id, deque()).append(loop_time())


def _better(one: _Scored | None, other: _Scored | None) -> _Scored | None:
    """Return the less loaded of two replicas, either of which there may not be."""
    if one is None or (other is not None and other.score < one.score):
        return other
    return one
