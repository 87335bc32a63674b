"""Proposes the records that form, repair and dissolve replicas."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from typing import Any, Protocol

from loguru import logger

from ..errors import AuburnError, PlatformError
from ..external import HostEntry, HostKind, WeightStore
from ..journal import Proposer
from ..upstreams import Watcher
from .assignment import custody_key
from .placement import Candidate, Change, Placement, Policy, Want
from .repairs import Repairs
from .replica import Replica
from .replicas import Kind, Replicas, host_key, replica_key

STEP_INTERVAL_S = 1.0
"""Seconds between two looks at the placement."""
MOST_STEPS = 3
"""Looks in a row, where one frees the hosts that the next gives out."""
MODELS_INTERVAL_S = 30.0
"""Seconds between two readings of the models on offer."""
PROPOSE_TIMEOUT_S = 5.0
"""Seconds that a proposal may take."""
MISSING_GRACE_S = 20.0
"""Seconds that a host must be missing before it is replaced."""
LOG_AWAY_S = 5.0
"""Seconds without the log after which repairs are made before their record."""
DRAIN_LEAST_S = 3.0
"""Seconds that a host which is to be left keeps its part at least."""
DRAIN_MOST_S = 30.0
"""Seconds after which a host that is to be left is replaced with calls in flight."""

log = logger.bind(part="replicas")


class Proposals(Proposer, Protocol):
    """What the planner needs of the journal."""

    @property
    def ready(self) -> bool:
        """Whether the state is whole."""

    @property
    def offset(self) -> int:
        """Offset of the last folded record."""

    def version(self, key: str) -> int:
        """Return the version of a key."""


class Planner:
    """Plans the replicas of the fabric domains that are in this daemon's custody.

    Every daemon would choose the same changes from the same view; each proposes
    only those of its own fabric domains, so that few proposals race.

    :param replicas: the recorded replicas
    :param journal: takes the proposals
    :param watcher: what is known of the hosts
    :param weights: the models on offer
    :param wanted: replicas wanted in the failure domain, by model
    :param holds: whether a custody key is held by this daemon
    :param repairs: takes the repairs that are made while the log is away
    :param demand: weight of each model where spare hosts are given out
    :param policy: how spare hosts are used
    """

    def __init__(
        self,
        replicas: Replicas,
        journal: Proposals,
        watcher: Watcher,
        weights: WeightStore,
        *,
        wanted: Callable[[], Mapping[str, int]],
        holds: Callable[[str], bool],
        repairs: Repairs | None = None,
        demand: Callable[[], Mapping[str, float]] = dict,
        policy: Policy = Policy(),  # noqa: B008
    ) -> None:
        self._replicas = replicas
        self._journal = journal
        self._watcher = watcher
        self._weights = weights
        self._wanted = wanted
        self._holds = holds
        self._repairs = repairs or Repairs(replicas)
        self._demand = demand
        self._policy = policy
        self._hosts_by_model: dict[str, int] = {}
        self._read_models_at = -MODELS_INTERVAL_S
        self._unfit_since_by_host: dict[str, float] = {}
        self._parts: Mapping[str, Replica] = {}
        self._log_up_at = -LOG_AWAY_S

    async def run(self) -> None:
        """Plan until cancelled."""
        while True:
            for _ in range(MOST_STEPS):
                if not await self.step():
                    break
            await asyncio.sleep(STEP_INTERVAL_S)

    async def step(self) -> bool:
        """Look once at the placement and propose what it lacks.

        :return: whether a record was accepted, so that another look is worthwhile
        """
        await self._read_models()
        changes = self._choose(self._candidates()) if self._hosts_by_model else []
        now = asyncio.get_running_loop().time()
        if not self._journal.ready:
            return False
        if self._journal.up:
            self._log_up_at = now
            await self._record_repairs()
            proposals = (self._propose(c, i) for i, c in enumerate(changes))
            return any(await asyncio.gather(*proposals))
        if now - self._log_up_at >= LOG_AWAY_S:
            self._repair_unrecorded(changes)
        return False

    def wants(self) -> tuple[Want, ...]:
        """Return the wants for models that the weight store has, by name."""
        demand = self._demand()
        return tuple(
            Want(model, self._hosts_by_model[model], count, demand.get(model, 1.0))
            for model, count in sorted(self._wanted().items())
            if count > 0 and model in self._hosts_by_model
        )

    def _choose(self, candidates: list[Candidate]) -> list[Change]:
        placement = Placement(
            candidates, self._own(), self.wants(), self._policy, kept=self._wanted()
        )
        return [c for c in placement.changes() if self._in_custody(c.fabric_domain)]

    def _own(self) -> list[Replica]:
        """Return the replicas of the failure domain with their newest hosts."""
        domain = self._watcher.failure_domain
        return [r for r in self._repairs.replicas() if r.failure_domain == domain]

    def _in_custody(self, fabric_domain: str) -> bool:
        return self._holds(custody_key(self._watcher.failure_domain, fabric_domain))

    def _repair_unrecorded(self, changes: list[Change]) -> None:
        by_name = self._replicas.by_name
        for change in changes:
            if change.kind is Kind.REPAIR:
                log.info("Replica {} is repaired without the log.", change.replica)
                repaired = by_name[change.replica]._replace(hosts=change.hosts)
                self._repairs.add(repaired)

    async def _record_repairs(self) -> None:
        for repaired in self._repairs.unrecorded:
            if not self._in_custody(repaired.fabric_domain):
                continue
            change = Change(
                Kind.REPAIR,
                repaired.name,
                repaired.model,
                repaired.fabric_domain,
                repaired.hosts,
            )
            await self._propose(change, 0, keeps=repaired.generation)

    def _candidates(self) -> list[Candidate]:
        self._parts = self._repairs.by_host()
        return [
            self._candidate(entry)
            for entry in self._watcher.entries_by_host.values()
            if entry.kind is HostKind.ENGINE
        ]

    def _candidate(self, entry: HostEntry) -> Candidate:
        host = entry.name
        report = self._watcher.report(host)
        weights = report.weights if report else ()
        available = self._fit(host)
        if available:
            self._unfit_since_by_host.pop(host, None)
        else:
            available = self._kept(host)
        return Candidate(
            host, entry.fabric_domain, available, weights, self._unfit_s(host)
        )

    def _fit(self, host: str) -> bool:
        watcher = self._watcher
        marked = watcher.out(host) and not watcher.domain_out
        return watcher.present(host) and not watcher.leaving(host) and not marked

    def _kept(self, host: str) -> bool:
        """Return whether a host that is missing or to be left keeps its part yet."""
        self._unfit_since_by_host.setdefault(host, asyncio.get_running_loop().time())
        replica = self._parts.get(host)
        if replica is None:
            return False
        if not self._watcher.present(host):
            return self._unfit_s(host) < MISSING_GRACE_S
        head = self._watcher.report(replica.head)
        busy = head is not None and head.in_flight + head.queued > 0
        return self._unfit_s(host) < (DRAIN_MOST_S if busy else DRAIN_LEAST_S)

    def _unfit_s(self, host: str) -> float:
        now = asyncio.get_running_loop().time()
        return now - self._unfit_since_by_host.get(host, now)

    async def _read_models(self) -> None:
        now = asyncio.get_running_loop().time()
        if now - self._read_models_at < MODELS_INTERVAL_S:
            return
        try:
            models = await self._weights.models()
        except PlatformError as error:
            log.warning("Models not read: {}.", error)
            return
        self._hosts_by_model = {m.name: m.hosts_per_replica for m in models}
        self._read_models_at = now

    async def _propose(self, change: Change, index: int, *, keeps: int = 0) -> bool:
        name = change.replica or self._new_name(change, index)
        keys = [replica_key(name), *map(host_key, self._touched(change))]
        expects = {key: self._journal.version(key) for key in keys}
        try:
            outcome = await self._journal.propose(
                change.kind,
                {
                    **self._body(change, name),
                    **({"generation": keeps} if keeps else {}),
                },
                expects=expects,
                timeout_s=PROPOSE_TIMEOUT_S,
            )
        except AuburnError as error:
            log.warning("Proposal {} of {} not settled: {}.", change.kind, name, error)
            return False
        verdict = "accepted" if outcome.accepted else f"rejected, {outcome.reason}"
        log.info("Proposal {} of {} {}.", change.kind, name, verdict)
        return outcome.accepted

    def _new_name(self, change: Change, index: int) -> str:
        return f"{change.model}-{change.fabric_domain}-{self._journal.offset}-{index}"

    def _touched(self, change: Change) -> set[str]:
        known = self._replicas.by_name.get(change.replica)
        return {*change.hosts, *(known.hosts if known else ())}

    def _body(self, change: Change, name: str) -> dict[str, Any]:
        if change.kind is Kind.DISSOLVE:
            return {"replica": name}
        body = {
            "replica": name,
            "fabric_domain": change.fabric_domain,
            "hosts": list(change.hosts),
        }
        if change.kind is Kind.REPAIR:
            return body
        domain = self._watcher.failure_domain
        return {**body, "model": change.model, "failure_domain": domain}
