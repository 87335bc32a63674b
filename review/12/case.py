"""An engine sends one event of a stream twice, in one piece with events before it."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common3"))

import rig as rigs  # noqa: E402

GROUPS, GROUP_SIZE = 6, 2
ZONES = ("grandi-yard", "hofdi-shop")
EVENTS, INTERVAL_S = 20, 0.05
STREAMS, SPOILED = 100, 2


async def play(start, trouble: bool) -> list[str]:
    """Send streams one after the other; one engine spoils two of its answers."""
    rig = await start(daemons=1, config=rigs.configuration())
    daemon = rig.daemons[0]
    model = {"service": rigs.MODEL_SERVICE, "model": rigs.MODEL, "events": EVENTS}
    model |= {"interval_s": INTERVAL_S}
    for number in range(GROUPS * GROUP_SIZE):
        place = {"zone": ZONES[number % 2], "domain": f"d{number % 2}"}
        await rig.add_engine(f"i-model{number}", **model, **place)
    await rig.until_ready()
    await rig.until_served(daemon, rigs.STREAM_PATH)
    tasks = []
    for number in range(STREAMS):
        if trouble and number in (STREAMS // 3, 2 * STREAMS // 3):
            # The one that has served most is a head, and gets further streams.
            head = max(rig.engines.values(), key=lambda engine: len(engine.ran))
            head.tell("mode repeat")
        tasks.append(asyncio.create_task(rig.ask(daemon, rigs.STREAM_PATH)))
        await asyncio.sleep(0.1)
    breaches = []
    for answer in await asyncio.gather(*tasks):
        if breach := rigs.order_breach(answer, EVENTS):
            rig.record.write(
                f"{answer.request} got the events {rigs.event_ids(answer)}"
            )
            breaches.append(breach)
    return breaches


rigs.run_case(FOLDER, play)
