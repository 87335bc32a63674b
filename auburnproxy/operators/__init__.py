"""HTTP API for operators."""

from .bodies import (
    Answer,
    DaemonStatus,
    DomainReport,
    DomainStatus,
    DomainTransitionReport,
    JournalStatus,
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
    "DomainTransitionReport",
    "Overview",
    "ReplicaStatus",
    "ReportBody",
    "ShowBody",
    "StatusBody",
    "Verdict",
    "routes",
]
