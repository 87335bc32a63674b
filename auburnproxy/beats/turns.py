"""Whose turn it is to get a beat where there are too many daemons for one tick."""

from __future__ import annotations

from bisect import bisect, insort
from collections.abc import Mapping
from types import MappingProxyType

from .seat import Seat


class Turns:
    """Deals out daemons by name, each as often as every other.

    A turn goes on after the name at which the last one ended, so daemons that come
    and go meanwhile keep nobody else from their turn.
    """

    def __init__(self) -> None:
        self._seats: dict[str, Seat] = {}
        self._names: list[str] = []
        self._last = ""

    @property
    def seats(self) -> Mapping[str, Seat]:
        """Return the daemons by name."""
        return MappingProxyType(self._seats)

    def put(self, name: str, seat: Seat) -> None:
        """Deal a daemon out from now on, at this seat."""
        if name not in self._seats:
            insort(self._names, name)
        self._seats[name] = seat

    def drop(self, name: str) -> None:
        """Deal a daemon out no more, if it was."""
        if self._seats.pop(name, None) is not None:
            self._names.remove(name)

    def next(self, most: int) -> list[Seat]:
        """Return the daemons whose turn it is, each once.

        :param most: how many there may be
        """
        start = bisect(self._names, self._last)
        names = (self._names[start:] + self._names[:start])[:most]
        if names:
            self._last = names[-1]
        return [self._seats[name] for name in names]
