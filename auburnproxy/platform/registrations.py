"""Decoding of the upstreams' registrations, one record per host id, and reports."""

from __future__ import annotations

import re
from typing import Annotated

import msgspec
from msgspec import Meta

from ..addresses import parse_address
from ..decoding import JsonDecoder, shorten
from ..errors import UnreadableError
from ..gateway.host import Host, ReplicaPart, ReplicaPartState

MS_PER_S = 1000
MAX_SLOTS = 1_000_000
"""A registration with more names no engine that could exist."""
MAX_TIME_MS = 1 << 53
"""Largest time that every JSON reader keeps exactly."""
MAX_COLD_MS = 86_400_000.0
"""One day; engines warm up within minutes."""
HEARTBEAT_SEQUENCE = re.compile(rb'"sequence" *: *\d+')
"""Sequence number of the heartbeat; it changes although nothing else does."""


class _Model(msgspec.Struct):
    name: str
    version: int = 0


class _Group(msgspec.Struct):
    name: str
    epoch: Annotated[int, Meta(ge=0)]
    rank: Annotated[int, Meta(ge=0)]
    state: str


class _Server(msgspec.Struct, rename="kebab"):
    service: str
    address: str
    zone: str
    slots: Annotated[int, Meta(ge=0, le=MAX_SLOTS)]
    state: str
    born: Annotated[int, Meta(ge=0, le=MAX_TIME_MS)]
    cold_remaining_ms: Annotated[float, Meta(ge=0, le=MAX_COLD_MS)] = 0.0
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
    born: Annotated[int, Meta(ge=0, le=MAX_TIME_MS)] = 0


_server_decoder = JsonDecoder(_Server)
_report_decoder = JsonDecoder(_Report)


def read_registration(key: str, value: bytes, *, now: float) -> Host:
    """Decode the registration of a host.

    :param key: the record's key, the host's id
    :param value: the record's value
    :param now: event loop time in seconds
    :raises UnreadableError: if the record cannot be decoded or names an unknown state
    """
    server = _server_decoder.decode(value)
    parse_address(server.address)
    if server.state not in ("ready", "draining"):
        raise UnreadableError(shorten(f"unknown state {server.state!r}"))
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
    :raises UnreadableError: if the report cannot be decoded
    """
    report = _report_decoder.decode(body)
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
        reason = f"unknown state {group.state!r} of a group"
        raise UnreadableError(shorten(reason)) from error
    return ReplicaPart(group.name, group.epoch, group.rank, state)
