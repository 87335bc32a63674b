"""Group downtime and stranded accelerators, as the stand-in engines see them."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Mapping, Sequence
from typing import NamedTuple

import msgspec
from aiohttp import ClientSession

from .upstreams import HostView

SAMPLE_S = 0.25


class Sums(NamedTuple):
    """What was added up, in seconds."""

    group_downtime_s: float = 0.0
    """Replicas wanted and not serving, times the time that they did not."""
    stranded_host_s: float = 0.0
    """Hosts that are up and in no serving replica, times the time."""
    live_host_s: float = 0.0
    """Hosts that are up, times the time."""

    def __str__(self) -> str:
        """Return the sums as one line."""
        stranded = self.stranded_host_s / self.live_host_s if self.live_host_s else 0.0
        return (
            f"group downtime {self.group_downtime_s:.1f} replica-seconds, "
            f"stranded accelerators {self.stranded_host_s:.1f} host-seconds "
            f"({stranded:.1%} of those that were up)"
        )


class Sampler:
    """Looks at the engines of all failure domains from time to time.

    :param session: client for the looks
    :param controls_by_domain: base URLs of the control listeners
    :param wanted: replicas wanted in each failure domain, by model
    """

    def __init__(
        self,
        session: ClientSession,
        controls_by_domain: Mapping[str, str],
        wanted: Mapping[str, int],
    ) -> None:
        self.out: set[str] = set()
        """Failure domains that are out of service and do not count."""
        self.sums = Sums()
        self._session = session
        self._controls_by_domain = controls_by_domain
        self._wanted = wanted

    async def run(self) -> None:
        """Add up until cancelled."""
        loop = asyncio.get_running_loop()
        last = loop.time()
        while True:
            await asyncio.sleep(SAMPLE_S)
            domains = [
                each for each in self._controls_by_domain if each not in self.out
            ]
            views = [await self.hosts(domain) for domain in domains]
            now = loop.time()
            for hosts in views:
                self._add(hosts, now - last)
            last = now

    async def hosts(self, domain: str) -> list[HostView]:
        """Return what the engine hosts of a failure domain do.

        :param domain: name of the failure domain
        """
        url = f"{self._controls_by_domain[domain]}/hosts"
        async with self._session.get(url) as response:
            return msgspec.json.decode(await response.read(), type=list[HostView])

    def missing(self, hosts: Sequence[HostView]) -> int:
        """Return how many of the wanted replicas do not serve.

        :param hosts: the engine hosts of one failure domain
        """
        serving = Counter(h.model for h in hosts if h.serves and h.rank == 0)
        lacking = (count - serving[model] for model, count in self._wanted.items())
        return sum(max(0, count) for count in lacking)

    async def until_whole(self, domain: str, *, timeout_s: float) -> None:
        """Wait until a failure domain serves all that is wanted.

        :param domain: name of the failure domain
        :param timeout_s: longest wait in seconds
        :raises TimeoutError: if it does not
        """
        async with asyncio.timeout(timeout_s):
            while True:
                if not self.missing(await self.hosts(domain)):
                    return
                await asyncio.sleep(SAMPLE_S)

    def _add(self, hosts: Sequence[HostView], seconds: float) -> None:
        live = sum(host.up for host in hosts)
        stranded = live - sum(host.serves for host in hosts)
        self.sums = Sums(
            self.sums.group_downtime_s + self.missing(hosts) * seconds,
            self.sums.stranded_host_s + stranded * seconds,
            self.sums.live_host_s + live * seconds,
        )
