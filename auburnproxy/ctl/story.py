"""One request's story, read from the logs of several daemons."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import Any, NamedTuple, TypedDict

import msgspec

Line = dict[str, Any]
SUBJECTS = ("upstream", "replica")
"""Fields by which a decision names what it rested on."""
STARTED = "started"
"""A process's first line: it has forgotten what it believed before."""
DAEMON = "daemon/"
"""Other daemons, of which a request asks nothing."""
ALWAYS = ("configuration_in_force", "dependency_lost", "dependency_regained")
"""Beliefs that bear on every decision of their daemon."""


class Step(TypedDict):
    """One decision with the beliefs that its daemon held."""

    decision: Line
    beliefs: list[Line]
    """Newest belief of each kind on what the decision names, oldest first."""


class Reading(NamedTuple):
    """Lines of several logs."""

    lines: list[Line]
    unreadable: int
    """Lines that are no JSON objects of this kind."""


def read_lines(texts: Iterable[str]) -> Reading:
    """Return the structured lines of logs.

    :param texts: lines, perhaps with something before the JSON object
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
    return Reading(lines, unreadable)


def story(lines: Iterable[Line], request_id: str) -> list[Step]:
    """Return the decisions on a request in order, with what was believed.

    :param lines: structured lines, in order of their times
    :param request_id: the caller's id of the request
    """
    beliefs: list[Line] = []
    steps = []
    for line in lines:
        if line.get("request") == request_id:
            held = list(_held(beliefs, line))
            steps.append(Step(decision=line, beliefs=held))
        elif "request" not in line:
            beliefs.append(line)
    return steps


def _held(beliefs: list[Line], decision: Line) -> Iterator[Line]:
    """Yield the newest belief of each kind that bears on a decision."""
    named = {decision[key] for key in SUBJECTS if key in decision}
    newest: dict[tuple[str, str], Line] = {}
    for belief in beliefs:
        if belief["host"] != decision["host"]:
            continue
        if belief["kind"] == STARTED:
            newest.clear()
        subject = next((belief[k] for k in SUBJECTS if belief.get(k) in named), "")
        about = subject or str(belief.get("dependency", ""))
        bears = belief["kind"] in ALWAYS and not about.startswith(DAEMON)
        if subject or bears:
            newest[belief["kind"], about] = belief
    yield from sorted(newest.values(), key=lambda belief: belief["at"])


def told(line: Line) -> str:
    """Return a line's fields as ``key=value``, without its place and time."""
    left_out = {"at", "host", "kind", "request"}
    fields = (f"{key}={value}" for key, value in line.items() if key not in left_out)
    return f"{line['kind']} {' '.join(fields)}"
