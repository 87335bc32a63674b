"""Cached prompt prefixes of hosts that still have to be sent to peers."""

from __future__ import annotations

from collections.abc import Iterable
from itertools import islice

from ._report_frames import PrefixUpdate, host_digest
from .engine import EngineReport

MAX_PREFIXES = 128
"""Maximum number of prefixes kept for a host that a peer polls."""


class PrefixSelector:
    """Selects new prefixes to send, a few at a time, in round-robin order of hosts."""

    def __init__(self) -> None:
        self._sent_by_host: dict[str, set[str]] = {}

    def mark_sent(self, report: EngineReport) -> None:
        """Record that the prefixes of a full report were sent to peers.

        :param report: the report as it was sent
        """
        self._sent_by_host[report.host] = set(report.prefixes)

    def next_updates(
        self, reports: Iterable[EngineReport], *, max_count: int
    ) -> tuple[PrefixUpdate, ...]:
        """Return the next prefixes to send, and record them as sent.

        :param reports: the newest reports of the hosts polled here
        :param max_count: maximum number of prefixes over all hosts
        """
        updates = []
        report_by_host = {report.host: report for report in reports}
        for host in self._round_robin(report_by_host):
            report = report_by_host[host]
            sent = self._sent_by_host.pop(host, set()) & set(report.prefixes)
            added = tuple(
                islice((p for p in report.prefixes if p not in sent), max_count)
            )
            self._sent_by_host[host] = sent | set(added)
            max_count -= len(added)
            if added:
                updates.append(PrefixUpdate(host_digest(host), added))
        return tuple(updates)

    def _round_robin(self, hosts: Iterable[str]) -> list[str]:
        """Return the hosts, those with the least recent update first."""
        known = set(hosts)
        self._sent_by_host = {h: t for h, t in self._sent_by_host.items() if h in known}
        return [*sorted(known - self._sent_by_host.keys()), *self._sent_by_host]


def truncate_prefixes(report: EngineReport) -> EngineReport:
    """Return a report with at most ``MAX_PREFIXES`` prefixes.

    :param report: the report
    """
    return report._replace(prefixes=report.prefixes[:MAX_PREFIXES])


def with_new_prefixes(report: EngineReport, added: tuple[str, ...]) -> EngineReport:
    """Return a report extended by prefixes that its host has cached since.

    :param report: the report
    :param added: the prefixes, most recently used first
    """
    new = frozenset(added)
    kept = tuple(prefix for prefix in report.prefixes if prefix not in new)
    return report._replace(prefixes=(added + kept)[:MAX_PREFIXES])
