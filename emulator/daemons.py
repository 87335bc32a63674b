"""Gateway daemons that run in one process over emulated links, store and engines."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping, Sequence
from random import Random
from typing import Any, cast

import msgspec
from aiohttp import web

from auburnproxy.daemon.deployment import Deployment, DomainMark, GatewaySettings
from auburnproxy.daemon.gateway_daemon import GatewayDaemon
from auburnproxy.errors import PeerError
from auburnproxy.formation import EngineCommands
from auburnproxy.gateway.header_codec import HeaderCodec
from auburnproxy.gateway.host import Host
from auburnproxy.gateway.retry_budget import RetryAllowance
from auburnproxy.gateway.route import Configuration
from auburnproxy.gateway.sender import Sender
from auburnproxy.platform.headers import PlatformHeaderCodec
from auburnproxy.store import Change, PeerClient, PeerSync, Store, TopicPosition
from auburnproxy.store.follower import TopicUpdate
from auburnproxy.telemetry.decisions import DecisionLog

from .network import Location, Network

OPERATORS, UPSTREAMS = "op", "servers"
CONFIGURATION, OUT_PREFIX = "configuration", "out/"
ALLOWANCE = RetryAllowance(ratio=0.2, slack=100.0, window_s=10.0)
BEATS_PORT, INTERNAL_PORT = 7000, 7001


def settings_of(
    number: int,
    *,
    failure_domain: str,
    first_start: bool = True,
    cores: float = 1.0,
    allowance: RetryAllowance = ALLOWANCE,
) -> GatewaySettings:
    """Return the settings of the daemon with this number."""
    ip = f"10.0.{number // 250}.{number % 250 + 1}"
    return GatewaySettings(
        name=f"d{number}",
        failure_domain=failure_domain,
        callers=f"{ip}:80",
        readiness=f"{ip}:81",
        beats=f"{ip}:{BEATS_PORT}",
        internal=f"{ip}:{INTERNAL_PORT}",
        metrics=f"{ip}:82",
        store="10.9.0.1:80",
        first_start=first_start,
        allowance=allowance,
        grace_s=8.0,
        cores=cores,
        drain_s=2.0,
        apply_s=2.0,
        answer_bytes=1_000_000,
    )


class EmulatedDeployment(Deployment):
    """Deployment whose upstream records are written by :func:`registration`.

    :param settings: settings of the daemon
    :param store: the daemon's connection to the log
    :param engine_commands: commands to the engines
    :param configurations: operator configurations by the value of their records
    """

    operator_topic = OPERATORS
    upstream_topic = UPSTREAMS

    def __init__(
        self,
        settings: GatewaySettings,
        store: Store,
        engine_commands: EngineCommands,
        configurations: Mapping[bytes, Configuration],
    ) -> None:
        self._settings = settings
        self._store = store
        self._engine_commands = engine_commands
        self._configurations = configurations

    def settings(self) -> GatewaySettings:
        """Return the settings."""
        return self._settings

    def store(self, settings: GatewaySettings) -> Store:
        """Return the connection to the log."""
        return self._store

    def header_codec(self) -> HeaderCodec:
        """Return the header codec of the emulated callers and engines."""
        return PlatformHeaderCodec()

    def engine_commands(self) -> EngineCommands:
        """Return the interface for commands to the engines."""
        return self._engine_commands

    def read_operator_record(self, change: Change) -> Configuration | DomainMark | None:
        """Decode an operator record: a configuration or a domain mark."""
        if change.key.startswith(OUT_PREFIX):
            domain = change.key.removeprefix(OUT_PREFIX)
            return DomainMark(domain, out=bool(change.value))
        return self._configurations.get(change.value)

    def significant_part(self, registration: bytes) -> bytes:
        """Return a registration without its last field, the time of writing."""
        return registration.rpartition(b",")[0]

    def read_upstream_record(self, change: Change, *, now: float) -> Host:
        """Decode the host of a registration."""
        return msgspec.json.decode(change.value, type=Host)._replace(seen_at=now)


def registration(host: Host) -> Change:
    """Return the registration record of a host; the time of writing comes last."""
    return Change(host.id, msgspec.json.encode(host))


def _sender_without_session(daemon: GatewayDaemon) -> Sender:
    """Return a sender without an HTTP session, for daemons that get no requests."""
    return Sender(
        cast(Any, None),
        PlatformHeaderCodec(),
        daemon.directory,
        daemon.backoffs,
        daemon.limits,
        daemon.reachability,
    )


class EmulatedPeerClient(PeerClient):
    """Client that fetches topics from peer daemons over emulated links.

    :param location: location of the daemon that fetches
    :param links: links between processes
    :param peer_sync_by_address: location and peer sync of each running daemon
    """

    def __init__(
        self,
        location: Location,
        links: Network,
        peer_sync_by_address: Mapping[str, tuple[Location, PeerSync]],
    ) -> None:
        self._location = location
        self._links = links
        self._peer_sync_by_address = peer_sync_by_address

    async def fetch(
        self, address: str, topic: str, position: TopicPosition
    ) -> TopicUpdate:
        """Return the changes of a topic since a position.

        :raises PeerError: if the peer is stopped, unreachable or has no complete copy
        """
        target, peer_sync = self._peer_sync_by_address.get(address, (None, None))
        delay_s = self._links.delay_s(self._location, target) if target else None
        if peer_sync is None or delay_s is None:
            raise PeerError(f"{address} is unreachable")
        await asyncio.sleep(2 * delay_s)
        follower = peer_sync.followers[topic]
        if not follower.complete:
            raise PeerError(f"{address} has no complete copy of {topic}")
        return follower.changes_since(
            position.end, previous_era_end=position.previous_era_end
        )


class EmulatedDaemon(GatewayDaemon):
    """A gateway daemon whose peers and engines are in the same process.

    :param deployment: settings of the daemon and its external systems
    :param decisions: decision log of the daemon
    :param group: group that the daemon belongs to
    """

    def __init__(
        self, deployment: EmulatedDeployment, decisions: DecisionLog, group: DaemonGroup
    ) -> None:
        self._group = group
        self._request_tasks: set[asyncio.Task[web.StreamResponse]] = set()
        super().__init__(deployment, decisions=decisions)

    @property
    def location(self) -> Location:
        """Return the location of the daemon."""
        return Location(self.settings.name, self.settings.failure_domain)

    def _open_peers(self) -> PeerClient:
        return self._group.peers_at(self.location)

    def _open_sender(self, header_codec: HeaderCodec) -> Sender:
        return self._group.open_sender(self)

    def _open_random(self) -> Random:
        return Random(f"{self._group.seed} {self.settings.name}")

    def start_request(self, http: web.BaseRequest) -> asyncio.Task[web.StreamResponse]:
        """Start handling a request; callers cancel the task to close the connection."""
        task = asyncio.create_task(self.frontend.handle(cast(web.Request, http)))
        self._request_tasks.add(task)
        task.add_done_callback(self._request_tasks.discard)
        return task

    async def kill(self) -> None:
        """Cancel all tasks without draining, like a process that is killed."""
        for task in tuple(self._request_tasks):
            task.cancel()
        self._registration_task.cancel()
        self.peer_sync.close()
        self.health.close()
        self.exits.close()
        await self.tasks.cancel()
        await self._session.close()


class DaemonGroup:
    """The daemons of one installation.

    :param links: links between processes
    :param engine_commands: commands to the engines
    :param configurations: operator configurations by the value of their records
    :param open_store: returns a daemon's connection to the log
    :param open_decisions: returns a daemon's decision log
    :param open_sender: returns a daemon's sender to the engines
    :param seed: seed of the daemons' random generators
    """

    def __init__(
        self,
        links: Network,
        engine_commands: EngineCommands,
        configurations: Mapping[bytes, Configuration],
        *,
        open_store: Callable[[Location], Store],
        open_decisions: Callable[[str], DecisionLog],
        open_sender: Callable[[EmulatedDaemon], Sender] = _sender_without_session,
        seed: int = 0,
    ) -> None:
        self.daemon_by_name: dict[str, EmulatedDaemon] = {}
        self._links = links
        self._engine_commands = engine_commands
        self._configurations = configurations
        self._open_store = open_store
        self._open_decisions = open_decisions
        self.open_sender = open_sender
        self.seed = seed
        self._peer_sync_by_address: dict[str, tuple[Location, PeerSync]] = {}

    @property
    def daemons(self) -> list[EmulatedDaemon]:
        """Return the running daemons."""
        return list(self.daemon_by_name.values())

    def start(
        self,
        settings: GatewaySettings,
        daemon_patches: Sequence[Callable[[EmulatedDaemon], None]] = (),
    ) -> EmulatedDaemon:
        """Start a daemon.

        :param daemon_patches: modifications applied to the daemon before it starts
        """
        location = Location(settings.name, settings.failure_domain)
        deployment = EmulatedDeployment(
            settings,
            self._open_store(location),
            self._engine_commands,
            self._configurations,
        )
        daemon = EmulatedDaemon(deployment, self._open_decisions(settings.name), self)
        ip, _, port = settings.beats.partition(":")
        self._links.location_by_address[ip, int(port)] = location
        self._peer_sync_by_address[settings.internal] = location, daemon.peer_sync
        self.daemon_by_name[settings.name] = daemon
        for patch_daemon in daemon_patches:
            patch_daemon(daemon)
        daemon.start()
        return daemon

    async def kill(self, name: str) -> None:
        """Kill a daemon without draining."""
        daemon = self.daemon_by_name.pop(name)
        del self._peer_sync_by_address[daemon.settings.internal]
        await daemon.kill()

    def peers_at(self, location: Location) -> PeerClient:
        """Return the peer client of a daemon at this location."""
        return EmulatedPeerClient(location, self._links, self._peer_sync_by_address)
