"""The whole system as operators see it, gathered from the daemons on demand."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Any, TypeVar

import msgspec
from aiohttp import ClientError, ClientSession, ClientTimeout
from loguru import logger

from ..bounded_body import read_body
from ..membership import Member
from ..telemetry.telemetry import merge
from .bodies import (
    DomainReport,
    DomainStatus,
    JournalStatus,
    MoveReport,
    ReportBody,
    StatusBody,
)

STATUS_PATH = "/operator/local/status"
REPORT_PATH = "/operator/local/report"
ASK_TIMEOUT = ClientTimeout(total=2.0, sock_connect=0.5)
STATUS_BYTES = 33_554_432
"""Longest report that is read; one holds every histogram of its daemon."""
AT_ONCE = 16
"""Daemons that are asked at the same time."""

log = logger.bind(part="operators")
T = TypeVar("T")


class LocalView(ABC):
    """What one daemon knows by itself."""

    @abstractmethod
    def journal_status(self) -> JournalStatus:
        """Return the state of the journal."""

    @abstractmethod
    def domain_status(self) -> DomainStatus:
        """Return the state of the own failure domain."""

    @abstractmethod
    def report(self) -> ReportBody:
        """Return what this daemon has measured."""


class Overview:
    """Asks daemons of every failure domain.

    :param daemon: id of this daemon
    :param local: what this daemon knows by itself
    :param members: returns the other daemons by failure domain
    :param version: returns the configuration version in force here
    :param key: the operator key
    """

    def __init__(
        self,
        daemon: str,
        local: LocalView,
        *,
        members: Callable[[], Mapping[str, Sequence[Member]]],
        version: Callable[[], int],
        key: str,
    ) -> None:
        self._daemon = daemon
        self._local = local
        self._members = members
        self._version = version
        self._headers = {"Authorization": f"Bearer {key}"}

    async def status(self) -> StatusBody:
        """Return the state of every failure domain, as its own daemons see it."""
        own = self._local.domain_status()
        async with self._open() as session:
            others = await asyncio.gather(
                *(
                    self._domain_status(session, domain, members)
                    for domain, members in sorted(self._members().items())
                    if domain != own["failure_domain"]
                )
            )
        domains = sorted([own, *others], key=lambda each: each["failure_domain"])
        return StatusBody(
            daemon=self._daemon,
            version=self._version(),
            journal=self._local.journal_status(),
            failure_domains=domains,
        )

    async def report(self) -> ReportBody:
        """Return what all daemons that answer have measured, as one."""
        members = [m for group in self._members().values() for m in group]
        limit = asyncio.Semaphore(AT_ONCE)

        async def ask(session: ClientSession, member: Member) -> ReportBody | None:
            async with limit:
                return await self._ask(session, member, REPORT_PATH, ReportBody)

        async with self._open() as session:
            asked = await asyncio.gather(*(ask(session, m) for m in members))
        own = self._local.report()
        reports = [own, *(report for report in asked if report is not None)]
        return ReportBody(
            daemon=self._daemon,
            seconds=own["seconds"],
            failure_domains=_longest_watched(reports),
            moves=_added_moves(reports),
            telemetry=merge(report["telemetry"] for report in reports),
        )

    def _open(self) -> ClientSession:
        return ClientSession(headers=self._headers, timeout=ASK_TIMEOUT)

    async def _domain_status(
        self, session: ClientSession, domain: str, members: Sequence[Member]
    ) -> DomainStatus:
        for member in members:
            status = await self._ask(session, member, STATUS_PATH, DomainStatus)
            if status is not None:
                return status
        return silent_domain(domain)

    async def _ask(
        self, session: ClientSession, member: Member, path: str, kind: type[T]
    ) -> T | None:
        url = f"http://{member.internal_address}{path}"
        try:
            async with session.get(url) as response:
                response.raise_for_status()
                body = await read_body(response, max_bytes=STATUS_BYTES)
                return msgspec.json.decode(body, type=kind)
        except (ClientError, OSError, TimeoutError, msgspec.MsgspecError) as error:
            log.info("{} did not answer an operator's call: {!r}.", member.id, error)
            return None


def silent_domain(failure_domain: str) -> DomainStatus:
    """Return the status of a failure domain of which no daemon answered.

    :param failure_domain: its name
    """
    return DomainStatus(
        failure_domain=failure_domain,
        answered=False,
        out=False,
        in_force=0,
        daemons=[],
        replicas=[],
        stranded_hosts=[],
        out_hosts=[],
    )


def _longest_watched(reports: Iterable[ReportBody]) -> list[DomainReport]:
    """Return for each failure domain what its longest-running daemon has seen."""
    by_domain: dict[str, DomainReport] = {}
    for report in reports:
        for domain in report["failure_domains"]:
            name = domain["failure_domain"]
            known = by_domain.get(name)
            if known is None or known["live_host_s"] < domain["live_host_s"]:
                by_domain[name] = domain
    return [by_domain[name] for name in sorted(by_domain)]


def _added_moves(reports: Iterable[ReportBody]) -> list[MoveReport]:
    by_version: dict[Any, MoveReport] = {}
    for report in reports:
        for move in report["moves"]:
            key = (move["version"], move["failure_domain"])
            known = by_version.get(key)
            by_version[key] = _added(known, move) if known else move
    return [by_version[key] for key in sorted(by_version)]


def _added(one: MoveReport, other: MoveReport) -> MoveReport:
    return MoveReport(
        version=one["version"],
        failure_domain=one["failure_domain"],
        out=one["out"],
        seconds=max(one["seconds"], other["seconds"]),
        answered=one["answered"] + other["answered"],
        refused=one["refused"] + other["refused"],
        unknown=one["unknown"] + other["unknown"],
    )
