"""What one poll of an upstream showed."""

from __future__ import annotations

from typing import NamedTuple

from ..errors import Ran, UpstreamError
from .engine import Engine, EngineReport, EngineState
from .service import PlainService, ServiceReport

Report = EngineReport | ServiceReport


class Sighting(NamedTuple):
    """A report and when it was asked for."""

    report: Report
    asked_at: float
    """The loop's time in seconds at which the poll was sent."""


class Poll(NamedTuple):
    """A poll by this daemon that has ended."""

    host: str
    at: float
    """The loop's time in seconds at which it was sent, or found closed."""
    report: Report | None
    """None if there was no answer."""
    closed: bool = False
    """Whether the connection was refused or closed."""


async def ask(upstream: Engine | PlainService) -> Report:
    """Return a report; a connection that closed while idle gets a second try."""
    try:
        return await upstream.report()
    except UpstreamError as error:
        if error.ran is Ran.NO:
            raise
    return await upstream.report()


def part(report: Report) -> tuple[object, ...]:
    """Return what a report says beside the load, which changes all the time."""
    if isinstance(report, ServiceReport):
        return report.incarnation, report.leaving
    return report.incarnation, report.state, report.assignment


def says_leaving(report: Report) -> bool:
    """Return whether an upstream reports that it leaves."""
    if isinstance(report, ServiceReport):
        return report.leaving
    return report.state is EngineState.LEAVING
