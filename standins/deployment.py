"""Trial deployment on loopback: its shape, addresses and settings files."""

from __future__ import annotations

import contextlib
import socket
from hashlib import sha256
from pathlib import Path
from random import Random
from typing import Any, NamedTuple

import msgspec

from .load import LoadSettings, PlanLoad

SECRET = "a-secret-of-the-trial-daemons"
OPERATOR_KEY = "a-key-of-the-trial-operators"
DAEMON_MODULE = "auburnproxy.daemon"
LISTENER_PORTS = range(10_000, 32_000)
"""Below the ports that the kernel gives to outgoing connections, any of which could
take an address before its listener is started."""


class ModelShape(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One model and the number of its replicas in each failure domain."""

    name: str
    hosts_per_replica: int
    replicas: int


class PlanShape(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One customer's plan and the load generated for it."""

    load: PlanLoad
    concurrent: int
    weight: int = 1
    queue: int = 64


class Shape(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Shape of a deployment: models, plans, hosts and load."""

    models: tuple[ModelShape, ...]
    plans: tuple[PlanShape, ...]
    failure_domains: int = 3
    daemons: int = 2
    """Daemons in each failure domain."""
    engines: int = 12
    """Engine hosts in each failure domain."""
    fabric_domains: int = 2
    """Fabric domains into which the engines of a failure domain are divided."""
    service: str = "depot"
    duration_s: float = 20.0
    seed: int = 1
    drain_s: float = 30.0
    engine: dict[str, Any] = {}
    """Settings applied to every engine."""
    plain_service: dict[str, Any] = {}
    """Settings applied to every plain service."""


class Daemon(NamedTuple):
    """One daemon and the addresses of its listeners."""

    name: str
    failure_domain: str
    callers: str
    internal: str
    peers: str


class Domain(NamedTuple):
    """One failure domain and the addresses in it."""

    name: str
    control: str
    """Control address of the simulated upstreams."""
    daemons: tuple[Daemon, ...]
    engine_addresses: tuple[str, ...]
    service_address: str


class Addresses:
    """Allocator of free loopback addresses; no address is returned twice."""

    def __init__(self) -> None:
        self._used: set[str] = set()
        self._random = Random()

    def take(self) -> str:
        """Return an address on which nothing listens."""
        while True:
            port = self._random.choice(LISTENER_PORTS)
            address = f"127.0.0.1:{port}"
            if address not in self._used and _is_free(port):
                self._used.add(address)
                return address


def _is_free(port: int) -> bool:
    with contextlib.closing(socket.socket()) as probe:
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


class Deployment:
    """Deployment and its settings files.

    :param shape: shape of the deployment
    :param folder: directory of the settings files
    """

    def __init__(self, shape: Shape, folder: Path) -> None:
        self.shape = shape
        self.folder = folder
        addresses = Addresses()
        self.log, self.hosts, self.weights = (addresses.take() for _ in range(3))
        self.domains = tuple(
            self._domain(f"fd{number}", addresses)
            for number in range(1, shape.failure_domains + 1)
        )

    def _domain(self, name: str, addresses: Addresses) -> Domain:
        daemons = tuple(
            Daemon(f"{name}-{letter}", name, *(addresses.take() for _ in range(3)))
            for letter in "abcdefgh"[: self.shape.daemons]
        )
        engines = tuple(addresses.take() for _ in range(self.shape.engines))
        return Domain(name, addresses.take(), daemons, engines, addresses.take())

    @property
    def daemons(self) -> tuple[Daemon, ...]:
        """Return the daemons of all failure domains."""
        return tuple(daemon for domain in self.domains for daemon in domain.daemons)

    @property
    def plans_file(self) -> Path:
        """Return the path of the operators' list of plans."""
        return self.folder / "plans.yaml"

    @property
    def grants_file(self) -> Path:
        """Return the path of the operators' list of grants."""
        return self.folder / "grants.yaml"

    def settings_file(self, name: str) -> Path:
        """Return the path of a process's settings.

        :param name: ``platform``, ``auburnctl``, or the name of a daemon or
            failure domain
        """
        return self.folder / f"{name}.yaml"

    def write(self) -> None:
        """Write the settings files of every process."""
        self._write("platform", self._platform())
        for domain in self.domains:
            self._write(domain.name, self._upstreams(domain))
        for daemon in self.daemons:
            self._write(daemon.name, self._daemon(daemon))
        self._write("auburnctl", self._operators())
        self._write("plans", self._plans())
        self._write("grants", self._grants())

    def _write(self, name: str, value: Any) -> None:
        self.settings_file(name).write_bytes(msgspec.yaml.encode(value))

    def load(self) -> LoadSettings:
        """Return the load generator's settings for all plans."""
        return LoadSettings(
            targets=tuple(f"http://{daemon.callers}" for daemon in self.daemons),
            controls=tuple(f"http://{domain.control}" for domain in self.domains),
            plans=tuple(plan.load for plan in self.shape.plans),
            seed=self.shape.seed,
            duration_s=self.shape.duration_s,
        )

    def _platform(self) -> dict[str, Any]:
        models = [
            {"name": model.name, "hosts_per_replica": model.hosts_per_replica}
            for model in self.shape.models
        ]
        return {
            "log": {"listen": self.log},
            "hosts": {"listen": self.hosts, "entries": self._entries()},
            "weights": {"listen": self.weights, "models": models},
        }

    def _entries(self) -> list[dict[str, Any]]:
        entries = []
        for domain in self.domains:
            entries += [self._daemon_entry(daemon) for daemon in domain.daemons]
            entries += self._engine_entries(domain)
            entries.append(self._service_entry(domain))
        return entries

    def _daemon_entry(self, daemon: Daemon) -> dict[str, Any]:
        return {
            "name": daemon.name,
            "address": daemon.peers,
            "failure_domain": daemon.failure_domain,
            "kind": "daemon",
        }

    def _engine_entries(self, domain: Domain) -> list[dict[str, Any]]:
        per_fabric = -(-self.shape.engines // self.shape.fabric_domains)
        listed_keys = ("slots", "cold_slots", "checks_fence")
        return [
            {
                "name": settings["name"],
                "address": settings["address"],
                "failure_domain": domain.name,
                "fabric_domain": f"{domain.name}-f{number // per_fabric + 1}",
                "kind": "engine",
                **{key: settings[key] for key in listed_keys if key in settings},
            }
            for number, settings in enumerate(self._engines(domain))
        ]

    def _service_entry(self, domain: Domain) -> dict[str, Any]:
        listed_keys = ("slots", "cold_slots")
        plain = self.shape.plain_service
        return {
            "name": f"{domain.name}-s1",
            "address": domain.service_address,
            "failure_domain": domain.name,
            "kind": "service",
            "service": self.shape.service,
            **{key: plain[key] for key in listed_keys if key in plain},
        }

    def _engines(self, domain: Domain) -> list[dict[str, Any]]:
        """Return the engines' settings; every second engine checks fencing tokens."""
        return [
            {
                "name": f"{domain.name}-e{number + 1:02}",
                "address": address,
                "checks_fence": number % 2 == 0,
                **self.shape.engine,
            }
            for number, address in enumerate(domain.engine_addresses)
        ]

    def _upstreams(self, domain: Domain) -> dict[str, Any]:
        service = {
            "name": f"{domain.name}-s1",
            "address": domain.service_address,
            **self.shape.plain_service,
        }
        return {
            "control": domain.control,
            "weights": f"http://{self.weights}",
            "engines": self._engines(domain),
            "services": [service],
        }

    def _daemon(self, daemon: Daemon) -> dict[str, Any]:
        others = [other for other in self.daemons if other.name != daemon.name]
        seeds = [
            {
                "name": other.name,
                "failure_domain": other.failure_domain,
                "peers": other.peers,
                "internal": other.internal,
            }
            for other in others
        ]
        return {
            "name": daemon.name,
            "failure_domain": daemon.failure_domain,
            "listen": {
                "callers": daemon.callers,
                "internal": daemon.internal,
                "peers": daemon.peers,
            },
            "platform": {
                "log": f"http://{self.log}",
                "hosts": f"http://{self.hosts}",
                "weights": f"http://{self.weights}",
            },
            "secret": SECRET,
            "operator_key": OPERATOR_KEY,
            "seeds": seeds,
            "drain_s": self.shape.drain_s,
        }

    def _operators(self) -> dict[str, Any]:
        addresses = [daemon.internal for daemon in self.daemons]
        return {"daemons": addresses, "operator_key": OPERATOR_KEY}

    def _plans(self) -> dict[str, Any]:
        plans = [
            {
                "name": plan.load.name,
                "key_digests": [sha256(plan.load.key.encode()).hexdigest()],
                "weight": plan.weight,
                "concurrent": plan.concurrent,
                "queue": plan.queue,
            }
            for plan in self.shape.plans
        ]
        return {"plans": plans}

    def _grants(self) -> dict[str, Any]:
        replicas = {model.name: model.replicas for model in self.shape.models}
        grants: list[dict[str, Any]] = []
        for plan in self.shape.plans:
            name = plan.load.name
            grants += [
                {"plan": name, "model": model, "replicas": replicas[model]}
                for model in plan.load.models
            ]
            service = self.shape.service
            repeatable = ["GET /stock"]
            grants.append({"plan": name, "service": service, "repeatable": repeatable})
        return {"grants": grants}


def write_deployment(shape: Shape, folder: Path) -> Deployment:
    """Create a deployment and write its settings files.

    :param shape: shape of the deployment
    :param folder: directory of the settings files
    """
    deployment = Deployment(shape, folder)
    deployment.write()
    return deployment
