"""The deterministic step from one state of the journal to the next."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from typing import Any, NamedTuple

from loguru import logger

from .record import Entry, Outcome, Record
from .reducer import Reducer

WINDOW = 16_384
"""Offsets for which the ids of records are remembered; equal in all daemons."""
STALE = "stale"
EXPIRED = "expired"
INVALID = "invalid"
UNKNOWN_KIND = "unknown_kind"

log = logger.bind(part="journal")


class Hole(NamedTuple):
    """Records that the log lost before any daemon that remained had read them."""

    after: int
    """Offset of the last record before the hole."""
    until: int
    """Offset of the last lost record."""


class Snapshot(NamedTuple):
    """The whole state after one offset."""

    offset: int
    versions: dict[str, int]
    outcomes: list[Outcome]
    holes: list[Hole]
    state_by_reducer: dict[str, Any]


class Fold:
    """The state after some prefix of the log; it depends on that prefix alone.

    :param reducers: the slices' states
    :param window: offsets for which ids are remembered
    """

    def __init__(self, reducers: Iterable[Reducer], *, window: int = WINDOW) -> None:
        self.offset = 0
        self.holes: list[Hole] = []
        self._window = window
        self._reducer_by_name = {reducer.name: reducer for reducer in reducers}
        self._versions: dict[str, int] = {}
        self._outcome_by_id: OrderedDict[str, Outcome] = OrderedDict()

    def version(self, key: str) -> int:
        """Return the offset of the last accepted record that touched a key, or 0."""
        return self._versions.get(key, 0)

    def outcome(self, record_id: str) -> Outcome | None:
        """Return what became of a record, None if it is unknown or forgotten."""
        return self._outcome_by_id.get(record_id)

    def step(self, entry: Entry) -> None:
        """Take the next entry; those at or below the offset are ignored."""
        if entry.offset <= self.offset:
            return
        self.offset = entry.offset
        self._forget()
        record = entry.record
        if not record.id or record.id in self._outcome_by_id:
            return
        reason = self._judge(entry)
        if not reason:
            self._accept(entry)
        outcome = Outcome(record.id, entry.offset, not reason, reason)
        self._outcome_by_id[record.id] = outcome

    def _judge(self, entry: Entry) -> str:
        record = entry.record
        if entry.offset - record.since > self._window:
            return EXPIRED
        reducer = self._reducer(record)
        if reducer is None:
            return UNKNOWN_KIND
        if any(self.version(key) != seen for key, seen in record.expects.items()):
            return STALE
        try:
            return reducer.check(entry)
        except Exception as error:  # a malformed body must not stop the fold
            log.warning("Record {} is malformed: {!r}", record.id, error)
            return INVALID

    def _accept(self, entry: Entry) -> None:
        self._versions |= dict.fromkeys(entry.record.expects, entry.offset)
        reducer = self._reducer(entry.record)
        assert reducer is not None
        try:
            reducer.apply(entry)
        except Exception:  # the same in every process, so states stay equal
            log.exception("Record {} was applied in part.", entry.record.id)

    def _reducer(self, record: Record) -> Reducer | None:
        return self._reducer_by_name.get(record.kind.partition(".")[0])

    def _forget(self) -> None:
        oldest = self.offset - self._window
        while self._outcome_by_id:
            first = next(iter(self._outcome_by_id.values()))
            if first.offset >= oldest:
                break
            self._outcome_by_id.popitem(last=False)

    def snapshot(self) -> Snapshot:
        """Return the whole state."""
        states = {n: r.snapshot() for n, r in self._reducer_by_name.items()}
        outcomes = list(self._outcome_by_id.values())
        return Snapshot(self.offset, self._versions, outcomes, self.holes, states)

    def restore(self, snapshot: Snapshot) -> None:
        """Replace the whole state."""
        self.offset = snapshot.offset
        self.holes = list(snapshot.holes)
        self._versions = dict(snapshot.versions)
        self._outcome_by_id = OrderedDict((o.id, o) for o in snapshot.outcomes)
        for name, state in snapshot.state_by_reducer.items():
            if name in self._reducer_by_name:
                self._reducer_by_name[name].restore(state)
