"""State of a recorded replica, derived from the reports of its hosts."""

from __future__ import annotations

from collections.abc import Collection, Mapping
from enum import StrEnum

from ..gateway.host import Host, ReplicaPartState
from .record import Member, ReplicaRecord

READY_PART_STATES = frozenset({ReplicaPartState.READY, ReplicaPartState.OPEN})


class ReplicaState(StrEnum):
    """State of a replica, which decides what the controller does about it."""

    FORMING = "forming"
    """Not all members have joined."""
    JOINED = "joined"
    """Every member is ready; the head can be told to serve."""
    SERVING = "serving"
    LEAVING = "leaving"
    """A member is shutting down; requests in flight may finish first."""
    MISSING = "missing"
    """A member is not registered: it is lost, or partitioned from the store."""
    LOST = "lost"
    """It can no longer serve."""


def replica_state(
    replica: ReplicaRecord,
    hosts: Mapping[str, Host],
    *,
    lost: Collection[tuple[str, int]] = (),
) -> ReplicaState:
    """Return the state of a replica.

    :param replica: the recorded replica
    :param hosts: the registered hosts by id
    :param lost: processes that are known to be gone although still registered
    """
    member_hosts = [hosts.get(member.id) for member in replica.members]
    for member, host in zip(replica.members, member_hosts, strict=True):
        if (member.id, member.born) in lost:
            return ReplicaState.LOST
        if host is not None and host.born != member.born:
            return ReplicaState.LOST
    registered = [host for host in member_hosts if host is not None]
    head = member_hosts[0]
    if head is not None and _part_state(replica, head) in (
        ReplicaPartState.BROKEN,
        ReplicaPartState.CLOSING,
    ):
        return ReplicaState.LOST
    if len({host.service for host in registered}) > 1:
        return ReplicaState.LOST
    if any(host.leaving for host in registered):
        return ReplicaState.LEAVING
    if len(registered) < len(member_hosts):
        return ReplicaState.MISSING
    states = [_part_state(replica, host) for host in registered]
    if states[0] is ReplicaPartState.OPEN:
        return ReplicaState.SERVING
    if all(state in READY_PART_STATES for state in states):
        return ReplicaState.JOINED
    return ReplicaState.FORMING


def service_of(replica: ReplicaRecord, hosts: Mapping[str, Host]) -> str:
    """Return the service of a replica's hosts, empty if none is registered.

    :param replica: the recorded replica
    :param hosts: the registered hosts by id
    """
    registered = (hosts.get(member.id) for member in replica.members)
    return next((host.service for host in registered if host is not None), "")


def has_part(replica: ReplicaRecord, member: Member, hosts: Mapping[str, Host]) -> bool:
    """Return whether a member reports a part in the replica, in any state."""
    host = hosts.get(member.id)
    return host is not None and _part_state(replica, host) is not None


def _part_state(replica: ReplicaRecord, host: Host) -> ReplicaPartState | None:
    """Return the state of a host's part in the replica, None if it has no part."""
    part = host.part
    if part is None or (part.replica, part.epoch) != (replica.name, replica.epoch):
        return None
    return part.state
