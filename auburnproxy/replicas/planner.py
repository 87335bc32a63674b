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
from .assignment import ownership_key
from .placement import Candidate, Change, Placement, Policy, ReplicaTarget
from .repairs import Repairs
from .replica import Replica
from .replicas import Kind, Replicas, host_key, replica_key

STEP_INTERVAL_S = 1.0
"""Time between two planning rounds."""
MAX_STEPS_IN_A_ROW = 3
"""Steps without a pause in one round; a later step can use hosts that an earlier one
freed."""
MODEL_REFRESH_INTERVAL_S = 30.0
"""Time between two reads of the weight store's list of models."""
PROPOSE_TIMEOUT_S = 5.0
MISSING_GRACE_S = 20.0
"""Time that a host must be missing before it is replaced."""
LOG_OUTAGE_GRACE_S = 5.0
"""Time without the log after which repairs are made before they are recorded."""
MIN_DRAIN_S = 3.0
"""Minimum time that a leaving or taken-out host keeps its assignment."""
MAX_DRAIN_S = 30.0
"""Time after which a leaving or taken-out host is replaced despite calls in flight."""

log = logger.bind(part="replicas")


class ReplicaJournal(Proposer, Protocol):
    """What the planner requires of the journal."""

    @property
    def ready(self) -> bool:
        """Whether the state has been restored."""

    @property
    def offset(self) -> int:
        """Offset of the last applied record."""

    def version(self, key: str) -> int:
        """Return the version of a key, for optimistic concurrency control."""


class Planner:
    """Plans the replicas of the fabric domains that this daemon owns.

    Daemons with the same view choose the same changes. Each proposes only those of
    the fabric domains that it owns, so that few proposals conflict.

    :param replicas: the recorded replicas
    :param journal: where records are proposed
    :param watcher: observed state of the hosts
    :param weights: the store that lists the available models
    :param desired_replicas: returns the number of replicas desired here, by model
    :param owns: whether this daemon owns a fabric domain, given its ownership key
    :param repairs: where repairs made without the log are kept
    :param demand: relative weight of each model when extra replicas are formed
    :param policy: how idle hosts are used beyond the targets
    """

    def __init__(
        self,
        replicas: Replicas,
        journal: ReplicaJournal,
        watcher: Watcher,
        weights: WeightStore,
        *,
        desired_replicas: Callable[[], Mapping[str, int]],
        owns: Callable[[str], bool],
        repairs: Repairs | None = None,
        demand: Callable[[], Mapping[str, float]] = dict,
        policy: Policy = Policy(),  # noqa: B008
    ) -> None:
        self._replicas = replicas
        self._journal = journal
        self._watcher = watcher
        self._weights = weights
        self._desired_replicas = desired_replicas
        self._owns = owns
        self._repairs = repairs or Repairs(replicas)
        self._demand = demand
        self._policy = policy
        self._hosts_by_model: dict[str, int] = {}
        self._models_refreshed_at = -MODEL_REFRESH_INTERVAL_S
        self._unavailable_since_by_host: dict[str, float] = {}
        self._replica_by_host: Mapping[str, Replica] = {}
        self._log_available_at = -LOG_OUTAGE_GRACE_S

    async def run(self) -> None:
        """Plan until cancelled."""
        while True:
            for _ in range(MAX_STEPS_IN_A_ROW):
                if not await self.step():
                    break
            await asyncio.sleep(STEP_INTERVAL_S)

    async def step(self) -> bool:
        """Compare the placement with the targets once and propose changes.

        :return: whether a record was accepted, so that another step may find more
        """
        await self._refresh_models()
        changes = (
            self._choose_changes(self._make_candidates())
            if self._hosts_by_model
            else []
        )
        now = asyncio.get_running_loop().time()
        if not self._journal.ready:
            return False
        if self._journal.up:
            self._log_available_at = now
            await self._record_repairs()
            proposals = (self._propose(c, i) for i, c in enumerate(changes))
            return any(await asyncio.gather(*proposals))
        if now - self._log_available_at >= LOG_OUTAGE_GRACE_S:
            self._add_unrecorded_repairs(changes)
        return False

    def targets(self) -> tuple[ReplicaTarget, ...]:
        """Return the targets of models that the weight store has, sorted by name."""
        demand = self._demand()
        return tuple(
            ReplicaTarget(
                model, self._hosts_by_model[model], replicas, demand.get(model, 1.0)
            )
            for model, replicas in sorted(self._desired_replicas().items())
            if replicas > 0 and model in self._hosts_by_model
        )

    def _choose_changes(self, candidates: list[Candidate]) -> list[Change]:
        placement = Placement(
            candidates,
            self._own_replicas(),
            self.targets(),
            self._policy,
            kept=self._desired_replicas(),
        )
        return [c for c in placement.changes() if self._is_owner(c.fabric_domain)]

    def _own_replicas(self) -> list[Replica]:
        """Return this failure domain's replicas with unrecorded repairs applied."""
        domain = self._watcher.failure_domain
        return [r for r in self._repairs.replicas() if r.failure_domain == domain]

    def _is_owner(self, fabric_domain: str) -> bool:
        return self._owns(ownership_key(self._watcher.failure_domain, fabric_domain))

    def _add_unrecorded_repairs(self, changes: list[Change]) -> None:
        by_name = self._replicas.by_name
        for change in changes:
            if change.kind is Kind.REPAIR:
                log.info(
                    "Replica {} is repaired while the log is unavailable.",
                    change.replica,
                )
                repaired = by_name[change.replica]._replace(hosts=change.hosts)
                self._repairs.add(repaired)

    async def _record_repairs(self) -> None:
        for repaired in self._repairs.unrecorded:
            if not self._is_owner(repaired.fabric_domain):
                continue
            change = Change(
                Kind.REPAIR,
                repaired.name,
                repaired.model,
                repaired.fabric_domain,
                repaired.hosts,
            )
            await self._propose(change, 0, generation=repaired.generation)

    def _make_candidates(self) -> list[Candidate]:
        self._replica_by_host = self._repairs.by_host()
        return [
            self._make_candidate(entry)
            for entry in self._watcher.entries_by_host.values()
            if entry.kind is HostKind.ENGINE
        ]

    def _make_candidate(self, entry: HostEntry) -> Candidate:
        host = entry.name
        report = self._watcher.report(host)
        weights = report.weights if report else ()
        available = self._is_available(host)
        if available:
            self._unavailable_since_by_host.pop(host, None)
        else:
            available = self._keeps_assignment(host)
        return Candidate(
            host, entry.fabric_domain, available, weights, self._unavailable_s(host)
        )

    def _is_available(self, host: str) -> bool:
        watcher = self._watcher
        taken_out = watcher.out(host) and not watcher.domain_out
        return watcher.present(host) and not watcher.leaving(host) and not taken_out

    def _keeps_assignment(self, host: str) -> bool:
        """Return whether an unavailable host still keeps its assignment."""
        self._unavailable_since_by_host.setdefault(
            host, asyncio.get_running_loop().time()
        )
        replica = self._replica_by_host.get(host)
        if replica is None:
            return False
        if not self._watcher.present(host):
            return self._unavailable_s(host) < MISSING_GRACE_S
        head = self._watcher.report(replica.head)
        busy = head is not None and head.in_flight + head.queued > 0
        return self._unavailable_s(host) < (MAX_DRAIN_S if busy else MIN_DRAIN_S)

    def _unavailable_s(self, host: str) -> float:
        now = asyncio.get_running_loop().time()
        return now - self._unavailable_since_by_host.get(host, now)

    async def _refresh_models(self) -> None:
        now = asyncio.get_running_loop().time()
        if now - self._models_refreshed_at < MODEL_REFRESH_INTERVAL_S:
            return
        try:
            models = await self._weights.models()
        except PlatformError as error:
            log.warning("Could not read the list of models: {}.", error)
            return
        self._hosts_by_model = {m.name: m.hosts_per_replica for m in models}
        self._models_refreshed_at = now

    async def _propose(
        self, change: Change, index: int, *, generation: int = 0
    ) -> bool:
        name = change.replica or self._new_name(change, index)
        keys = [replica_key(name), *map(host_key, self._affected_hosts(change))]
        expects = {key: self._journal.version(key) for key in keys}
        try:
            outcome = await self._journal.propose(
                change.kind,
                {
                    **self._record_body(change, name),
                    **({"generation": generation} if generation else {}),
                },
                expects=expects,
                timeout_s=PROPOSE_TIMEOUT_S,
            )
        except AuburnError as error:
            log.warning(
                "Proposal {} for replica {} got no outcome: {}.",
                change.kind,
                name,
                error,
            )
            return False
        verdict = "accepted" if outcome.accepted else f"rejected, {outcome.reason}"
        log.info("Proposal {} for replica {} was {}.", change.kind, name, verdict)
        return outcome.accepted

    def _new_name(self, change: Change, index: int) -> str:
        return f"{change.model}-{change.fabric_domain}-{self._journal.offset}-{index}"

    def _affected_hosts(self, change: Change) -> set[str]:
        known = self._replicas.by_name.get(change.replica)
        return {*change.hosts, *(known.hosts if known else ())}

    def _record_body(self, change: Change, name: str) -> dict[str, Any]:
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
