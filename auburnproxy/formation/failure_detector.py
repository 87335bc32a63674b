"""Failure detector for the hosts of replicas, using several independent observers.

A silent host counts as lost only with evidence that this daemon itself is not
partitioned away, usually that a neighbour of the host answers. If most of a failure
domain is lost at once, no neighbour answers either; then a host is lost if it does
not answer here and the store has dropped it while it still lists other hosts there.

A verdict does not prove that a process has ended. Hosts of a lost replica are
reassigned only after :mod:`.retirement` has shown that its head no longer serves.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Collection, Mapping, Sequence
from typing import TypeVar

from ..clock import loop_time
from ..errors import AuburnError
from ..gateway.directory import Directory
from ..gateway.host import Host, Incarnation
from ..telemetry.decisions import DecisionLog
from .engine_commands import BackoffError, EngineCommands
from .record import Member

PROBE_ATTEMPTS = 2
"""Unanswered probes after which a host counts as silent; one may be packet loss."""
CONTROL_HOSTS = 2
"""Number of hosts in other fabric domains, and in the same one, that are probed for
comparison before a silent host is declared lost."""
EVIDENCE_WAIT_S = 1.6
"""Time within which a failure domain that is not partitioned away gives a sign of life:
its hosts renew their registrations every 1.2 s."""
MIN_PROBE_INTERVAL_S = 5.0
"""Minimum interval between two probes of a host for the same reason."""
LOST_RETENTION_S = 30.0
"""Time for which a lost process is remembered; its registration expires earlier."""
K = TypeVar("K")


class FailureDetector:
    """Probes hosts that may be lost, and keeps the verdicts.

    :param directory: the registered hosts
    :param engine_commands: asks hosts for reports
    :param decisions: logs each verdict
    :param last_heard_at: returns the time of the event loop at which any daemon of a
        failure domain was last heard from
    :param host_list_current: returns whether the store answers, so that its list of
        hosts is current
    """

    def __init__(
        self,
        directory: Directory,
        engine_commands: EngineCommands,
        decisions: DecisionLog,
        *,
        last_heard_at: Callable[[str], float],
        host_list_current: Callable[[], bool],
    ) -> None:
        self._last_heard_at = last_heard_at
        self._host_list_current = host_list_current
        self._directory = directory
        self._engine_commands = engine_commands
        self._decisions = decisions
        self._lost_until: dict[Incarnation, float] = {}
        self._unlisted: set[Incarnation] = set()
        """Lost processes that the store did not list; it may list one again."""
        self._no_probe_until: dict[tuple[str, int, str], float] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def lost(self) -> Collection[Incarnation]:
        """Return the processes that are known to be gone."""
        return self._lost_until.keys()

    def expire(self) -> None:
        """Drop old verdicts, and those that a new registration has refuted."""
        now = loop_time()
        for incarnation in list(self._unlisted):
            host = self._directory.hosts.get(incarnation[0])
            if host is not None and host.incarnation == incarnation:
                self._lost_until.pop(incarnation, None)
                self._decisions.belief("host_back", upstream=incarnation[0])
        self._unlisted = {
            incarnation
            for incarnation in self._unlisted
            if incarnation in self._lost_until and self._lost_until[incarnation] > now
        }
        self._lost_until = _unexpired(now, self._lost_until)
        self._no_probe_until = _unexpired(now, self._no_probe_until)

    def probe(self, member: Member, failure_domain: str, reason: str) -> None:
        """Probe a host, unless that was done recently for the same reason.

        :param member: the host as recorded with its replica
        :param failure_domain: its failure domain
        :param reason: why it is probed
        """
        probe_key = (*member.incarnation, reason)
        if member.incarnation in self._lost_until or probe_key in self._no_probe_until:
            return
        known_host = self._directory.hosts.get(member.id)
        host = known_host or member.as_host(failure_domain)
        self._no_probe_until[probe_key] = loop_time() + MIN_PROBE_INTERVAL_S
        task = asyncio.create_task(self._probe(member, host, reason))
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def cancel(self) -> None:
        """Cancel all probes."""
        for task in self._tasks:
            task.cancel()

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and (error := task.exception()):
            self._decisions.belief("probe_failed", error=repr(error))

    async def _probe(self, member: Member, host: Host, reason: str) -> None:
        error: AuburnError | None = None
        for _ in range(PROBE_ATTEMPTS):
            try:
                reported = await self._engine_commands.report(host)
            except BackoffError:
                return
            except AuburnError as failure:
                error = failure
                continue
            if reported.born == member.born:
                return
            error = None
            break
        evidence = "restarted" if error is None else await self._find_evidence(host)
        if not evidence:
            self._decisions.belief("host_unreachable", upstream=member.id)
            return
        self._lost_until[member.incarnation] = loop_time() + LOST_RETENTION_S
        if member.id not in self._directory.hosts:
            self._unlisted.add(member.incarnation)
        self._decisions.belief(
            "host_lost",
            upstream=member.id,
            reason=reason,
            vantage=evidence,
            error=repr(error),
        )

    async def _find_evidence(self, silent_host: Host) -> str:
        """Return the evidence that a host is lost, rather than this daemon isolated.

        :return: empty if there is none
        """
        other_hosts = [
            host
            for host in self._directory.hosts.values()
            if host.failure_domain == silent_host.failure_domain
            and host.id != silent_host.id
            and host.fabric_domain
            and host.incarnation not in self._lost_until
        ]
        if await self._any_answers(silent_host, other_hosts):
            return "neighbour answers"
        probed_at = loop_time()
        await asyncio.sleep(EVIDENCE_WAIT_S)
        if silent_host.id in self._directory.hosts or not self._host_list_current():
            return ""
        known = (self._directory.hosts.get(host.id) for host in other_hosts)
        if any(host is not None and host.seen_at > probed_at for host in known):
            return "store lists others"
        last_heard_at = self._last_heard_at(silent_host.failure_domain)
        return "daemon heard" if last_heard_at > probed_at else ""

    async def _any_answers(
        self, silent_host: Host, other_hosts: Sequence[Host]
    ) -> bool:
        """Return whether a host of another or the same fabric domain answers."""
        newest = sorted(other_hosts, key=lambda host: -host.seen_at)
        near = [h for h in newest if h.fabric_domain == silent_host.fabric_domain]
        far = [h for h in newest if h.fabric_domain != silent_host.fabric_domain]
        probes = (
            self._answers(host) for host in far[:CONTROL_HOSTS] + near[:CONTROL_HOSTS]
        )
        return any(await asyncio.gather(*probes))

    async def _answers(self, host: Host) -> bool:
        try:
            await self._engine_commands.report(host)
        except AuburnError as error:
            self._decisions.belief("host_silent", upstream=host.id, error=repr(error))
            return False
        return True


def _unexpired(now: float, until_by_key: Mapping[K, float]) -> dict[K, float]:
    return {key: until for key, until in until_by_key.items() if until > now}
