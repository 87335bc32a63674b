"""Settings of the stand-ins, read from YAML."""

from __future__ import annotations

from pathlib import Path
from typing import TypeVar

import msgspec

from auburnproxy.external import HostEntry, HostKind, ModelSpec, Presence

T = TypeVar("T")


class _Section(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A mapping of the settings; a key that is not known is an error."""


class LogSettings(_Section, frozen=True):
    """The stand-in of the log service."""

    listen: str
    retention: int = 100_000
    """Newest records that are kept."""


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
        """Return the host as the list shows it."""
        fields = msgspec.structs.asdict(self)
        return HostEntry(**fields)


class HostListSettings(_Section, frozen=True):
    """The stand-in of the host list."""

    listen: str
    entries: tuple[HostSettings, ...]
    lag_s: float = 1.0
    """Seconds after which a change shows on the list."""


class ModelSettings(_Section, frozen=True):
    """One model of the catalogue."""

    name: str
    hosts_per_replica: int
    version: str = "1"
    load_cost: int = 1

    def spec(self) -> ModelSpec:
        """Return the model as the catalogue shows it."""
        fields = msgspec.structs.asdict(self)
        return ModelSpec(**fields)


class WeightSettings(_Section, frozen=True):
    """The stand-in of the weight store."""

    listen: str
    models: tuple[ModelSettings, ...]
    loads_per_minute: int = 600


class PlatformSettings(_Section, frozen=True):
    """All services of the platform."""

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
    """Calls that may wait beyond the slots."""
    checks_fence: bool = False
    step_ms: float = 10.0
    step_growth: float = 0.03
    """Part of a step that each further call in the batch adds to it."""
    prefill_steps: int = 4
    """Steps before the first token of a prompt that is not cached."""
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
    """All upstreams that one process stands for."""

    control: str
    """Address that takes faults and shows run counts."""
    weights: str
    """Base URL of the weight store."""
    engines: tuple[EngineSettings, ...] = ()
    services: tuple[ServiceSettings, ...] = ()


def read(path: Path, kind: type[T]) -> T:
    """Return the settings in a YAML file.

    :param path: the file
    :param kind: the settings' type
    :raises msgspec.ValidationError: with the place of the first wrong value
    """
    return msgspec.yaml.decode(path.read_bytes(), type=kind)
