"""Simulated platform load balancer, which picks daemons that are ready."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Sequence

from aiohttp import ClientError, ClientSession, ClientTimeout

CHECK_INTERVAL_S = 0.2
CHECK_TIMEOUT = ClientTimeout(total=0.5)


class Balancer:
    """Load balancer with a readiness check for each daemon.

    :param targets: base URLs of the daemons
    :param session: HTTP client for the readiness checks
    :param seed: random seed for picking a daemon
    """

    def __init__(
        self, targets: Sequence[str], session: ClientSession, *, seed: int
    ) -> None:
        self._targets = tuple(targets)
        self._session = session
        self._random = random.Random(seed)
        self._ready: set[str] = set()

    @property
    def ready(self) -> frozenset[str]:
        """Return the base URLs of the daemons that are ready."""
        return frozenset(self._ready)

    def pick(self) -> str:
        """Return the base URL of a random ready daemon, or of any if none is ready."""
        candidates = [each for each in self._targets if each in self._ready]
        return self._random.choice(candidates or self._targets)

    async def run(self) -> None:
        """Check the readiness of every daemon until cancelled."""
        async with asyncio.TaskGroup() as group:
            for target in self._targets:
                group.create_task(self._check(target))

    async def _check(self, target: str) -> None:
        while True:
            if await self._is_target_ready(target):
                self._ready.add(target)
            else:
                self._ready.discard(target)
            await asyncio.sleep(CHECK_INTERVAL_S)

    async def _is_target_ready(self, target: str) -> bool:
        try:
            url = f"{target}/readyz"
            async with self._session.get(url, timeout=CHECK_TIMEOUT) as response:
                return response.ok
        except (ClientError, TimeoutError, OSError):
            return False
