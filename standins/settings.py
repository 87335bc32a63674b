"""Settings of the simulated services, read from YAML."""

from __future__ import annotations

from pathlib import Path
from typing import TypeVar

import msgspec

from auburnproxy.external import HostEntry, HostKind, ModelSpec, Presence

T = TypeVar("T")


class _Section(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Section of the settings; an unknown key is an error."""


class LogSettings(_Section, frozen=True):
    """Simulated log service."""

    listen: str
    retention: int = 100_000
    """Number of newest records to keep."""


class HostSettings(_Section, frozen=True):
    """One host on the list."""

    name: str
    address: str
    failure_domain: str
    kind: HostKind
    fabric_domain: str = ""
    presence: Presence = Presence.LIVE
    service: str = ""
    checks_fence: bool = False
    slots: int = 1
    cold_slots: int = 1

    def entry(self) -> HostEntry:
        """Return the host's entry on the host list."""
        fields = msgspec.structs.asdict(self)
        return HostEntry(**fields)


class HostListSettings(_Section, frozen=True):
    """Simulated host list."""

    listen: str
    entries: tuple[HostSettings, ...]
    lag_s: float = 1.0
    """Seconds until a change is published on the list."""


class ModelSettings(_Section, frozen=True):
    """One model of the catalogue."""

    name: str
    hosts_per_replica: int
    version: str = "1"
    load_cost: int = 1

    def spec(self) -> ModelSpec:
        """Return the model's catalogue entry."""
        fields = msgspec.structs.asdict(self)
        return ModelSpec(**fields)


class WeightSettings(_Section, frozen=True):
    """Simulated weight store."""

    listen: str
    models: tuple[ModelSettings, ...]
    loads_per_minute: int = 600


class PlatformSettings(_Section, frozen=True):
    """All simulated services of the platform."""

    log: LogSettings
    hosts: HostListSettings
    weights: WeightSettings


class EngineSettings(_Section, frozen=True):
    """One model engine."""

    name: str
    address: str
    slots: int = 8
    cold_slots: int = 2
    queue: int = 32
    """Maximum number of queued calls, beyond those in slots."""
    checks_fence: bool = False
    step_ms: float = 10.0
    step_growth: float = 0.03
    """Fraction by which each additional call in the batch lengthens a step."""
    prefill_steps: int = 4
    """Prefill steps before the first token of an uncached prompt."""
    report_every_s: float = 0.25
    load_s: float = 0.5
    restart_s: float = 0.5
    warm_calls: int = 4
    warm_s: float = 5.0
    cached_prefixes: int = 256


class ServiceSettings(_Section, frozen=True):
    """One plain service with stock and orders."""

    name: str
    address: str
    slots: int = 16
    cold_slots: int = 4
    answer_ms: float = 5.0
    report_every_s: float = 0.25
    restart_s: float = 0.5
    warm_calls: int = 8
    warm_s: float = 5.0


class UpstreamSettings(_Section, frozen=True):
    """All upstreams that one process simulates."""

    control: str
    """Address of the control listener for faults and run counts."""
    weights: str
    """Base URL of the weight store."""
    engines: tuple[EngineSettings, ...] = ()
    services: tuple[ServiceSettings, ...] = ()


def read(path: Path, kind: type[T]) -> T:
    """Read settings from a YAML file.

    :param path: the file
    :param kind: type of the settings
    :raises msgspec.ValidationError: at the first invalid value, with its path
    """
    return msgspec.yaml.decode(path.read_bytes(), type=kind)
