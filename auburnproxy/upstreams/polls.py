"""Results of polls of upstreams."""

from __future__ import annotations

from typing import NamedTuple

from ..errors import Ran, UpstreamError
from .engine import Engine, EngineReport, EngineState
from .service import PlainService, ServiceReport

Report = EngineReport | ServiceReport


class TimedReport(NamedTuple):
    """A report and the time at which it was requested."""

    report: Report
    requested_at: float
    """Event loop time in seconds at which the poll was sent."""


class Poll(NamedTuple):
    """Result of a poll by this daemon."""

    host: str
    at: float
    """Event loop time in seconds: sending of the poll, or detection of the close."""
    report: Report | None
    """The host's report, None if it did not answer."""
    closed: bool = False
    """Whether the connection was refused or closed."""


async def fetch_report(upstream: Engine | PlainService) -> Report:
    """Return an upstream's report; retry once if an idle connection was closed."""
    try:
        return await upstream.report()
    except UpstreamError as error:
        if error.ran is Ran.NO:
            raise
    return await upstream.report()


def fields_without_load(report: Report) -> tuple[object, ...]:
    """Return the fields whose change is notified; the load changes constantly."""
    if isinstance(report, ServiceReport):
        return report.incarnation, report.leaving
    return report.incarnation, report.state, report.assignment


def reports_leaving(report: Report) -> bool:
    """Return whether a report says that its upstream is leaving."""
    if isinstance(report, ServiceReport):
        return report.leaving
    return report.state is EngineState.LEAVING
