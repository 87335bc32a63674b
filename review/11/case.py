"""An engine is killed while it sends an answer without a length."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common3"))

import rig as rigs  # noqa: E402

ANSWER_BYTES = 800
ROUNDS = 5


async def play(start, trouble: bool) -> list[str]:
    """Send orders one after the other; each engine is killed during one of them."""
    rig = await start(daemons=1, config=rigs.configuration())
    settings = {"service": rigs.ORDER_SERVICE, "zone": "grandi-yard"}
    settings |= {"answer_bytes": ANSWER_BYTES, "parts": 4, "part_s": 0.1}
    daemon = rig.daemons[0]
    await rig.until_ready()
    breaches = []
    for number in range(ROUNDS):
        engine = await rig.add_engine(f"i-order{number}", **settings)
        await rig.until_served(daemon, rigs.ORDER_PATH, deadline_ms=1500)
        count = len(engine.ran)
        asking = asyncio.create_task(rig.ask(daemon, rigs.ORDER_PATH, deadline_ms=1500))
        await asyncio.sleep(0.15)
        if trouble and len(engine.ran) > count:
            await engine.kill()
        answer = await asking
        if not trouble:
            await engine.kill()
        whole = answer.status != 200 or len(answer.body) == ANSWER_BYTES
        if answer.complete and not whole:
            breaches.append(
                f"MIXED: {answer.request} got a complete 200 with "
                f"{len(answer.body)} of the engine's {ANSWER_BYTES} bytes"
            )
        rig.store.put("keyed.servers", engine.name, None)
        await asyncio.sleep(1.0)
    return breaches


rigs.run_case(FOLDER, play)
