"""Names of daemons ordered by the time of their last heartbeat."""

from __future__ import annotations

from collections.abc import Iterator, Set


class LivenessTracker:
    """Tracks which daemons sent a heartbeat recently.

    The names are kept in the order of their last heartbeat, so the cost of expiry
    depends only on the number of expired names.
    """

    def __init__(self) -> None:
        self._heard_at_by_name: dict[str, float] = {}

    @property
    def names(self) -> Set[str]:
        """Return the daemons that have not expired."""
        return self._heard_at_by_name.keys()

    def mark_heard(self, name: str, *, at: float) -> bool:
        """Record a heartbeat, and return whether the daemon was not tracked before.

        :param at: the loop's time in seconds; must not decrease between calls
        """
        new = self._heard_at_by_name.pop(name, None) is None
        self._heard_at_by_name[name] = at
        return new

    def remove(self, name: str) -> None:
        """Stop tracking a daemon, if it is tracked."""
        self._heard_at_by_name.pop(name, None)

    def expire(self, before: float) -> Iterator[str]:
        """Remove and yield the daemons whose last heartbeat is older than a time.

        :param before: the loop's time in seconds
        """
        while self._heard_at_by_name:
            name = next(iter(self._heard_at_by_name))
            if self._heard_at_by_name[name] >= before:
                return
            del self._heard_at_by_name[name]
            yield name
