"""What many requests met, added up from the logs of several daemons."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable
from typing import TypedDict

from .story import Line, Reading

SPAN_S = 2
"""Seconds that are added up together; a lost replica shows within one."""
FAILURES = frozenset({"refused", "try_failed", "stream_aborted"})
LEFT_OUT = "omitted"
"""Field of a line that tells how many of its kind were not written before it."""


class ReplicaRow(TypedDict):
    """The streams that ended at one replica."""

    model: str
    replica: str
    upstream: str
    """Its head."""
    streams: int
    first_late: int
    """Those whose first event came after the objective of their route."""
    pause_late: int
    """Those with a longer pause than the objective of their route, first in time."""
    several_tries: int


class SpanRow(TypedDict):
    """What happened within a few seconds, at all daemons."""

    at: float
    """Unix time at which they begin."""
    streams: int
    late: int
    failures: dict[str, int]
    """Count by kind of line and code."""


class Summary(TypedDict):
    """Late and failed requests by replica and by time."""

    replicas: list[ReplicaRow]
    """The ones with the most late streams first."""
    spans: list[SpanRow]
    left_out: int
    """Lines that were not written, since there were too many of their kind."""
    unreadable: int
    """Lines that are no JSON objects of this kind."""


def summarize(reading: Reading) -> Summary:
    """Add up the decisions of logs.

    :param reading: lines of all daemons, in order of their times
    """
    lines = reading.lines
    models = {
        line["replica"]: line["model"]
        for line in lines
        if line["kind"] == "replica_recorded" and {"replica", "model"} <= line.keys()
    }
    ended = [line for line in lines if line["kind"] == "streamed"]
    return Summary(
        replicas=_replicas(ended, models),
        spans=_spans(lines),
        left_out=sum(line.get(LEFT_OUT, 0) for line in lines),
        unreadable=reading.unreadable,
    )


def _first_late(line: Line) -> bool:
    return bool(line.get("first_s", 0.0) > line.get("objective_s", float("inf")))


def _pause_late(line: Line) -> bool:
    objective_s = line.get("pause_objective_s", float("inf"))
    return not _first_late(line) and bool(line.get("longest_pause_s", 0) > objective_s)


def _late(line: Line) -> bool:
    return _first_late(line) or _pause_late(line)


def _replicas(ended: Iterable[Line], models: dict[str, str]) -> list[ReplicaRow]:
    streams: defaultdict[tuple[str, str], list[Line]] = defaultdict(list)
    for line in ended:
        streams[line.get("replica", ""), line.get("upstream", "")].append(line)
    rows = [
        ReplicaRow(
            model=models.get(replica, ""),
            replica=replica,
            upstream=upstream,
            streams=len(found),
            first_late=sum(map(_first_late, found)),
            pause_late=sum(map(_pause_late, found)),
            several_tries=sum(line.get("tries", 1) > 1 for line in found),
        )
        for (replica, upstream), found in streams.items()
    ]
    return sorted(rows, key=lambda row: -(row["first_late"] + row["pause_late"]))


def _spans(lines: Iterable[Line]) -> list[SpanRow]:
    by_start: defaultdict[float, list[Line]] = defaultdict(list)
    for line in lines:
        if line["kind"] == "streamed" or line["kind"] in FAILURES:
            by_start[line["at"] // SPAN_S * SPAN_S].append(line)
    return [_span(at, found) for at, found in sorted(by_start.items())]


def _span(at: float, lines: list[Line]) -> SpanRow:
    ended = [line for line in lines if line["kind"] == "streamed"]
    failures = Counter(
        f"{line['kind']} {line.get('code', '')}"
        for line in lines
        if line["kind"] in FAILURES
    )
    return SpanRow(
        at=at, streams=len(ended), late=sum(map(_late, ended)), failures=failures
    )
