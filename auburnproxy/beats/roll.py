"""Daemons in the order in which they were last heard, so that the late come first."""

from __future__ import annotations

from collections.abc import Iterator, Set


class Roll:
    """Who was heard of late; a step costs what it changes."""

    def __init__(self) -> None:
        self._at_by_name: dict[str, float] = {}

    @property
    def names(self) -> Set[str]:
        """Return the daemons that are not late."""
        return self._at_by_name.keys()

    def hear(self, name: str, *, at: float) -> bool:
        """Note that a daemon was heard, and return whether it was not on the roll.

        :param at: the loop's time in seconds, not before the last one
        """
        new = self._at_by_name.pop(name, None) is None
        self._at_by_name[name] = at
        return new

    def drop(self, name: str) -> None:
        """Take a daemon off."""
        self._at_by_name.pop(name, None)

    def expire(self, before: float) -> Iterator[str]:
        """Take off and yield the daemons that were last heard before a time.

        :param before: the loop's time in seconds
        """
        while self._at_by_name:
            name = next(iter(self._at_by_name))
            if self._at_by_name[name] >= before:
                return
            del self._at_by_name[name]
            yield name
