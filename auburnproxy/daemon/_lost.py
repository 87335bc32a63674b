"""Daemons whose hosts the platform has taken away."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Collection, Mapping

from ..external import HostEntry, HostKind

ABSENT_S = 10.0
"""Seconds that a host must be off the list before its daemon counts as lost."""


class LostDaemons:
    """Tells which daemons were listed, are listed no more, and have no link.

    The platform never gives a host's name to another host, so a daemon that is
    lost stays lost. A failed reading of the list changes nothing.

    :param listed: returns the platform's newest list
    :param linked: returns the names of the daemons that answer
    """

    def __init__(
        self,
        listed: Callable[[], Mapping[str, HostEntry]],
        linked: Callable[[], Collection[str]],
    ) -> None:
        self._listed = listed
        self._linked = linked
        self._absent_since_by_name: dict[str, float | None] = {}

    def names(self) -> frozenset[str]:
        """Return the names of the daemons that can run nothing any more."""
        now = asyncio.get_running_loop().time()
        present = {
            name
            for name, entry in self._listed().items()
            if entry.kind is HostKind.DAEMON
        }
        present |= self._absent_since_by_name.keys() & set(self._linked())
        for name in self._absent_since_by_name.keys() - present:
            if self._absent_since_by_name[name] is None:
                self._absent_since_by_name[name] = now
        self._absent_since_by_name |= dict.fromkeys(present)
        return frozenset(
            name
            for name, since in self._absent_since_by_name.items()
            if since is not None and now - since >= ABSENT_S
        )
