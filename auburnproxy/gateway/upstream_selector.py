"""Load balancing: selects the upstream that a request is sent to."""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterator, Sequence
from contextlib import AbstractContextManager
from random import Random
from typing import NamedTuple

from ..errors import RefusalError
from ..rendezvous import rank_names
from .backoffs import UpstreamBackoffs
from .call import Call
from .cost_model import RequestSize
from .directory import Directory
from .health import Health
from .host import Host, Incarnation
from .named_limits import NamedLimits
from .process_exits import process_name
from .scoring import UNKNOWN_SIZE, CountScoring, Progress, Scoring
from .serving_replica import ServingReplica
from .shared_rates import SharedRate, SharedRates
from .subsets import ServiceModel, Subsets

FAR_PENALTY = 0.1
"""Load, as a fraction of the slots, added to the score of an upstream in another
failure domain."""
FRESH_REPORT_AGE_S = 0.3
"""Age up to which load reports of far upstreams are treated as current."""
STALE_PENALTY_PER_S = 0.2
"""Further penalty for each second by which load reports of far upstreams are older."""
FAR_SPILL_LOAD = 0.85
"""Load of the best near replica above which far ones are considered, whatever the age
of their load reports."""
MAX_FAR_PENALTY = 0.35
"""Upper bound of the far penalty. A higher one would let a failure domain that has lost
heads fill the remaining near ones beyond their slots."""
OUTSIDE_SUBSET_SAMPLE = 3
"""Near heads outside the subset that are sampled above that load."""
SUSPECT_PENALTY = 1.0
"""Penalty for an upstream that another daemon has excluded."""
QUIET_AFTER_S = 0.13
"""Silence on all of this daemon's streams after which an upstream is penalized. Nine in
ten pauses between events are at most half as long."""
QUIET_PENALTY = 0.5
MISSING_MEMBER_PENALTY = 0.5
"""Penalty for a replica with a member that is no longer registered."""
MIN_FAR_SAMPLE = 2
SECOND_FAR_SAMPLE = 16
"""Size of the second sample of far replicas, for when none of the first can take a
request."""
FAR_SAMPLE_INTERVAL_S = 4.0
"""Size of the first sample of far replicas, multiplied by the seconds between two
heartbeats of a far daemon."""
MAX_LOGGED_LOADS = 32
"""Maximum number of loads in the log line of a refusal."""
MAX_LIMIT_SHARERS = 8
"""Daemons that share the limit of an upstream; more would seldom get a turn."""
FULL_RETRY_S = 1.0
"""Retry-After when all slots are taken: a stream holds a slot for about a second, and a
refused caller misses its objective whenever it retries."""
UNAVAILABLE_RETRY_S = 1.5
"""Retry-After when no upstream is available: by then a replica has probably formed
again or an exclusion has ended."""
JITTER = 0.4
"""Relative spread of Retry-After values, so that refused callers don't retry at the
same moment."""


class _Demand(NamedTuple):
    """What a request asks of the selection."""

    tried: Collection[str]
    """Upstreams at which it has already failed."""
    urgency: int
    size: RequestSize = UNKNOWN_SIZE


class _Candidate(NamedTuple):
    score: float
    """What the choice costs, plus penalties."""
    replica: ServingReplica


class UpstreamSelector:
    """Selects upstreams by score, failure domain and health.

    :param directory: registered hosts
    :param health: what this daemon's own requests show about each upstream
    :param backoffs: upstreams in the wait of a Retry-After
    :param subsets: near heads that this daemon prefers
    :param limits: rates that upstreams have named
    :param rates: divides the rates of upstreams among the daemons
    :param failure_domain: failure domain of this daemon
    :param remote_load: returns the requests of other daemons at an upstream, and how
        many of those have no answer yet
    :param suspected: returns the upstreams that other daemons have excluded
    :param retiring_heads: returns the heads of replicas that are being dissolved
    :param sharers: returns the daemons of a failure domain that share the rate limit of
        a cold upstream, none while they are unknown
    :param live_daemons: returns all live daemons, none while they are unknown
    :param has_ended: returns whether a process is known to have ended
    :param far_interval_s: returns the seconds between two heartbeats of a far daemon
    :param scoring: scores replicas; by the number of their requests if None
    """

    def __init__(
        self,
        directory: Directory,
        health: Health,
        backoffs: UpstreamBackoffs,
        subsets: Subsets,
        limits: NamedLimits,
        rates: SharedRates,
        *,
        failure_domain: str,
        remote_load: Callable[[str], tuple[int, int]] = lambda host: (0, 0),
        suspected: Callable[[], Collection[str]] = tuple,
        retiring_heads: Callable[[], Collection[str]] = tuple,
        sharers: Callable[[str], Collection[str]] = lambda domain: (),
        live_daemons: Callable[[], Collection[str]] = tuple,
        has_ended: Callable[[Incarnation], bool] = lambda incarnation: False,
        far_interval_s: Callable[[], float] = lambda: 0.3,
        random: Random | None = None,
        scoring: Scoring | None = None,
    ) -> None:
        self._directory = directory
        self._health = health
        self._backoffs = backoffs
        self._subsets = subsets
        self._limits = limits
        self._rates = rates
        self._failure_domain = failure_domain
        self._counts = CountScoring(health, remote_load)
        self._scoring = scoring or self._counts
        self._suspected = suspected
        self._retiring_heads = retiring_heads
        self._sharers = sharers
        self._live_daemons = live_daemons
        self._has_ended = has_ended
        self._far_interval_s = far_interval_s
        self._random = random or Random()
        self._indexed_replicas: tuple[ServingReplica, ...] | None = None
        self._near: dict[ServiceModel, list[ServingReplica]] = {}
        """Replicas in this daemon's failure domain by service and model."""
        self._far: dict[ServiceModel, list[ServingReplica]] = {}

    def service(self, call: Call) -> str:
        """Return the service that gets the next try of a request."""
        return self._directory.service(call)

    def is_leaving(self, host: Host) -> bool:
        """Return whether a host is leaving, or has been removed from the registry."""
        return self._directory.is_leaving(host)

    def select_replica(
        self,
        service: str,
        model: str,
        *,
        tried: Collection[str] = (),
        urgency: int = 0,
        include_excluded: bool = False,
        size: RequestSize = UNKNOWN_SIZE,
    ) -> ServingReplica:
        """Return the best replica for a request.

        :param service: name of the service that the request is for
        :param model: the model that the caller asks for
        :param tried: heads at which the request has already failed
        :param urgency: urgency of the request, 0 first
        :param include_excluded: whether to fall back to an excluded head if there is no
            other
        :param size: what the request brings, and what its caller expects
        :raises RefusalError: if no replica can take the request now
        """
        near, far = self._candidates(service, model)
        demand = _Demand(tried, urgency, size)
        chosen = self._best_near(near, demand)
        if chosen is None or chosen.score > min(self._far_age_penalty, FAR_SPILL_LOAD):
            for sample in self._far_samples(far):
                chosen = _less_loaded(chosen, self._least_loaded(sample, demand))
                if chosen is not None:
                    break
        if chosen is None and include_excluded:
            chosen = self._least_loaded([*near, *far], demand, include_excluded=True)
        if chosen is None:
            raise self._replica_refusal("no_replica", [*near, *far], tried)
        self._record_sent(chosen.replica.head)
        return chosen.replica

    def _best_near(
        self, near: Sequence[ServingReplica], demand: _Demand
    ) -> _Candidate | None:
        """Return the best near replica, preferring this daemon's own subset."""
        own = [r for r in near if self._subsets.contains(r.head.id)]
        chosen = self._least_loaded(own, demand)
        if chosen is not None and chosen.score <= self._scoring.subset_max_score:
            return chosen
        others = [r for r in near if not self._subsets.contains(r.head.id)]
        sample = self._random.sample(others, min(OUTSIDE_SUBSET_SAMPLE, len(others)))
        other = self._least_loaded(sample, demand)
        if other is not None:
            other = other._replace(score=other.score + self._scoring.outside_penalty)
        return _less_loaded(chosen, other) or self._least_loaded(near, demand)

    @property
    def _far_age_penalty(self) -> float:
        """Return the score penalty for far replicas and the age of their reports."""
        if self._scoring.counts_report_age:
            return FAR_PENALTY
        overdue_s = max(self._far_interval_s() - FRESH_REPORT_AGE_S, 0.0)
        return FAR_PENALTY + STALE_PENALTY_PER_S * overdue_s

    def _candidates(
        self, service: str, model: str
    ) -> tuple[Sequence[ServingReplica], Sequence[ServingReplica]]:
        """Return the near and the far replicas of a service's model that can serve."""
        replicas = self._directory.replicas()
        if replicas is not self._indexed_replicas:
            self._indexed_replicas = replicas
            self._near, self._far = {}, {}
            for replica in replicas:
                if not replica.leaving:
                    near = replica.head.failure_domain == self._failure_domain
                    index = self._near if near else self._far
                    key = replica.service, replica.model.name
                    index.setdefault(key, []).append(replica)
            self._subsets.assign(
                {k: tuple(r.head.id for r in near) for k, near in self._near.items()}
            )
        key = service, model
        return self._near.get(key, ()), self._far.get(key, ())

    def _far_samples(
        self, far: Sequence[ServingReplica]
    ) -> Iterator[Sequence[ServingReplica]]:
        """Yield sets of far replicas to select from, small random samples first.

        With old load reports, all daemons would pick the same replica that last looked
        best. Random samples spread their choices; the older the reports, the smaller
        the first sample.
        """
        sample_size = max(
            MIN_FAR_SAMPLE, round(FAR_SAMPLE_INTERVAL_S / self._far_interval_s())
        )
        if sample_size < len(far):
            yield self._random.sample(far, sample_size)
            yield self._random.sample(far, min(SECOND_FAR_SAMPLE, len(far)))
        yield far

    def _least_loaded(
        self,
        replicas: Sequence[ServingReplica],
        demand: _Demand,
        *,
        include_excluded: bool = False,
    ) -> _Candidate | None:
        """Return the least loaded replica of those that can take a request now.

        :param include_excluded: whether excluded heads are eligible
        """
        recorded, retiring_heads = (
            self._directory.recorded_replicas(),
            self._retiring_heads(),
        )
        suspected = self._suspected()
        far_penalty = min(self._far_age_penalty, MAX_FAR_PENALTY)
        best: _Candidate | None = None
        ties = 0
        for replica in replicas:
            head = replica.head
            if (
                replica.name not in recorded
                or head.id in demand.tried
                or head.id in retiring_heads
            ):
                continue
            score = self._scoring.score(replica, demand.size)
            if score is None:
                continue
            score = self._with_penalties(score, head, far_penalty)
            if replica.slowdown > 1:
                score += self._scoring.spread_penalty
            if replica.missing:
                score += MISSING_MEMBER_PENALTY
            if head.id in suspected:
                score += SUSPECT_PENALTY
            if best is not None and score > best.score:
                continue
            if not (
                self._is_available(head)
                and (include_excluded or not self._health.is_excluded(head.id))
                and self._within_rate(head, demand.urgency)
            ):
                continue
            if best is not None and score == best.score:
                ties += 1
                if self._random.random() * (ties + 1) >= 1:
                    continue
            else:
                ties = 0
            best = _Candidate(score, replica)
        return best

    def _is_available(self, head: Host) -> bool:
        """Return whether a head may get requests by what is known of its process."""
        return (
            self._directory.is_usable(head)
            and not self._has_ended(head.incarnation)
            and not self._backoffs.remaining_s(head.incarnation)
        )

    def _replica_refusal(
        self,
        code: str,
        replicas: Sequence[ServingReplica],
        tried: Collection[str],
    ) -> RefusalError:
        """Return the refusal for a request that no replica can take now."""
        heads = [
            replica.head
            for replica in replicas
            if replica.name in self._directory.recorded_replicas()
            and self._directory.is_usable(replica.head)
        ]
        return self._build_refusal(code, heads, [h for h in heads if h.id not in tried])

    def select_host(
        self, service: str, *, tried: Collection[str] = (), urgency: int = 0
    ) -> Host:
        """Return the best host of a plain service for a request.

        :param service: name of the service
        :param tried: hosts at which the request has already failed
        :param urgency: urgency of the request, 0 first
        :raises RefusalError: if no host can take the request now
        """
        hosts = list(self._directory.usable_hosts(service))
        untried = [host for host in hosts if host.id not in tried]
        suspected = self._suspected()
        free = [
            host
            for host in untried
            if not self._backoffs.remaining_s(host.incarnation)
            and not self._health.is_excluded(host.id)
            and self._counts.has_room(host)
            and self._within_rate(host, urgency)
        ]
        if not free:
            raise self._build_refusal("no_service", hosts, untried)

        far_penalty = min(self._far_age_penalty, MAX_FAR_PENALTY)

        def score(host: Host) -> tuple[float, float]:
            load = self._counts.load_fraction(host)
            load = self._with_penalties(load, host, far_penalty)
            if host.id in suspected:
                load += SUSPECT_PENALTY
            return load, self._random.random()

        chosen = min(free, key=score)
        self._record_sent(chosen)
        return chosen

    def _build_refusal(
        self, code: str, hosts: Sequence[Host], untried: Sequence[Host]
    ) -> RefusalError:
        """Return the refusal for a request that no upstream can take now.

        :param code: code of the refusal if none of the upstreams is healthy
        :param hosts: all upstreams of the service or model
        :param untried: those at which the request has not failed
        """
        backoffs_s = [self._backoffs.remaining_s(host.incarnation) for host in hosts]
        backing_off = {
            h.id for h, backoff_s in zip(hosts, backoffs_s, strict=True) if backoff_s
        }
        healthy = [
            host
            for host in untried
            if host.id not in backing_off and not self._health.is_excluded(host.id)
        ]
        wait_s = (
            FULL_RETRY_S
            if healthy
            else max(UNAVAILABLE_RETRY_S, min(backoffs_s, default=0.0))
        )
        refusal = RefusalError(
            "no_slot" if healthy else code,
            f"{len(healthy)} of {len(hosts)} upstreams answer, none has a free slot.",
            retry_after_s=wait_s * (1 + JITTER * (self._random.random() - 0.5)),
        )
        refusal.inputs = {
            "known": len(hosts),
            "answering": len(healthy),
            "limited": sum(self._named_rate(host) is not None for host in healthy),
            "loads": [self.load(host) for host in healthy[:MAX_LOGGED_LOADS]],
            **self._scoring.inputs(healthy[:MAX_LOGGED_LOADS]),
        }
        return refusal

    def load(self, host: Host) -> int:
        """Return the known requests of all daemons at an upstream."""
        return self._counts.load(host)

    def track(
        self, replica: ServingReplica, size: RequestSize
    ) -> AbstractContextManager[Progress]:
        """Track a request at a replica for later scores, while the context lasts."""
        return self._scoring.track(replica, size)

    def _with_penalties(self, score: float, host: Host, far_penalty: float) -> float:
        """Return a score with the penalties for an upstream's distance and silence."""
        if host.failure_domain != self._failure_domain:
            score += far_penalty
        if self._health.streams_silent_s(host.id) > QUIET_AFTER_S:
            score += QUIET_PENALTY
        return score

    def _within_rate(self, host: Host, urgency: int) -> bool:
        """Return whether the rate of an upstream allows another request."""
        rate = self._rate(host)
        return rate is None or self._rates.allows(rate, urgency=urgency)

    def _record_sent(self, host: Host) -> None:
        rate = self._rate(host)
        if rate is not None:
            self._rates.record_sent(rate)

    def _rate(self, host: Host) -> SharedRate | None:
        """Return the rate that limits an upstream now, the lower one if there are two.

        :return: None if it may get any number of requests
        """
        cold, named = self._cold_rate(host), self._named_rate(host)
        if cold is None or named is None:
            return cold or named
        return cold if cold.per_s <= named.per_s else named

    def _cold_rate(self, host: Host) -> SharedRate | None:
        if self._directory.cold_s(host) <= 0:
            return None
        service = self._directory.configuration.services_by_name.get(host.service)
        if service is None or not service.cold_per_s:
            return None
        process = process_name(host.incarnation)
        sharers = self._sharers(host.failure_domain)
        return SharedRate(process, service.cold_per_s, host.seen_at, sharers)

    def _named_rate(self, host: Host) -> SharedRate | None:
        limit = self._limits.limit(host.incarnation)
        if limit is None:
            return None
        process = process_name(host.incarnation)
        sharers = self._limit_sharers(host)
        return SharedRate(process, limit.value, limit.began_at, sharers)

    def _limit_sharers(self, host: Host) -> Collection[str]:
        """Return the daemons that may send requests to an upstream with a limit.

        In a large fleet these are those that prefer it, or some that are near it.
        """
        live = {*self._live_daemons()}
        if len(live) <= MAX_LIMIT_SHARERS:
            return live
        sharers = live & {*self._subsets.sharers(host.id)}
        near = live & {*self._sharers(host.failure_domain)}
        ranked = rank_names(f"limit {host.id}", sharers or near or live)
        return ranked[:MAX_LIMIT_SHARERS]


def _less_loaded(one: _Candidate | None, other: _Candidate | None) -> _Candidate | None:
    """Return the less loaded of two replicas, either of which may be None."""
    if one is None or (other is not None and other.score < one.score):
        return other
    return one
