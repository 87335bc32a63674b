"""Which hosts of replicas are lost, by what several vantage points see of them.

Answers a failure domain of which most is dark at once: then no neighbour answers
either, and a verdict that needs one would never come. A host that the store has
dropped, while it lists others beside it, is lost if it does not answer here.

A verdict is no proof that a process has ended. Hosts of a lost replica are given
other parts only once :mod:`.retirement` has shown that its head serves no more.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Collection, Mapping, Sequence
from typing import TypeVar

from ..clock import loop_time
from ..errors import AuburnError
from ..gateway.directory import Directory
from ..gateway.host import Host, Life
from ..telemetry.decisions import Decisions
from .engine_commands import BackoffError, EngineCommands
from .record import Member

PROBES = 2
"""Probes without an answer that show a host to be lost; one may be a lost packet."""
CONTROLS = 2
"""Hosts of other fabric domains, and of the same one, that are asked before a silent
host is given up."""
NEWS_S = 1.6
"""Seconds in which a failure domain that is not cut off shows itself: its hosts
register anew every 1.2 s."""
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
    :param heard_at: returns the loop's time at which a daemon of a failure domain
        was last heard
    :param lists: returns whether the store answers, so that its list is current
    """

    def __init__(
        self,
        directory: Directory,
        engine_commands: EngineCommands,
        decisions: Decisions,
        *,
        heard_at: Callable[[str], float],
        lists: Callable[[], bool],
    ) -> None:
        self._heard_at = heard_at
        self._lists = lists
        self._directory = directory
        self._engine_commands = engine_commands
        self._decisions = decisions
        self._lost_until: dict[Life, float] = {}
        self._unlisted: set[Life] = set()
        """Lost processes that the store had dropped; it may list one again."""
        self._asked_until: dict[tuple[str, int, str], float] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def lost(self) -> Collection[Life]:
        """Return the processes that are known to be gone."""
        return self._lost_until.keys()

    def expire(self) -> None:
        """Forget old verdicts, and those that the store's list has refuted."""
        now = loop_time()
        for life in list(self._unlisted):
            host = self._directory.hosts.get(life[0])
            if host is not None and host.life == life:
                self._lost_until.pop(life, None)
                self._decisions.belief("host_back", upstream=life[0])
        self._unlisted = {
            life
            for life in self._unlisted
            if life in self._lost_until and self._lost_until[life] > now
        }
        self._lost_until = _after(now, self._lost_until)
        self._asked_until = _after(now, self._asked_until)

    def ask(self, member: Member, failure_domain: str, reason: str) -> None:
        """Ask a host whether it is there, unless that was done of late.

        :param member: the host as its replica is recorded
        :param failure_domain: where it is
        :param reason: why it is asked
        """
        asked = (*member.life, reason)
        if member.life in self._lost_until or asked in self._asked_until:
            return
        known_host = self._directory.hosts.get(member.id)
        host = known_host or member.as_host(failure_domain)
        self._asked_until[asked] = loop_time() + KEPT_S
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
                seen = await self._engine_commands.report(host)
            except BackoffError:
                return
            except AuburnError as failure:
                error = failure
                continue
            if seen.born == member.born:
                return
            error = None
            break
        vantage = "restarted" if error is None else await self._vantage(host)
        if not vantage:
            self._decisions.belief("host_unreachable", upstream=member.id)
            return
        self._lost_until[member.life] = loop_time() + LOST_KEPT_S
        if member.id not in self._directory.hosts:
            self._unlisted.add(member.life)
        self._decisions.belief(
            "host_lost",
            upstream=member.id,
            reason=reason,
            vantage=vantage,
            error=repr(error),
        )

    async def _vantage(self, silent: Host) -> str:
        """Return what shows that a silent host is lost and this daemon not cut off.

        :return: empty if nothing does
        """
        others = [
            host
            for host in self._directory.hosts.values()
            if host.failure_domain == silent.failure_domain
            and host.id != silent.id
            and host.fabric_domain
            and host.life not in self._lost_until
        ]
        if await self._any_answers(silent, others):
            return "neighbour answers"
        asked_at = loop_time()
        await asyncio.sleep(NEWS_S)
        if silent.id in self._directory.hosts or not self._lists():
            return ""
        known = (self._directory.hosts.get(host.id) for host in others)
        if any(host is not None and host.seen_at > asked_at for host in known):
            return "store lists others"
        heard_at = self._heard_at(silent.failure_domain)
        return "daemon heard" if heard_at > asked_at else ""

    async def _any_answers(self, silent: Host, others: Sequence[Host]) -> bool:
        """Return whether a host of another fabric domain, or of the same, answers."""
        newest = sorted(others, key=lambda host: -host.seen_at)
        near = [h for h in newest if h.fabric_domain == silent.fabric_domain]
        far = [h for h in newest if h.fabric_domain != silent.fabric_domain]
        asked = (self._answers(host) for host in far[:CONTROLS] + near[:CONTROLS])
        return any(await asyncio.gather(*asked))

    async def _answers(self, host: Host) -> bool:
        try:
            await self._engine_commands.report(host)
        except AuburnError as error:
            self._decisions.belief("host_silent", upstream=host.id, error=repr(error))
            return False
        return True


def _after(now: float, until_by_key: Mapping[K, float]) -> dict[K, float]:
    return {key: until for key, until in until_by_key.items() if until > now}
