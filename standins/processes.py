"""Processes of a trial deployment, each ended by its process id."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import sys
from asyncio.subprocess import Process
from collections.abc import AsyncIterator
from pathlib import Path

END_TIMEOUT_S = 5.0
CONNECT_RETRY_INTERVAL_S = 0.05


def send_signal(process: Process, number: signal.Signals) -> None:
    """Send a signal to a process, if it runs.

    The method of the process collects the exit code of a process that has just ended,
    for which asyncio then reports 255.
    """
    if process.returncode is None:
        with contextlib.suppress(ProcessLookupError):
            os.kill(process.pid, number)


class Processes:
    """Starts Python modules as processes and ends those still running.

    :param folder: directory of the processes' log files
    """

    def __init__(self, folder: Path) -> None:
        self.by_name: dict[str, Process] = {}
        self._folder = folder

    async def start(self, name: str, module: str, *arguments: str) -> Process:
        """Start a module; a name may be started again once its process has ended.

        :param name: name of the process and of its log
        :param module: module to run
        :param arguments: command-line arguments
        """
        command = (sys.executable, "-m", module, *arguments)
        with self.log(name).open("ab") as log:
            process = await asyncio.create_subprocess_exec(
                *command, stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log
            )
        self.by_name[name] = process
        return process

    def log(self, name: str) -> Path:
        """Return the path of a process's log.

        :param name: name of the process
        """
        return self._folder / f"{name}.log"

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process that runs.

        :param name: name of the process
        :param number: the signal
        """
        send_signal(self.by_name[name], number)

    async def end(self) -> None:
        """Terminate every process; kill those that exceed the timeout."""
        for name in self.by_name:
            self.signal(name, signal.SIGCONT)
            self.signal(name, signal.SIGTERM)
        await asyncio.gather(*map(self._end, self.by_name.values()))

    async def _end(self, process: Process) -> None:
        try:
            async with asyncio.timeout(END_TIMEOUT_S):
                await process.wait()
        except TimeoutError:
            send_signal(process, signal.SIGKILL)
            await process.wait()


@contextlib.asynccontextmanager
async def processes(folder: Path) -> AsyncIterator[Processes]:
    """Provide processes that are ended when the context closes.

    :param folder: directory of the processes' log files
    """
    running = Processes(folder)
    try:
        yield running
    finally:
        await asyncio.shield(running.end())


async def until_listens(address: str, *, timeout_s: float) -> None:
    """Wait until an address accepts connections.

    :param address: IP number and port
    :param timeout_s: longest wait in seconds
    :raises TimeoutError: if none is accepted in time
    """
    host, _, port = address.rpartition(":")
    async with asyncio.timeout(timeout_s):
        while True:
            try:
                _, writer = await asyncio.open_connection(host, int(port))
            except OSError:
                await asyncio.sleep(CONNECT_RETRY_INTERVAL_S)
                continue
            writer.close()
            return
