"""Group downtime and stranded accelerators, sampled from the simulated engines."""

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
    """Accumulated metrics, in seconds."""

    group_downtime_s: float = 0.0
    """Wanted replicas that do not serve, integrated over time."""
    stranded_host_s: float = 0.0
    """Hosts that are up but in no serving replica, integrated over time."""
    live_host_s: float = 0.0
    """Hosts that are up, integrated over time."""

    def __str__(self) -> str:
        """Return the totals as one line."""
        stranded = self.stranded_host_s / self.live_host_s if self.live_host_s else 0.0
        return (
            f"group downtime {self.group_downtime_s:.1f} replica-seconds, "
            f"stranded accelerators {self.stranded_host_s:.1f} host-seconds "
            f"({stranded:.1%} of those that were up)"
        )


class Sampler:
    """Periodically samples the engines of all failure domains.

    :param session: HTTP client for the requests
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
        """Failure domains out of service, which are not sampled."""
        self.sums = Sums()
        self._session = session
        self._controls_by_domain = controls_by_domain
        self._wanted = wanted

    async def run(self) -> None:
        """Sample and accumulate until cancelled."""
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
        """Return the current state of the engine hosts in a failure domain.

        :param domain: name of the failure domain
        """
        url = f"{self._controls_by_domain[domain]}/hosts"
        async with self._session.get(url) as response:
            return msgspec.json.decode(await response.read(), type=list[HostView])

    def missing(self, hosts: Sequence[HostView]) -> int:
        """Return the number of wanted replicas that do not serve.

        :param hosts: the engine hosts of one failure domain
        """
        serving = Counter(h.model for h in hosts if h.serves and h.rank == 0)
        shortfalls = (count - serving[model] for model, count in self._wanted.items())
        return sum(max(0, count) for count in shortfalls)

    async def until_all_serve(self, domain: str, *, timeout_s: float) -> None:
        """Wait until a failure domain serves all wanted replicas.

        :param domain: name of the failure domain
        :param timeout_s: timeout in seconds
        :raises TimeoutError: if it does not in time
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
