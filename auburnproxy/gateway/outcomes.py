"""Upstreams that fail what they get, as all daemons see it together.

Probes may lie either way, so only requests count. One that is merely silent is left to
the health checks, which tell it to all daemons. A daemon that fails at an upstream
lowers it for itself and tells the others. Several daemons together distrust it: it gets
nothing but trials then, single requests after growing pauses, until it answers.

Failures that end processes belong to the quarantine of prompt parts: the request may be
the cause there.
"""

from __future__ import annotations

import asyncio
import math
import zlib
from abc import ABC, abstractmethod
from collections import Counter, defaultdict
from collections.abc import Callable, Collection, Iterator, Mapping, Set
from typing import NamedTuple

from ..clock import loop_time
from ..gossip import FactKind, FactTable, HeldFact
from ..telemetry import Gauge, GaugeReading
from ..telemetry.decisions import DecisionLog
from ..trial_turns import is_turn
from .directory import Directory
from .host import Host
from .outcome_record import FAILURE_WEIGHTS, Outcome, OutcomeRecords
from .process_exits import process_name

EVIDENCE_S = 4.0
"""Time for which the failures that a daemon has told count."""
SUFFICIENT_EVIDENCE = 1.5
"""Sum of what daemons have told from which all distrust an upstream. None counts more
than 1, so that it takes two."""
LEAST_EVIDENCE = 0.25
"""Evidence below which a daemon tells nothing."""
LEAST_CREDIBILITY = 0.4
"""Credibility below which a daemon's failed trials change nothing."""
MAX_REPORTERS = 4
"""Daemons that tell failures of one process; more would change nothing."""
REVIEW_S = 0.05
"""Time after a failure at which it is judged again, since others may be telling theirs
at this moment."""
OWN_WEIGHT = 0.6
"""Distrust for each failure that this daemon alone has seen."""
HALF_BELIEVED, DISTRUSTED, MAX_STRIKES = 1, 2, 4
"""Strikes of an upstream that has answered a trial, of one that gets nothing but
trials, and the most that are counted."""
HALF_LEVEL = 0.2
"""Distrust of one that has answered a trial."""
MAX_DISTRUSTED_FRACTION = 0.5
"""Fraction of the upstreams of a model or plain service that may be distrusted. If more
fail, it is likely their requests or this daemon, and the rest can't carry the load."""
FIRST_PAUSE_S = 0.5
"""Pause before the first trial; it doubles with each further strike."""
PAUSE_JITTER = 0.4
"""Relative spread of pauses, so that upstreams aren't tried at the same moment."""
REMEMBERED_S = 8.0
"""Time after the pause at which an upstream that nobody has tried is believed again."""
TRIAL_S = 2.0
"""Time within which a trial shows something; then another request may be tried."""
TRIAL_TURN_S = 0.15
"""Time after which the number of daemons that may start a trial doubles."""
ONCE_AFTER_S = 2.0
"""Time for which first trials are left to requests that may be repeated."""
LEVELS_S = 0.1
"""Time for which computed levels are used, since failures fade."""


class Outcomes(ABC):
    """What is learned from the outcomes of requests, and what follows for others."""

    @abstractmethod
    def record(self, host: Host, outcome: Outcome, *, sent_at: float) -> None:
        """Record the outcome of one try.

        :param host: the upstream
        :param outcome: what became of it
        :param sent_at: the loop's time in seconds at which it was sent
        """

    @abstractmethod
    def distrusted(self, host: str) -> float:
        """Return how little an upstream is believed: 0 fully, 1 nothing but trials."""

    @abstractmethod
    def trials(self, *, repeatable: bool) -> Set[str]:
        """Return the upstreams that a request of this daemon may try now.

        :param repeatable: whether the request may run more than once
        """

    @abstractmethod
    def begin_trial(self, host: Host, request_id: str) -> None:
        """Record that a request is being sent to an upstream as its trial."""

    @abstractmethod
    def readings(self) -> Iterator[GaugeReading]:
        """Yield the current gauge values of this module."""


class UnusedOutcomes(Outcomes):
    """Believes every upstream, where daemons don't share a pool of them."""

    def record(self, host: Host, outcome: Outcome, *, sent_at: float) -> None:
        """Learn nothing."""

    def distrusted(self, host: str) -> float:
        """Return that an upstream is believed."""
        return 0.0

    def trials(self, *, repeatable: bool) -> Set[str]:
        """Return no upstream."""
        return frozenset()

    def begin_trial(self, host: Host, request_id: str) -> None:
        """Do nothing, since there are no trials."""

    def readings(self) -> Iterator[GaugeReading]:
        """Yield nothing."""
        return iter(())


class _Level(NamedTuple):
    distrust: float
    strikes: float
    host: Host


class OutcomeTracker(Outcomes):
    """Shares failures with the other daemons and judges upstreams by them.

    :param facts: facts shared with the other daemons
    :param directory: registered hosts and replicas
    :param decisions: log of each change of belief
    :param name: name of this daemon
    :param daemons: returns the daemons that may try an upstream of a failure domain
    :param tell: sends the facts to some daemons at once
    """

    def __init__(
        self,
        facts: FactTable,
        directory: Directory,
        decisions: DecisionLog,
        *,
        name: str,
        daemons: Callable[[str], Collection[str]],
        tell: Callable[[Collection[str]], None],
    ) -> None:
        self._facts = facts
        self._directory = directory
        self._decisions = decisions
        self._name = name
        self._daemons = daemons
        self._tell_some = tell
        self._records = OutcomeRecords()
        self._levels: Mapping[str, _Level] = {}
        """The upstreams that are not fully believed, by host id."""
        self._levels_until = -math.inf
        facts.observe(FactKind.DISTRUST, self._apply_told)

    def record(self, host: Host, outcome: Outcome, *, sent_at: float) -> None:
        """Record the outcome of one try, and tell it if that changes anything.

        Silence alone tells nothing here, unless it is that of an upstream on trial.
        """
        process = process_name(host.incarnation)
        record = self._records.add(process, outcome)
        verdict = self._verdict(process)
        if verdict is not None:
            if sent_at > verdict.began_at:
                self._revise(host, verdict, outcome)
        elif outcome in FAILURE_WEIGHTS and outcome is not Outcome.SLOW:
            self._levels_until = -math.inf
            self._report(process, record.evidence * self._records.credibility())

    def distrusted(self, host: str) -> float:
        """Return how little an upstream is believed: 0 fully, 1 nothing but trials."""
        level = self._current_levels().get(host)
        return level.distrust if level is not None else 0.0

    def trials(self, *, repeatable: bool) -> Set[str]:
        """Return the upstreams that a request of this daemon may try now."""
        return {
            level.host.id
            for level in self._current_levels().values()
            if level.strikes and self._is_due(level.host, repeatable=repeatable)
        }

    def begin_trial(self, host: Host, request_id: str) -> None:
        """Tell that a request is being sent to an upstream as its trial."""
        process = process_name(host.incarnation)
        verdict = self._verdict(process)
        self._facts.tell(
            FactKind.PROBATION,
            process,
            ttl_s=TRIAL_S,
            origin=_trial_name(verdict) if verdict is not None else "",
            at_once=False,
        )
        self._tell_some(self._daemons(host.failure_domain))
        self._decisions.request("upstream_tried", request_id, process=process)

    def readings(self) -> Iterator[GaugeReading]:
        """Yield the current gauge values of this module."""
        counts = Counter(
            level.host.service
            for level in self._current_levels().values()
            if level.strikes >= DISTRUSTED
        )
        for service in {host.service for host in self._directory.hosts.values()}:
            yield GaugeReading(Gauge.UPSTREAMS_DISTRUSTED, counts[service], service)

    def _revise(self, host: Host, verdict: HeldFact, outcome: Outcome) -> None:
        """Change a verdict after the outcome of a request that was sent since."""
        process, strikes = verdict.key.subject, verdict.value
        if outcome in FAILURE_WEIGHTS:
            if self._records.credibility() < LEAST_CREDIBILITY:
                return
            more = min(strikes + 1, MAX_STRIKES)
            self._tell(process, more, at_once=strikes < DISTRUSTED)
            self._tell_some(self._daemons(host.failure_domain))
        elif outcome is Outcome.ANSWERED:
            self._tell(process, strikes // 2, at_once=strikes >= DISTRUSTED)

    def _report(self, process: str, evidence: float) -> None:
        """Tell the other daemons that requests fail at a process."""
        reports = self._facts.facts_on(FactKind.FAILURE, process)
        known = any(report.key.origin == self._name for report in reports)
        if evidence < LEAST_EVIDENCE or (not known and len(reports) >= MAX_REPORTERS):
            return
        self._facts.tell(
            FactKind.FAILURE,
            process,
            ttl_s=EVIDENCE_S,
            value=min(evidence, 1.0),
            origin=self._name,
        )
        self._judge(process)
        asyncio.get_running_loop().call_later(REVIEW_S, self._judge, process)

    def _judge(self, process: str) -> None:
        """Distrust a process if the evidence of several daemons suffices."""
        fact = self._facts.get(FactKind.DISTRUST, process)
        if fact is not None and fact.value:
            return
        since = fact.began_at if fact is not None else -math.inf
        evidence_by_daemon = {
            report.key.origin: round(min(report.value, 1.0), 2)
            for report in self._facts.facts_on(FactKind.FAILURE, process)
            if report.began_at > since
        }
        if sum(evidence_by_daemon.values()) >= SUFFICIENT_EVIDENCE:
            self._tell(process, DISTRUSTED, evidence=evidence_by_daemon)

    def _tell(
        self,
        process: str,
        strikes: float,
        *,
        evidence: Mapping[str, float] | None = None,
        at_once: bool = True,
    ) -> None:
        ttl_s = REMEMBERED_S + (_backoff_s(strikes) if strikes else 0.0)
        self._facts.tell(
            FactKind.DISTRUST, process, ttl_s=ttl_s, value=strikes, at_once=at_once
        )
        self._levels_until = -math.inf
        record = self._records.failing().get(process)
        failures = dict(record.failures) if record is not None else {}
        self._log(process, strikes, evidence=evidence or {}, failures=failures)

    def _apply_told(self, verdict: HeldFact) -> None:
        self._levels_until = -math.inf
        self._log(verdict.key.subject, verdict.value, reason="told")

    def _log(self, process: str, strikes: float, **inputs: object) -> None:
        kind = "upstream_distrusted" if strikes else "upstream_believed"
        self._decisions.belief(kind, process=process, strikes=int(strikes), **inputs)

    def _verdict(self, process: str) -> HeldFact | None:
        """Return the verdict on a process that is not fully believed."""
        fact = self._facts.get(FactKind.DISTRUST, process)
        return fact if fact is not None and fact.value else None

    def _is_due(self, host: Host, *, repeatable: bool) -> bool:
        """Return whether it is this daemon's turn to try an upstream."""
        process = process_name(host.incarnation)
        verdict = self._verdict(process)
        if verdict is None:
            return False
        overdue_s = loop_time() - verdict.began_at - _pause_s(verdict)
        if not repeatable and verdict.value >= DISTRUSTED:
            overdue_s -= ONCE_AFTER_S
        trial = _trial_name(verdict)
        if overdue_s < 0 or self._facts.get(FactKind.PROBATION, process, origin=trial):
            return False
        return is_turn(
            self._name,
            f"trial {process} {trial}",
            self._daemons(host.failure_domain),
            overdue_s=overdue_s,
            turn_s=TRIAL_TURN_S,
        )

    def _current_levels(self) -> Mapping[str, _Level]:
        now = loop_time()
        if now >= self._levels_until:
            self._levels = self._bounded(self._unbounded_levels())
            self._levels_until = now + LEVELS_S
        return self._levels

    def _unbounded_levels(self) -> list[_Level]:
        """Return the upstreams that are not fully believed, the worst first."""
        own = self._records.failing()
        credibility = self._records.credibility() if own else 0.0
        told = {f.key.subject: f.value for f in self._facts.facts(FactKind.DISTRUST)}
        levels = []
        for process in {*own, *told}:
            host = self._directory.hosts.get(process.rpartition("@")[0])
            if host is None or process_name(host.incarnation) != process:
                continue
            strikes = told.get(process, 0.0)
            distrust = 0.0
            if strikes:
                distrust = 1.0 if strikes >= DISTRUSTED else HALF_LEVEL
            if process in own:
                own_distrust = OWN_WEIGHT * own[process].evidence * credibility
                distrust = max(distrust, min(own_distrust, 1.0))
            if distrust:
                levels.append(_Level(distrust, strikes, host))
        return sorted(levels, key=lambda each: (each[:2], each.host.id), reverse=True)

    def _bounded(self, levels: list[_Level]) -> dict[str, _Level]:
        """Return as many of these as may be distrusted of each pool, by host id."""
        if not levels:
            return {}
        pools = self._pools()
        sizes = Counter(pools.values())
        taken: defaultdict[tuple[str, str], int] = defaultdict(int)
        bounded = {}
        for level in levels:
            pool = pools.get(level.host.id, (level.host.service, ""))
            if taken[pool] < int(MAX_DISTRUSTED_FRACTION * sizes[pool]):
                taken[pool] += 1
                bounded[level.host.id] = level
        return bounded

    def _pools(self) -> dict[str, tuple[str, str]]:
        """Return service and model of each upstream that requests can be sent to."""
        directory = self._directory
        pools = {
            host.id: (host.service, "")
            for host in directory.hosts.values()
            if not host.fabric_domain and directory.is_usable(host)
        }
        for replica in directory.replicas():
            if not replica.leaving:
                pools[replica.head.id] = (replica.service, replica.model.name)
        return pools


def _backoff_s(strikes: float) -> float:
    """Return the pause before a trial, without jitter."""
    return float(FIRST_PAUSE_S * 2 ** (min(strikes, MAX_STRIKES) - DISTRUSTED))


def _trial_name(verdict: HeldFact) -> str:
    """Return the name of the trials that follow a verdict."""
    return str(verdict.version)


def _pause_s(verdict: HeldFact) -> float:
    """Return the pause before a trial, at all daemons alike."""
    name = f"{verdict.key.subject} {verdict.version}".encode()
    spread = (zlib.crc32(name) % 1000) / 1000 - 0.5
    return _backoff_s(verdict.value) * (1 + PAUSE_JITTER * spread)
