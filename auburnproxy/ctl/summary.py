"""Summary of late and failed requests, from the logs of several daemons."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable
from typing import TypedDict

from .request_history import Line, ParsedLogs

SPAN_LENGTH_S = 2
"""Length of a time span; short enough that a lost replica shows within one span."""
FAILURE_KINDS = frozenset({"refused", "try_failed", "stream_aborted"})
OMITTED_FIELD = "omitted"
"""Field with the number of preceding lines of the same kind that were not written."""


class ReplicaRow(TypedDict):
    """Counts of the streams that ended at one replica."""

    model: str
    replica: str
    upstream: str
    """Head of the replica."""
    streams: int
    first_late: int
    """Streams whose first event exceeded the latency objective of the route."""
    pause_late: int
    """Streams with a first event in time, but a pause above the route's objective."""
    several_tries: int


class SpanRow(TypedDict):
    """Counts of one time span over all daemons."""

    at: float
    """Unix time at which the span begins."""
    streams: int
    late: int
    failures: dict[str, int]
    """Number of failures by kind of line and code."""


class Summary(TypedDict):
    """Late and failed requests by replica and by time."""

    replicas: list[ReplicaRow]
    """Sorted by number of late streams, highest first."""
    spans: list[SpanRow]
    left_out: int
    """Number of lines that daemons did not write, as their kind exceeded its limit."""
    unreadable: int
    """Number of lines that are not JSON objects with a time, host and kind."""


def summarize(logs: ParsedLogs) -> Summary:
    """Count the late and failed requests in logs.

    :param logs: lines of all daemons, sorted by time
    """
    lines = logs.lines
    model_by_replica = {
        line["replica"]: line["model"]
        for line in lines
        if line["kind"] == "replica_recorded" and {"replica", "model"} <= line.keys()
    }
    ended = [line for line in lines if line["kind"] == "streamed"]
    return Summary(
        replicas=_replica_rows(ended, model_by_replica),
        spans=_span_rows(lines),
        left_out=sum(line.get(OMITTED_FIELD, 0) for line in lines),
        unreadable=logs.unreadable,
    )


def _has_late_first_event(line: Line) -> bool:
    return bool(line.get("first_s", 0.0) > line.get("objective_s", float("inf")))


def _has_long_pause(line: Line) -> bool:
    objective_s = line.get("pause_objective_s", float("inf"))
    return not _has_late_first_event(line) and bool(
        line.get("longest_pause_s", 0) > objective_s
    )


def _is_late(line: Line) -> bool:
    return _has_late_first_event(line) or _has_long_pause(line)


def _replica_rows(
    ended: Iterable[Line], model_by_replica: dict[str, str]
) -> list[ReplicaRow]:
    streams: defaultdict[tuple[str, str], list[Line]] = defaultdict(list)
    for line in ended:
        streams[line.get("replica", ""), line.get("upstream", "")].append(line)
    rows = [
        ReplicaRow(
            model=model_by_replica.get(replica, ""),
            replica=replica,
            upstream=upstream,
            streams=len(found),
            first_late=sum(map(_has_late_first_event, found)),
            pause_late=sum(map(_has_long_pause, found)),
            several_tries=sum(line.get("tries", 1) > 1 for line in found),
        )
        for (replica, upstream), found in streams.items()
    ]
    return sorted(rows, key=lambda row: -(row["first_late"] + row["pause_late"]))


def _span_rows(lines: Iterable[Line]) -> list[SpanRow]:
    lines_by_start: defaultdict[float, list[Line]] = defaultdict(list)
    for line in lines:
        if line["kind"] == "streamed" or line["kind"] in FAILURE_KINDS:
            lines_by_start[line["at"] // SPAN_LENGTH_S * SPAN_LENGTH_S].append(line)
    return [_span_row(at, found) for at, found in sorted(lines_by_start.items())]


def _span_row(at: float, lines: list[Line]) -> SpanRow:
    ended = [line for line in lines if line["kind"] == "streamed"]
    failures = Counter(
        f"{line['kind']} {line.get('code', '')}"
        for line in lines
        if line["kind"] in FAILURE_KINDS
    )
    return SpanRow(
        at=at, streams=len(ended), late=sum(map(_is_late, ended)), failures=failures
    )
