"""Stand-in of the platform's balancer: sends calls to daemons that are ready."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Sequence

from aiohttp import ClientError, ClientSession, ClientTimeout

CHECK_S = 0.2
CHECK_TIMEOUT = ClientTimeout(total=0.5)


class Balancer:
    """The daemons, and which of them last said that they are ready.

    :param targets: base URLs of the daemons
    :param session: client for the checks
    :param seed: seed of the choice
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
        """Return the daemons that are ready."""
        return frozenset(self._ready)

    def pick(self) -> str:
        """Return a daemon that is ready, or any if none is."""
        candidates = [each for each in self._targets if each in self._ready]
        return self._random.choice(candidates or self._targets)

    async def run(self) -> None:
        """Check every daemon until cancelled."""
        async with asyncio.TaskGroup() as group:
            for target in self._targets:
                group.create_task(self._check(target))

    async def _check(self, target: str) -> None:
        while True:
            if await self._answers(target):
                self._ready.add(target)
            else:
                self._ready.discard(target)
            await asyncio.sleep(CHECK_S)

    async def _answers(self, target: str) -> bool:
        try:
            url = f"{target}/readyz"
            async with self._session.get(url, timeout=CHECK_TIMEOUT) as response:
                return response.ok
        except (ClientError, TimeoutError, OSError):
            return False
