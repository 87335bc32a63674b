"""Simulated host list, which publishes every change after a lag."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Iterable

import msgspec
from aiohttp import web

from auburnproxy.external import HostEntry, Presence

from .listener import abort_connection, json_answer

REMOVED = "gone"


class HostFault(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Change of the hosts' presence, the lag or the availability of the list."""

    hosts: tuple[str, ...] = ()
    presence: str = Presence.LIVE
    """``live``, ``leaving`` or ``gone``."""
    lag_s: float | None = None
    dark_s: float = 0.0
    """Seconds for which connections are aborted without a response."""


class Hosts:
    """Current entries and the published list, which lags behind.

    :param entries: initial hosts
    :param lag_s: seconds until a change is published
    """

    def __init__(self, entries: Iterable[HostEntry], *, lag_s: float) -> None:
        self._entries_by_name = {entry.name: entry for entry in entries}
        self._shown_by_name = dict(self._entries_by_name)
        self._changes: deque[tuple[float, str, str]] = deque()
        self._lag_s = lag_s
        self._dark_until = 0.0

    @property
    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    def fail(self, fault: HostFault) -> None:
        """Apply a fault.

        :param fault: the change to apply
        """
        if fault.lag_s is not None:
            self._lag_s = fault.lag_s
        self._dark_until = self._now + fault.dark_s
        for name in fault.hosts:
            self._changes.append((self._now + self._lag_s, name, fault.presence))

    def shown(self) -> tuple[HostEntry, ...]:
        """Return the list as currently published."""
        while self._changes and self._changes[0][0] <= self._now:
            _, name, presence = self._changes.popleft()
            self._apply_change(name, presence)
        return tuple(self._shown_by_name.values())

    def _apply_change(self, name: str, presence: str) -> None:
        if presence == REMOVED:
            self._shown_by_name.pop(name, None)
            return
        entry = self._entries_by_name[name]
        self._shown_by_name[name] = entry._replace(presence=Presence(presence))

    async def _handle_list(self, request: web.Request) -> web.StreamResponse:
        if self._now < self._dark_until:
            return abort_connection(request)
        return json_answer(self.shown())

    async def _handle_fault(self, request: web.Request) -> web.StreamResponse:
        self.fail(msgspec.json.decode(await request.read(), type=HostFault))
        return web.Response()

    def app(self) -> web.Application:
        """Return the web application that serves the list."""
        app = web.Application()
        app.router.add_get("/hosts", self._handle_list)
        app.router.add_post("/fault", self._handle_fault)
        return app


def make_hosts(entries: Iterable[HostEntry], *, lag_s: float) -> Hosts:
    """Create a host list.

    :param entries: initial hosts
    :param lag_s: seconds until a change is published
    """
    return Hosts(entries, lag_s=lag_s)
