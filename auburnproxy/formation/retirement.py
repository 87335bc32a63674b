"""Ends replicas so that their hosts may safely be given other parts.

A host may join another replica only when the head of its own is known not to
serve. The head is told to leave; where it cannot be reached, every other member
leaves, which stops a head that lives. Each report must show that it was done.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Collection, Sequence

from ..clock import loop_time
from ..errors import AuburnError
from ..gateway.host import PartState
from ..telemetry.decisions import Decisions
from .engine_commands import CommandResult, EngineCommands
from .record import Member, ReplicaRecord

RETRY_S = 0.3
"""Seconds between two tries to reach a head."""
DRAIN_S = 6.0
"""Longest wait for the requests of a replica that is to end; a stream takes two."""
HEAD_TRIES = 2
"""Tries to reach a head before its members leave without it."""


class Retirement:
    """Ends replicas, one task for each.

    :param orders: sends orders to engines
    :param decisions: takes a line for each replica that ends
    """

    def __init__(self, engine_commands: EngineCommands, decisions: Decisions) -> None:
        self.ended: set[str] = set()
        """Names of the replicas whose hosts are free."""
        self._engine_commands = engine_commands
        self._decisions = decisions
        self.on_begin: Callable[[], None] = lambda: None
        """Called when a replica begins to end."""
        self._tasks_by_name: dict[str, asyncio.Task[None]] = {}

    @property
    def under_way(self) -> frozenset[str]:
        """Return the names of the replicas that end or have ended."""
        return frozenset(self._tasks_by_name) | self.ended

    def begin(
        self,
        replica: ReplicaRecord,
        others: Callable[[], Sequence[Member]],
        *,
        head_gone: Callable[[], bool],
        gentle: bool,
    ) -> None:
        """Begin to end a replica, unless that is under way.

        :param formed: the replica
        :param others: returns its members beside the head that may be there
        :param head_gone: returns whether the head's process is known to have ended
        :param gentle: whether its requests may end first
        """
        if replica.name in self.under_way:
            return
        self._decisions.belief(
            "replica_retiring",
            replica=replica.name,
            gentle=gentle,
            head_gone=head_gone(),
        )
        work = self._end(replica, others, head_gone=head_gone, gentle=gentle)
        task = asyncio.create_task(work)
        self._tasks_by_name[replica.name] = task
        self.on_begin()
        task.add_done_callback(lambda done: self._note(replica.name, done))

    def keep(self, names: Collection[str]) -> None:
        """Forget the replicas that are recorded no more.

        :param names: the replicas that are still recorded
        """
        self.ended.intersection_update(names)
        for name in self._tasks_by_name.keys() - set(names):
            self._tasks_by_name.pop(name).cancel()

    def cancel(self) -> None:
        """Stop every task; a later daemon begins anew."""
        for task in self._tasks_by_name.values():
            task.cancel()

    def _note(self, name: str, task: asyncio.Task[None]) -> None:
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
        others: Callable[[], Sequence[Member]],
        *,
        head_gone: Callable[[], bool],
        gentle: bool,
    ) -> None:
        if gentle and not head_gone():
            await self._drain(replica)
        tries = 0
        while not head_gone() and not await self._left(replica, replica.head):
            tries += 1
            if tries >= HEAD_TRIES and await self._all_left(replica, others()):
                return
            await asyncio.sleep(RETRY_S)

    async def _drain(self, replica: ReplicaRecord) -> None:
        """Let the head finish what it has."""
        await self._engine_commands.close(replica)
        until = loop_time() + DRAIN_S
        while loop_time() < until:
            state = await self._state(replica, replica.head)
            if state not in (PartState.OPEN, PartState.CLOSING):
                return
            await asyncio.sleep(RETRY_S)

    async def _left(self, replica: ReplicaRecord, member: Member) -> bool:
        """Order a member to leave and return whether its report shows that it has."""
        answer = await self._engine_commands.leave(member, replica)
        if answer is CommandResult.OTHER_PROCESS:
            return True
        if answer is CommandResult.NO_ANSWER:
            return False
        return await self._state(replica, member) is None

    async def _all_left(
        self, replica: ReplicaRecord, members: Sequence[Member]
    ) -> bool:
        """Return whether every member that may live has left its part.

        A head without members serves nothing, and its process stops by itself.
        """
        left = await asyncio.gather(*(self._left(replica, m) for m in members))
        return bool(left) and all(left)

    async def _state(self, replica: ReplicaRecord, member: Member) -> PartState | None:
        """Return the state of a member's part, ``BROKEN`` while it does not answer."""
        try:
            seen = await self._engine_commands.report(member.as_host())
        except AuburnError as error:
            self._decisions.belief("host_silent", upstream=member.id, error=repr(error))
            return PartState.BROKEN
        part = seen.part
        if seen.born != member.born or part is None:
            return None
        ours = (part.replica, part.epoch) == (replica.name, replica.epoch)
        return part.state if ours else None
