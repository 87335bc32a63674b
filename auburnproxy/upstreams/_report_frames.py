"""Encoding of poll results that the daemons of a failure domain share."""

from __future__ import annotations

import math
from functools import lru_cache
from typing import NamedTuple

import msgspec
from xxhash import xxh32_intdigest, xxh64_intdigest

from ..decoding import MsgpackDecoder
from ..errors import PeerError, UnreadableError
from .engine import EngineReport
from .polls import Report
from .service import ServiceReport

MS_PER_S = 1000
MAX_CACHED_NAMES = 8192
NO_ANSWER = 0
"""Digest that stands for a host that did not answer."""
CLOSED = 1
"""Digest that stands for a host that has just refused or closed the connection."""


class SharedPoll(NamedTuple):
    """The newest poll of one host, as shared with peers."""

    host: int
    """Digest of the host's name."""
    age_ms: int
    """Milliseconds between the poll and the sending of this update, rounded up."""
    digest: int
    """Digest of the report without its load, ``NO_ANSWER`` or ``CLOSED``."""
    in_flight: int = 0
    queued: int = 0


class PrefixUpdate(NamedTuple):
    """Prompt prefixes that one engine has cached recently."""

    host: int
    """Digest of the host's name."""
    added: tuple[str, ...]


class ReportUpdate(NamedTuple):
    """Payload of one frame of shared reports."""

    polled: tuple[SharedPoll, ...] = ()
    engines: tuple[EngineReport, ...] = ()
    """Full reports of hosts that are among ``polled``."""
    services: tuple[ServiceReport, ...] = ()
    """Full reports of hosts that are among ``polled``."""
    prefixes: tuple[PrefixUpdate, ...] = ()
    requested: tuple[int, ...] = ()
    """Name digests of hosts whose full report the sender requests."""


_decoder = MsgpackDecoder(ReportUpdate)


def encode_update(update: ReportUpdate) -> bytes:
    """Return the encoded form of an update.

    :param update: the update
    """
    return msgspec.msgpack.encode(update)


def decode_update(data: bytes) -> ReportUpdate:
    """Return the update encoded in a frame.

    :param data: bytes that :func:`encode_update` returned
    :raises PeerError: if they are malformed
    """
    try:
        return _decoder.decode(data)
    except UnreadableError as error:
        raise PeerError(f"malformed report frame of {len(data)} bytes") from error


@lru_cache(maxsize=MAX_CACHED_NAMES)
def host_digest(host: str) -> int:
    """Return the digest that stands for a host's name.

    :param host: the name
    """
    return xxh32_intdigest(host.encode())


def report_digest(report: Report) -> int:
    """Return the digest of a report without its load and its prefixes.

    It is never ``NO_ANSWER`` or ``CLOSED``.

    :param report: the report
    """
    without_load = with_load(report, 0, 0)
    if isinstance(without_load, EngineReport):
        without_load = without_load._replace(prefixes=(), prefix_gaps=0)
    return max(xxh64_intdigest(msgspec.msgpack.encode(without_load)), CLOSED + 1)


def with_load(report: Report, in_flight: int, queued: int) -> Report:
    """Return a report with its load replaced.

    :param report: the report
    :param in_flight: number of running calls
    :param queued: number of waiting calls; ignored for a plain service, which does
        not report it
    """
    if isinstance(report, EngineReport):
        return report._replace(in_flight=in_flight, queued=queued)
    return report._replace(in_flight=in_flight)


def age_in_ms(age_s: float) -> int:
    """Return an age in milliseconds, rounded up.

    :param age_s: the age in seconds
    """
    return math.ceil(max(0.0, age_s) * MS_PER_S)
