"""Three of a hundred streams get line ends without end in place of events."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common3"))

import rig as rigs  # noqa: E402

GROUPS, GROUP_SIZE = 6, 2
ZONES = ("grandi-yard", "hofdi-shop")
CHECKS_PER_S = 20
STREAMS_PER_S = 14
SPOILED = 3
"""Engines that spoil one answer each: a quarter of the engines, 3 in 100 answers."""
BEFORE_S, AFTER_S = 2.0, 6.0
TIMEOUT_S = 0.8
"""The route's ``timeout-ms``."""
SLACK_S = 0.5
PATIENCE_S = 2.4
"""Longest gap that a caller of a stream bears: eight times the pause of 300 ms."""


async def play(start, trouble: bool) -> list[str]:
    """Send checks all the while, and one stream to an engine that spoils its answer."""
    rig = await start(daemons=1, config=rigs.configuration())
    daemon = rig.daemons[0]
    model = {"service": rigs.MODEL_SERVICE, "model": rigs.MODEL, "events": 20}
    for number in range(GROUPS * GROUP_SIZE):
        place = {"zone": ZONES[number % 2], "domain": f"d{number % 2}"}
        await rig.add_engine(f"i-model{number}", **model, **place, interval_s=0.05)
    plain = {"service": rigs.ORDER_SERVICE, "answer_bytes": 800}
    for number in range(3):
        await rig.add_engine(f"i-check{number}", **plain, zone=ZONES[number % 2])
    await rig.until_ready()
    await rig.until_served(daemon, rigs.CHECK_PATH, method="GET", deadline_ms=1500)
    await rig.until_served(daemon, rigs.STREAM_PATH)
    await asyncio.sleep(2.0)
    began, cpu_s = time.monotonic(), daemon.cpu_s()
    checks = asyncio.create_task(
        _send(rig, daemon, rigs.CHECK_PATH, CHECKS_PER_S, method="GET")
    )
    streams = asyncio.create_task(
        _send(
            rig,
            daemon,
            rigs.STREAM_PATH,
            STREAMS_PER_S,
            deadline_ms=8000,
            wait_s=PATIENCE_S,
        )
    )
    await asyncio.sleep(BEFORE_S)
    serving = [
        engine
        for name, engine in rig.engines.items()
        if engine.ran and name.startswith("i-model")
    ]
    if trouble:
        for engine in serving[:SPOILED]:
            engine.tell("mode flood")
    answers = await checks
    used = (daemon.cpu_s() - cpu_s) / (time.monotonic() - began)
    streamed = await streams
    rig.record.write(
        f"{len(streamed)} streams, {sum(a.complete for a in streamed)} complete; the "
        f"daemon used {used:.2f} of a core"
    )
    late = [a for a in answers if a.took_s > TIMEOUT_S]
    unanswered = [a for a in late if a.took_s > TIMEOUT_S + SLACK_S or not a.status]
    slowest = max(a.took_s for a in answers)
    text = (
        f"{len(answers)} checks in {time.monotonic() - began:.1f} s, {len(late)} of "
        f"them unanswered at {TIMEOUT_S} s, {len(unanswered)} of these still "
        f"unanswered {SLACK_S} s later; the slowest took {slowest:.2f} s; "
        f"{sum(a.status == 503 for a in answers)} got 503"
    )
    rig.record.write(text)
    print(text)
    return [f"CONFIG: {text}"] if 2 * len(unanswered) > len(late) else []


async def _send(rig, daemon, path: str, per_s: float, **options) -> list:
    """Send requests at an even rate and return their answers."""
    tasks = []
    for _ in range(round((BEFORE_S + AFTER_S) * per_s)):
        task = rig.ask(daemon, path, **{"deadline_ms": 1500} | options)
        tasks.append(asyncio.create_task(task))
        await asyncio.sleep(1 / per_s)
    return await asyncio.gather(*tasks)


rigs.run_case(FOLDER, play)
