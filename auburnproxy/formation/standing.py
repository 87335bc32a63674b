"""How a recorded replica stands, by what its hosts report."""

from __future__ import annotations

from collections.abc import Collection, Mapping
from enum import StrEnum

from ..gateway.host import Host, PartState
from .record import Member, ReplicaRecord

TAKING_PART = frozenset({PartState.READY, PartState.OPEN})


class Standing(StrEnum):
    """What is to be done about a replica."""

    FORMING = "forming"
    """Members have still to join."""
    JOINED = "joined"
    """Every member is ready; the head may be opened."""
    SERVING = "serving"
    LEAVING = "leaving"
    """A member is to leave; the requests in flight may end first."""
    MISSING = "missing"
    """A member is not registered; it may be lost or cut off from the store."""
    LOST = "lost"
    """It can serve no more."""


def standing(
    replica: ReplicaRecord,
    hosts: Mapping[str, Host],
    *,
    dead: Collection[tuple[str, int]] = (),
) -> Standing:
    """Return how a replica stands.

    :param formed: the replica as it is recorded
    :param hosts: the registered hosts by id
    :param dead: processes that are known to be gone though still registered
    """
    found = [hosts.get(member.id) for member in replica.members]
    for member, host in zip(replica.members, found, strict=True):
        if (member.id, member.born) in dead:
            return Standing.LOST
        if host is not None and host.born != member.born:
            return Standing.LOST
    present = [host for host in found if host is not None]
    head = found[0]
    if head is not None and _state(replica, head) in (
        PartState.BROKEN,
        PartState.CLOSING,
    ):
        return Standing.LOST
    if any(host.leaving for host in present):
        return Standing.LEAVING
    if len(present) < len(found):
        return Standing.MISSING
    states = [_state(replica, host) for host in present]
    if states[0] is PartState.OPEN:
        return Standing.SERVING
    if all(state in TAKING_PART for state in states):
        return Standing.JOINED
    return Standing.FORMING


def has_part(replica: ReplicaRecord, member: Member, hosts: Mapping[str, Host]) -> bool:
    """Return whether a member reports its part, in whatever state."""
    host = hosts.get(member.id)
    return host is not None and _state(replica, host) is not None


def _state(replica: ReplicaRecord, host: Host) -> PartState | None:
    """Return the state of a host's part in a replica, None if it has none in it."""
    part = host.part
    if part is None or (part.replica, part.epoch) != (replica.name, replica.epoch):
        return None
    return part.state
