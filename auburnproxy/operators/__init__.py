"""HTTP API for operators."""

from .bodies import (
    Answer,
    DaemonStatus,
    DomainReport,
    DomainStatus,
    JournalStatus,
    MoveReport,
    ReplicaStatus,
    ReportBody,
    ShowBody,
    StatusBody,
    Verdict,
)
from .changes import Changes
from .overview import LocalView, Overview
from .routes import routes

__all__ = [
    "Answer",
    "Changes",
    "DaemonStatus",
    "DomainReport",
    "DomainStatus",
    "JournalStatus",
    "LocalView",
    "MoveReport",
    "Overview",
    "ReplicaStatus",
    "ReportBody",
    "ShowBody",
    "StatusBody",
    "Verdict",
    "routes",
]
