"""Status and report of a daemon and its failure domain for operators."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from ..operators import (
    DaemonStatus,
    DomainReport,
    DomainStatus,
    JournalStatus,
    ReplicaStatus,
    ReportBody,
)
from ..operators.overview import LocalView
from ..replicas import Replica

if TYPE_CHECKING:
    from .daemon import Daemon


class DaemonView(LocalView):
    """Reads the state of one daemon's components.

    :param daemon: the daemon
    """

    def __init__(self, daemon: Daemon) -> None:
        self._daemon = daemon
        self._started_at = asyncio.get_running_loop().time()

    def journal_status(self) -> JournalStatus:
        """Return the state of the journal."""
        journal = self._daemon.journal
        heartbeats = self._daemon.membership.heartbeats_by_id.values()
        newest = max((heartbeat.offset for heartbeat in heartbeats), default=0)
        return JournalStatus(
            offset=journal.offset,
            up=journal.up,
            ready=journal.ready,
            diverged=journal.diverged,
            behind=max(newest - journal.offset, 0),
        )

    def domain_status(self) -> DomainStatus:
        """Return the state of the own failure domain."""
        daemon = self._daemon
        domain = daemon.me.failure_domain
        recorded = daemon.replicas.by_name.values()
        return DomainStatus(
            failure_domain=domain,
            answered=True,
            out=daemon.configuration.is_out(domain),
            in_force=daemon.membership.versions_in_force.get(domain, 0),
            daemons=self._daemon_statuses(),
            replicas=[
                self._replica_status(each)
                for each in recorded
                if each.failure_domain == domain
            ],
            stranded_hosts=sorted(daemon.downtime.stranded_hosts),
            out_hosts=sorted(daemon.configuration.out_hosts),
        )

    def report(self) -> ReportBody:
        """Return the measurements of this daemon since it started."""
        daemon = self._daemon
        downtime = daemon.downtime
        domain = DomainReport(
            failure_domain=daemon.me.failure_domain,
            group_downtime_s=downtime.group_downtime_s,
            stranded_host_s=downtime.stranded_host_s,
            live_host_s=downtime.live_host_s,
        )
        return ReportBody(
            daemon=daemon.me.id,
            seconds=asyncio.get_running_loop().time() - self._started_at,
            failure_domains=[domain],
            moves=daemon.domain_transitions.report(),
            telemetry=daemon.telemetry.report(),
        )

    def _daemon_statuses(self) -> list[DaemonStatus]:
        daemon = self._daemon
        heartbeats = daemon.membership.heartbeats_by_id
        own = DaemonStatus(
            id=daemon.me.id,
            ready=daemon.ready,
            in_force=daemon.configuration.version,
            offset=daemon.journal.offset,
        )
        others = [
            DaemonStatus(
                id=member.id,
                ready=True,
                in_force=heartbeats[member.id].version,
                offset=heartbeats[member.id].offset,
            )
            for member in daemon.membership.live
            if member != daemon.me
        ]
        silent = [
            DaemonStatus(id=member.id, ready=False, in_force=0, offset=0)
            for member in daemon.roster.members(daemon.me.failure_domain)
            if member not in daemon.membership.live
        ]
        return sorted([own, *others, *silent], key=lambda each: each["id"])

    def _replica_status(self, replica: Replica) -> ReplicaStatus:
        serving = self._daemon.readiness.is_serving(replica)
        return ReplicaStatus(
            name=replica.name,
            model=replica.model,
            generation=replica.generation,
            hosts=list(replica.hosts),
            serving=serving,
            reason="" if serving else self._not_serving_reason(replica),
        )

    def _not_serving_reason(self, replica: Replica) -> str:
        """Return why a replica does not serve, by its first host that is not ready."""
        watcher = self._daemon.watcher
        for host in replica.hosts:
            report = watcher.report(host)
            if report is None:
                return f"{host} is missing"
            if watcher.out(host):
                return f"{host} is out of service"
            if watcher.leaving(host):
                return f"{host} is leaving"
            part = report.assignment
            if part is None or part.generation != replica.generation:
                return f"{host} has another part"
            if report.state != "ready":
                return f"{host} is {report.state}"
        return "just became whole"
