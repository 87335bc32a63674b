"""Round-robin selection of heartbeat receivers."""

from __future__ import annotations

from bisect import bisect, insort
from collections.abc import Mapping
from types import MappingProxyType

from .seat import Seat


class Turns:
    """Selects daemons in batches, round-robin by name.

    A batch starts after the last name of the previous batch, so daemons that are
    added or removed in between never cause another daemon to be skipped.
    """

    def __init__(self) -> None:
        self._seats: dict[str, Seat] = {}
        self._names: list[str] = []
        self._last = ""

    @property
    def seats(self) -> Mapping[str, Seat]:
        """Return the records of the daemons by name."""
        return MappingProxyType(self._seats)

    def put(self, name: str, seat: Seat) -> None:
        """Add a daemon, or replace its record."""
        if name not in self._seats:
            insort(self._names, name)
        self._seats[name] = seat

    def drop(self, name: str) -> None:
        """Remove a daemon, if it is present."""
        if self._seats.pop(name, None) is not None:
            self._names.remove(name)

    def next(self, most: int) -> list[Seat]:
        """Return the next batch, each daemon at most once.

        :param most: upper limit of the batch size
        """
        start = bisect(self._names, self._last)
        names = (self._names[start:] + self._names[:start])[:most]
        if names:
            self._last = names[-1]
        return [self._seats[name] for name in names]
