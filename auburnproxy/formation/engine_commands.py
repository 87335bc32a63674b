"""Commands to the engines of replicas, independent of their wire protocol."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable
from enum import StrEnum
from typing import TypeVar

from ..errors import UpstreamError
from ..gateway.backoffs import UpstreamBackoffs
from ..gateway.host import Host, Incarnation
from .record import Member, ReplicaRecord

Argument = TypeVar("Argument")


class CommandResult(StrEnum):
    """Outcome of a command, as far as it is known."""

    DONE = "done"
    """The engine is in the requested state."""
    STARTED = "begun"
    """The engine has begun to carry the command out."""
    REFUSED = "refused"
    """The command does not fit the engine's state; nothing was done."""
    OTHER_PROCESS = "other_life"
    """The addressed process is gone: another one answered at its address."""
    NO_ANSWER = "silent"
    """No answer; the command may still be carried out, at once or later."""


class BackoffError(UpstreamError):
    """Nothing was sent, because the upstream asked for a pause (``Retry-After``)."""

    code = "upstream_rests"


class EngineCommands(ABC):
    """Sends commands, each of them once; a result does not prove the effect.

    Only the report of the engine shows whether a command was carried out.
    """

    on_leaving: Callable[[Incarnation], None] = staticmethod(lambda incarnation: None)
    """Called with a process whose answer says that it is shutting down."""
    on_unanswered: Callable[[str, str, str], None] = staticmethod(
        lambda command, host, reason: None
    )
    """Called with a command that got no answer, the id of its host and the reason."""

    @abstractmethod
    async def join(self, member: Member, replica: ReplicaRecord) -> CommandResult:
        """Tell a member to take up its rank in a replica."""

    @abstractmethod
    async def open(self, replica: ReplicaRecord) -> CommandResult:
        """Tell the head of a replica to serve requests."""

    @abstractmethod
    async def close(self, replica: ReplicaRecord) -> CommandResult:
        """Tell the head to finish its requests and to accept no new ones."""

    @abstractmethod
    async def leave(self, member: Member, replica: ReplicaRecord) -> CommandResult:
        """Tell a member to leave its replica at once."""

    @abstractmethod
    async def stage(self, member: Member, model: str) -> CommandResult:
        """Tell a host to load a model's weights."""

    @abstractmethod
    async def report(self, host: Host) -> Host:
        """Return the current report of a host.

        :param host: the host as it was last known
        :raises UpstreamError: if it does not answer
        :raises PlatformError: if its report cannot be read
        """

    async def close_connections(self) -> None:
        """Close the open connections to the engines."""
        return


class BackoffEngineCommands(EngineCommands):
    """Sends nothing to an upstream that has asked for a pause.

    :param engine_commands: sends the commands to all other upstreams
    :param backoffs: the upstreams that have asked for a pause
    """

    def __init__(
        self, engine_commands: EngineCommands, backoffs: UpstreamBackoffs
    ) -> None:
        self._engine_commands = engine_commands
        self._backoffs = backoffs

    async def join(self, member: Member, replica: ReplicaRecord) -> CommandResult:
        """Tell a member to take up its rank in a replica."""
        return await self._unless_backing_off(
            member, self._engine_commands.join, replica
        )

    async def open(self, replica: ReplicaRecord) -> CommandResult:
        """Tell the head of a replica to serve requests."""
        if self._backoffs.remaining_s(replica.head.incarnation):
            return CommandResult.NO_ANSWER
        return await self._engine_commands.open(replica)

    async def close(self, replica: ReplicaRecord) -> CommandResult:
        """Tell the head to finish its requests and to accept no new ones."""
        if self._backoffs.remaining_s(replica.head.incarnation):
            return CommandResult.NO_ANSWER
        return await self._engine_commands.close(replica)

    async def leave(self, member: Member, replica: ReplicaRecord) -> CommandResult:
        """Tell a member to leave its replica at once."""
        return await self._unless_backing_off(
            member, self._engine_commands.leave, replica
        )

    async def stage(self, member: Member, model: str) -> CommandResult:
        """Tell a host to load a model's weights."""
        return await self._unless_backing_off(
            member, self._engine_commands.stage, model
        )

    async def report(self, host: Host) -> Host:
        """Return the current report of a host.

        :raises BackoffError: if it has asked for a pause
        :raises UpstreamError: if it does not answer
        :raises PlatformError: if its report cannot be read
        """
        if self._backoffs.remaining_s(host.incarnation):
            raise BackoffError(f"{host.id} has asked for a pause")
        return await self._engine_commands.report(host)

    async def _unless_backing_off(
        self,
        member: Member,
        command: Callable[[Member, Argument], Awaitable[CommandResult]],
        argument: Argument,
    ) -> CommandResult:
        if self._backoffs.remaining_s(member.incarnation):
            return CommandResult.NO_ANSWER
        return await command(member, argument)

    async def close_connections(self) -> None:
        """Close the open connections to the engines."""
        await self._engine_commands.close_connections()
