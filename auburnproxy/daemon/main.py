"""The command ``auburnproxyd``."""

from __future__ import annotations

import gc
import sys
from collections.abc import Callable
from importlib import import_module
from pathlib import Path
from typing import TYPE_CHECKING, Any

import defopt
import uvloop
from aiomisc import entrypoint

from ..errors import DocumentError

if TYPE_CHECKING:
    from .settings import Settings

EXIT_FINDINGS = 2
SHUTDOWN_MARGIN_S = 10.0
GC_YOUNG_THRESHOLD = 20_000
"""New objects after which the youngest generation is collected."""
Services = Callable[[], list[Any]]


def auburnproxyd(
    *, settings: Path | None = None, deployment: str = "", check: bool = False
) -> int:
    """Serve callers until SIGTERM, then drain and leave.

    Exits with 2 if the settings have findings; each is printed with its place.

    :param settings: the YAML file of the settings, for the product's own platform
    :param deployment: package that adapts the daemon to another platform; it
        knows where its settings are
    :param check: only check the settings
    """
    if (settings is None) == (not deployment):
        print("give either --settings or --deployment", file=sys.stderr)
        return EXIT_FINDINGS
    try:
        if settings is None:
            return serve_deployment(deployment, check=check)
        from .settings import load_settings

        checked = load_settings(settings)
    except DocumentError as error:
        for finding in error.findings:
            print(finding, file=sys.stderr)
        return EXIT_FINDINGS
    if check:
        print(f"{settings}: no findings")
        return 0
    return serve(checked)


def serve(settings: Settings) -> int:
    """Run one daemon on the product's own platform until it is signalled to stop.

    :param settings: checked settings
    """
    # Imported here, so that only the daemon in use costs start-up time and memory.
    from ..telemetry import configure_logs
    from .applications import services
    from .daemon import Daemon

    configure_logs(level=settings.log.level, json=settings.log.json)
    return _run(lambda: services(Daemon(settings)), settings.drain_s)


def serve_deployment(package: str, *, check: bool) -> int:
    """Run one daemon on another platform until it is signalled to stop.

    :param package: name of the package that adapts to the platform
    :param check: only check the settings
    :raises DocumentError: if the settings have findings
    """
    from .gateway_daemon import GatewayDaemon
    from .gateway_services import services

    adapter = import_module(package).adapter()
    settings = adapter.settings()
    if check:
        print("no findings")
        return 0
    return _run(lambda: services(GatewayDaemon(adapter)), settings.grace_s)


def _run(services: Services, drain_s: float) -> int:
    runtime = entrypoint(
        loop_factory=uvloop.new_event_loop,
        log_config=False,
        shutdown_timeout=drain_s + SHUTDOWN_MARGIN_S,
    )
    with runtime as loop:
        loop.run_until_complete(_start(runtime, services))
        loop.run_forever()
    return 0


async def _start(runtime: entrypoint, services: Services) -> None:
    # The components bind to the running loop, so they are created on it.
    await runtime.start_services(*services())
    _tune_garbage_collection()


def _tune_garbage_collection() -> None:
    """Keep long-lived objects out of garbage collection, which pauses requests."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_YOUNG_THRESHOLD, *gc.get_threshold()[1:])


def main() -> None:
    """Run the command line."""
    sys.exit(defopt.run(auburnproxyd))
