"""Which cached prompt prefixes of a host the peers are still to be told of."""

from __future__ import annotations

from collections.abc import Iterable
from itertools import islice

from ._shared import Prefixes, host_digest
from .engine import EngineReport

MOST_PREFIXES = 128
"""Prefixes that are kept of one host whose reports come from a peer."""


class PrefixNews:
    """Tells of new prefixes a few at a time, the hosts in turn."""

    def __init__(self) -> None:
        self._told_by_host: dict[str, set[str]] = {}

    def told(self, report: EngineReport) -> None:
        """Note that peers know the prefixes of a whole report.

        :param report: the report as it was sent
        """
        self._told_by_host[report.host] = set(report.prefixes)

    def choose(
        self, reports: Iterable[EngineReport], *, most: int
    ) -> tuple[Prefixes, ...]:
        """Return what to tell of next; it counts as told from now on.

        :param reports: the newest reports of the hosts polled here
        :param most: most prefixes in all
        """
        news = []
        report_by_host = {report.host: report for report in reports}
        for host in self._turns(report_by_host):
            report = report_by_host[host]
            told = self._told_by_host.pop(host, set()) & set(report.prefixes)
            added = tuple(islice((p for p in report.prefixes if p not in told), most))
            self._told_by_host[host] = told | set(added)
            most -= len(added)
            if added:
                news.append(Prefixes(host_digest(host), added))
        return tuple(news)

    def _turns(self, hosts: Iterable[str]) -> list[str]:
        """Return the hosts, those that were told of least recently first."""
        known = set(hosts)
        self._told_by_host = {h: t for h, t in self._told_by_host.items() if h in known}
        return [*sorted(known - self._told_by_host.keys()), *self._told_by_host]


def shortened(report: EngineReport) -> EngineReport:
    """Return a report with no more prefixes than are sent of one host.

    :param report: the report
    """
    return report._replace(prefixes=report.prefixes[:MOST_PREFIXES])


def merged(report: EngineReport, added: tuple[str, ...]) -> EngineReport:
    """Return a report with prefixes that its host has cached since.

    :param report: the report
    :param added: the prefixes, most recently used first
    """
    news = frozenset(added)
    kept = tuple(prefix for prefix in report.prefixes if prefix not in news)
    return report._replace(prefixes=(added + kept)[:MOST_PREFIXES])
