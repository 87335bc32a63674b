"""The command ``auburnproxyd``."""

from __future__ import annotations

import asyncio
import gc
import os
import sys
import threading
import time
from collections.abc import Callable
from importlib import import_module
from pathlib import Path
from typing import TYPE_CHECKING, Any, TypeVar

import defopt
import uvloop
from aiomisc import entrypoint

from ..clock import loop_time
from ..errors import DocumentError
from .stop_signals import StopRequest, StopSignals

if TYPE_CHECKING:
    from ..findings import Finding
    from .deployment import Deployment
    from .listener import RunnableDaemon
    from .settings import Settings

_Daemon = TypeVar("_Daemon", bound="RunnableDaemon")

EXIT_FINDINGS = 2
EXIT_FAILED = os.EX_SOFTWARE
"""Exit code of a daemon that was not asked to stop, but could not go on."""
SETTINGS_RETRY_S = 1.0
"""Seconds between two readings of settings that cannot be used."""
LAST_FLUSH_S = 0.1
"""Longest wait for a slow reader of the log before a process that hangs is ended."""
STOP_REASON = RuntimeError("The process was asked to stop.")
GC_YOUNG_THRESHOLD = 20_000
"""New objects after which the youngest generation is collected."""


def auburnproxyd(
    *, settings: Path | None = None, deployment: str = "", check: bool = False
) -> int:
    """Serve callers until SIGTERM, then drain and leave.

    Exits with 2 if the settings of the product's own platform have findings, each of
    which is printed with its place, and with 70 if a task fails or the start does. On
    another platform it waits for settings that can be used.

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
    return _run(lambda: Daemon(settings), services)


def serve_deployment(package: str, *, check: bool) -> int:
    """Run one daemon on another platform until it is signalled to stop.

    :param package: name of the package that adapts to the platform
    :param check: only check the settings
    :raises DocumentError: if the settings are only checked and have findings
    """
    from .gateway_daemon import GatewayDaemon
    from .gateway_services import services

    adapter = import_module(package).adapter()
    if check:
        adapter.settings()
        print("no findings")
        return 0
    _wait_for_settings(adapter)
    return _run(lambda: GatewayDaemon(adapter), services)


def _wait_for_settings(adapter: Deployment) -> None:
    """Wait until the settings can be used; the platform may still replace them.

    Each set of findings is printed once. A stop signal ends the process at once, as
    nothing has been opened.
    """
    reported: list[Finding] = []
    while True:
        try:
            adapter.settings()
            return
        except DocumentError as error:
            if error.findings != reported:
                reported = error.findings
                for finding in reported:
                    print(finding, file=sys.stderr, flush=True)
        time.sleep(SETTINGS_RETRY_S)


def _run(
    create: Callable[[], _Daemon], services: Callable[[_Daemon], list[Any]]
) -> int:
    runtime = entrypoint(
        loop_factory=uvloop.new_event_loop, log_config=False, catch_signals=()
    )
    signals = StopSignals(runtime.loop)
    signals.install()
    with runtime as loop:
        try:
            return loop.run_until_complete(_serve(runtime, signals, create, services))
        finally:
            signals.detach()


async def _serve(
    runtime: entrypoint,
    signals: StopSignals,
    create: Callable[[], _Daemon],
    services: Callable[[_Daemon], list[Any]],
) -> int:
    """Run a daemon until it is asked to stop, and return the exit code."""
    # The components bind to the running loop, so they are created on it.
    daemon = create()
    daemon.request_stop = signals.request_stop
    signals.on_signal = daemon.log_signal
    signals.last_ran_at = lambda: daemon.last_ran_at
    requested = asyncio.create_task(signals.wait())
    starting = asyncio.create_task(runtime.start_services(*services(daemon)))
    exit_code = 0
    try:
        await asyncio.wait({requested, starting}, return_when=asyncio.FIRST_COMPLETED)
        if starting.done():
            await starting
            _tune_garbage_collection()
            await requested
        # A task that fails later does so because the daemon stops.
        exit_code = EXIT_FAILED if daemon.failed_task else 0
    except Exception as error:
        daemon.log_failed_start(error)
        exit_code = EXIT_FAILED
    finally:
        await _cancel(starting)
        now = loop_time()
        request = requested.result() if requested.done() else StopRequest(now, now)
        await _stop(runtime, daemon, request)
    return exit_code


async def _cancel(task: asyncio.Task[None]) -> None:
    task.cancel()
    await asyncio.wait({task})


async def _stop(
    runtime: entrypoint, daemon: RunnableDaemon, request: StopRequest
) -> None:
    """Stop all services within the daemon's budget."""
    budget = daemon.begin_stop(request)
    _end_process_after(budget.exit_at - loop_time(), daemon)
    try:
        async with asyncio.timeout_at(budget.close_at):
            await runtime.stop_services(*runtime.services, exc=STOP_REASON)
    except TimeoutError:
        daemon.log_overrun("services")
    finally:
        daemon.log_stopped()
        daemon.flush_logs(budget.exit_at - loop_time())


def _end_process_after(seconds: float, daemon: RunnableDaemon) -> None:
    """End the process after some time even if its event loop or its log hangs."""

    def report() -> None:
        daemon.log_overrun("process")
        daemon.flush_logs(LAST_FLUSH_S)

    def end() -> None:
        reporting = threading.Thread(target=report, daemon=True)
        reporting.start()
        reporting.join(LAST_FLUSH_S)
        os._exit(os.EX_SOFTWARE)

    timer = threading.Timer(max(seconds, 0.0), end)
    timer.daemon = True
    timer.start()


def _tune_garbage_collection() -> None:
    """Keep long-lived objects out of garbage collection, which pauses requests."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_YOUNG_THRESHOLD, *gc.get_threshold()[1:])


def main() -> None:
    """Run the command line.

    The process ends without the cleanup of the interpreter, which restores the default
    handlers of signals: one that arrives then would kill the process.
    """
    code = defopt.run(auburnproxyd)
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(code)
