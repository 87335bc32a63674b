"""Status and measurements of the whole system, collected from daemons on demand."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Any, TypeVar, cast

from aiohttp import ClientError, ClientSession, ClientTimeout
from loguru import logger

from ..bounded_body import read_body
from ..checked_connections import CheckedConnector
from ..decoding import decode_json
from ..errors import UnreadableError
from ..membership import Member
from ..telemetry.telemetry import merge
from .bodies import (
    DomainReport,
    DomainStatus,
    DomainTransitionReport,
    JournalStatus,
    ReportBody,
    StatusBody,
)

STATUS_PATH = "/operator/local/status"
REPORT_PATH = "/operator/local/report"
REQUEST_TIMEOUT = ClientTimeout(total=2.0, sock_connect=0.5)
MAX_RESPONSE_BYTES = 33_554_432
"""Maximum size of a response; a report holds all histograms of its daemon."""
MAX_CONCURRENT_REQUESTS = 16
"""Maximum number of daemons queried concurrently."""

log = logger.bind(part="operators")
T = TypeVar("T")


class LocalView(ABC):
    """Status and measurements of one daemon."""

    @abstractmethod
    def journal_status(self) -> JournalStatus:
        """Return the status of the journal."""

    @abstractmethod
    def domain_status(self) -> DomainStatus:
        """Return the status of this daemon's failure domain."""

    @abstractmethod
    def report(self) -> ReportBody:
        """Return the measurements of this daemon."""


class Overview:
    """Queries daemons of every failure domain and combines their responses.

    :param daemon: id of this daemon
    :param local: status and measurements of this daemon
    :param members: returns the other daemons by failure domain
    :param version: returns the configuration version in force in this daemon
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
        """Return the status of every failure domain as reported by its daemons."""
        local = self._local.domain_status()
        async with self._open_session() as session:
            other_domains = await asyncio.gather(
                *(
                    self._domain_status(session, domain, members)
                    for domain, members in sorted(self._members().items())
                    if domain != local["failure_domain"]
                )
            )
        domains = sorted(
            [local, *other_domains],
            key=lambda each_status: each_status["failure_domain"],
        )
        return StatusBody(
            daemon=self._daemon,
            version=self._version(),
            journal=self._local.journal_status(),
            failure_domains=domains,
        )

    async def report(self) -> ReportBody:
        """Return the combined measurements of all daemons that answer."""
        members = [m for group in self._members().values() for m in group]
        semaphore = asyncio.Semaphore(MAX_CONCURRENT_REQUESTS)

        async def fetch_report(
            session: ClientSession, member: Member
        ) -> ReportBody | None:
            async with semaphore:
                return await self._fetch(session, member, REPORT_PATH, ReportBody)

        async with self._open_session() as session:
            responses = await asyncio.gather(
                *(fetch_report(session, m) for m in members)
            )
        local = self._local.report()
        reports = [local, *(report for report in responses if report is not None)]
        return ReportBody(
            daemon=self._daemon,
            seconds=local["seconds"],
            failure_domains=_longest_observed(reports),
            moves=_combine_transitions(reports),
            telemetry=merge(report["telemetry"] for report in reports),
        )

    def _open_session(self) -> ClientSession:
        return ClientSession(
            connector=CheckedConnector(),
            headers=self._headers,
            timeout=REQUEST_TIMEOUT,
        )

    async def _domain_status(
        self, session: ClientSession, domain: str, members: Sequence[Member]
    ) -> DomainStatus:
        for member in members:
            status = await self._fetch(session, member, STATUS_PATH, DomainStatus)
            if status is not None:
                return status
        return unreachable_domain(domain)

    async def _fetch(
        self, session: ClientSession, member: Member, path: str, body_type: type[T]
    ) -> T | None:
        url = f"http://{member.internal_address}{path}"
        try:
            async with session.get(url) as response:
                response.raise_for_status()
                body = await read_body(response, max_bytes=MAX_RESPONSE_BYTES)
                return cast(T, decode_json(body, body_type))
        except (ClientError, OSError, TimeoutError, UnreadableError) as error:
            log.info("Failed to query {} for an operator: {!r}.", member.id, error)
            return None


def unreachable_domain(failure_domain: str) -> DomainStatus:
    """Return the status of a failure domain none of whose daemons answered.

    :param failure_domain: name of the failure domain
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


def _longest_observed(reports: Iterable[ReportBody]) -> list[DomainReport]:
    """Return each failure domain's report by the daemon that observed it longest."""
    by_domain: dict[str, DomainReport] = {}
    for report in reports:
        for domain in report["failure_domains"]:
            name = domain["failure_domain"]
            known = by_domain.get(name)
            if known is None or known["live_host_s"] < domain["live_host_s"]:
                by_domain[name] = domain
    return [by_domain[name] for name in sorted(by_domain)]


def _combine_transitions(reports: Iterable[ReportBody]) -> list[DomainTransitionReport]:
    by_version: dict[Any, DomainTransitionReport] = {}
    for report in reports:
        for transition in report["moves"]:
            key = (transition["version"], transition["failure_domain"])
            known = by_version.get(key)
            by_version[key] = (
                _combine_transition(known, transition) if known else transition
            )
    return [by_version[key] for key in sorted(by_version)]


def _combine_transition(
    one: DomainTransitionReport, other: DomainTransitionReport
) -> DomainTransitionReport:
    return DomainTransitionReport(
        version=one["version"],
        failure_domain=one["failure_domain"],
        out=one["out"],
        seconds=max(one["seconds"], other["seconds"]),
        answered=one["answered"] + other["answered"],
        refused=one["refused"] + other["refused"],
        unknown=one["unknown"] + other["unknown"],
    )
