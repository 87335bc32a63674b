"""Detection of daemons whose hosts the platform has removed."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Collection, Mapping

from ..external import HostEntry, HostKind

LOST_AFTER_S = 10.0
"""Seconds that a host must be missing from the list until its daemon counts as lost."""


class LostDaemons:
    """Tracks daemons that the platform has stopped listing and that have no link.

    The platform never reuses the name of a host, so a lost daemon stays lost. A
    failed request for the list changes nothing.

    :param listed: returns the platform's latest host list by name
    :param linked: returns the names of the daemons with an open link
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
        """Return the names of the lost daemons, which can no longer run anything."""
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
            if since is not None and now - since >= LOST_AFTER_S
        )
