"""The registrations of upstreams, one record for each id."""

from __future__ import annotations

import re
from typing import Any

import msgspec

from ..errors import PlatformError
from ..gateway.host import Host, ReplicaPart, ReplicaPartState

MS_PER_S = 1000
COUNTER = re.compile(rb'"sequence" *: *\d+')
"""Number of the heartbeat; it grows with each one and tells nothing else."""


class _Model(msgspec.Struct):
    name: str
    version: int = 0


class _Group(msgspec.Struct):
    name: str
    epoch: int
    rank: int
    state: str


class _Server(msgspec.Struct, rename="kebab"):
    service: str
    address: str
    zone: str
    slots: int
    state: str
    born: int
    cold_remaining_ms: float = 0.0
    models: list[_Model] = []
    domain: str | int = ""
    """Fabric domain."""
    staged: list[str] = []
    group: _Group | None = None
    busy: bool = False


class _Report(msgspec.Struct, rename="kebab"):
    """What an engine says of itself when asked; its place is not repeated."""

    models: list[_Model] = []
    staged: list[str] = []
    group: _Group | None = None
    busy: bool = False
    born: int = 0


def read_registration(key: str, value: bytes, *, now: float) -> Host:
    """Return a host as it registered.

    :param key: the record's key, the host's id
    :param value: the record's value
    :param now: the loop's time in seconds
    :raises PlatformError: if the record cannot be read or names unknown states
    """
    server = _decoded(value, _Server)
    if server.state not in ("ready", "draining"):
        raise PlatformError(f"{key} has the unknown state {server.state!r}")
    return Host(
        id=key,
        service=server.service,
        address=server.address,
        failure_domain=server.zone,
        slots=server.slots,
        leaving=server.state == "draining",
        cold_s=server.cold_remaining_ms / MS_PER_S,
        born=server.born,
        fabric_domain=str(server.domain),
        models=tuple(model.name for model in server.models),
        staged=tuple(server.staged),
        busy=server.busy,
        part=_part(server.group),
        seen_at=now,
    )


def read_report(host: Host, body: bytes, *, now: float) -> Host:
    """Return a host with what its engine has just reported.

    :param host: the host as it is registered
    :param body: the report
    :param now: the loop's time in seconds
    :raises PlatformError: if the report cannot be read
    """
    report = _decoded(body, _Report)
    return host._replace(
        models=tuple(model.name for model in report.models),
        staged=tuple(report.staged),
        busy=report.busy,
        part=_part(report.group),
        born=report.born or host.born,
        seen_at=now,
    )


def _part(group: _Group | None) -> ReplicaPart | None:
    if group is None or not group.name:
        return None
    try:
        state = ReplicaPartState(group.state)
    except ValueError as error:
        raise PlatformError(f"unknown state {group.state!r} of a group") from error
    return ReplicaPart(group.name, group.epoch, group.rank, state)


def _decoded(value: bytes, kind: type[Any]) -> Any:
    try:
        return msgspec.json.decode(value, type=kind)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise PlatformError(f"unreadable record: {error}") from error
