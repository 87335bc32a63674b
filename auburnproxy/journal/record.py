"""Records that the system stores in the platform's log."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, NamedTuple


class Record(NamedTuple):
    """A record as its author appends it."""

    id: str
    """Operation id; a second record with the same id is ignored."""
    author: str
    """Name and incarnation of the author."""
    kind: str
    """Reducer and verb, such as ``replica.form``."""
    body: Mapping[str, Any]
    expects: Mapping[str, int]
    """Version that the author saw of each key that the record touches.

    A key's version is the offset of the last accepted record that touched it,
    0 if there is none. Offsets are counted from 1.
    """
    since: int = 0
    """Offset that the author had applied when it first appended the record.

    A copy appended further from it than the window of remembered ids is
    rejected, so no copy can be accepted after its id was forgotten.
    """


class Entry(NamedTuple):
    """A record with its offset in the log."""

    offset: int
    record: Record


class Outcome(NamedTuple):
    """Whether a record was accepted; the same in every process."""

    id: str
    offset: int
    accepted: bool
    reason: str = ""
    """Code of the rejection, empty if accepted."""
