"""JSON response bodies of the operator API."""

from __future__ import annotations

from enum import StrEnum
from typing import Any, TypedDict

from ..telemetry.telemetry import TelemetryReport


class Verdict(StrEnum):
    """Outcome of a change."""

    ACCEPTED = "accepted"
    """Accepted, and in force in every failure domain."""
    PENDING = "pending"
    """Accepted durably; some failure domains have not confirmed it in force."""
    REJECTED = "rejected"
    """Superseded by a concurrent change, or rejected by the journal."""
    UNKNOWN = "unknown"
    """It may have been accepted; it can safely be sent again with the same id."""
    REFUSED = "refused"
    """Certainly not accepted: the log did not append the record."""
    FINDINGS = "findings"
    """Certainly not accepted: the change failed validation."""


class FindingBody(TypedDict):
    """One validation error of a change."""

    file: str
    line: int
    key: str
    code: str
    message: str


class Answer(TypedDict):
    """Response to a change."""

    verdict: str
    """Value of a ``Verdict``."""
    id: str
    """Id with which the change can be sent again."""
    version: int
    """Offset of the change's record, 0 if it is unknown."""
    reason: str
    """Code of a rejection or refusal, empty otherwise."""
    pending: list[str]
    """Failure domains that have not confirmed the change in force."""
    findings: list[FindingBody]


class ShowBody(TypedDict):
    """Configuration in force in the responding daemon."""

    version: int
    """Version of the newest change of any kind."""
    lists_version: int
    """Version of the lists, on which a change of them is based."""
    plans: list[dict[str, Any]]
    grants: list[dict[str, Any]]
    out_domains: list[str]
    out_hosts: list[str]


class DaemonStatus(TypedDict):
    """Status of a daemon."""

    id: str
    ready: bool
    in_force: int
    """Newest configuration version in force in the daemon."""
    offset: int
    """Offset of the last journal record that the daemon has applied."""


class ReplicaStatus(TypedDict):
    """Status of a replica."""

    name: str
    model: str
    generation: int
    hosts: list[str]
    serving: bool
    reason: str
    """Why the replica is not serving, empty if it is."""


class DomainStatus(TypedDict):
    """Status of a failure domain."""

    failure_domain: str
    answered: bool
    """Whether a daemon of it answered; if not, the other fields are unknown."""
    out: bool
    in_force: int
    daemons: list[DaemonStatus]
    replicas: list[ReplicaStatus]
    stranded_hosts: list[str]
    out_hosts: list[str]


class JournalStatus(TypedDict):
    """Status of the responding daemon's journal."""

    offset: int
    up: bool
    ready: bool
    diverged: bool
    behind: int
    """Records that the most advanced peer has applied and this daemon has not."""


class StatusBody(TypedDict):
    """Status of the whole system as seen by one daemon."""

    daemon: str
    version: int
    journal: JournalStatus
    failure_domains: list[DomainStatus]


class DomainTransitionReport(TypedDict):
    """Request outcomes in the seconds after a failure domain was taken out or back."""

    version: int
    """Configuration version of the change."""
    failure_domain: str
    out: bool
    """Whether the domain was taken out of service, not back."""
    seconds: float
    """Seconds over which requests were counted."""
    answered: int
    refused: int
    unknown: int


class DomainReport(TypedDict):
    """Placement metrics of a failure domain."""

    failure_domain: str
    group_downtime_s: float
    stranded_host_s: float
    live_host_s: float


class ReportBody(TypedDict):
    """Measurements of the daemons, each since its start."""

    daemon: str
    seconds: float
    """Seconds since the start of the responding daemon."""
    failure_domains: list[DomainReport]
    moves: list[DomainTransitionReport]
    telemetry: TelemetryReport
