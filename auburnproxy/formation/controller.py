"""Control loop that forms, opens and ends replicas while this daemon is the leader."""

from __future__ import annotations

import asyncio
from collections import Counter, defaultdict
from collections.abc import (
    Callable,
    Collection,
    Coroutine,
    Iterable,
    Iterator,
    Mapping,
    Sequence,
)
from functools import partial
from itertools import zip_longest
from typing import Any, NamedTuple, TypeVar

from ..clock import loop_time
from ..errors import PlatformError
from ..gateway.directory import Directory
from ..gateway.host import Host, Incarnation
from ..gateway.route import EngineSpec, ModelSpec
from ..telemetry.decisions import DecisionLog
from .demand_layout import DemandLayout
from .engine_commands import CommandResult, EngineCommands
from .failure_detector import FailureDetector
from .placement import (
    FabricDomain,
    FormationPlan,
    WeightLoad,
    group_by_fabric_domain,
    plan_fabric_domain,
    plan_spread_replicas,
    replica_targets_by_domain,
)
from .record import Member, ReplicaRecord
from .registry import ReplicaRegistry
from .replica_metrics import ReplicaMetrics
from .replica_state import ReplicaState, has_part, replica_state, service_of
from .retirement import Retirement
from .utilization import ReplicaUsage, UtilizationTracker
from .weight_load_limiter import WeightLoadLimiter

STEP_INTERVAL_S = 0.2
"""Interval between two steps: half of the interval at which the registry is read."""
COMMAND_REPEAT_S = 2.0
"""Time after which a command is repeated if no report shows its effect."""
UNANSWERED_REPEAT_S = 0.5
"""Time after which an unanswered command is repeated; commands are idempotent."""
STARTUP_STEP_INTERVAL_S = 0.1
"""Interval between two steps before the first request, while weights load fast."""
STARTUP_LOAD_FACTOR = 2.0
"""Concurrent weight loads before the first request, as a multiple of the number that
do not slow each other down: the next loads start before the end of the previous ones
has been reported."""
STARTUP_SETTLE_S = 0.6
"""Time without a new host after which all hosts are taken to be registered."""
LOAD_TIMEOUT_FACTOR = 1.5
"""Timeout of a weight load as a multiple of its configured duration."""


Item = TypeVar("Item")


class _SentCommand(NamedTuple):
    sent_at: float
    command: str


class _PlanInputs(NamedTuple):
    """Everything that a plan depends on: equal inputs give equal plans."""

    host_changes: int
    """Number of changes in the directory of hosts so far."""
    registry_end: tuple[int, int]
    """Era and end of the registry's log."""
    lost: frozenset[Incarnation]
    staging: frozenset[str]
    ended: frozenset[str]
    starting: bool
    short_of_capacity: frozenset[tuple[str, str]]
    """Services with the models of which they have too little."""
    moving: frozenset[Incarnation]
    """Hosts that change their model."""


class ReplicaController:
    """Forms, opens and ends the replicas of all fabric domains as planned.

    Every daemon runs one; only the leader's acts. Two that act at the same time do
    no harm, since every replica is recorded by a conditional append before any of
    its hosts gets a command.

    :param name: name of this daemon
    :param directory: the registered hosts
    :param registry: the recorded replicas
    :param engine_commands: sends commands to the engines
    :param decisions: logs each command and change
    :param is_leader: returns whether this daemon is the leader, called in each step
    :param stalled_heads: returns the ids of heads whose streams have stalled
    :param last_heard_at: returns the time of the event loop at which any daemon of a
        failure domain was last heard from
    :param host_list_current: returns whether the store's list of hosts is current
    :param starting: returns whether no request has been served yet
    :param in_flight: returns the number of requests that all daemons have in flight at
        a head
    :param layout: moves hosts between models, None if the configured shares of the
        models decide
    """

    def __init__(
        self,
        name: str,
        directory: Directory,
        registry: ReplicaRegistry,
        engine_commands: EngineCommands,
        decisions: DecisionLog,
        *,
        is_leader: Callable[[], bool],
        stalled_heads: Callable[[], Collection[str]] = tuple,
        last_heard_at: Callable[[str], float] = lambda domain: -1.0,
        host_list_current: Callable[[], bool] = lambda: True,
        starting: Callable[[], bool] = lambda: False,
        in_flight: Callable[[str], int] = lambda head: 0,
        layout: DemandLayout | None = None,
    ) -> None:
        self._name = name
        self._directory = directory
        self._registry = registry
        self._engine_commands = engine_commands
        self._decisions = decisions
        self._is_leader = is_leader
        self._stalled_heads = stalled_heads
        self._starting = starting
        self._in_flight = in_flight
        self._layout = layout
        self._utilization_by_service: defaultdict[str, UtilizationTracker] = (
            defaultdict(UtilizationTracker)
        )
        self._load_limiter = WeightLoadLimiter()
        self.retirement = Retirement(engine_commands, decisions)
        self._sent_by_host: dict[str, _SentCommand] = {}
        self._staging_by_host: dict[str, tuple[str, float]] = {}
        self._failure_detector = FailureDetector(
            directory,
            engine_commands,
            decisions,
            last_heard_at=last_heard_at,
            host_list_current=host_list_current,
        )
        self._refused_replicas: set[str] = set()
        """Replicas of an earlier era that a member refused to join: it has seen a later
        one, whose record the store has lost."""
        self._tasks: set[asyncio.Task[None]] = set()
        self._inputs_without_work: _PlanInputs | None = None
        """Inputs of the last plan, if that plan left nothing to do."""
        self.metrics = ReplicaMetrics(directory, registry, decisions)
        self._host_count_since = (0, 0.0)
        """Number of registered hosts, and the loop time at which it last changed."""

    @property
    def retiring_heads(self) -> tuple[str, ...]:
        """Return the heads of the replicas that this daemon is ending."""
        by_name = self._registry.by_name
        names = self.retirement.ending_or_ended & by_name.keys()
        return tuple(by_name[name].head.id for name in names)

    @property
    def awaiting_reports(self) -> bool:
        """Return whether commands were sent whose effect reports should show soon."""
        now = loop_time()
        return any(
            now - sent.sent_at < COMMAND_REPEAT_S
            for sent in self._sent_by_host.values()
        )

    async def run(self) -> None:
        """Run the control loop until cancelled."""
        try:
            while True:
                try:
                    await self.step()
                except PlatformError as error:
                    self._decisions.belief("formation_delayed", reason=str(error))
                await asyncio.sleep(
                    STARTUP_STEP_INTERVAL_S if self._starting() else STEP_INTERVAL_S
                )
        finally:
            for task in self._tasks:
                task.cancel()
            self.retirement.cancel()
            self._failure_detector.cancel()

    async def step(self) -> None:
        """Check all replicas once and take the actions that are due.

        :raises PlatformError: if a change was not recorded
        """
        engines = self._directory.engines
        if not engines or not self._registry.follower.complete:
            return
        is_leader = self._is_leader()
        if self._layout is not None:
            self._layout.observe(engines, starting=self._starting())
            if is_leader:
                self._layout.expire()
            else:
                self._layout.abandon()
        if not is_leader:
            return
        self._drop_expired_state()
        self._probe_stalled_replicas()
        states_by_name = {
            replica.name: replica_state(
                replica, self._directory.hosts, lost=self._failure_detector.lost
            )
            for replica in self._registry.by_name.values()
        }
        self._end_replicas(states_by_name)
        for service in engines:
            self._utilization_by_service[service].sample(self._replica_usages(service))
        loading = (
            (host.service, model)
            for host_id, (model, _) in self._staging_by_host.items()
            if (host := self._directory.hosts.get(host_id)) is not None
        )
        self.metrics.log_if_due(engines, states_by_name, loading)
        if self._registry.follower.up and self._hosts_settled():
            await self._registry.seed_new_era()
            await self._plan_and_record(engines, states_by_name)
            self._release_stale_hosts()
            self._start_moves(engines, states_by_name)
        self._send_commands(engines, states_by_name)

    def _replica_usages(self, service: str) -> Iterator[ReplicaUsage]:
        """Yield the requests in flight and the slots of a service's replicas."""
        recorded = self._registry.by_name
        for replica in self._directory.replicas():
            if replica.name in recorded and replica.service == service:
                in_flight = self._in_flight(replica.head.id)
                slots = replica.head.slots / replica.slowdown
                yield ReplicaUsage(replica.model.name, in_flight, slots)

    def _hosts_settled(self) -> bool:
        """Return whether all hosts have registered after a start of the system."""
        if not self._starting():
            return True
        count, now = len(self._directory.hosts), loop_time()
        if count != self._host_count_since[0]:
            self._host_count_since = (count, now)
        return now - self._host_count_since[1] >= STARTUP_SETTLE_S

    def _drop_expired_state(self) -> None:
        now = loop_time()
        self._failure_detector.expire()
        hosts = self._directory.hosts
        for host_id, (model, deadline) in list(self._staging_by_host.items()):
            host = hosts.get(host_id)
            if host is None or model in host.staged or deadline <= now:
                del self._staging_by_host[host_id]
                self._load_limiter.finish(host_id)
        self._sent_by_host = {
            host: sent for host, sent in self._sent_by_host.items() if host in hosts
        }

    def _probe_stalled_replicas(self) -> None:
        """Probe every member of a replica whose streams have stalled."""
        by_head = {
            recorded.head.id: recorded for recorded in self._registry.by_name.values()
        }
        for head in self._stalled_heads():
            replica = by_head.get(head)
            if replica is not None:
                for member in replica.members:
                    self._failure_detector.probe(
                        member, replica.failure_domain, "stalled"
                    )

    def _end_replicas(self, states_by_name: dict[str, ReplicaState]) -> None:
        for replica in self._registry.by_name.values():
            state = states_by_name[replica.name]
            if state is ReplicaState.MISSING:
                for member in replica.members:
                    if member.id not in self._directory.hosts:
                        domain = replica.failure_domain
                        self._failure_detector.probe(member, domain, "unregistered")
            elif self._should_end(replica, state):
                self.retirement.start(
                    replica,
                    partial(self._other_members, replica),
                    head_gone=partial(self._head_gone, replica),
                    graceful=state in (ReplicaState.LEAVING, ReplicaState.SERVING),
                )
        self.retirement.keep_only(self._registry.by_name)
        self._refused_replicas.intersection_update(self._registry.by_name)

    def _should_end(self, replica: ReplicaRecord, state: ReplicaState) -> bool:
        """Return whether a replica should be ended."""
        if state not in (ReplicaState.MISSING, ReplicaState.LOST) and not (
            self._is_configured(replica)
        ):
            return True
        if state is ReplicaState.FORMING:
            return replica.name in self._refused_replicas
        if state is ReplicaState.SERVING:
            if self._layout is not None and self._layout.should_end(replica):
                return True
            return replica.spread and self._fits_one_fabric_domain(replica)
        return state in (ReplicaState.LOST, ReplicaState.LEAVING)

    def _is_configured(self, replica: ReplicaRecord) -> bool:
        """Return whether a replica's service has its model.

        A service that is no longer configured keeps its replicas: streams may still run
        there, and no other service can use their hosts.
        """
        service = service_of(replica, self._directory.hosts)
        engine = self._directory.engines.get(service)
        return engine is None or engine.model(replica.model) is not None

    def _fits_one_fabric_domain(self, replica: ReplicaRecord) -> bool:
        """Return whether one fabric domain has enough hosts again for a replica."""
        hosts = self._directory.hosts
        service = service_of(replica, hosts)
        domains = {hosts[member.id].fabric_domain for member in replica.members}
        free = Counter(
            host.fabric_domain
            for host in hosts.values()
            if host.service == service
            and host.failure_domain == replica.failure_domain
            and host.fabric_domain in domains
            and replica.model in host.staged
            and not host.leaving
            and host.incarnation not in self._failure_detector.lost
            and self._registry.by_host.get(host.id, replica) == replica
        )
        return max(free.values(), default=0) >= len(replica.members)

    def _head_gone(self, replica: ReplicaRecord) -> bool:
        """Return whether the head's process or all of a replica's have ended."""
        if self._restarted(replica.head):
            return True
        return not any(map(self._may_be_alive, replica.members))

    def _other_members(self, replica: ReplicaRecord) -> list[Member]:
        """Return the members other than the head that may still run."""
        return [member for member in replica.members[1:] if self._may_be_alive(member)]

    def _may_be_alive(self, member: Member) -> bool:
        lost = (member.id, member.born) in self._failure_detector.lost
        return not lost and not self._restarted(member)

    def _restarted(self, member: Member) -> bool:
        host = self._directory.hosts.get(member.id)
        return host is not None and host.born != member.born

    async def _plan_and_record(
        self,
        engines: Mapping[str, EngineSpec],
        states_by_name: Mapping[str, ReplicaState],
    ) -> None:
        """Drop the replicas that have ended, and record and stage their successors."""
        ended = [
            replica
            for name, replica in self._registry.by_name.items()
            if name in self.retirement.ended
        ]
        inputs = self._plan_inputs(ended)
        if inputs == self._inputs_without_work:
            return
        ended_names = {replica.name for replica in ended}
        plans = [
            (spec, self._plan(service, spec, ended_names))
            for service, spec in engines.items()
        ]
        new_replicas = list(_in_turns(plan.new_replicas for _, plan in plans))
        weight_loads = list(
            _in_turns(
                [(load, spec) for load in plan.weight_loads] for spec, plan in plans
            )
        )
        # Weight loads that the limiter defers are planned again in the next step.
        self._inputs_without_work = (
            None if new_replicas or weight_loads or ended else inputs
        )
        if new_replicas or ended:
            await self._registry.change(new_replicas, dropped=ended)
        if new_replicas or (self._starting() and self._joins_pending(states_by_name)):
            return
        for weight_load, spec in weight_loads:
            self._start_staging(weight_load, spec)

    def _plan_inputs(self, ended: Sequence[ReplicaRecord]) -> _PlanInputs:
        return _PlanInputs(
            host_changes=self._directory.changes,
            registry_end=(self._registry.follower.era, self._registry.follower.end),
            lost=frozenset(self._failure_detector.lost),
            staging=frozenset(self._staging_by_host),
            ended=frozenset(replica.name for replica in ended),
            starting=self._starting(),
            short_of_capacity=frozenset(
                (service, model)
                for service, utilization in self._utilization_by_service.items()
                for model in utilization.short_of_capacity
            ),
            moving=frozenset(self._layout.model_by_host if self._layout else ()),
        )

    def _joins_pending(self, states_by_name: Mapping[str, ReplicaState]) -> bool:
        """Return whether a member of a forming replica has yet to be told to join."""
        return any(
            member.id not in self._sent_by_host
            for name, replica in self._registry.by_name.items()
            for member in replica.members
            if states_by_name.get(name, ReplicaState.FORMING) is ReplicaState.FORMING
        )

    def _plan(
        self, service: str, spec: EngineSpec, ended: Collection[str]
    ) -> FormationPlan:
        """Return the replicas to form and the weights to load next for a service."""
        starting = self._starting()
        domains = self._fabric_domains(service, ended)
        targets = (
            replica_targets_by_domain(domains, spec)
            if starting or self._layout is None
            else self._layout.targets(service, spec, domains)
        )
        plans = [
            plan_fabric_domain(domain, spec, targets[domain.name], starting=starting)
            for domain in domains
        ]
        # Takes one replica of each fabric domain in turn, so that the first replicas of
        # all domains are complete before the second ones load.
        new_replicas = list(_in_turns(each.new_replicas for each in plans))
        if not starting:
            utilization = self._utilization_by_service[service]
            new_replicas += plan_spread_replicas(
                domains, plans, spec, utilization.short_of_capacity
            )
        weight_loads = [load for each in plans for load in each.weight_loads]
        if self._layout is not None:
            weight_loads += self._layout.weight_loads(service, self._staging_by_host)
        return FormationPlan(tuple(new_replicas), tuple(weight_loads))

    def _fabric_domains(
        self, service: str, ended: Collection[str]
    ) -> list[FabricDomain]:
        """Return the fabric domains with the hosts that may join replicas.

        :param service: name of the service
        :param ended: names of the replicas whose hosts are free
        """
        taken = {
            host: (replica.name, None if replica.spread else replica.model)
            for host, replica in self._registry.by_host.items()
            if replica.name not in ended
        }
        usable = [
            host
            for host in self._directory.hosts.values()
            if host.service == service
            and not host.leaving
            and host.fabric_domain
            and host.incarnation not in self._failure_detector.lost
            and not self._has_stale_part(host)
        ]
        staging = {host: model for host, (model, _) in self._staging_by_host.items()}
        return group_by_fabric_domain(usable, taken, staging)

    def _start_moves(
        self,
        engines: Mapping[str, EngineSpec],
        states_by_name: Mapping[str, ReplicaState],
    ) -> None:
        """Let hosts change their model where demand asks for it."""
        if self._layout is None or self._starting() or not self._layout.decision_due:
            return
        hosts = self._directory.hosts
        serving = [
            replica
            for replica in self._registry.by_name.values()
            if states_by_name.get(replica.name) is ReplicaState.SERVING
            and replica.name not in self.retirement.ending_or_ended
        ]
        for service, spec in engines.items():
            own = (r for r in serving if service_of(r, hosts) == service)
            domains = self._fabric_domains(service, ())
            self._layout.start_moves(service, spec, domains, own)

    def _has_stale_part(self, host: Host) -> bool:
        """Return whether a host has a part in a replica that is no longer recorded."""
        part = host.part
        return part is not None and part.replica not in self._registry.by_name

    def _release_stale_hosts(self) -> None:
        """Tell hosts to leave replicas that are no longer recorded.

        A command that was carried out late, or a network partition that has healed,
        can leave a host in such a replica.
        """
        heads = {
            (host.part.replica, host.part.epoch)
            for host in self._directory.hosts.values()
            if host.part is not None and host.part.rank == 0
        }
        for host in self._directory.hosts.values():
            part = host.part
            if part is None or not self._has_stale_part(host):
                continue
            if part.rank > 0 and (part.replica, part.epoch) in heads:
                # The head may still serve, so it has to leave first.
                continue
            if self._is_due(host.id, f"leave {part.replica}"):
                member = Member(host.id, host.born, host.address)
                replica = ReplicaRecord(part.replica, part.epoch, "", "", (member,))
                self._spawn(self._send_leave(member, replica))

    def _send_commands(
        self,
        engines: Mapping[str, EngineSpec],
        states_by_name: dict[str, ReplicaState],
    ) -> None:
        for name, state in states_by_name.items():
            replica = self._registry.by_name.get(name)
            if replica is None:
                continue
            spec = engines.get(service_of(replica, self._directory.hosts))
            model = spec.model(replica.model) if spec else None
            if spec is None or model is None or name in self.retirement.ending_or_ended:
                continue
            if state is ReplicaState.FORMING:
                for member in replica.members:
                    if not has_part(replica, member, self._directory.hosts):
                        self._start_join(member, replica, model, spec)
            elif state is ReplicaState.JOINED and self._is_due(
                replica.head.id, f"open {name}"
            ):
                self._spawn(self._send_open(replica))

    def _start_join(
        self, member: Member, replica: ReplicaRecord, model: ModelSpec, spec: EngineSpec
    ) -> None:
        command = f"join {replica.name}"
        sent = self._sent_by_host.get(member.id)
        repeated = sent is not None and sent.command == command
        if repeated and not self._is_due(member.id, command, mark=False):
            return
        host = self._directory.hosts.get(member.id)
        staged = host is not None and replica.model in host.staged
        if not staged and not repeated and not self._start_load(member.id, model, spec):
            return
        self._sent_by_host[member.id] = _SentCommand(loop_time(), command)
        self._spawn(self._send_join(member, replica))

    def _start_load(
        self, host: str, model: ModelSpec, spec: EngineSpec, *, max_concurrent: int = 0
    ) -> bool:
        starting = self._starting()
        overlap = STARTUP_LOAD_FACTOR if starting else 1.0
        started = self._load_limiter.try_start(
            host,
            timeout_s=LOAD_TIMEOUT_FACTOR * model.load_s,
            loads_per_s=0.0 if starting else spec.loads_per_s,
            max_concurrent=max_concurrent or int(overlap * spec.loads_at_once),
        )
        if started:
            deadline = loop_time() + LOAD_TIMEOUT_FACTOR * model.load_s
            self._staging_by_host[host] = (model.name, deadline)
        return started

    def _start_staging(self, weight_load: WeightLoad, spec: EngineSpec) -> None:
        model = spec.model(weight_load.model)
        host = weight_load.host
        if model is None or host.id in self._staging_by_host:
            return
        # Loads are fast before the first request, however many run at once.
        max_concurrent = len(self._directory.hosts) if self._starting() else 0
        if self._start_load(host.id, model, spec, max_concurrent=max_concurrent):
            self._spawn(self._send_stage(weight_load))

    def _is_due(self, host: str, command: str, *, mark: bool = True) -> bool:
        """Return whether a command was not sent within the repeat interval.

        :param host: the host that gets it
        :param command: its text, which names the command and the replica
        :param mark: whether to note that it is sent now
        """
        sent = self._sent_by_host.get(host)
        if (
            sent is not None
            and sent.command == command
            and loop_time() - sent.sent_at < COMMAND_REPEAT_S
        ):
            return False
        if mark:
            self._sent_by_host[host] = _SentCommand(loop_time(), command)
        return True

    async def _send_join(self, member: Member, replica: ReplicaRecord) -> None:
        result = await self._engine_commands.join(member, replica)
        if (
            result is CommandResult.REFUSED
            and replica.epoch < self._registry.first_epoch_of_era
        ):
            self._refused_replicas.add(replica.name)
        self._repeat_sooner_if_unanswered(member.id, result)
        self._log("join", member.id, replica.name, result)

    async def _send_open(self, replica: ReplicaRecord) -> None:
        result = await self._engine_commands.open(replica)
        self._repeat_sooner_if_unanswered(replica.head.id, result)
        self._log("open", replica.head.id, replica.name, result)

    def _repeat_sooner_if_unanswered(self, host: str, result: CommandResult) -> None:
        """Shorten the repeat interval of a command that got no answer."""
        sent = self._sent_by_host.get(host)
        if result is CommandResult.NO_ANSWER and sent is not None:
            sent_at = loop_time() - COMMAND_REPEAT_S + UNANSWERED_REPEAT_S
            self._sent_by_host[host] = sent._replace(sent_at=sent_at)

    async def _send_leave(self, member: Member, replica: ReplicaRecord) -> None:
        result = await self._engine_commands.leave(member, replica)
        self._log("leave", member.id, replica.name, result)

    async def _send_stage(self, weight_load: WeightLoad) -> None:
        host = weight_load.host
        member = Member(host.id, host.born, host.address)
        result = await self._engine_commands.stage(member, weight_load.model)
        if result in (CommandResult.REFUSED, CommandResult.OTHER_PROCESS):
            self._load_limiter.finish(host.id)
        self._log("stage", host.id, weight_load.model, result)

    def _log(
        self, command: str, host: str, subject: str, result: CommandResult
    ) -> None:
        self._decisions.belief(
            "order", order=command, upstream=host, subject=subject, answer=result
        )

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and (error := task.exception()):
            self._decisions.belief("order_failed", error=repr(error))


def _in_turns(sequences: Iterable[Sequence[Item]]) -> Iterator[Item]:
    """Yield the first item of each sequence, then the second ones, and so on."""
    for turn in zip_longest(*sequences):
        yield from (item for item in turn if item is not None)
