"""An engine that has said that it leaves is gone two seconds later, amid a stream."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common3"))

import rig as rigs  # noqa: E402

GROUPS, GROUP_SIZE = 6, 2
ZONES = ("grandi-yard", "hofdi-shop")
EVENTS, INTERVAL_S = 20, 0.2
ROUNDS = 3
NOTICE_S = 2.0
"""Time from the notice until the engine is gone."""


async def play(start, trouble: bool) -> list[str]:
    """Send streams one after the other; the engine of each is taken away."""
    rig = await start(daemons=1, config=rigs.configuration())
    daemon = rig.daemons[0]
    model = {"service": rigs.MODEL_SERVICE, "model": rigs.MODEL, "events": EVENTS}
    model |= {"interval_s": INTERVAL_S, "unframed": True}
    for number in range(GROUPS * GROUP_SIZE):
        place = {"zone": ZONES[number % 2], "domain": f"d{number % 2}"}
        await rig.add_engine(f"i-model{number}", **model, **place)
    await rig.until_ready()
    await rig.until_served(daemon, rigs.STREAM_PATH)
    breaches = []
    for _ in range(ROUNDS):
        before = {name: len(engine.ran) for name, engine in rig.engines.items()}
        asking = asyncio.create_task(rig.ask(daemon, rigs.STREAM_PATH))
        await asyncio.sleep(0.3)
        head = next((e for n, e in rig.engines.items() if len(e.ran) > before[n]), None)
        if trouble and head is not None:
            head.tell("drain")
            await asyncio.sleep(NOTICE_S)
            await head.kill()
        answer = await asking
        ids = rigs.event_ids(answer)
        rig.record.write(f"{answer.request} got the events {ids}")
        if breach := rigs.order_breach(answer, EVENTS):
            breaches.append(breach)
        if trouble and head is not None:
            rig.store.put("keyed.servers", head.name, None)
        await asyncio.sleep(1.0)
    return breaches


rigs.run_case(FOLDER, play)
