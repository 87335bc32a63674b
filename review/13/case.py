"""Engines leave while the answers of the store reach one daemon late, for 0.8 s."""

from __future__ import annotations

import asyncio
import random
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common3"))

import rig as rigs  # noqa: E402

ENGINES = 27
LEAVING = 3
"""Engines that leave in one round, a ninth of those that are there; as many come."""
ROUNDS = 8
CUT_S = 0.8
DRAIN_S, SETTLE_S = 2.0, 3.0
"""The bounds ``drain-ms`` and ``settle-window-ms``."""
ASKING_S = 1.5
SEED = 53


class OneWayLink:
    """The path of one daemon to the store, on which answers may be held up.

    :param target: the store's address
    """

    def __init__(self, target: str) -> None:
        self.address = rigs.free_address()
        self._target = target
        self._open = asyncio.Event()
        self._open.set()

    async def start(self) -> None:
        """Begin to listen."""
        self._server = await asyncio.start_server(
            self._serve, *rigs.split(self.address)
        )

    async def cut(self, seconds: float) -> None:
        """Hold up what the store sends, and let it go after some seconds."""
        self._open.clear()
        await asyncio.sleep(seconds)
        self._open.set()

    async def _serve(self, reader, writer) -> None:
        try:
            target = await asyncio.open_connection(*rigs.split(self._target))
            await asyncio.gather(
                self._relay(reader, target[1], held=False),
                self._relay(target[0], writer, held=True),
            )
        except (OSError, asyncio.CancelledError):
            writer.close()

    async def _relay(self, reader, writer, *, held: bool) -> None:
        try:
            while block := await reader.read(262_144):
                if held:
                    await self._open.wait()
                writer.write(block)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


async def play(start, trouble: bool) -> list[str]:
    """Let engines leave in rounds, and send orders to the daemon that was cut off."""
    draw = random.Random(SEED)
    rig = await start(daemons=0, config=rigs.configuration())
    links = []
    for number in range(2):
        link = OneWayLink(rig.store.address)
        await link.start()
        links.append(link)
        await rig.add_daemon(number, "grandi-yard", store=link.address)
    settings = {"service": rigs.ORDER_SERVICE, "answer_bytes": 800}
    settings |= {"zone": "grandi-yard"}
    engines = [
        await rig.add_engine(f"i-order{number}", **settings)
        for number in range(ENGINES)
    ]
    await rig.until_ready()
    await rig.until_served(rig.daemons[0], rigs.ORDER_PATH, deadline_ms=1500)
    await asyncio.sleep(2.0)
    leads = ['"on_duty"' in d.log_path.read_text() for d in rig.daemons]
    daemon_number = _non_leader(rig) if any(leads) else 0
    daemon, link = rig.daemons[daemon_number], links[daemon_number]
    rig.record.write(f"{daemon.name} is the one that is cut off")
    breaches = []
    number = ENGINES - 1
    for _ in range(ROUNDS):
        leaving = [engines.pop(0) for _ in range(LEAVING)]
        cutting = None
        if trouble:
            rig.record.write(f"{CUT_S} s without answers of the store")
            cutting = asyncio.create_task(link.cut(CUT_S))
        removed_at = await _leave(rig, leaving, draw)
        if cutting is not None:
            await cutting
        settled_at = time.monotonic() + SETTLE_S
        due_at = max(settled_at, max(removed_at.values()) + DRAIN_S)
        await asyncio.sleep(due_at - time.monotonic() + 0.1)
        before = {engine.name: len(engine.ran) for engine in leaving}
        until = time.monotonic() + ASKING_S
        while time.monotonic() < until:
            await rig.ask(daemon, rigs.ORDER_PATH, deadline_ms=1500, quiet=True)
            await asyncio.sleep(0.02)
        for engine in leaving:
            count = len(engine.ran) - before[engine.name]
            if count and not rig.store.has("keyed.servers", engine.name):
                breaches.append(
                    f"DRAIN: {engine.name} ran {count} orders that were sent over "
                    f"{DRAIN_S} s after its entry was gone, {SETTLE_S} s after the cut"
                )
            await engine.kill()
        for _ in range(LEAVING):
            number += 1
            engines.append(await rig.add_engine(f"i-order{number}", **settings))
    return breaches


def _non_leader(rig) -> int:
    """Return the number of a daemon that does not lead."""
    lines = [
        line
        for daemon in rig.daemons
        for line in daemon.log_path.read_text().splitlines()
        if '"on_duty"' in line
    ]
    leads = [f'"daemon":"{daemon.name}"' in lines[-1] for daemon in rig.daemons]
    return leads.index(False)


async def _leave(rig, leaving, draw: random.Random) -> dict[str, float]:
    """Let engines leave without notice and return when their entries were gone.

    They write their entries as ever until then, and serve on for some seconds.
    """
    removed_at = {}
    for engine in leaving:
        engine.tell("leave")
        await asyncio.sleep(draw.uniform(0.15, 0.35))
        rig.store.put("keyed.servers", engine.name, None)
        rig.record.write(f"the entry of {engine.name} is gone")
        removed_at[engine.name] = time.monotonic()
    return removed_at


rigs.run_case(FOLDER, play)
