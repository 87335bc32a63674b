"""One engine as a process of its own, so that a signal can end it.

Writes its entry in the store to standard output, a JSON line each time it changes.
"""

from __future__ import annotations

import asyncio
import json
import sys

from review.common.engine import Engine
from review.common.site import HEARTBEAT_S


async def serve(settings: dict) -> None:
    """Run an engine until the process is killed."""
    engine = Engine(
        settings["name"],
        settings["address"],
        service=settings["service"],
        zone=settings["zone"],
    )
    for name, value in settings["more"].items():
        setattr(engine, name, value)

    def tell() -> None:
        print(json.dumps({"entry": engine.entry()}), flush=True)

    def tell_run(attempt: str) -> None:
        print(json.dumps({"ran": attempt}), flush=True)

    engine.on_change, engine.on_run = tell, tell_run
    await engine.start()
    while True:
        tell()
        await asyncio.sleep(HEARTBEAT_S)


if __name__ == "__main__":
    asyncio.run(serve(json.loads(sys.argv[1])))
