"""In-memory engines that form replicas by commands, and the specs of two models."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine, Mapping
from typing import Any, Protocol

from auburnproxy.errors import Ran, UpstreamError
from auburnproxy.formation.engine_commands import CommandResult, EngineCommands
from auburnproxy.formation.record import Member, ReplicaRecord
from auburnproxy.gateway.host import Host, ReplicaPart, ReplicaPartState
from auburnproxy.gateway.route import (
    Configuration,
    EngineSpec,
    ModelSpec,
    RequestLimits,
    ServiceSpec,
)

SERVICE = "engines"
LARGE = ModelSpec("large", 4, 0.5, 1.0, 16.0, 1.6)
SMALL = ModelSpec("small", 2, 0.5, 0.6, 12.0, 1.1)
ENGINE = EngineSpec(9, (LARGE, SMALL), 0.008, 0.0002, 45_900, 5, 5.0, 7, 0.3, 900, 150)
REJOIN_S = 0.2
CONNECT_S = 0.25
"""Time limit of a connection."""
HEARTBEAT_S = 1.2
LAPSE_S = 3.6
"""Three heartbeat intervals of an engine, after which its registration lapses."""


def configuration(version: int = 1) -> Configuration:
    service = ServiceSpec(SERVICE, 3.0, 36.0, ENGINE)
    return Configuration(version, {}, {SERVICE: service}, {}, True, RequestLimits())


def host(
    name: str,
    *,
    failure_domain: str = "fd1",
    fabric: str = "f0",
    staged: tuple[str, ...] = (),
    models: tuple[str, ...] = (),
    part: ReplicaPart | None = None,
    **more: Any,
) -> Host:
    values: dict[str, Any] = {"service": SERVICE, "address": f"{name}:1", "slots": 9}
    values |= {"leaving": False, "cold_s": 0.0, "born": 1} | more
    return Host(
        id=name,
        failure_domain=failure_domain,
        fabric_domain=fabric,
        staged=staged,
        models=models,
        part=part,
        **values,
    )


class Registry(Protocol):
    """Where engines register: a directory, or the store from which directories are
    filled.
    """

    @property
    def hosts(self) -> Mapping[str, Host]: ...

    def register(self, host: Host) -> None: ...

    def unregister(self, host_id: str) -> None: ...


class FakeFleet(EngineCommands):
    """The engines and their commands; records violations of the formation rules.

    :param directory: where each change of an engine is registered at once
    """

    def __init__(self, directory: Registry) -> None:
        self.directory = directory
        self.hosts: dict[str, Host] = {}
        self.silent: set[str] = set()
        """Engines that answer nothing, though they may be running."""
        self.stopped: set[str] = set()
        """Engines whose processes have ended."""
        self.delayed_commands = 0
        """Number of commands that get no answer and are executed later."""
        self.command_delay_s = 3.0
        self.violations: list[str] = []
        self.sent: list[tuple[str, str, str]] = []
        self._members: dict[tuple[str, int], tuple[str, ...]] = {}

    def add(self, *hosts: Host) -> None:
        for each in hosts:
            self.hosts[each.id] = each
            self.directory.register(each)

    async def renew_registrations(self) -> None:
        """Renew the registration of every running host, until cancelled."""
        while True:
            now = asyncio.get_running_loop().time()
            for each in list(self.hosts.values()):
                if each.id not in self.silent:
                    self.directory.register(each._replace(seen_at=now))
            await asyncio.sleep(HEARTBEAT_S)

    def stop(self, name: str) -> None:
        """End an engine's process; its registration lapses later."""
        self.stopped.add(name)
        self.silent.add(name)

    def unregister(self, name: str) -> None:
        self.directory.unregister(name)

    def open_heads(self) -> list[Host]:
        return [
            each
            for each in self.hosts.values()
            if each.part
            and each.part.state is ReplicaPartState.OPEN
            and each.id not in self.stopped
        ]

    async def join(self, member: Member, replica: ReplicaRecord) -> CommandResult:
        async def carry_out() -> None:
            self._check_join(member, replica)
            known = self.hosts[member.id]
            if known.part and known.part.epoch > replica.epoch:
                return
            if self._has_part(member.id, replica):
                # A delayed duplicate finds the requested state already reached.
                return
            rank = replica.ids.index(member.id)
            self._members[replica.name, replica.epoch] = replica.ids
            joining = ReplicaPart(
                replica.name, replica.epoch, rank, ReplicaPartState.JOINING
            )
            self._set(member.id, part=joining, models=(replica.model,))
            await asyncio.sleep(self._join_s(known, replica.model))
            if self.hosts[member.id].part == joining:
                ready = joining._replace(state=ReplicaPartState.READY)
                self._set(member.id, part=ready, staged=(replica.model,))

        return await self._run_command("join", member, replica.name, carry_out())

    async def open(self, replica: ReplicaRecord) -> CommandResult:
        async def carry_out() -> None:
            part = self.hosts[replica.head.id].part
            if part != ReplicaPart(
                replica.name, replica.epoch, 0, ReplicaPartState.READY
            ):
                return
            for member in replica.members:
                taken = self.hosts[member.id].part
                gone = member.id in self.stopped
                ready = taken is not None and taken.state is ReplicaPartState.READY
                if not gone and not (ready and self._has_part(member.id, replica)):
                    self.violations.append(f"{replica.name} opened without {member.id}")
            await asyncio.sleep(ENGINE.form_s)
            if self.hosts[replica.head.id].part == part:
                opened = part._replace(state=ReplicaPartState.OPEN)
                self._set(replica.head.id, part=opened)

        return await self._run_command("open", replica.head, replica.name, carry_out())

    async def close(self, replica: ReplicaRecord) -> CommandResult:
        async def carry_out() -> None:
            if self._has_part(replica.head.id, replica):
                ready = ReplicaPart(
                    replica.name, replica.epoch, 0, ReplicaPartState.READY
                )
                self._set(replica.head.id, part=ready)

        return await self._run_command("close", replica.head, replica.name, carry_out())

    async def leave(self, member: Member, replica: ReplicaRecord) -> CommandResult:
        async def carry_out() -> None:
            if self._has_part(member.id, replica):
                self._set(member.id, part=None)

        return await self._run_command("leave", member, replica.name, carry_out())

    async def stage(self, member: Member, model: str) -> CommandResult:
        work = self._stage(member.id, model)
        return await self._run_command("stage", member, model, work)

    async def report(self, host: Host) -> Host:
        await asyncio.sleep(0.005)
        if host.id in self.silent or host.id not in self.hosts:
            await asyncio.sleep(CONNECT_S)
            raise UpstreamError(f"{host.id}", ran=Ran.NO) from TimeoutError()
        return self.hosts[host.id]

    async def _run_command(
        self, kind: str, member: Member, subject: str, work: Coroutine[Any, Any, None]
    ) -> CommandResult:
        self.sent.append((kind, member.id, subject))
        await asyncio.sleep(0.005)
        if member.id in self.silent or member.id not in self.hosts:
            work.close()
            await asyncio.sleep(0.5)
            return CommandResult.NO_ANSWER
        if self.hosts[member.id].born != member.born:
            work.close()
            return CommandResult.OTHER_PROCESS
        if self.delayed_commands:
            self.delayed_commands -= 1
            asyncio.get_running_loop().call_later(
                self.command_delay_s, lambda: asyncio.ensure_future(work)
            )
            await asyncio.sleep(0.5)
            return CommandResult.NO_ANSWER
        task = asyncio.ensure_future(work)
        await asyncio.sleep(0)
        return CommandResult.DONE if task.done() else CommandResult.STARTED

    async def _stage(self, name: str, model: str) -> None:
        await asyncio.sleep(12.0)
        self._set(name, staged=(model,))

    def _check_join(self, member: Member, replica: ReplicaRecord) -> None:
        """Record a join of a host whose own replica still has a serving head."""
        part = self.hosts[member.id].part
        if part is None or part.replica == replica.name:
            return
        members = self._members.get((part.replica, part.epoch), ())
        head = self.hosts.get(members[0]) if members else None
        if head is None or head.id in self.stopped or not head.part:
            return
        serves = head.part.state in (ReplicaPartState.OPEN, ReplicaPartState.CLOSING)
        if head.part.replica == part.replica and serves:
            self.violations.append(f"{member.id} taken from {part.replica}")

    def _has_part(self, name: str, replica: ReplicaRecord) -> bool:
        part = self.hosts[name].part
        return part is not None and (part.replica, part.epoch) == (
            replica.name,
            replica.epoch,
        )

    def _join_s(self, known: Host, model: str) -> float:
        if model in known.models and model in known.staged:
            return REJOIN_S
        spec = ENGINE.model(model)
        assert spec is not None
        return spec.warm_s if model in known.staged else spec.load_s / 10

    def _set(self, name: str, **changes: Any) -> None:
        self.hosts[name] = self.hosts[name]._replace(**changes)
        if name in self.directory.hosts and name not in self.silent:
            self.directory.register(self.hosts[name])
