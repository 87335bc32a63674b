"""History of one request, collected from the logs of several daemons."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import Any, NamedTuple, TypedDict

import msgspec

Line = dict[str, Any]
SUBJECT_FIELDS = ("upstream", "replica")
"""Fields of a decision that name the upstream or replica it was based on."""
STARTED_KIND = "started"
"""First line of a process, which knows nothing of its predecessor's beliefs."""
DAEMON_PREFIX = "daemon/"
"""Prefix of dependencies on other daemons, which are not relevant to a request."""
DAEMON_WIDE_KINDS = ("configuration_in_force", "dependency_lost", "dependency_regained")
"""Kinds of beliefs that are relevant to every decision of their daemon."""


class Step(TypedDict):
    """A decision and the beliefs of its daemon that were relevant to it."""

    decision: Line
    beliefs: list[Line]
    """The newest belief of each kind and subject, oldest first."""


class ParsedLogs(NamedTuple):
    """The structured lines of several logs."""

    lines: list[Line]
    unreadable: int
    """Number of lines that are not JSON objects with a time, host and kind."""


def parse_lines(texts: Iterable[str]) -> ParsedLogs:
    """Parse the structured lines of logs and sort them by time.

    :param texts: lines of text, in which a prefix may precede the JSON object
    """
    lines, unreadable = [], 0
    for text in texts:
        start = text.find("{")
        try:
            line = msgspec.json.decode(text[start:]) if start >= 0 else None
        except msgspec.MsgspecError:
            line = None
        if isinstance(line, dict) and {"at", "host", "kind"} <= line.keys():
            lines.append(line)
        else:
            unreadable += 1
    lines.sort(key=lambda line: line["at"])
    return ParsedLogs(lines, unreadable)


def request_history(lines: Iterable[Line], request_id: str) -> list[Step]:
    """Return the decisions about a request in order, with the relevant beliefs.

    A belief is a daemon's view of an upstream, a replica, a dependency or the
    configuration.

    :param lines: structured lines, sorted by time
    :param request_id: id that the caller gave the request
    """
    beliefs: list[Line] = []
    steps = []
    for line in lines:
        if line.get("request") == request_id:
            relevant = list(_relevant_beliefs(beliefs, line))
            steps.append(Step(decision=line, beliefs=relevant))
        elif "request" not in line:
            beliefs.append(line)
    return steps


def _relevant_beliefs(beliefs: list[Line], decision: Line) -> Iterator[Line]:
    """Yield the newest relevant belief of each kind and subject."""
    subjects = {decision[key] for key in SUBJECT_FIELDS if key in decision}
    newest: dict[tuple[str, str], Line] = {}
    for belief in beliefs:
        if belief["host"] != decision["host"]:
            continue
        if belief["kind"] == STARTED_KIND:
            newest.clear()
        subject = next(
            (belief[k] for k in SUBJECT_FIELDS if belief.get(k) in subjects), ""
        )
        about = subject or str(belief.get("dependency", ""))
        is_daemon_wide = belief["kind"] in DAEMON_WIDE_KINDS and not about.startswith(
            DAEMON_PREFIX
        )
        if subject or is_daemon_wide:
            newest[belief["kind"], about] = belief
    yield from sorted(newest.values(), key=lambda belief: belief["at"])


def format_line(line: Line) -> str:
    """Format a line as its kind and ``key=value`` fields, without host and time."""
    omitted_fields = {"at", "host", "kind", "request"}
    fields = (
        f"{key}={value}" for key, value in line.items() if key not in omitted_fields
    )
    return f"{line['kind']} {' '.join(fields)}"
