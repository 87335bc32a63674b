"""Scoring by predicted cost: how likely a choice makes callers late, here and there."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator, Mapping
from contextlib import contextmanager
from math import sqrt
from typing import NamedTuple

from ..clock import loop_time
from ..telemetry import Gauge, GaugeReading
from . import cost_model
from .corrections import Corrections, Typical
from .cost_model import EngineTimes, Prediction, ReplicaLoad, RequestSize
from .directory import Directory
from .health import Health
from .host import Host
from .prompt_load import NO_LOAD, OwnLoad, PromptLoad, RemotePrompts
from .route import NO_CONFIGURATION
from .scoring import QUEUE_FRACTION, CountScoring, Progress, Scoring
from .serving_replica import ServingReplica

DEFAULT_OBJECTIVE_S = 1.0
"""Objective for the first event of a route that names none."""
DELAY_WEIGHT = 0.1
"""Cost of a first event right at its objective that is certain to be on time: of two
upstreams where nobody is late, the sooner one is better."""
SUBSET_MAX_COST = 0.15
"""Cost at the best head in this daemon's subset up to which no other head is
considered: hardly anybody is late."""
CERTAINTY = 8
"""Exponent of the log-logistic distribution of times around their predictions: one in
ten is over 1.3 times the prediction."""
MAX_RATIO = 1e3
"""Ratio of a time to its objective beyond which it makes no difference."""
MIN_STREAM_EVENTS = 5
"""Events of a stream from which its mean interval is taken."""

KNOWN_S = 1.0
"""Seconds after which times and the age of reports are computed again."""
MAX_REPLICAS = 4096
"""Replicas of which the times are kept; beyond it they are computed again."""

ModelKey = tuple[str, str]
"""Service and model."""


class _KnownReplica(NamedTuple):
    """What changes seldom of a replica."""

    replica: ServingReplica
    key: ModelKey
    times: EngineTimes | None
    """None if the engine publishes no times."""
    typical: Typical
    max_requests: float
    deviation: float
    """Standard deviation of what others report, for one request."""


class PredictedCostScoring(Scoring):
    """Scores replicas by the number of callers that a choice is expected to make late.

    Engines that publish no times are scored by counts.

    :param directory: the configuration in force
    :param counts: scoring of replicas whose engine publishes no times
    :param remote_prompts: returns what other daemons have told of their requests
    :param report_age_s: returns the usual age of these reports about a head
    """

    spread_penalty = 0.0
    subset_max_score = SUBSET_MAX_COST
    outside_penalty = 0.0
    counts_report_age = True

    def __init__(
        self,
        directory: Directory,
        counts: CountScoring,
        *,
        remote_prompts: Callable[[str], RemotePrompts],
        report_age_s: Callable[[Host], float],
    ) -> None:
        self._directory = directory
        self._counts = counts
        self._remote_prompts = remote_prompts
        self._report_age_s = report_age_s
        self._own: dict[str, OwnLoad] = {}
        self._corrections = Corrections()
        self._configuration = NO_CONFIGURATION
        self._known: dict[str, _KnownReplica] = {}
        self._learned_at = -1.0
        self._pause_objective_s: dict[ModelKey, float] = {}
        """Shortest objective for pauses of the requests for each model."""

    @property
    def prompt_load_by_host(self) -> Mapping[str, PromptLoad]:
        """Return the tokens of this daemon's requests at each upstream."""
        return {host: PromptLoad(x.unread, x.held) for host, x in self._own.items()}

    def score(self, replica: ServingReplica, size: RequestSize) -> float | None:
        """Return how many callers are expected to be late, None if there is no room."""
        known = self._known.get(replica.name)
        if known is None or known.replica is not replica:
            known = self._learn(replica)
        times, host = known.times, replica.head.id
        if times is None:
            return self._counts.score(replica, size)
        remote, own = self._remote_prompts(host), self._own.get(host, NO_LOAD)
        if remote.in_flight + own.in_flight >= known.max_requests:
            return None
        load = _load(known, times, remote, own)
        if not cost_model.fits(times, load, size):
            return None
        return self._cost(known, load, cost_model.predict(times, load, size), size)

    def _cost(
        self,
        known: _KnownReplica,
        load: ReplicaLoad,
        prediction: Prediction,
        size: RequestSize,
    ) -> float:
        first_s, pause_before_s, pause_s = prediction
        typical = known.typical
        factor = self._corrections.factor(known.replica.head.id)
        first = factor * (first_s + typical.offset_s)
        first /= size.objective_s or DEFAULT_OBJECTIVE_S
        cost = _lateness(first) + DELAY_WEIGHT * first
        factor *= typical.ratio
        tightest_s = self._pause_objective_s.get(known.key)
        after = _lateness(factor * pause_s / tightest_s) if tightest_s else 0.0
        if tightest_s and load.streams:
            before = _lateness(factor * pause_before_s / tightest_s)
            cost += load.streams * (after - before)
        if size.pause_objective_s == tightest_s:
            return cost + after
        if size.pause_objective_s:
            cost += _lateness(factor * pause_s / size.pause_objective_s)
        return cost

    @contextmanager
    def track(self, replica: ServingReplica, size: RequestSize) -> Iterator[Progress]:
        """Count the tokens of a request, and compare its times with those predicted."""
        known = self._learn(replica)
        if known.times is None:
            yield Progress()
            return
        self._note_pause_objective(known.key, size.pause_objective_s)
        host = replica.head.id
        own = self._own.setdefault(host, OwnLoad())
        load = _load(known, known.times, self._remote_prompts(host), own)
        predicted = cost_model.predict(known.times, load, size)
        prompt_tokens = int(size.prompt_tokens or known.times.usual_prompt_tokens)
        answer_tokens = int(size.answer_tokens or known.times.usual_answer_tokens)
        request = _TrackedRequest(
            own, self._corrections, host, known.key, prompt_tokens, predicted
        )
        own.in_flight += 1
        own.held += prompt_tokens + answer_tokens
        try:
            yield request
        finally:
            request.end()
            own.in_flight -= 1
            own.held -= prompt_tokens + answer_tokens
            if not own.in_flight:
                self._own.pop(host, None)

    def inputs(self, hosts: Iterable[Host]) -> dict[str, object]:
        """Return the tokens and corrections of upstreams, for the log of a refusal."""
        ids = [host.id for host in hosts]
        held = [
            self._own.get(host, NO_LOAD).held + self._remote_prompts(host).held
            for host in ids
        ]
        factors = [round(self._corrections.factor(host), 2) for host in ids]
        return {"held_tokens": held, "corrections": factors}

    def readings(self) -> Iterator[GaugeReading]:
        """Yield the largest correction, and what predictions usually lack."""
        slowest = round(self._corrections.slowest(), 3)
        yield GaugeReading(Gauge.SLOWEST_UPSTREAM, slowest)
        for service, model in self._pause_objective_s:
            typical = self._corrections.typical((service, model))
            yield GaugeReading(
                Gauge.FIRST_EVENT_OFFSET, round(typical.offset_s, 4), model
            )
            yield GaugeReading(Gauge.INTERVAL_RATIO, round(typical.ratio, 3), model)

    def _learn(self, replica: ServingReplica) -> _KnownReplica:
        """Return what changes seldom of a replica, and keep it for a second."""
        now = loop_time()
        if now - self._learned_at > KNOWN_S or len(self._known) >= MAX_REPLICAS:
            self._known.clear()
            self._learned_at = now
        known = self._known.get(replica.name)
        if known is not None and known.replica is replica:
            return known
        head, slowdown = replica.head, replica.slowdown
        engine = self._directory.engines.get(replica.service)
        factor = replica.model.pace * slowdown
        times = cost_model.engine_times(engine, factor, head.slots) if engine else None
        key = replica.service, replica.model.name
        age_s = self._report_age_s(head)
        known = _KnownReplica(
            replica,
            key,
            times,
            self._corrections.typical(key),
            head.slots * (1 + QUEUE_FRACTION) / slowdown,
            cost_model.deviation(times, 1.0, age_s) if times else 0.0,
        )
        self._known[replica.name] = known
        return known

    def _note_pause_objective(self, key: ModelKey, objective_s: float) -> None:
        if self._configuration is not self._directory.configuration:
            self._configuration = self._directory.configuration
            self._pause_objective_s.clear()
        known_s = self._pause_objective_s.get(key, objective_s)
        if objective_s:
            self._pause_objective_s[key] = min(objective_s, known_s)


def _load(
    known: _KnownReplica, times: EngineTimes, remote: RemotePrompts, own: OwnLoad
) -> ReplicaLoad:
    """Return the requests at a head; those told without tokens count as usual."""
    in_flight, waiting, unread, held, untold, untold_waiting = remote
    deviation = known.deviation * sqrt(in_flight) if in_flight > 0 else 0.0
    if untold:
        usual = times.usual_prompt_tokens
        unread += round(untold_waiting * usual)
        held += round(untold * (usual + times.usual_answer_tokens))
    waiting += own.unanswered
    return ReplicaLoad(
        max(in_flight + own.in_flight - waiting, 0),
        max(waiting, 0),
        unread + own.unread,
        held + own.held,
        deviation,
    )


class _TrackedRequest(Progress):
    """One request at a replica: its unread prompt, and its observed times."""

    def __init__(
        self,
        own: OwnLoad,
        corrections: Corrections,
        host: str,
        key: ModelKey,
        prompt_tokens: int,
        predicted: Prediction,
    ) -> None:
        self._own = own
        self._corrections = corrections
        self._host = host
        self._key = key
        self._unread = prompt_tokens
        self._predicted = predicted
        self._began_at = loop_time()
        self._first_at = self._last_at = 0.0
        self._events = 0
        own.unanswered += 1
        own.unread += prompt_tokens

    def record_events(self, count: int, *, at: float) -> None:
        """Record events; the first one shows that the prompt has been read."""
        if not self._events:
            self._first_at = at
            self._take_off_prompt()
            self._corrections.record_first_event(
                self._host,
                self._key,
                predicted_s=self._predicted.first_event_s,
                took_s=at - self._began_at,
            )
        self._events += count
        self._last_at = at

    def end(self) -> None:
        """Record the mean interval of the request's events, if it had enough."""
        if not self._events:
            self._take_off_prompt()
        if self._events >= MIN_STREAM_EVENTS:
            self._corrections.record_interval(
                self._host,
                self._key,
                predicted_s=self._predicted.pause_before_s,
                took_s=(self._last_at - self._first_at) / (self._events - 1),
            )

    def _take_off_prompt(self) -> None:
        self._own.unanswered -= 1
        self._own.unread -= self._unread


def build_scoring(
    directory: Directory,
    health: Health,
    *,
    load_aware: bool,
    remote_load: Callable[[str], tuple[int, int]],
    remote_prompts: Callable[[str], RemotePrompts],
    report_age_s: Callable[[Host], float],
) -> Scoring:
    """Return the scoring of a deployment.

    :param load_aware: whether replicas are scored by predicted cost
    """
    counts = CountScoring(health, remote_load)
    if not load_aware:
        return counts
    return PredictedCostScoring(
        directory,
        counts,
        remote_prompts=remote_prompts,
        report_age_s=report_age_s,
    )


def _lateness(ratio: float) -> float:
    """Return how likely a time is over its objective.

    :param ratio: the expected time, as a fraction of the objective
    """
    if ratio > MAX_RATIO:
        return 1.0
    power = ratio**CERTAINTY
    return power / (1.0 + power)
