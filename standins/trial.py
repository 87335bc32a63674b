"""Running trial deployment: processes, operator commands and metrics."""

from __future__ import annotations

import asyncio
import contextlib
import sys
import tempfile
from collections.abc import AsyncIterator
from pathlib import Path

from aiohttp import ClientError, ClientSession, TCPConnector

from .deployment import DAEMON_MODULE, Deployment, Shape, write_deployment
from .processes import Processes, processes, until_listens
from .sampler import Sampler

START_TIMEOUT_S = 20.0
READY_POLL_INTERVAL_S = 0.1
COMMAND_TIMEOUT_S = 15.0
REPORT_PROPAGATION_S = 2.0
"""Time in seconds for every daemon to receive the engines' reports."""


class CommandError(Exception):
    """An auburnctl command failed or timed out.

    :param command: the command
    :param output: what it printed, or the reason
    """

    def __init__(self, command: str, output: str) -> None:
        super().__init__(f"auburnctl {command} failed:\n{output}")


class Trial:
    """Running deployment.

    :param deployment: the deployment and its settings files
    :param running: its processes
    :param session: HTTP client for readiness checks and sampling
    """

    def __init__(
        self, deployment: Deployment, running: Processes, session: ClientSession
    ) -> None:
        self.deployment = deployment
        self.processes = running
        self.session = session
        self.sampler = Sampler(
            session,
            {d.name: f"http://{d.control}" for d in deployment.domains},
            {model.name: model.replicas for model in deployment.shape.models},
        )

    async def start(self) -> None:
        """Start every process and wait until all daemons are ready."""
        await self.start_simulated_services()
        for daemon in self.deployment.daemons:
            await self.start_daemon(daemon.name)
        async with asyncio.timeout(START_TIMEOUT_S):
            for daemon in self.deployment.daemons:
                await self.until_ready(daemon.callers)

    async def start_simulated_services(self) -> None:
        """Start the simulated platform and upstreams."""
        await self._start("platform", "standins.platform")
        await until_listens(self.deployment.log, timeout_s=START_TIMEOUT_S)
        for domain in self.deployment.domains:
            await self._start(domain.name, "standins.upstreams")
        for domain in self.deployment.domains:
            await until_listens(domain.control, timeout_s=START_TIMEOUT_S)

    async def start_daemon(self, name: str) -> None:
        """Start a daemon, or restart one that has ended.

        :param name: name of the daemon
        """
        await self._start(name, DAEMON_MODULE)

    async def _start(self, name: str, module: str) -> None:
        settings = str(self.deployment.settings_file(name))
        await self.processes.start(name, module, "--settings", settings)

    async def until_ready(self, callers: str) -> None:
        """Wait until a daemon's ``/readyz`` succeeds.

        :param callers: address of the daemon's listener for callers
        """
        while True:
            with contextlib.suppress(ClientError):
                url = f"http://{callers}/readyz"
                async with self.session.get(url) as response:
                    if response.ok:
                        return
            await asyncio.sleep(READY_POLL_INTERVAL_S)

    async def apply(self) -> str:
        """Apply the lists of plans and grants; return what auburnctl printed."""
        files = self.deployment.plans_file, self.deployment.grants_file
        return await self.command("apply", *map(str, files))

    async def until_all_serve(self) -> None:
        """Wait until every failure domain serves all wanted replicas."""
        for domain in self.deployment.domains:
            await self.sampler.until_all_serve(domain.name, timeout_s=START_TIMEOUT_S)
        await asyncio.sleep(REPORT_PROPAGATION_S)

    async def command(self, *arguments: str) -> str:
        """Run auburnctl and return what it printed.

        :param arguments: the command and its options
        :raises CommandError: if it fails
        """
        settings = str(self.deployment.settings_file("auburnctl"))
        process = await asyncio.create_subprocess_exec(
            str(Path(sys.executable).with_name("auburnctl")),
            *arguments,
            "--settings",
            settings,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )
        try:
            async with asyncio.timeout(COMMAND_TIMEOUT_S):
                output, _ = await process.communicate()
        except TimeoutError:
            process.kill()
            await process.wait()
            raise CommandError(arguments[0], "timed out") from None
        if process.returncode:
            raise CommandError(arguments[0], output.decode())
        return output.decode()


@contextlib.asynccontextmanager
async def trial(shape: Shape) -> AsyncIterator[Trial]:
    """Run a deployment while the context is open; end its processes on exit.

    :param shape: shape of the deployment
    """
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        deployment = write_deployment(shape, folder)
        connector = TCPConnector(limit=0)
        async with (
            processes(folder) as running,
            ClientSession(connector=connector) as session,
        ):
            yield Trial(deployment, running, session)
