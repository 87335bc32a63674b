"""Which hosts of replicas are lost, by asking them and their neighbours."""

from __future__ import annotations

import asyncio
from collections.abc import Collection, Mapping
from typing import TypeVar

from ..clock import loop_time
from ..errors import AuburnError
from ..gateway.directory import Directory
from ..gateway.host import Host
from ..telemetry.decisions import Decisions
from .orders import Orders, RestError
from .record import Member

PROBES = 2
"""Probes without an answer that show a host to be lost; one may be a lost packet."""
CONTROLS = 3
"""Other hosts of a failure domain that are asked before a silent one is given up."""
KEPT_S = 5.0
"""Seconds for which a host that was asked is not asked again."""
LOST_KEPT_S = 30.0
"""Seconds for which a lost process is remembered; its registration lapses sooner."""
K = TypeVar("K")


class Probes:
    """Asks hosts that fell silent whether they are there.

    :param directory: the registered hosts
    :param orders: asks for reports
    :param decisions: takes a line for each verdict
    """

    def __init__(
        self, directory: Directory, orders: Orders, decisions: Decisions
    ) -> None:
        self._directory = directory
        self._orders = orders
        self._decisions = decisions
        self._lost_until: dict[tuple[str, int], float] = {}
        self._asked_until: dict[str, float] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def lost(self) -> Collection[tuple[str, int]]:
        """Return the processes, by id and start, that are known to be gone."""
        return self._lost_until.keys()

    def expire(self) -> None:
        """Forget old verdicts."""
        now = loop_time()
        self._lost_until = _after(now, self._lost_until)
        self._asked_until = _after(now, self._asked_until)

    def ask(self, member: Member, failure_domain: str, reason: str) -> None:
        """Ask a host whether it is there, unless that was done of late.

        :param member: the host as its replica is recorded
        :param failure_domain: where it is
        :param reason: why it is asked
        """
        known = (member.id, member.born) in self._lost_until
        if known or member.id in self._asked_until:
            return
        known_host = self._directory.hosts.get(member.id)
        host = known_host or member.as_host(failure_domain)
        self._asked_until[member.id] = loop_time() + KEPT_S
        task = asyncio.create_task(self._judge(member, host, reason))
        self._tasks.add(task)
        task.add_done_callback(self._ended)

    def cancel(self) -> None:
        """Stop asking."""
        for task in self._tasks:
            task.cancel()

    def _ended(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and (error := task.exception()):
            self._decisions.belief("probe_failed", error=repr(error))

    async def _judge(self, member: Member, host: Host, reason: str) -> None:
        error: AuburnError | None = None
        for _ in range(PROBES):
            try:
                seen = await self._orders.report(host)
            except RestError:
                return
            except AuburnError as failure:
                error = failure
                continue
            if seen.born == member.born:
                return
            error = None
            break
        if error is not None and not await self._reaches_neighbours(host):
            self._decisions.belief("host_unreachable", upstream=member.id)
            return
        self._lost_until[member.id, member.born] = loop_time() + LOST_KEPT_S
        self._decisions.belief(
            "host_lost", upstream=member.id, reason=reason, error=repr(error)
        )

    async def _reaches_neighbours(self, silent: Host) -> bool:
        """Return whether another host near a silent one answers this daemon.

        If none does, this daemon is more likely cut off than they are all lost.
        """
        others = [
            host
            for host in self._directory.hosts.values()
            if host.failure_domain == silent.failure_domain
            and host.fabric_domain != silent.fabric_domain
            and host.life not in self._lost_until
        ]
        for host in sorted(others, key=lambda host: -host.seen_at)[:CONTROLS]:
            try:
                await self._orders.report(host)
            except AuburnError as error:
                self._decisions.belief(
                    "host_silent", upstream=host.id, error=repr(error)
                )
                continue
            return True
        return False


def _after(now: float, until_by_key: Mapping[K, float]) -> dict[K, float]:
    return {key: until for key, until in until_by_key.items() if until > now}
