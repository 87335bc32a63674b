"""Replicated state machine of the journal."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from typing import Any, NamedTuple

from loguru import logger

from .record import Entry, Outcome, Record
from .reducer import Reducer

ID_WINDOW = 16_384
"""Offsets for which record ids are remembered; must be equal in all daemons."""
STALE = "stale"
EXPIRED = "expired"
INVALID = "invalid"
UNKNOWN_KIND = "unknown_kind"

log = logger.bind(part="journal")


class LostRange(NamedTuple):
    """Range of records that expired before any surviving daemon had read them."""

    after: int
    """Offset of the last record before the range."""
    until: int
    """Offset of the last lost record."""


class Snapshot(NamedTuple):
    """Complete state after the record at an offset."""

    offset: int
    versions: dict[str, int]
    outcomes: list[Outcome]
    lost_ranges: list[LostRange]
    state_by_reducer: dict[str, Any]


class StateMachine:
    """State after a prefix of the log, determined by that prefix alone.

    :param reducers: state of each part of the system
    :param id_window: offsets for which record ids are remembered
    """

    def __init__(
        self, reducers: Iterable[Reducer], *, id_window: int = ID_WINDOW
    ) -> None:
        self.offset = 0
        self.lost_ranges: list[LostRange] = []
        self._id_window = id_window
        self._reducer_by_name = {reducer.name: reducer for reducer in reducers}
        self._version_by_key: dict[str, int] = {}
        self._outcome_by_id: OrderedDict[str, Outcome] = OrderedDict()

    def version(self, key: str) -> int:
        """Return the offset of the last accepted record that touched a key, or 0."""
        return self._version_by_key.get(key, 0)

    def outcome(self, record_id: str) -> Outcome | None:
        """Return the outcome of a record, None if it is unknown or forgotten."""
        return self._outcome_by_id.get(record_id)

    def apply_entry(self, entry: Entry) -> None:
        """Apply the next entry; entries at or below the offset are ignored."""
        if entry.offset <= self.offset:
            return
        self.offset = entry.offset
        self._forget_old_outcomes()
        record = entry.record
        if not record.id or record.id in self._outcome_by_id:
            return
        reason = self._rejection_reason(entry)
        if not reason:
            self._accept(entry)
        outcome = Outcome(record.id, entry.offset, not reason, reason)
        self._outcome_by_id[record.id] = outcome

    def _rejection_reason(self, entry: Entry) -> str:
        record = entry.record
        if entry.offset - record.since > self._id_window:
            return EXPIRED
        reducer = self._reducer(record)
        if reducer is None:
            return UNKNOWN_KIND
        if any(self.version(key) != seen for key, seen in record.expects.items()):
            return STALE
        try:
            return reducer.check(entry)
        except Exception as error:  # a malformed body must not stop the state machine
            log.warning("Record {} is malformed: {!r}", record.id, error)
            return INVALID

    def _accept(self, entry: Entry) -> None:
        self._version_by_key |= dict.fromkeys(entry.record.expects, entry.offset)
        reducer = self._reducer(entry.record)
        assert reducer is not None
        try:
            reducer.apply(entry)
        except Exception:  # deterministic, so all processes stay in the same state
            log.exception(
                "Record {} failed while being applied and may be applied in part.",
                entry.record.id,
            )

    def _reducer(self, record: Record) -> Reducer | None:
        return self._reducer_by_name.get(record.kind.partition(".")[0])

    def _forget_old_outcomes(self) -> None:
        oldest_offset = self.offset - self._id_window
        while self._outcome_by_id:
            first = next(iter(self._outcome_by_id.values()))
            if first.offset >= oldest_offset:
                break
            self._outcome_by_id.popitem(last=False)

    def snapshot(self) -> Snapshot:
        """Return the whole state."""
        states = {
            name: reducer.snapshot() for name, reducer in self._reducer_by_name.items()
        }
        outcomes = list(self._outcome_by_id.values())
        return Snapshot(
            self.offset, self._version_by_key, outcomes, self.lost_ranges, states
        )

    def restore(self, snapshot: Snapshot) -> None:
        """Replace the whole state."""
        self.offset = snapshot.offset
        self.lost_ranges = list(snapshot.lost_ranges)
        self._version_by_key = dict(snapshot.versions)
        self._outcome_by_id = OrderedDict((o.id, o) for o in snapshot.outcomes)
        for name, state in snapshot.state_by_reducer.items():
            if name in self._reducer_by_name:
                self._reducer_by_name[name].restore(state)
