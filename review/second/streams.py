"""Clients of streams that have no length, and a site that serves them."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

from loopback import (
    MODEL,
    STREAM_PATH,
    Daemon,
    GroupEngines,
    Record,
    Store,
    ask,
    configuration,
    new_id,
)

ZONES = ("grandi-yard", "hofdi-shop")
ENGINES_PER_ZONE = 8
CLIENTS, LONG_STREAMS = 24, (45, 60)
"""Least and most events of a stream; one lasts six seconds at most."""
OTHER_CLIENTS, SHORT_STREAMS = 8, (3, 8)
SETTLE_S = 8.0


async def client(
    daemons: list[Daemon], record: Record, broken: list[str], lengths: tuple[int, int]
) -> None:
    """Ask for one stream after the other and check what looks complete."""
    await asyncio.sleep(random.uniform(0, 3))
    while True:
        attempt, daemon = new_id(), random.choice(daemons)
        events = random.randint(*lengths)
        headers = {"Model": MODEL, "Token-Usage": f"100,{events * 5}"}
        headers["Prompt-Prefix"] = f"5c1e07a2:40,{attempt}:60"
        answer = await ask(
            daemon.front,
            "POST",
            STREAM_PATH,
            attempt,
            body=b"%d" % events,
            deadline_ms=8000,
            headers=headers,
        )
        ids = [int(x[4:]) for x in answer.body.split(b"\n") if x.startswith(b"id: ")]
        text = (
            f"client {attempt} at {daemon.name}: {answer.status}, {len(ids)} of "
            f"{events} events, {'complete' if answer.whole else 'broken off'}"
        )
        record.write(text)
        if answer.status == 200 and ids != list(range(1, len(ids) + 1)):
            broken.append(f"ORDER: {text}, not in order")
        elif answer.status == 200 and answer.whole and len(ids) < events:
            broken.append(f"ORDER: {text}")
        await asyncio.sleep(random.uniform(0.05, 0.3))


async def play_streams(
    folder: Path,
    record: Record,
    disrupt: Callable[[GroupEngines, list[Daemon]], Awaitable[None]],
) -> list[str]:
    """Serve streams without a length during a disruption; return the broken rules."""
    store, broken = Store(), []
    engines = GroupEngines(store, record)
    engines.framed = False
    daemons: list[Daemon] = []
    tasks: list[asyncio.Task[None]] = []
    try:
        store.put("keyed.op", "config", configuration())
        for zone in ZONES:
            for number in range(ENGINES_PER_ZONE):
                await engines.add(f"i-{zone[:2]}{number}", zone)
        tasks.append(asyncio.create_task(engines.run()))
        for zone in ZONES:
            door = await store.open_door(zone)
            daemons.append(Daemon(len(daemons), zone, door, folder))
            daemons[-1].start()
        until, wanted = time.monotonic() + 20, len(ZONES) * ENGINES_PER_ZONE // 2
        while len(engines.open_heads()) < wanted:
            if time.monotonic() > until:
                raise RuntimeError(f"only {engines.open_heads()} are open")
            await asyncio.sleep(0.1)
        engines.haste = 1.0
        await asyncio.sleep(1)
        tasks += [
            asyncio.create_task(client(daemons, record, broken, lengths))
            for count, lengths in (
                (CLIENTS, LONG_STREAMS),
                (OTHER_CLIENTS, SHORT_STREAMS),
            )
            for _ in range(count)
        ]
        await asyncio.sleep(SETTLE_S)
        await disrupt(engines, daemons)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for daemon in daemons:
            daemon.end()
        await engines.stop()
        await store.stop()
    return broken
