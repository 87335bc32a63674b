"""Deployment of the soak test: daemon processes, fake engines and a fake store."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import time
from collections.abc import Mapping, Sequence
from pathlib import Path
from types import MappingProxyType
from typing import NamedTuple

import yaml

from features.fakes.platform import EngineStandIn, Site
from features.loopback import free_addresses
from standins.processes import send_signal

from .proxy import Proxy
from .replicas import ReplicaEngines

GRACE_S = 8.0
REPLICA_ENGINES = 10
"""Two replicas of two hosts and a spare host in each of two failure domains."""
PLAIN_ENGINES = 4
FIRST_LOOPBACK_HOST = 2
"""Last octet of the first daemon's address; all daemons use one metrics port."""
LOOPBACK_HOSTS = 250
"""Daemons whose addresses differ only in the last octet."""


class Disruption(NamedTuple):
    """Unplanned disruption of a daemon, an engine or the path to the store."""

    subject: str
    begin: float
    end: float


class DaemonProcess:
    """One daemon process, started by this soak test.

    :param number: index of the daemon, from 0
    :param zone: failure domain of the daemon
    :param store: address of the store's proxy
    :param folder: folder of its settings and log
    :param limits: what the platform grants the process, empty for the defaults
    :param contracts: contracts of the deployment
    """

    def __init__(
        self,
        number: int,
        zone: str,
        store: str,
        folder: Path,
        limits: Mapping[str, float] = MappingProxyType({}),
        contracts: Sequence[str] = (),
    ) -> None:
        self.name = f"d{number}"
        self.callers = _address(number)
        self._ip = self.callers.rpartition(":")[0]
        self.log_path = folder / f"{self.name}.log"
        self.starts: list[float] = []
        """Times at which each process was started."""
        self.stops: list[float] = []
        """Times of the first SIGTERM of each process."""
        self.stop_signals: list[float] = []
        """Times of every SIGTERM."""
        self.reloads: list[float] = []
        """Times of each SIGHUP."""
        self.overdue_stops: list[float] = []
        """Times of the SIGTERM after which a process had to be killed."""
        self._settings = folder / f"{self.name}.yaml"
        self._log = self.log_path.open("ab")
        heartbeats, internal, self.readiness = (_address(number) for _ in range(3))
        settings = {
            "node-name": self.name,
            "ip": self._ip,
            "zone": zone,
            "listen": {"front": self.callers, "readiness": self.readiness},
            "internal-ports": [_port(heartbeats), _port(internal)],
            "platform": {"address": store},
            "bounds": {
                "retry-budget-ratio": 0.2,
                "budget-slack": 103,
                "budget-window-s": 10,
                "grace-s": GRACE_S,
            },
            "limits": dict(limits),
            "contracts": list(contracts),
        }
        self._settings.write_text(yaml.safe_dump(settings))
        self._process: asyncio.subprocess.Process | None = None
        self._starting = asyncio.Lock()
        self._stopping = False

    @property
    def pid(self) -> int:
        """Return the id of the process that was started last."""
        assert self._process is not None
        return self._process.pid

    @property
    def exit_code(self) -> int | None:
        """Return the exit code of the process, None while it runs."""
        return None if self._process is None else self._process.returncode

    @property
    def runs(self) -> bool:
        """Return whether the process is running."""
        return self._process is not None and self._process.returncode is None

    async def start(self) -> None:
        """Start the process unless it runs; overlapping faults may both restart it."""
        async with self._starting:
            if not self.runs:
                self._stopping = False
                self.starts.append(time.monotonic())
                self._process = await self._spawn()

    async def _spawn(self) -> asyncio.subprocess.Process:
        return await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "auburnproxy.daemon",
            "--deployment",
            "auburnproxy.platform",
            env={**os.environ, "AUBURNPROXY_CONFIG": str(self._settings)},
            stdout=self._log,
            stderr=self._log,
        )

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it runs."""
        if self._process is not None:
            send_signal(self._process, number)

    def reload(self) -> None:
        """Send SIGHUP."""
        self.reloads.append(time.monotonic())
        self.send(signal.SIGHUP)

    async def terminate(self) -> None:
        """Send SIGTERM, wait for the end, and kill the process after its grace."""
        process, sent_at = self._process, time.monotonic()
        if process is None or not self.runs:
            return
        self.stop_signals.append(sent_at)
        if not self._stopping:
            self.stops.append(sent_at)
        first, self._stopping = not self._stopping, True
        send_signal(process, signal.SIGTERM)
        try:
            async with asyncio.timeout(GRACE_S if first else None):
                await process.wait()
        except TimeoutError:
            if not _has_exited(process.pid):
                self.overdue_stops.append(sent_at)
                send_signal(process, signal.SIGKILL)
            await process.wait()

    async def ended(self) -> None:
        """Wait until the process has ended."""
        if self._process is not None:
            await self._process.wait()

    async def stop(self) -> None:
        """Kill the process, also when it is paused."""
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        await self.ended()
        self._log.close()


class SoakSite:
    """Store, plain and replica engines in two failure domains, and the daemons.

    :param folder: folder of settings and logs
    :param daemons: number of daemons
    :param contracts: contracts of the deployment
    """

    def __init__(
        self, folder: Path, *, daemons: int, contracts: Sequence[str] = ()
    ) -> None:
        self.platform = Site(folder)
        self.replicas = ReplicaEngines(self.platform)
        self.daemons: list[DaemonProcess] = []
        self.proxies: list[Proxy] = []
        self.disruptions: list[Disruption] = []
        self.configured_at: list[float] = []
        """Times at which a configuration was written."""
        self._folder = folder
        self._daemon_count = daemons
        self._contracts = contracts

    @property
    def engines(self) -> dict[str, EngineStandIn]:
        """Return the engines by name."""
        return self.platform.engines

    async def start(self, configuration: dict[str, object]) -> None:
        """Start the store, the engines, the proxies and the daemon processes."""
        await self.platform.start()
        self.platform.store.put("keyed.op", "config", configuration)
        for number in range(REPLICA_ENGINES):
            await self.replicas.add(f"e{number}", f"z{number % 2}")
        for number in range(PLAIN_ENGINES):
            zone = f"z{number % 2}"
            await self.platform.add_engine(f"p{number}", service="plain", zone=zone)
        for number in range(self._daemon_count):
            proxy = Proxy(free_addresses(1)[0], self.platform.store_address)
            await proxy.start()
            self.proxies.append(proxy)
            zone = f"z{number % 2}"
            daemon = DaemonProcess(
                number, zone, proxy.address, self._folder, contracts=self._contracts
            )
            await daemon.start()
            self.daemons.append(daemon)

    def configure(self, configuration: dict[str, object]) -> None:
        """Write a configuration to the store."""
        self.configured_at.append(time.monotonic())
        self.platform.store.put("keyed.op", "config", configuration)

    def disrupt(self, subject: str, seconds: float) -> None:
        """Record a disruption that begins now.

        :param subject: name of a daemon or an engine, or ``store``
        :param seconds: how long it lasts
        """
        now = time.monotonic()
        self.disruptions.append(Disruption(subject, now, now + seconds))

    async def stop(self) -> None:
        """Stop every process that was started, and close every connection."""
        for daemon in self.daemons:
            await daemon.stop()
        for proxy in self.proxies:
            await proxy.stop()
        await self.platform.stop()


def _has_exited(pid: int) -> bool:
    """Return whether a child has exited; asyncio's notice of it may be late."""
    flags = os.WEXITED | os.WNOHANG | os.WNOWAIT
    try:
        return os.waitid(os.P_PID, pid, flags) is not None
    except ChildProcessError:
        return True


def _address(number: int) -> str:
    port = _port(free_addresses(1)[0])
    network, host = divmod(number, LOOPBACK_HOSTS)
    return f"127.0.{network}.{FIRST_LOOPBACK_HOST + host}:{port}"


def _port(address: str) -> int:
    return int(address.rpartition(":")[2])
