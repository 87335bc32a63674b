"""The JSON bodies that operators are answered with."""

from __future__ import annotations

from enum import StrEnum
from typing import Any, TypedDict

from ..telemetry.telemetry import TelemetryReport


class Verdict(StrEnum):
    """What became of a change."""

    ACCEPTED = "accepted"
    """Accepted, and in force in every failure domain."""
    PENDING = "pending"
    """Accepted for good; some failure domains have not said that it is in force."""
    REJECTED = "rejected"
    """Another change came first, or the journal refused the record."""
    UNKNOWN = "unknown"
    """It may or may not be accepted; the same id can be sent again, safely."""
    REFUSED = "refused"
    """Surely not accepted: the log did not take the record."""
    FINDINGS = "findings"
    """Surely not accepted: something is wrong with the change."""


class FindingBody(TypedDict):
    """One thing that is wrong with a change."""

    file: str
    line: int
    key: str
    code: str
    message: str


class Answer(TypedDict):
    """The answer to a change."""

    verdict: str
    """A ``Verdict``."""
    id: str
    """Under which the change can be sent again."""
    version: int
    """Offset of the record, 0 if it is not known."""
    reason: str
    """Code of a rejection or refusal, empty otherwise."""
    pending: list[str]
    """Failure domains that have not said that the change is in force."""
    findings: list[FindingBody]


class ShowBody(TypedDict):
    """The configuration in force in the daemon that answers."""

    version: int
    """Of the newest change of any kind."""
    lists_version: int
    """Of the lists; a change of them names it."""
    plans: list[dict[str, Any]]
    grants: list[dict[str, Any]]
    out_domains: list[str]
    out_hosts: list[str]


class DaemonStatus(TypedDict):
    """One daemon."""

    id: str
    ready: bool
    in_force: int
    """Newest configuration version that it has in force."""
    offset: int
    """Last record of the journal that it has folded."""


class ReplicaStatus(TypedDict):
    """One replica."""

    name: str
    model: str
    generation: int
    hosts: list[str]
    serving: bool
    reason: str
    """Why it does not serve, empty if it does."""


class DomainStatus(TypedDict):
    """One failure domain."""

    failure_domain: str
    answered: bool
    """Whether one of its daemons answered; otherwise nothing else is known."""
    out: bool
    in_force: int
    daemons: list[DaemonStatus]
    replicas: list[ReplicaStatus]
    stranded_hosts: list[str]
    out_hosts: list[str]


class JournalStatus(TypedDict):
    """The journal of the daemon that answers."""

    offset: int
    up: bool
    ready: bool
    diverged: bool
    behind: int
    """Records that some peer has folded and this daemon has not."""


class StatusBody(TypedDict):
    """The whole system, as one daemon sees it."""

    daemon: str
    version: int
    journal: JournalStatus
    failure_domains: list[DomainStatus]


class MoveReport(TypedDict):
    """The service in the first seconds after a failure domain left or returned."""

    version: int
    """Configuration version that the move came with."""
    failure_domain: str
    out: bool
    """Whether it left; otherwise it returned."""
    seconds: float
    """Seconds that were counted."""
    answered: int
    refused: int
    unknown: int


class DomainReport(TypedDict):
    """The measures of placement of one failure domain."""

    failure_domain: str
    group_downtime_s: float
    stranded_host_s: float
    live_host_s: float


class ReportBody(TypedDict):
    """What the daemons have measured, each since its start."""

    daemon: str
    seconds: float
    """Since the start of the daemon that answers."""
    failure_domains: list[DomainReport]
    moves: list[MoveReport]
    telemetry: TelemetryReport
