"""What the daemons of a failure domain tell each other of the hosts they poll."""

from __future__ import annotations

import math
from functools import lru_cache
from typing import NamedTuple

import msgspec
from xxhash import xxh32_intdigest, xxh64_intdigest

from ..errors import PeerError
from .engine import EngineReport
from .service import ServiceReport
from .sighting import Report

MS_PER_S = 1000
NAMES_CACHED = 8192
SILENT = 0
"""Stands for a report where a host has not answered."""
CLOSED = 1
"""Stands for a report where a host has just refused or closed the connection."""


class Polled(NamedTuple):
    """The newest poll of one host."""

    host: int
    """Digest of the host's name."""
    age_ms: int
    """Milliseconds from the poll to the sending, rounded up."""
    digest: int
    """Digest of the report without its load, or ``SILENT`` or ``CLOSED``."""
    in_flight: int = 0
    queued: int = 0


class Prefixes(NamedTuple):
    """Prompt prefixes that one engine has cached of late."""

    host: int
    """Digest of the host's name."""
    added: tuple[str, ...]


class Bundle(NamedTuple):
    """All that one frame says of hosts."""

    polled: tuple[Polled, ...] = ()
    engines: tuple[EngineReport, ...] = ()
    """Whole reports, of hosts that are among ``polled``."""
    services: tuple[ServiceReport, ...] = ()
    """Whole reports, of hosts that are among ``polled``."""
    prefixes: tuple[Prefixes, ...] = ()
    wanted: tuple[int, ...] = ()
    """Digests of the names of hosts whose whole report the sender lacks."""


_decoder = msgspec.msgpack.Decoder(Bundle)


def pack(bundle: Bundle) -> bytes:
    """Return a bundle's bytes.

    :param bundle: the bundle
    """
    return msgspec.msgpack.encode(bundle)


def unpack(data: bytes) -> Bundle:
    """Return the bundle of some bytes.

    :param data: bytes that :func:`pack` returned
    :raises PeerError: if they are malformed
    """
    try:
        return _decoder.decode(data)
    except msgspec.MsgspecError as error:
        raise PeerError(f"malformed reports of {len(data)} bytes") from error


@lru_cache(maxsize=NAMES_CACHED)
def host_digest(host: str) -> int:
    """Return the digest that stands for a host's name.

    :param host: the name
    """
    return xxh32_intdigest(host.encode())


def report_digest(report: Report) -> int:
    """Return the digest of all that a report says but its load and its prefixes.

    It is neither ``SILENT`` nor ``CLOSED``.

    :param report: the report
    """
    lasting = with_load(report, 0, 0)
    if isinstance(lasting, EngineReport):
        lasting = lasting._replace(prefixes=(), prefix_gaps=0)
    return max(xxh64_intdigest(msgspec.msgpack.encode(lasting)), CLOSED + 1)


def with_load(report: Report, in_flight: int, queued: int) -> Report:
    """Return a report with another load.

    :param report: the report
    :param in_flight: calls that run
    :param queued: calls that wait, which a plain service does not report
    """
    if isinstance(report, EngineReport):
        return report._replace(in_flight=in_flight, queued=queued)
    return report._replace(in_flight=in_flight)


def age_ms(age_s: float) -> int:
    """Return an age in milliseconds that is not below it.

    :param age_s: the age in seconds
    """
    return math.ceil(max(0.0, age_s) * MS_PER_S)
