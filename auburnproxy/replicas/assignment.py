"""The part that each host of a replica is to play."""

from __future__ import annotations

from ..upstreams import Watcher
from ..upstreams.engine import Assignment
from .replica import Replica


def custody_key(failure_domain: str, fabric_domain: str) -> str:
    """Return the key whose holder plans and orders the hosts of a fabric domain."""
    return f"fabric/{failure_domain}/{fabric_domain}"


def assignments(replica: Replica, watcher: Watcher) -> dict[str, Assignment]:
    """Return the part of each host of a replica.

    :return: nothing as long as the address of one of the hosts is unknown
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


def played(replica: Replica, watcher: Watcher) -> bool:
    """Return whether every host freshly reports its part in a replica."""
    parts = assignments(replica, watcher)
    reports = ((watcher.report(host), part) for host, part in parts.items())
    return bool(parts) and all(r and r.assignment == part for r, part in reports)


def observed(replica: Replica, watcher: Watcher) -> Replica | None:
    """Return a replica with the hosts that report to play it together, if any do.

    They differ from the recorded ones where a host was replaced while the log
    was away.
    """
    hosts_by_address = {
        entry.address: host for host, entry in watcher.entries_by_host.items()
    }
    for addresses in _wirings(replica, watcher):
        hosts = tuple(hosts_by_address.get(address, "") for address in addresses)
        found = replica._replace(hosts=hosts)
        if played(found, watcher):
            return found
    return None


def _wirings(replica: Replica, watcher: Watcher) -> set[tuple[str, ...]]:
    """Return the addresses that hosts report for a replica of this generation."""
    reports = map(watcher.report, watcher.engines_by_host)
    parts = [r.assignment for r in reports if r is not None and r.assignment]
    name = (replica.name, replica.generation)
    return {part.addresses for part in parts if (part.replica, part.generation) == name}
