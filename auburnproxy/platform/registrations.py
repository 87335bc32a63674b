"""Decoding of the upstreams' registrations, one record per host id, and reports."""

from __future__ import annotations

import re
from typing import Any

import msgspec

from ..errors import PlatformError
from ..gateway.host import Host, ReplicaPart, ReplicaPartState

MS_PER_S = 1000
HEARTBEAT_SEQUENCE = re.compile(rb'"sequence" *: *\d+')
"""Sequence number of the heartbeat; it changes although nothing else does."""


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
    """An engine's response to ``/report``; it omits the address and the domains."""

    models: list[_Model] = []
    staged: list[str] = []
    group: _Group | None = None
    busy: bool = False
    born: int = 0


def read_registration(key: str, value: bytes, *, now: float) -> Host:
    """Decode the registration of a host.

    :param key: the record's key, the host's id
    :param value: the record's value
    :param now: event loop time in seconds
    :raises PlatformError: if the record cannot be decoded or names an unknown state
    """
    server = _decode(value, _Server)
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
        part=_to_replica_part(server.group),
        seen_at=now,
    )


def read_report(host: Host, body: bytes, *, now: float) -> Host:
    """Return a host updated with its engine's report.

    :param host: the host as registered
    :param body: the report
    :param now: event loop time in seconds
    :raises PlatformError: if the report cannot be decoded
    """
    report = _decode(body, _Report)
    return host._replace(
        models=tuple(model.name for model in report.models),
        staged=tuple(report.staged),
        busy=report.busy,
        part=_to_replica_part(report.group),
        born=report.born or host.born,
        seen_at=now,
    )


def _to_replica_part(group: _Group | None) -> ReplicaPart | None:
    if group is None or not group.name:
        return None
    try:
        state = ReplicaPartState(group.state)
    except ValueError as error:
        raise PlatformError(f"unknown state {group.state!r} of a group") from error
    return ReplicaPart(group.name, group.epoch, group.rank, state)


def _decode(value: bytes, struct_type: type[Any]) -> Any:
    try:
        return msgspec.json.decode(value, type=struct_type)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise PlatformError(f"cannot decode the record: {error}") from error
