"""The command ``auburnproxyd``."""

from __future__ import annotations

import gc
import sys
from pathlib import Path

import defopt
import uvloop
from aiomisc import entrypoint

from ..errors import DocumentError
from ..telemetry import configure_logs
from .daemon import Daemon
from .listener import services
from .settings import Settings, load_settings

EXIT_FINDINGS = 2
SHUTDOWN_MARGIN_S = 10.0
YOUNG_OBJECTS = 20_000
"""New objects after which the youngest ones are collected."""


def auburnproxyd(*, settings: Path, check: bool = False) -> int:
    """Serve callers until SIGTERM, then drain and leave.

    Exits with 2 if the settings have findings; each is printed with its place.

    :param settings: the YAML file of the settings
    :param check: only check the settings
    """
    try:
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
    """Run one daemon until it is told to stop.

    :param settings: checked settings
    """
    configure_logs(level=settings.log.level, json=settings.log.json)
    timeout_s = settings.drain_s + SHUTDOWN_MARGIN_S
    runtime = entrypoint(
        loop_factory=uvloop.new_event_loop,
        log_config=False,
        shutdown_timeout=timeout_s,
    )
    with runtime as loop:
        loop.run_until_complete(_start(runtime, settings))
        loop.run_forever()
    return 0


async def _start(runtime: entrypoint, settings: Settings) -> None:
    # The slices bind to the running loop, so they are made on it.
    await runtime.start_services(*services(Daemon(settings)))
    _collect_less_often()


def _collect_less_often() -> None:
    """Spare requests the collection of what lasts as long as the process."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(YOUNG_OBJECTS, *gc.get_threshold()[1:])


def main() -> None:
    """Run the command line."""
    sys.exit(defopt.run(auburnproxyd))
