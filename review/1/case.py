"""Another writer's unreadable entry in the list of engines, and daemons that end."""

from __future__ import annotations

import asyncio
import time

from review.common.case import Record, main
from review.common.site import (
    TROUBLE,
    ZONES,
    Answer,
    CannotRunError,
    Site,
    exchange,
    request_bytes,
    route,
)

DAEMONS = 6
ENGINES = 3
CALM_S = 4.0
TROUBLED_S = 30.0
INTERVAL_S = 0.25
ENDS_OF_A_MACHINE = 3
"""Ends of one machine's processes from which RULES.md counts the machine."""
MIN_MACHINES = 2
NESTED = 2_000
UNREADABLE = b'{"service":"order-ledger","note":' + b"[" * NESTED
"""Bytes that can't be read: JSON that breaks off, 2 kB long."""


async def play(site: Site, record: Record) -> bool:
    """Write one unreadable entry and return whether processes ended by themselves."""
    site.configure(
        3, [route("stock", "/i/", "idempotent", "order-ledger")], _services()
    )
    for number in range(ENGINES):
        site.add_engine("order-ledger", ZONES[number % len(ZONES)])
    await site.start(DAEMONS)
    served = await _send_for(site, record, CALM_S)
    if served < 1.0 or any(daemon.ends for daemon in site.daemons):
        raise CannotRunError(f"{served:.2f} of the requests are served in calm")
    began = time.monotonic()
    if TROUBLE:
        site.store.put_raw("keyed.servers", "i-0f0f0f0f", UNREADABLE)
        record.line(f"another writer wrote an entry of {len(UNREADABLE)} bytes")
    served = await _send_for(site, record, TROUBLED_S)
    record.line(f"{served:.2f} of the requests were served")
    counted = 0
    for daemon in site.daemons:
        times = [round(at - began, 2) for at, _ in daemon.ends]
        record.line(f"{daemon.name}: its process ended by itself at {times}")
        counted += len(times) >= ENDS_OF_A_MACHINE
    limit = max(DAEMONS / 10, MIN_MACHINES)
    record.line(f"{counted} machines ended 3 times; from {limit:.0f} it is a fault")
    return counted >= limit


def _services() -> list[dict]:
    return [{"name": "order-ledger"}]


async def _send_for(site: Site, record: Record, seconds: float) -> float:
    """Send a request to each daemon again and again; return the share of successes."""
    until, number, answers = time.monotonic() + seconds, 0, []

    async def send(front: str, attempt: str) -> None:
        answer: Answer = await exchange(
            front, request_bytes("GET", "/i/x", attempt, deadline_ms=1500), 2.0
        )
        answers.append(answer.status)
        record.line(f"{attempt} to {front}: {answer.status or 'no answer'}")

    tasks = []
    while time.monotonic() < until:
        for daemon in site.daemons:
            number += 1
            attempt = f"{int(time.time()):x}{number:06x}"
            tasks.append(asyncio.create_task(send(daemon.front, attempt)))
        await asyncio.sleep(INTERVAL_S)
    await asyncio.gather(*tasks)
    return answers.count(200) / len(answers)


if __name__ == "__main__":
    main(play, __file__)
