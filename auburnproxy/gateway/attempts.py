"""The upstreams that one request may have run on, against what its route allows."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from ..clock import loop_time
from .host import Host
from .lookout import Lookout


class Attempts:
    """Counts every upstream that was tried and has not been shown to be absent.

    :param allowed: upstreams that the request may run on
    :param lookout: looks whether a process is still there
    :param on_absent: called with each upstream that no longer counts
    """

    def __init__(
        self, allowed: int, lookout: Lookout, *, on_absent: Callable[[Host], None]
    ) -> None:
        self._allowed = allowed
        self._lookout = lookout
        self._on_absent = on_absent
        self._counted: list[Host] = []

    def failed(self, host: Host) -> None:
        """Count an upstream that got the request."""
        self._counted.append(host)

    async def any_left(self, *, within_s: float) -> bool:
        """Return whether the request may be sent to one more upstream.

        If the route's attempts are used up, the tried upstreams are looked for.

        :param within_s: longest time that this may take
        """
        if len(self._counted) < self._allowed:
            return True
        host_by_life = {host.life: host for host in self._counted}
        looks = {
            asyncio.create_task(self._lookout.absent(host)): host
            for host in host_by_life.values()
        }
        until = loop_time() + within_s
        try:
            while looks and (left_s := until - loop_time()) > 0:
                done, _ = await asyncio.wait(
                    looks, timeout=left_s, return_when=asyncio.FIRST_COMPLETED
                )
                for look in done:
                    host = looks.pop(look)
                    if look.result():
                        self._forget(host)
                        return True
            return False
        finally:
            for look in looks:
                look.cancel()

    def _forget(self, host: Host) -> None:
        """Count the tries at a process no more."""
        self._counted = [h for h in self._counted if h.life != host.life]
        self._on_absent(host)
