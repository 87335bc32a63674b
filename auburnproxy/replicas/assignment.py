"""Desired and reported assignments of the hosts of a replica."""

from __future__ import annotations

from ..upstreams import Watcher
from ..upstreams.engine import Assignment
from .replica import Replica


def ownership_key(failure_domain: str, fabric_domain: str) -> str:
    """Return the key whose owner plans a fabric domain and orders its hosts."""
    return f"fabric/{failure_domain}/{fabric_domain}"


def assignments(replica: Replica, watcher: Watcher) -> dict[str, Assignment]:
    """Return the assignment of each host of a replica.

    :return: by host; empty as long as the address of one of the hosts is unknown
    """
    entries = [watcher.entries_by_host.get(name) for name in replica.hosts]
    addresses = tuple(entry.address for entry in entries if entry is not None)
    if len(addresses) < len(replica.hosts):
        return {}
    name, generation, model = replica.name, replica.generation, replica.model
    return {
        host: Assignment(name, generation, model, rank, addresses)
        for rank, host in enumerate(replica.hosts)
    }


def is_reported(replica: Replica, watcher: Watcher) -> bool:
    """Return whether fresh reports of all hosts show their assignment in a replica."""
    assigned = assignments(replica, watcher)
    reports = (
        (watcher.report(host), assignment) for host, assignment in assigned.items()
    )
    return bool(assigned) and all(
        r and r.assignment == assignment for r, assignment in reports
    )


def find_reported(replica: Replica, watcher: Watcher) -> Replica | None:
    """Return the replica with the hosts that report it consistently, or None.

    They differ from the recorded hosts if one was replaced while the log was
    unavailable.
    """
    hosts_by_address = {
        entry.address: host for host, entry in watcher.entries_by_host.items()
    }
    for addresses in _reported_address_lists(replica, watcher):
        hosts = tuple(hosts_by_address.get(address, "") for address in addresses)
        found = replica._replace(hosts=hosts)
        if is_reported(found, watcher):
            return found
    return None


def _reported_address_lists(replica: Replica, watcher: Watcher) -> set[tuple[str, ...]]:
    """Return the address lists that hosts report for this replica and generation."""
    reports = map(watcher.report, watcher.engines_by_host)
    assigned = [r.assignment for r in reports if r is not None and r.assignment]
    name = (replica.name, replica.generation)
    return {
        assignment.addresses
        for assignment in assigned
        if (assignment.replica, assignment.generation) == name
    }
