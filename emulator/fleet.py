"""Emulated engines: admission, weight loads, losses and restarts."""

from __future__ import annotations

import asyncio
from collections import defaultdict
from collections.abc import Callable, Iterable
from errno import ECONNREFUSED
from typing import Any

from auburnproxy.errors import Ran, UpstreamError
from auburnproxy.gateway.host import Host, ReplicaPart, ReplicaPartState
from auburnproxy.gateway.route import EngineSpec
from features.fakes.fleet import LAPSE_S, REJOIN_S, FakeFleet

from .network import Location
from .registrations import Registrations
from .replica import Job, PrefillSettings, Replica

SHARED_PROMPT_PART, DEADLY_PROMPT_PART = "5c1e07a2", "dead"
"""Prompt parts: one that all requests share, and one on which engines crash."""
REFUSAL_S = 0.005
"""Time until a connection to an engine that has ended is refused."""
CRASH_RESTART_S = 2.0
"""Time until an engine that has crashed on a prompt part is back."""
MEMBER_LOSS_TIMEOUT_S = 4.0
"""Time after which a head fails its replica once a member is lost."""
INITIAL_LOAD_FRACTION = 0.1
"""Duration of weight loads before the first request, as a fraction of the usual one."""


class PlainHost:
    """Engine of a plain service with limited concurrency.

    :param slots: maximum number of concurrent requests
    :param work_s: returns the service time of the next request
    """

    def __init__(self, slots: int, work_s: Callable[[], float]) -> None:
        self.work_s = work_s
        self.slots = asyncio.Semaphore(slots)


class Fleet(FakeFleet):
    """Engines that serve the replicas they form and load weights from a shared store.

    :param register: registry of the engines
    :param engine: batching parameters
    :param prefill: prefill parameters
    :param served: returns whether any request has been served yet
    """

    def __init__(
        self,
        register: Registrations,
        engine: EngineSpec,
        prefill: PrefillSettings,
        served: Callable[[], bool],
    ) -> None:
        super().__init__(register)
        self.replica_by_head: dict[str, Replica] = {}
        self.plain_by_id: dict[str, PlainHost] = {}
        self.slowdown_by_id: dict[str, float] = {}
        """Factor by which the times of slow engines are multiplied."""
        self.unresponsive: set[str] = set()
        """Engines whose machines accept no connection and send nothing."""
        self.limit_by_id: dict[str, float] = {}
        """Requests a second that engines say they take."""
        self.sent_at_by_id: defaultdict[str, list[float]] = defaultdict(list)
        """Times at which engines with a limit got requests."""
        self.crashes = 0
        """Engines that have crashed on a prompt part."""
        self._engine = engine
        self.prefill = prefill
        self._served = served
        self._active_loads = 0
        self._opened_replica_by_head: dict[str, tuple[str, int]] = {}
        """Name and epoch of the replica that each head opened last."""

    def location(self, host_id: str) -> Location:
        """Return the location of an engine."""
        return Location(host_id, self.hosts[host_id].failure_domain)

    def add_plain(self, host: Host, plain: PlainHost) -> None:
        """Add an engine of a plain service."""
        self.plain_by_id[host.id] = plain
        self.add(host)

    def admit(self, host: Host, job: Job) -> int:
        """Submit a job to a head and return the HTTP status.

        :param host: head as the daemon knows it
        """
        known = self.hosts[host.id]
        part = known.part
        replica = self.replica_by_head.get(host.id)
        if known.born != host.born or part is None or replica is None:
            return 421
        if part.state is not ReplicaPartState.OPEN or not replica.admit(job):
            return 503
        return 200

    def drop(self, host_id: str, job: Job) -> None:
        """Remove a job whose daemon has closed the connection."""
        replica = self.replica_by_head.get(host_id)
        if replica is not None:
            replica.drop(job)

    def lose(self, names: Iterable[str], *, dark: bool) -> None:
        """Stop engines without draining.

        :param dark: whether their machines become silent; otherwise connections are
            reset
        """
        loop = asyncio.get_running_loop()
        for name in names:
            self.stop(name)
            if dark:
                self.unresponsive.add(name)
            own = self.replica_by_head.get(name)
            if own is not None:
                own.stall() if dark else own.abort()
            loop.call_later(LAPSE_S, self._expire_registration, name)
            self._stall_replica_of(name)

    def crash(self, name: str) -> None:
        """End an engine as it begins an answer; it is back after some seconds."""
        if name not in self.stopped:
            self.lose([name], dark=False)
            self.crashes += 1
            loop = asyncio.get_running_loop()
            loop.call_later(CRASH_RESTART_S, self.restart, [name])

    async def report(self, host: Host) -> Host:
        """Return an engine's report.

        :raises UpstreamError: if it accepts no connection
        """
        if host.id in self.stopped and host.id not in self.unresponsive:
            await asyncio.sleep(REFUSAL_S)
            refused = ConnectionRefusedError(ECONNREFUSED, "refused")
            raise UpstreamError(host.id, ran=Ran.NO) from refused
        return await super().report(host)

    def restart(self, names: Iterable[str]) -> None:
        """Restart engines; their hosts keep staged weights."""
        for name in names:
            replica = self.replica_by_head.pop(name, None)
            if replica is not None:
                replica.abort()
            self._stall_replica_of(name)
            self._opened_replica_by_head.pop(name, None)
            known = self.hosts[name]
            self.hosts[name] = known._replace(born=known.born + 1, part=None, models=())
            for group in (self.stopped, self.silent, self.unresponsive):
                group.discard(name)
            self._set(name, busy=False)

    def _stall_replica_of(self, name: str) -> None:
        """Stall the replica of a lost member, and fail it after a timeout."""
        part = self.hosts[name].part
        if part is None:
            return
        members = self._members.get((part.replica, part.epoch), ())
        head = members[0] if members else ""
        replica = self.replica_by_head.get(head)
        if replica is not None and head != name:
            replica.stall()
            loop = asyncio.get_running_loop()
            loop.call_later(
                MEMBER_LOSS_TIMEOUT_S, self._fail_replica, head, replica, part
            )

    def _fail_replica(self, head: str, replica: Replica, part: ReplicaPart) -> None:
        if self.replica_by_head.get(head) is not replica:
            return
        replica.abort()
        own = self.hosts[head].part
        if own is not None and own.replica == part.replica:
            self._set(head, part=own._replace(state=ReplicaPartState.BROKEN))

    def _expire_registration(self, name: str) -> None:
        if name in self.stopped:
            self.unregister(name)

    def _slowdown(self, members: tuple[str, ...], pace: float) -> float:
        slowest = max(self.slowdown_by_id.get(name, 1.0) for name in members)
        places = {self.hosts[name].fabric_domain for name in members}
        spread = self._engine.spread_factor if len(places) > 1 else 1.0
        return pace * slowest * spread

    def _set(self, name: str, **changes: Any) -> None:
        super()._set(name, **changes)
        part = self.hosts[name].part
        if part is None or part.state is not ReplicaPartState.OPEN:
            return
        if self._opened_replica_by_head.get(name) != (part.replica, part.epoch):
            self._start_replica(name, part)

    def _start_replica(self, name: str, part: ReplicaPart) -> None:
        key = part.replica, part.epoch
        self._opened_replica_by_head[name] = key
        members = self._members[key]
        model = self._engine.model(self.hosts[name].models[0])
        assert model is not None
        replica = Replica(
            self._engine, self.prefill, lambda: self._slowdown(members, model.pace)
        )
        self.replica_by_head[name] = replica
        if any(member in self.stopped for member in members):
            replica.stall()
            loop = asyncio.get_running_loop()
            loop.call_later(
                MEMBER_LOSS_TIMEOUT_S, self._fail_replica, name, replica, part
            )

    def _join_s(self, known: Host, model: str) -> float:
        if model in known.models and model in known.staged:
            return REJOIN_S
        spec = self._engine.model(model)
        assert spec is not None
        if model in known.staged:
            return spec.warm_s
        return self._start_load(spec.load_s)

    def _start_load(self, usual_s: float) -> float:
        """Start a weight load; concurrent loads lengthen the returned duration."""
        if not self._served():
            return usual_s * INITIAL_LOAD_FRACTION
        self._active_loads += 1
        seconds = usual_s * max(self._active_loads / self._engine.loads_at_once, 1.0)
        asyncio.get_running_loop().call_later(seconds, self._end_load)
        return seconds

    def _end_load(self) -> None:
        self._active_loads -= 1

    async def _stage(self, name: str, model: str) -> None:
        spec = self._engine.model(model)
        assert spec is not None
        await asyncio.sleep(self._start_load(spec.load_s))
        self._set(name, staged=(model,))
