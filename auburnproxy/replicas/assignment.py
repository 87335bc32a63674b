"""The part that each host of a replica is to play."""

from __future__ import annotations

from ..upstreams import Watcher
from ..upstreams.engine import Assignment
from .replica import Replica
from .replicas import Replicas


def custody_key(failure_domain: str, fabric_domain: str) -> str:
    """Return the key whose holder plans and orders the hosts of a fabric domain."""
    return f"fabric/{failure_domain}/{fabric_domain}"


def assignment(replica: Replica, host: str, watcher: Watcher) -> Assignment | None:
    """Return the part of a host in its replica.

    :return: None as long as the address of one of the hosts is unknown
    """
    entries = [watcher.entries_by_host.get(name) for name in replica.hosts]
    addresses = tuple(entry.address for entry in entries if entry is not None)
    if len(addresses) < len(replica.hosts):
        return None
    return Assignment(
        replica=replica.name,
        generation=replica.generation,
        model=replica.model,
        rank=replica.hosts.index(host),
        addresses=addresses,
    )


def plays(part: Assignment | None, replica: Replica, rank: int) -> bool:
    """Return whether a reported assignment is the recorded one."""
    if part is None:
        return False
    reported = (part.replica, part.generation, part.model, part.rank)
    return reported == (replica.name, replica.generation, replica.model, rank)


def settled(replicas: Replicas, host: str, part: Assignment | None) -> bool:
    """Return whether a host reports what the journal records for it."""
    replica = replicas.by_host.get(host)
    if replica is None:
        return part is None
    return plays(part, replica, replica.hosts.index(host))
