"""Round-robin selection of heartbeat receivers."""

from __future__ import annotations

from bisect import bisect, insort
from collections.abc import Mapping
from types import MappingProxyType

from .daemon_record import DaemonRecord


class RoundRobin:
    """Selects daemons in batches, round-robin by name.

    A batch starts after the last name of the previous batch, so daemons that are
    added or removed in between never cause another daemon to be skipped.
    """

    def __init__(self) -> None:
        self._records: dict[str, DaemonRecord] = {}
        self._names: list[str] = []
        self._last = ""

    @property
    def records(self) -> Mapping[str, DaemonRecord]:
        """Return the records of the daemons by name."""
        return MappingProxyType(self._records)

    def add(self, name: str, record: DaemonRecord) -> None:
        """Add a daemon, or replace its record."""
        if name not in self._records:
            insort(self._names, name)
        self._records[name] = record

    def remove(self, name: str) -> None:
        """Remove a daemon, if it is present."""
        if self._records.pop(name, None) is not None:
            self._names.remove(name)

    def next_batch(self, limit: int) -> list[DaemonRecord]:
        """Return the next_batch batch, each daemon at limit once.

        :param limit: upper limit of the batch size
        """
        start = bisect(self._names, self._last)
        names = (self._names[start:] + self._names[:start])[:limit]
        if names:
            self._last = names[-1]
        return [self._records[name] for name in names]
