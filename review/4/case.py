"""A configuration that changes the weights of a route's two services."""

from __future__ import annotations

import asyncio
import time

from review.common.case import Record, main
from review.common.site import (
    TROUBLE,
    ZONES,
    CannotRunError,
    Site,
    exchange,
    request_bytes,
    route,
)

SERVICES = ("order-ledger", "order-ledger-new")
ENGINES_OF_EACH = 2
DAEMONS = 2
WEIGHTS = (900_000, 100_000) if TROUBLE else (90, 10)
"""The same shares, in parts of a million or of a hundred."""
TIMEOUT_S = 1.5
HALF_SECOND = 0.5
APPLY_S = 2.0
"""The bound config-apply-ms."""
CALM_S, AFTER_S = 4.0, 20.0
INTERVAL_S = 0.2
"""Time between two requests to one daemon; the site sends each one 30 a second."""
MIN_UNANSWERED = 20


def _split(weights: tuple[int, int]) -> list[dict[str, object]]:
    pairs = zip(SERVICES, weights, strict=True)
    return [{"service": service, "weight": weight} for service, weight in pairs]


async def play(site: Site, record: Record) -> bool:
    """Change weights; return whether requests stay unanswered after their timeout."""
    services = [{"name": name} for name in SERVICES]

    def configure(version: int, weights: tuple[int, int]) -> None:
        more = {"timeout-ms": TIMEOUT_S * 1000, "traffic-split": _split(weights)}
        stock = route("stock", "/i/", "idempotent", SERVICES[0], **more)
        del stock["service"]
        site.configure(version, [stock], services)

    configure(3, (50, 50))
    for number in range(2 * ENGINES_OF_EACH):
        site.add_engine(SERVICES[number % 2], ZONES[number // 2 % len(ZONES)])
    await site.start(DAEMONS)
    times = await _send_for(site, record, CALM_S)
    if any(took is None or took > TIMEOUT_S for took in times):
        raise CannotRunError("not all requests are answered in calm")
    configure(9, WEIGHTS)
    record.line(f"version 9 sets the weights {WEIGHTS}")
    await asyncio.sleep(APPLY_S + HALF_SECOND)
    times = await _send_for(site, record, AFTER_S)
    unanswered = [took for took in times if took is None or took > TIMEOUT_S]
    later = [
        took for took in unanswered if took is None or took > TIMEOUT_S + HALF_SECOND
    ]
    record.line(
        f"{len(unanswered)} of {len(times)} requests were unanswered at the route's "
        f"timeout, {len(later)} of them half a second later"
    )
    return len(unanswered) >= MIN_UNANSWERED and 2 * len(later) > len(unanswered)


async def _send_for(site: Site, record: Record, seconds: float) -> list[float | None]:
    """Return the seconds until each answer, None for those that got none."""
    times: list[float | None] = []

    async def send(front: str, attempt: str) -> None:
        began = time.monotonic()
        request = request_bytes("GET", "/i/x", attempt, deadline_ms=1500)
        answer = await exchange(front, request, TIMEOUT_S + 1.0)
        took = time.monotonic() - began if answer.status else None
        times.append(took)
        text = f"{answer.status} after {took:.3f} s" if took else "no answer"
        record.line(f"{attempt} to {front}: {text}")

    until, number, tasks = time.monotonic() + seconds, 0, []
    while time.monotonic() < until:
        for daemon in site.daemons:
            number += 1
            attempt = f"{int(time.time()):x}{number:06x}"
            tasks.append(asyncio.create_task(send(daemon.front, attempt)))
        await asyncio.sleep(INTERVAL_S)
    await asyncio.gather(*tasks)
    return times


if __name__ == "__main__":
    main(play, __file__)
