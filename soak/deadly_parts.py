"""Prompt parts on which engines crash, and the check of how many they end."""

from __future__ import annotations

import asyncio
from random import Random

from features.fakes.platform import STREAM_PATH

from .site import SoakSite

CRASHES_TO_NOTICE = 5
SETTLE_S = 3.0
"""Time after that many crashes from which on few requests may reach engines."""
MAX_LATER_REQUESTS = 3
DEADLY_FRACTION = 0.05
"""Fraction of the streams that hold a deadly part."""
SHARED_PART, SUBJECTS = "5c1e07a2", 5
RESTART_S = (0.5, 1.5)


class DeadlyParts:
    """Makes engines crash on prompt parts, each for some seconds.

    :param site: the deployment under test
    :param random: chooses the parts and the times
    """

    def __init__(self, site: SoakSite, random: Random) -> None:
        self.current = ""
        """The part on which engines crash now, if any."""
        self._site = site
        self._random = random
        self._restarts: set[asyncio.Task[None]] = set()

    def prefix(self, random: Random, path: str, request_id: str) -> dict[str, str]:
        """Return the header with the prompt parts of a request."""
        if path != STREAM_PATH:
            return {}
        parts = [SHARED_PART, f"{random.randrange(SUBJECTS):x}"]
        if self.current and random.random() < DEADLY_FRACTION:
            parts.append(self.current)
        entries = ",".join(f"{part}:100" for part in (*parts, request_id))
        return {"Prompt-Prefix": entries}

    async def play(self) -> str:
        """Let a new part be deadly, and return it once it no longer is."""
        part = self.current = f"{self._random.getrandbits(32):08x}"
        engines = [e for name, e in self._site.engines.items() if name[0] == "e"]
        for engine in engines:
            engine.deadly_parts.add(part)
            engine.on_crash = self._restart_later
        await asyncio.sleep(self._random.uniform(3.0, 8.0))
        if self.current == part:
            self.current = ""
        await asyncio.gather(*self._restarts)
        return part

    def violations(self) -> list[str]:
        """Return a violation for each part that ended engines for too long."""
        found = []
        parts = {
            part
            for engine in self._site.engines.values()
            for part in engine.deadly_parts
        }
        for part in parts:
            times = sorted(
                at
                for engine in self._site.engines.values()
                for at in engine.crashed_at_by_part.get(part, ())
            )
            if len(times) <= CRASHES_TO_NOTICE:
                continue
            noticed_at = times[CRASHES_TO_NOTICE - 1] + SETTLE_S
            late_from = noticed_at + self._disrupted_s(noticed_at)
            later = [at for at in times if at > late_from]
            if len(later) > MAX_LATER_REQUESTS:
                found.append(
                    f"part {part} ended {len(later)} engines too late: {times}"
                )
        return found

    def _disrupted_s(self, noticed_at: float) -> float:
        """Return how much longer daemons may take because of their disruptions."""
        names = {daemon.name for daemon in self._site.daemons}
        ends = [
            disruption.end + SETTLE_S
            for disruption in self._site.disruptions
            if disruption.subject in names and disruption.begin <= noticed_at
        ]
        return max([end - noticed_at for end in ends], default=0.0)

    def _restart_later(self, name: str) -> None:
        task = asyncio.create_task(self._restart(name))
        self._restarts.add(task)
        task.add_done_callback(self._restarts.discard)

    async def _restart(self, name: str) -> None:
        seconds = self._random.uniform(*RESTART_S)
        self._site.disrupt(name, seconds)
        await self._site.replicas.crash(name)
        await asyncio.sleep(seconds)
        await self._site.replicas.restart(name)
