"""Ends replicas so that their hosts can safely be reassigned.

A host may join another replica only when the head of its current one is known not to
serve. The head is told to leave. If it cannot be reached, all other members are told
to leave, since a head without members stops serving. Only a report of the host proves
that it has left.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Collection, Sequence

from ..clock import loop_time
from ..errors import AuburnError
from ..gateway.host import ReplicaPartState
from ..telemetry.decisions import DecisionLog
from .engine_commands import CommandResult, EngineCommands
from .record import Member, ReplicaRecord

RETRY_INTERVAL_S = 0.3
"""Interval between two attempts to reach a head."""
DRAIN_TIMEOUT_S = 6.0
"""Longest wait for the requests of a replica to finish; a stream takes two seconds."""
HEAD_ATTEMPTS = 2
"""Attempts to reach a head before its members leave without it."""


class Retirement:
    """Ends replicas, one task for each.

    :param engine_commands: sends commands to the engines
    :param decisions: logs each replica that is ended
    """

    def __init__(self, engine_commands: EngineCommands, decisions: DecisionLog) -> None:
        self.ended: set[str] = set()
        """Names of the replicas that have ended, so that their hosts are free."""
        self._engine_commands = engine_commands
        self._decisions = decisions
        self.on_start: Callable[[], None] = lambda: None
        """Called when the end of a replica starts."""
        self._tasks_by_name: dict[str, asyncio.Task[None]] = {}

    @property
    def ending_or_ended(self) -> frozenset[str]:
        """Return the names of the replicas that are being ended or have ended."""
        return frozenset(self._tasks_by_name) | self.ended

    def start(
        self,
        replica: ReplicaRecord,
        other_members: Callable[[], Sequence[Member]],
        *,
        head_gone: Callable[[], bool],
        graceful: bool,
    ) -> None:
        """Start to end a replica, unless that has already been started.

        :param replica: the replica to end
        :param other_members: returns its members other than the head that may still run
        :param head_gone: returns whether the head's process is known to have ended
        :param graceful: whether its requests may finish first
        """
        if replica.name in self.ending_or_ended:
            return
        self._decisions.belief(
            "replica_retiring",
            replica=replica.name,
            gentle=graceful,
            head_gone=head_gone(),
        )
        work = self._end(replica, other_members, head_gone=head_gone, graceful=graceful)
        task = asyncio.create_task(work)
        self._tasks_by_name[replica.name] = task
        self.on_start()
        task.add_done_callback(lambda done: self._on_task_done(replica.name, done))

    def keep_only(self, names: Collection[str]) -> None:
        """Forget the replicas that are no longer recorded.

        :param names: the replicas that are still recorded
        """
        self.ended.intersection_update(names)
        for name in self._tasks_by_name.keys() - set(names):
            self._tasks_by_name.pop(name).cancel()

    def cancel(self) -> None:
        """Cancel every task; the next leader starts over."""
        for task in self._tasks_by_name.values():
            task.cancel()

    def _on_task_done(self, name: str, task: asyncio.Task[None]) -> None:
        self._tasks_by_name.pop(name, None)
        if task.cancelled():
            return
        if error := task.exception():
            self._decisions.belief("retirement_failed", replica=name, error=repr(error))
            return
        self.ended.add(name)

    async def _end(
        self,
        replica: ReplicaRecord,
        other_members: Callable[[], Sequence[Member]],
        *,
        head_gone: Callable[[], bool],
        graceful: bool,
    ) -> None:
        if graceful and not head_gone():
            await self._drain(replica)
        attempts = 0
        while not head_gone() and not await self._has_left(replica, replica.head):
            attempts += 1
            if attempts >= HEAD_ATTEMPTS and await self._all_have_left(
                replica, other_members()
            ):
                return
            await asyncio.sleep(RETRY_INTERVAL_S)

    async def _drain(self, replica: ReplicaRecord) -> None:
        """Let the head finish its requests."""
        await self._engine_commands.close(replica)
        deadline = loop_time() + DRAIN_TIMEOUT_S
        while loop_time() < deadline:
            state = await self._part_state(replica, replica.head)
            if state not in (ReplicaPartState.OPEN, ReplicaPartState.CLOSING):
                return
            await asyncio.sleep(RETRY_INTERVAL_S)

    async def _has_left(self, replica: ReplicaRecord, member: Member) -> bool:
        """Tell a member to leave and return whether its report confirms it."""
        result = await self._engine_commands.leave(member, replica)
        if result is CommandResult.OTHER_PROCESS:
            return True
        if result is CommandResult.NO_ANSWER:
            return False
        return await self._part_state(replica, member) is None

    async def _all_have_left(
        self, replica: ReplicaRecord, members: Sequence[Member]
    ) -> bool:
        """Return whether every member that may still run has left its part.

        A head without members serves nothing, and its process exits by itself.
        """
        left = await asyncio.gather(*(self._has_left(replica, m) for m in members))
        return bool(left) and all(left)

    async def _part_state(
        self, replica: ReplicaRecord, member: Member
    ) -> ReplicaPartState | None:
        """Return the state of a member's part, ``BROKEN`` if it does not answer."""
        try:
            reported = await self._engine_commands.report(member.as_host())
        except AuburnError as error:
            self._decisions.belief("host_silent", upstream=member.id, error=repr(error))
            return ReplicaPartState.BROKEN
        part = reported.part
        if reported.born != member.born or part is None:
            return None
        ours = (part.replica, part.epoch) == (replica.name, replica.epoch)
        return part.state if ours else None
