"""The record of a replica in the shared registry."""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from ..decoding import JsonDecoder
from ..errors import UnreadableError
from ..gateway.host import Host, Incarnation


class Member(NamedTuple):
    """One host of a replica, as known when the replica was recorded."""

    id: str
    born: int
    """Start time of its process in Unix milliseconds."""
    address: str

    @property
    def incarnation(self) -> Incarnation:
        """Return the identity of the recorded process: host id and start time."""
        return self.id, self.born

    def as_host(self, failure_domain: str = "") -> Host:
        """Return a host to ask for a report; its other fields are unknown."""
        return Host(
            id=self.id,
            service="",
            address=self.address,
            failure_domain=failure_domain,
            slots=0,
            leaving=False,
            cold_s=0.0,
            born=self.born,
        )


class ReplicaRecord(NamedTuple):
    """A replica, which exists from its record until that record is dropped."""

    name: str
    epoch: int
    """Offset of the record in its era of the store, plus a base that is higher than
    all epochs of earlier eras."""
    model: str
    fabric_domain: str
    """Failure domain and fabric domain, separated by a slash."""
    members: tuple[Member, ...]
    """Ordered by rank; the first is the head."""
    spread: bool = False
    """Whether its hosts are in several fabric domains; the head is in the named one."""

    @property
    def head(self) -> Member:
        """Return the member that receives the requests."""
        return self.members[0]

    @property
    def failure_domain(self) -> str:
        """Return the failure domain of its hosts."""
        return self.fabric_domain.partition("/")[0]

    @property
    def ids(self) -> tuple[str, ...]:
        """Return the host ids of the members, ordered by rank."""
        return tuple(member.id for member in self.members)


_decoder = JsonDecoder(ReplicaRecord)


def encode(replica: ReplicaRecord) -> bytes:
    """Return a record encoded as JSON."""
    return msgspec.json.encode(replica)


def decode(value: bytes) -> ReplicaRecord:
    """Return a record decoded from JSON.

    :raises UnreadableError: if the value is malformed
    """
    replica = _decoder.decode(value)
    if not replica.members:
        raise UnreadableError("a replica without members")
    return replica


def member_from_host(host: Host) -> Member:
    """Return the member that records a host."""
    return Member(host.id, host.born, host.address)
