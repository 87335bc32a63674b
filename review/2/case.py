"""A configuration that moves a streaming route to another model service."""

from __future__ import annotations

import asyncio
import time

from review.common.case import Record, main
from review.common.models import MODEL, engine_spec, prompt_headers
from review.common.site import (
    TROUBLE,
    ZONES,
    CannotRunError,
    EngineProcess,
    Site,
    exchange,
    request_bytes,
    route,
)

OLD, NEW = "model-desk", "model-desk-new"
ENGINES_OF_EACH = 6
APPLY_S = 2.0
"""The bound config-apply-ms."""
CALM_S, AFTER_S = 4.0, 20.0
INTERVAL_S = 0.2
OPEN_WITHIN_S = 20.0
MOVED, ADDED = "/moved/", "/added/"


def _routes(service: str, *, with_added: bool) -> list[dict]:
    """Return the routes of a version, which name a service."""
    more = {"gap-aim-ms": 300, "resumable": True}
    routes = [route("file-digest", MOVED, "streaming", service, **more)]
    if with_added:
        routes.append(route("quote-draft", ADDED, "streaming", service, **more))
    return routes


async def play(site: Site, record: Record) -> bool:
    """Move a route, add another, and return whether the wrong service ran one."""
    services = [{"name": name, "engine": engine_spec()} for name in (OLD, NEW)]
    site.configure(3, _routes(OLD, with_added=False), services)
    service_of: dict[str, str] = {}
    for number in range(2 * ENGINES_OF_EACH):
        service, zone = (OLD, NEW)[number % 2], ZONES[number // 2 % len(ZONES)]
        process = EngineProcess(site, service, zone, model=MODEL, events=8)
        site.processes.append(process)
        service_of[process.name] = service
    await site.start(2)
    until = time.monotonic() + OPEN_WITHIN_S
    while not all(
        process.group.get("state") == "open"
        for process in site.processes
        if service_of[process.name] == OLD
    ):
        if time.monotonic() > until:
            raise CannotRunError("not all groups of the old service are open")
        await asyncio.sleep(0.1)
    await asyncio.sleep(1.0)
    paths: dict[str, str] = {}
    await _send_for(site, record, CALM_S, (MOVED,), paths)
    service = NEW if TROUBLE else OLD
    site.configure(9, _routes(service, with_added=True), services)
    record.line(f"version 9 sends {MOVED} and the new {ADDED} to {service} only")
    await asyncio.sleep(APPLY_S + 0.5)
    late_from = len(paths)
    await _send_for(site, record, AFTER_S, (MOVED, ADDED), paths)
    late = set(list(paths)[late_from:])
    wrong_config = wrong_route = 0
    for process in site.processes:
        actual = service_of[process.name]
        for attempt in process.ran:
            record.line(f"{attempt} of {paths[attempt]} was run by {actual}")
            if attempt in late and actual != service:
                wrong_config += paths[attempt] == MOVED
                wrong_route += paths[attempt] == ADDED
    record.line(f"CONFIG: {wrong_config} late requests were run by the old service")
    record.line(f"ROUTE: {wrong_route} were run by a service that no version allows")
    return wrong_route > 0


async def _send_for(
    site: Site,
    record: Record,
    seconds: float,
    prefixes: tuple[str, ...],
    paths: dict[str, str],
) -> None:
    async def send(front: str, prefix: str, attempt: str, number: int) -> None:
        request = request_bytes(
            "POST", prefix + "x", attempt, body=b"p", more=prompt_headers(number)
        )
        answer = await exchange(front, request, 8.0)
        record.line(f"{attempt} {prefix}: {answer.status}")

    until, tasks = time.monotonic() + seconds, []
    while time.monotonic() < until:
        for prefix in prefixes:
            number = len(paths)
            attempt = f"{int(time.time()):x}{number:06x}"
            paths[attempt] = prefix
            front = site.daemons[number // 2 % len(site.daemons)].front
            tasks.append(asyncio.create_task(send(front, prefix, attempt, number)))
        await asyncio.sleep(INTERVAL_S)
    await asyncio.gather(*tasks)


if __name__ == "__main__":
    main(play, __file__)
