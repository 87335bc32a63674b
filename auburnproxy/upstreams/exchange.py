"""Reports that the daemons of a failure domain pass on to each other."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import NamedTuple

import msgspec
from loguru import logger
from xxhash import xxh32_intdigest

from .engine import EngineReport
from .service import ServiceReport
from .watcher import Report, Watcher

INTERVAL_S = 0.5
"""Seconds between two bundles."""
WHOLE_INTERVAL_S = 10.0
"""Seconds after which a report is sent whole though only its load has changed."""
TRANSIT_S = 0.02
"""Seconds by which the quickest bundle may be older than it seems."""
DRIFT_S = 0.0001
"""Seconds that two daemons' clocks may drift apart between two bundles."""

log = logger.bind(part="upstreams")


class Line(NamedTuple):
    """One report, whole or as the load alone."""

    host: str
    age_s: float
    digest: int
    """Of the report without its load and cached prefixes."""
    in_flight: int
    queued: int
    engine: EngineReport | None = None
    service: ServiceReport | None = None


class Bundle(NamedTuple):
    """The reports of the hosts that one daemon polls."""

    sender: str
    sent_at: float
    """The sender's clock in seconds."""
    lines: list[Line]


_decoder = msgspec.msgpack.Decoder(Bundle)


class Exchange:
    """Tells peers of the reports polled here, and takes theirs.

    :param watcher: polls this daemon's part of the hosts
    :param me: id of this daemon
    :param tell: sends bytes to every daemon of the own failure domain
    """

    def __init__(
        self, watcher: Watcher, me: str, tell: Callable[[bytes], None]
    ) -> None:
        self._watcher = watcher
        self._me = me
        self._tell = tell
        self._told_by_host: dict[str, tuple[int, float]] = {}
        self._whole_by_host: dict[str, tuple[int, Report]] = {}
        self._least_offset_by_sender: dict[str, float] = {}

    async def run(self) -> None:
        """Tell of the reports until cancelled."""
        while True:
            await asyncio.sleep(INTERVAL_S)
            self._tell(self.pack())

    def pack(self) -> bytes:
        """Return the reports polled here as one bundle."""
        now = asyncio.get_running_loop().time()
        reports = self._watcher.own_reports()
        lines = [self._line(report, age_s, now) for report, age_s in reports.values()]
        return msgspec.msgpack.encode(Bundle(self._me, now, lines))

    def take(self, data: bytes) -> None:
        """Take a peer's bundle; one that is malformed is dropped.

        :param data: what the peer packed
        """
        try:
            bundle = _decoder.decode(data)
        except msgspec.DecodeError as error:
            log.warning("Reports of a peer dropped: {}.", error)
            return
        delay_s = self._delay_s(bundle)
        for line in bundle.lines:
            report = self._report(line)
            if report is not None:
                self._watcher.adopt(report, age_s=line.age_s + delay_s)

    def _line(self, report: Report, age_s: float, now: float) -> Line:
        digest = _digest(report)
        queued = report.queued if isinstance(report, EngineReport) else 0
        line = Line(report.host, age_s, digest, report.in_flight, queued)
        told, told_at = self._told_by_host.get(report.host, (None, 0.0))
        if told == digest and now - told_at < WHOLE_INTERVAL_S:
            return line
        self._told_by_host[report.host] = digest, now
        if isinstance(report, EngineReport):
            return line._replace(engine=_without_idle_prefixes(report))
        return line._replace(service=report)

    def _report(self, line: Line) -> Report | None:
        """Return the report that a line stands for, None if it is not known whole."""
        whole = line.engine or line.service
        if whole is not None:
            self._whole_by_host[line.host] = line.digest, whole
            return whole
        digest, known = self._whole_by_host.get(line.host, (None, None))
        if known is None or digest != line.digest:
            return None
        if isinstance(known, EngineReport):
            return known._replace(in_flight=line.in_flight, queued=line.queued)
        return known._replace(in_flight=line.in_flight)

    def _delay_s(self, bundle: Bundle) -> float:
        """Return how much longer a bundle was under way than the quickest one.

        What waited in a buffer while this daemon was paused is so not taken for new.
        """
        offset = asyncio.get_running_loop().time() - bundle.sent_at
        least = self._least_offset_by_sender.get(bundle.sender, offset) + DRIFT_S
        self._least_offset_by_sender[bundle.sender] = min(least, offset)
        return TRANSIT_S + max(0.0, offset - least)


def _digest(report: Report) -> int:
    if isinstance(report, EngineReport):
        bare: Report = report._replace(in_flight=0, queued=0, prefixes=())
    else:
        bare = report._replace(in_flight=0)
    return xxh32_intdigest(msgspec.msgpack.encode(bare))


def _without_idle_prefixes(report: EngineReport) -> EngineReport:
    """Drop the prefixes of an engine that takes no calls."""
    part = report.assignment
    heads = part is not None and part.rank == 0
    return report if heads else report._replace(prefixes=())
