"""Simulated platform services: ``python -m standins.platform --settings FILE``."""

from __future__ import annotations

import asyncio
import contextlib
from pathlib import Path

import defopt

from .hosts import make_hosts
from .listener import listening, run_until_signal
from .log import make_log
from .settings import PlatformSettings, read
from .weights import make_weights


async def serve(settings: PlatformSettings) -> None:
    """Serve the log, the host list and the weight store until cancelled.

    :param settings: settings of the three services
    """
    log = make_log(settings.log.retention)
    entries = [host.entry() for host in settings.hosts.entries]
    hosts = make_hosts(entries, lag_s=settings.hosts.lag_s)
    models = [model.spec() for model in settings.weights.models]
    rate = settings.weights.loads_per_minute
    weights = make_weights(models, loads_per_minute=rate)
    async with contextlib.AsyncExitStack() as stack:
        await stack.enter_async_context(listening(log.app(), settings.log.listen))
        await stack.enter_async_context(listening(hosts.app(), settings.hosts.listen))
        address = settings.weights.listen
        await stack.enter_async_context(listening(weights.app(), address))
        await asyncio.Event().wait()


def main(*, settings: Path) -> None:
    """Stand in for the platform.

    :param settings: the YAML settings
    """
    run_until_signal(serve(read(settings, PlatformSettings)))


if __name__ == "__main__":
    defopt.run(main)
