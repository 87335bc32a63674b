"""A replica as the shared register records it."""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from ..errors import PlatformError
from ..gateway.host import Host, Life


class Member(NamedTuple):
    """One host of a replica, as it was when the replica was recorded."""

    id: str
    born: int
    """Start of its process in Unix milliseconds."""
    address: str

    @property
    def life(self) -> Life:
        """Return what names the process that was recorded."""
        return self.id, self.born

    def as_host(self, failure_domain: str = "") -> Host:
        """Return a host to ask for a report; only its place and process are known."""
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


class Formed(NamedTuple):
    """A replica that exists from its record on, until the record is dropped."""

    name: str
    epoch: int
    """Place of the record in its era of the store, above all places of earlier eras."""
    model: str
    fabric_domain: str
    """Failure domain and fabric domain, separated by a slash."""
    members: tuple[Member, ...]
    """By rank; the first is the head."""
    spread: bool = False
    """Whether its hosts are in several fabric domains, the head in the one named."""

    @property
    def head(self) -> Member:
        """Return the member that takes requests."""
        return self.members[0]

    @property
    def failure_domain(self) -> str:
        """Return the failure domain of its hosts."""
        return self.fabric_domain.partition("/")[0]

    @property
    def ids(self) -> tuple[str, ...]:
        """Return the ids of the members by rank."""
        return tuple(member.id for member in self.members)


_decoder = msgspec.json.Decoder(Formed)


def encode(formed: Formed) -> bytes:
    """Return the bytes of a record."""
    return msgspec.json.encode(formed)


def decode(value: bytes) -> Formed:
    """Return a record from its bytes.

    :raises PlatformError: if it cannot be read
    """
    try:
        return _decoder.decode(value)
    except msgspec.MsgspecError as error:
        raise PlatformError(f"unreadable replica record: {error}") from error


def member_of(host: Host) -> Member:
    """Return a host as a record names it."""
    return Member(host.id, host.born, host.address)
