"""The command ``auburnproxyd``."""

from __future__ import annotations

import asyncio
import faulthandler
import gc
import os
import sys
import threading
import time
from collections.abc import Callable
from functools import partial
from importlib import import_module
from pathlib import Path
from typing import TYPE_CHECKING, Any, NoReturn, TypeVar

import defopt
import uvloop
from aiomisc import entrypoint

from ..clock import loop_time
from ..errors import DocumentError
from ..stop_budget import plan_stop
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
REPORTED_CALLS = 4
"""Innermost calls that are logged of a process that hangs."""
HARD_EXIT_MARGIN_S = 0.1
"""Time before the end of the grace at which the process is ended without its
interpreter, if that is busy or blocked."""
MIN_HARD_EXIT_S = 0.3
"""The least time for an orderly end of a process that notices its signal late."""
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
    # The runtime is never left: its exit waits without a bound for tasks and threads
    # that the stop has left behind, and the process ends next in any case.
    loop = runtime.__enter__()
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
    signals.on_first_signal = partial(_end_hanging_process, daemon.grace_s)
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
        now = loop_time()
        request = requested.result() if requested.done() else StopRequest(now, now)
        await _stop(runtime, daemon, request, starting)
    return exit_code


async def _stop(
    runtime: entrypoint,
    daemon: RunnableDaemon,
    request: StopRequest,
    starting: asyncio.Task[None],
) -> None:
    """End the start, and stop all services, within the daemon's budget."""
    budget = daemon.begin_stop(request)
    _end_process_after(budget.exit_at - loop_time(), daemon)
    try:
        async with asyncio.timeout_at(budget.close_at):
            starting.cancel()
            await asyncio.wait({starting})
            await runtime.stop_services(*runtime.services, exc=STOP_REASON)
    except TimeoutError:
        daemon.log_overrun("services")
    finally:
        daemon.log_stopped()
        daemon.flush_logs(budget.exit_at - loop_time())


def _end_process_after(seconds: float, daemon: RunnableDaemon) -> None:
    """End the process after some time even if its event loop or its log hangs."""

    def report() -> None:
        daemon.log_overrun("process", where=_main_stack())
        daemon.flush_logs(LAST_FLUSH_S)

    def end() -> None:
        reporting = threading.Thread(target=report, daemon=True)
        reporting.start()
        reporting.join(LAST_FLUSH_S)
        os._exit(os.EX_SOFTWARE)

    timer = threading.Timer(max(seconds, 0.0), end)
    timer.daemon = True
    timer.start()


def _main_stack() -> list[str]:
    """Return where the main thread is, innermost call first."""
    frame = sys._current_frames().get(threading.main_thread().ident or 0)
    calls: list[str] = []
    while frame is not None and len(calls) < REPORTED_CALLS:
        code = frame.f_code
        calls.append(f"{Path(code.co_filename).name}:{frame.f_lineno} {code.co_name}")
        frame = frame.f_back
    return calls


def _end_hanging_process(grace_s: float, request: StopRequest) -> None:
    """End the process before its grace does, even if its interpreter hangs.

    The thread that does so is the fault handler's, which runs no Python code. It may be
    started in a handler of a signal, and writes what it reports to the null device:
    standard error may be a pipe that nobody reads.

    :param grace_s: seconds from the stop signal until the platform kills the process
    """
    budget = plan_stop(
        noticed_at=request.noticed_at, last_ran_at=request.last_ran_at, grace_s=grace_s
    )
    end_at = budget.signalled_at + grace_s - HARD_EXIT_MARGIN_S
    faulthandler.dump_traceback_later(
        max(end_at - request.noticed_at, MIN_HARD_EXIT_S),
        exit=True,
        file=os.open(os.devnull, os.O_WRONLY),
    )


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
    end_process(defopt.run(auburnproxyd))


def end_process(code: int) -> NoReturn:
    """End the process without the cleanup of the interpreter.

    :param code: exit code
    """
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(code)
