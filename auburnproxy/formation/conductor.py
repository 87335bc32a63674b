"""Control loop that forms, opens and ends replicas while this daemon is the leader."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable, Collection, Coroutine, Iterator, Mapping, Sequence
from functools import partial
from itertools import zip_longest
from typing import Any, NamedTuple

from ..clock import loop_time
from ..errors import PlatformError
from ..gateway.directory import Directory
from ..gateway.host import Host, Life
from ..gateway.route import EngineSpec, ModelSpec
from ..telemetry.decisions import Decisions
from .census import Census
from .demand import Demand, Use
from .engine_commands import CommandResult, EngineCommands
from .layout import (
    Form,
    Stage,
    fabric_domains,
    plan,
    spread_forms,
    targets_by_domain,
)
from .loads import Loads
from .probes import Probes
from .record import Member, ReplicaRecord
from .registry import ReplicaRegistry
from .retirement import Retirement
from .standing import Standing, has_part, standing

STEP_S = 0.2
"""Seconds between two looks; half of the pause between two readings of the register."""
REPEAT_S = 2.0
"""Seconds until an order whose effect is not reported is repeated."""
SILENT_REPEAT_S = 0.5
"""Seconds until an order that got no answer is repeated; a repeat does no harm."""
START_STEP_S = 0.1
"""Seconds between two looks until the first request, as long as loads are short."""
START_OVERLAP = 2.0
"""Loads at once until the first request, as a multiple of those that do not slow
each other down: the next ones begin before the end of the last is reported."""
START_SETTLE_S = 0.6
"""Seconds without a new host after which a started system is taken to be whole."""
LOAD_SLACK = 1.5
"""Times the configured time of a load after which it is not waited for any more."""


class _Sent(NamedTuple):
    at: float
    order: str


class _Inputs(NamedTuple):
    """What a plan rests on; the same inputs give the same plan."""

    hosts: int
    """Changes of what is believed of hosts."""
    register_end: tuple[int, int]
    """Era and end of the registry's log."""
    lost: frozenset[Life]
    staging: frozenset[str]
    ended: frozenset[str]
    starting: bool
    short: frozenset[str]


class Conductor:
    """Keeps the replicas of all fabric domains formed.

    Every daemon runs one; only the leader's acts. Two that act at the same time do
    no harm, since every replica is recorded by a conditional append before any of
    its hosts gets a command.

    :param name: name of this daemon
    :param directory: the registered hosts
    :param registry: the recorded replicas
    :param orders: sends orders to engines
    :param decisions: takes a line for each order and change
    :param is_leader: returns whether this daemon is the leader, called in each step
    :param suspects: returns the ids of heads whose streams have stalled
    :param heard_at: returns the loop's time at which a daemon of a failure domain
        was last heard
    :param lists: returns whether the store's list of hosts is current
    :param starting: whether no request has been served yet
    :param in_flight: returns the requests of all daemons at a head
    """

    def __init__(
        self,
        name: str,
        directory: Directory,
        registry: ReplicaRegistry,
        engine_commands: EngineCommands,
        decisions: Decisions,
        *,
        is_leader: Callable[[], bool],
        suspects: Callable[[], Collection[str]] = tuple,
        heard_at: Callable[[str], float] = lambda domain: -1.0,
        lists: Callable[[], bool] = lambda: True,
        starting: Callable[[], bool] = lambda: False,
        in_flight: Callable[[str], int] = lambda head: 0,
    ) -> None:
        self._name = name
        self._directory = directory
        self._registry = registry
        self._engine_commands = engine_commands
        self._decisions = decisions
        self._is_leader = is_leader
        self._suspects = suspects
        self._starting = starting
        self._in_flight = in_flight
        self._demand = Demand()
        self._loads = Loads()
        self.retirement = Retirement(engine_commands, decisions)
        self._sent_by_host: dict[str, _Sent] = {}
        self._staging_by_host: dict[str, tuple[str, float]] = {}
        self._probes = Probes(
            directory, engine_commands, decisions, heard_at=heard_at, lists=lists
        )
        self._refused: set[str] = set()
        """Replicas of an earlier era that a member would not join: it has seen a later
        one, whose record the store has lost."""
        self._tasks: set[asyncio.Task[None]] = set()
        self._planned_for: _Inputs | None = None
        """Inputs of the last plan, if it left nothing to be done."""
        self.census = Census(directory, registry, decisions)
        self._hosts_seen = (0, 0.0)
        """Hosts that were registered, and the loop's time at which that changed."""

    @property
    def retiring_heads(self) -> tuple[str, ...]:
        """Return the heads of the replicas that this daemon is ending."""
        by_name = self._registry.by_name
        names = self.retirement.under_way & by_name.keys()
        return tuple(by_name[name].head.id for name in names)

    @property
    def busy(self) -> bool:
        """Return whether changes are under way that reports will show soon."""
        now = loop_time()
        return any(now - sent.at < REPEAT_S for sent in self._sent_by_host.values())

    async def run(self) -> None:
        """Act until cancelled."""
        try:
            while True:
                try:
                    await self.step()
                except PlatformError as error:
                    self._decisions.belief("formation_delayed", reason=str(error))
                await asyncio.sleep(START_STEP_S if self._starting() else STEP_S)
        finally:
            for task in self._tasks:
                task.cancel()
            self.retirement.cancel()
            self._probes.cancel()

    async def step(self) -> None:
        """Look once at the replicas and do what is due.

        :raises PlatformError: if a change was not recorded
        """
        engine = self._directory.engine
        if (
            engine is None
            or not self._registry.follower.complete
            or not self._is_leader()
        ):
            return
        service, spec = engine
        self._expire()
        self._probe_suspects()
        standings = {
            replica.name: standing(
                replica, self._directory.hosts, dead=self._probes.lost
            )
            for replica in self._registry.by_name.values()
        }
        self._retire(standings)
        self._demand.take(self._uses())
        loading = (model for model, _ in self._staging_by_host.values())
        self.census.take(spec, standings, loading)
        if self._registry.follower.up and self._settled():
            await self._registry.seed_new_era()
            await self._record(service, spec, standings)
            self._leave_strays()
        self._order(spec, standings)

    def _uses(self) -> Iterator[Use]:
        """Yield how much of each replica is in use."""
        recorded = self._registry.by_name
        for replica in self._directory.replicas():
            if replica.name in recorded:
                in_flight = self._in_flight(replica.head.id)
                slots = replica.head.slots / replica.slowdown
                yield Use(replica.model.name, in_flight, slots)

    def _settled(self) -> bool:
        """Return whether the hosts of a started system have all registered."""
        if not self._starting():
            return True
        count, now = len(self._directory.hosts), loop_time()
        if count != self._hosts_seen[0]:
            self._hosts_seen = (count, now)
        return now - self._hosts_seen[1] >= START_SETTLE_S

    def _expire(self) -> None:
        now = loop_time()
        self._probes.expire()
        hosts = self._directory.hosts
        for host_id, (model, until) in list(self._staging_by_host.items()):
            host = hosts.get(host_id)
            if host is None or model in host.staged or until <= now:
                del self._staging_by_host[host_id]
                self._loads.end(host_id)
        self._sent_by_host = {
            host: sent for host, sent in self._sent_by_host.items() if host in hosts
        }

    def _probe_suspects(self) -> None:
        """Ask every member of a stalled replica whether it is there."""
        by_head = {f.head.id: f for f in self._registry.by_name.values()}
        for head in self._suspects():
            replica = by_head.get(head)
            if replica is not None:
                for member in replica.members:
                    self._probes.ask(member, replica.failure_domain, "stalled")

    def _retire(self, standings: dict[str, Standing]) -> None:
        for replica in self._registry.by_name.values():
            state = standings[replica.name]
            if state is Standing.MISSING:
                for member in replica.members:
                    if member.id not in self._directory.hosts:
                        domain = replica.failure_domain
                        self._probes.ask(member, domain, "unregistered")
            elif self._ends(replica, state):
                self.retirement.begin(
                    replica,
                    partial(self._others, replica),
                    head_gone=partial(self._head_gone, replica),
                    gentle=state in (Standing.LEAVING, Standing.SERVING),
                )
        self.retirement.keep(self._registry.by_name)
        self._refused.intersection_update(self._registry.by_name)

    def _ends(self, replica: ReplicaRecord, state: Standing) -> bool:
        """Return whether a replica is to be ended."""
        if state is Standing.FORMING:
            return replica.name in self._refused
        if state is Standing.SERVING:
            return replica.spread and self._gathers(replica)
        return state in (Standing.LOST, Standing.LEAVING)

    def _gathers(self, replica: ReplicaRecord) -> bool:
        """Return whether a fabric domain of a spread replica has a whole one again."""
        hosts = self._directory.hosts
        domains = {hosts[member.id].fabric_domain for member in replica.members}
        free = Counter(
            host.fabric_domain
            for host in hosts.values()
            if host.failure_domain == replica.failure_domain
            and host.fabric_domain in domains
            and replica.model in host.staged
            and not host.leaving
            and host.life not in self._probes.lost
            and self._registry.by_host.get(host.id, replica) == replica
        )
        return max(free.values(), default=0) >= len(replica.members)

    def _head_gone(self, replica: ReplicaRecord) -> bool:
        """Return whether a head has ended, or no process of its replica is left."""
        if self._restarted(replica.head):
            return True
        return not any(map(self._may_live, replica.members))

    def _others(self, replica: ReplicaRecord) -> list[Member]:
        """Return the members beside the head that may be there."""
        return [member for member in replica.members[1:] if self._may_live(member)]

    def _may_live(self, member: Member) -> bool:
        dead = (member.id, member.born) in self._probes.lost
        return not dead and not self._restarted(member)

    def _restarted(self, member: Member) -> bool:
        host = self._directory.hosts.get(member.id)
        return host is not None and host.born != member.born

    async def _record(
        self, service: str, spec: EngineSpec, standings: Mapping[str, Standing]
    ) -> None:
        """Drop the replicas that have ended, and record those to form instead."""
        ended = [
            replica
            for name, replica in self._registry.by_name.items()
            if name in self.retirement.ended
        ]
        planned_for = self._inputs(ended)
        if planned_for == self._planned_for:
            return
        forms, stages = self._plan(service, spec, {replica.name for replica in ended})
        # Stages that have to wait for their turn are planned again.
        self._planned_for = None if forms or stages or ended else planned_for
        if forms or ended:
            await self._registry.change(forms, dropped=ended)
        if forms or (self._starting() and self._joins_wait(standings)):
            return
        for stage in stages:
            self._stage(stage, spec)

    def _inputs(self, ended: Sequence[ReplicaRecord]) -> _Inputs:
        return _Inputs(
            hosts=self._directory.changes,
            register_end=(self._registry.follower.era, self._registry.follower.end),
            lost=frozenset(self._probes.lost),
            staging=frozenset(self._staging_by_host),
            ended=frozenset(replica.name for replica in ended),
            starting=self._starting(),
            short=self._demand.short,
        )

    def _joins_wait(self, standings: Mapping[str, Standing]) -> bool:
        """Return whether a host of a replica has still to be ordered to load."""
        return any(
            member.id not in self._sent_by_host
            for name, replica in self._registry.by_name.items()
            for member in replica.members
            if standings.get(name, Standing.FORMING) is Standing.FORMING
        )

    def _plan(
        self, service: str, spec: EngineSpec, ended: Collection[str]
    ) -> tuple[list[Form], list[Stage]]:
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
            and host.life not in self._probes.lost
            and not self._stray(host)
        ]
        staging = {host: model for host, (model, _) in self._staging_by_host.items()}
        starting = self._starting()
        domains = fabric_domains(usable, taken, staging)
        targets = targets_by_domain(domains, spec)
        plans = [
            plan(domain, spec, targets[domain.name], starting=starting)
            for domain in domains
        ]
        # One replica of each fabric domain in turn, so that the first ones of all
        # domains are complete before the second ones load.
        rounds = zip_longest(*(each.forms for each in plans))
        forms = [form for turn in rounds for form in turn if form is not None]
        if not starting:
            forms += spread_forms(domains, plans, spec, self._demand.short)
        return forms, [stage for each in plans for stage in each.stages]

    def _stray(self, host: Host) -> bool:
        """Return whether a host has a part in a replica that has been ended."""
        part = host.part
        return part is not None and part.replica not in self._registry.by_name

    def _leave_strays(self) -> None:
        """Free the hosts that a late order or a healed cut has left in a part."""
        heads = {
            (host.part.replica, host.part.epoch)
            for host in self._directory.hosts.values()
            if host.part is not None and host.part.rank == 0
        }
        for host in self._directory.hosts.values():
            part = host.part
            if part is None or not self._stray(host):
                continue
            if part.rank > 0 and (part.replica, part.epoch) in heads:
                # Its head may still serve: it leaves first.
                continue
            if self._due(host.id, f"leave {part.replica}"):
                member = Member(host.id, host.born, host.address)
                replica = ReplicaRecord(part.replica, part.epoch, "", "", (member,))
                self._spawn(self._send_leave(member, replica))

    def _order(self, spec: EngineSpec, standings: dict[str, Standing]) -> None:
        for name, state in standings.items():
            replica = self._registry.by_name.get(name)
            model = spec.model(replica.model) if replica else None
            if replica is None or model is None or name in self.retirement.under_way:
                continue
            if state is Standing.FORMING:
                for member in replica.members:
                    if not has_part(replica, member, self._directory.hosts):
                        self._join(member, replica, model, spec)
            elif state is Standing.JOINED and self._due(
                replica.head.id, f"open {name}"
            ):
                self._spawn(self._send_open(replica))

    def _join(
        self, member: Member, replica: ReplicaRecord, model: ModelSpec, spec: EngineSpec
    ) -> None:
        order = f"join {replica.name}"
        sent = self._sent_by_host.get(member.id)
        again = sent is not None and sent.order == order
        if again and not self._due(member.id, order, mark=False):
            return
        host = self._directory.hosts.get(member.id)
        staged = host is not None and replica.model in host.staged
        if not staged and not again and not self._begin_load(member.id, model, spec):
            return
        self._sent_by_host[member.id] = _Sent(loop_time(), order)
        self._spawn(self._send_join(member, replica))

    def _begin_load(
        self, host: str, model: ModelSpec, spec: EngineSpec, *, at_once: int = 0
    ) -> bool:
        starting = self._starting()
        overlap = START_OVERLAP if starting else 1.0
        started = self._loads.begin(
            host,
            takes_s=LOAD_SLACK * model.load_s,
            per_s=0.0 if starting else spec.loads_per_s,
            at_once=at_once or int(overlap * spec.loads_at_once),
        )
        if started:
            until = loop_time() + LOAD_SLACK * model.load_s
            self._staging_by_host[host] = (model.name, until)
        return started

    def _stage(self, stage: Stage, spec: EngineSpec) -> None:
        model = spec.model(stage.model)
        host = stage.host
        if model is None or host.id in self._staging_by_host:
            return
        # A load that begins before the first request is short however many there are.
        at_once = len(self._directory.hosts) if self._starting() else 0
        if self._begin_load(host.id, model, spec, at_once=at_once):
            self._spawn(self._send_stage(stage))

    def _due(self, host: str, order: str, *, mark: bool = True) -> bool:
        sent = self._sent_by_host.get(host)
        if (
            sent is not None
            and sent.order == order
            and loop_time() - sent.at < REPEAT_S
        ):
            return False
        if mark:
            self._sent_by_host[host] = _Sent(loop_time(), order)
        return True

    async def _send_join(self, member: Member, replica: ReplicaRecord) -> None:
        answer = await self._engine_commands.join(member, replica)
        if (
            answer is CommandResult.REFUSED
            and replica.epoch < self._registry.first_epoch_of_era
        ):
            self._refused.add(replica.name)
        self._note_answer(member.id, answer)
        self._log("join", member.id, replica.name, answer)

    async def _send_open(self, replica: ReplicaRecord) -> None:
        answer = await self._engine_commands.open(replica)
        self._note_answer(replica.head.id, answer)
        self._log("open", replica.head.id, replica.name, answer)

    def _note_answer(self, host: str, answer: CommandResult) -> None:
        """Let an order that got no answer be repeated sooner."""
        sent = self._sent_by_host.get(host)
        if answer is CommandResult.NO_ANSWER and sent is not None:
            at = loop_time() - REPEAT_S + SILENT_REPEAT_S
            self._sent_by_host[host] = sent._replace(at=at)

    async def _send_leave(self, member: Member, replica: ReplicaRecord) -> None:
        answer = await self._engine_commands.leave(member, replica)
        self._log("leave", member.id, replica.name, answer)

    async def _send_stage(self, stage: Stage) -> None:
        host = stage.host
        member = Member(host.id, host.born, host.address)
        answer = await self._engine_commands.stage(member, stage.model)
        if answer in (CommandResult.REFUSED, CommandResult.OTHER_PROCESS):
            self._loads.end(host.id)
        self._log("stage", host.id, stage.model, answer)

    def _log(self, order: str, host: str, subject: str, answer: CommandResult) -> None:
        self._decisions.belief(
            "order", order=order, upstream=host, subject=subject, answer=answer
        )

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._ended)

    def _ended(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and (error := task.exception()):
            self._decisions.belief("order_failed", error=repr(error))
