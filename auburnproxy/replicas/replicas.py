"""Replicated state: the recorded replicas, with no host in two of them."""

from __future__ import annotations

from collections.abc import Mapping
from enum import StrEnum
from typing import Any, ClassVar, NotRequired, TypedDict

from ..journal import Entry, Reducer
from .replica import Replica


class Kind(StrEnum):
    """Kinds of the records that change replicas."""

    FORM = "replica.form"
    REPAIR = "replica.repair"
    DISSOLVE = "replica.dissolve"


class Rejection(StrEnum):
    """Codes for the rejection of such a record."""

    MALFORMED = "malformed"
    UNKNOWN_REPLICA = "unknown_replica"
    REPLICA_EXISTS = "replica_exists"
    HOST_TAKEN = "host_taken"
    OTHER_FABRIC_DOMAIN = "other_fabric_domain"
    STALE_GENERATION = "stale_generation"


class FormBody(TypedDict):
    """Body of a ``replica.form`` record."""

    replica: str
    model: str
    failure_domain: str
    fabric_domain: str
    hosts: list[str]


class RepairBody(TypedDict):
    """Body of a ``replica.repair`` record."""

    replica: str
    fabric_domain: str
    hosts: list[str]
    generation: NotRequired[int]
    """Generation to keep, for a repair that was made before it was recorded."""


class DissolveBody(TypedDict):
    """Body of a ``replica.dissolve`` record."""

    replica: str


def replica_key(name: str) -> str:
    """Return the journal key of a replica."""
    return f"replica/{name}"


def host_key(host: str) -> str:
    """Return the journal key of a host."""
    return f"host/{host}"


class Replicas(Reducer):
    """Applies the records of replicas; no host is ever in two replicas."""

    name: ClassVar[str] = "replica"

    def __init__(self) -> None:
        self.by_name: dict[str, Replica] = {}
        self.by_host: dict[str, Replica] = {}
        self.version = 0

    def check(self, entry: Entry) -> str:
        """Return the code of a rejection, or an empty string to accept the record."""
        kind, body = entry.record.kind, entry.record.body
        if not _is_well_formed(kind, body):
            return Rejection.MALFORMED
        recorded = self.by_name.get(body["replica"])
        if kind == Kind.FORM:
            return (
                Rejection.REPLICA_EXISTS
                if recorded
                else self._check_hosts_free(body["hosts"], "")
            )
        if recorded is None:
            return Rejection.UNKNOWN_REPLICA
        if kind == Kind.DISSOLVE:
            return ""
        if body["fabric_domain"] != recorded.fabric_domain:
            return Rejection.OTHER_FABRIC_DOMAIN
        if body.get("generation", recorded.generation) != recorded.generation:
            return Rejection.STALE_GENERATION
        return self._check_hosts_free(body["hosts"], recorded.name)

    def apply(self, entry: Entry) -> None:
        """Apply an accepted entry to the state."""
        kind, body = entry.record.kind, entry.record.body
        self.version = entry.offset
        recorded = self.by_name.pop(body["replica"], None)
        for host in recorded.hosts if recorded else ():
            del self.by_host[host]
        if kind == Kind.DISSOLVE:
            return
        hosts = tuple(body["hosts"])
        if kind == Kind.FORM:
            self._add(_new_replica(entry))
        elif recorded is not None:
            generation = body.get("generation", entry.offset)
            self._add(recorded._replace(generation=generation, hosts=hosts))

    def snapshot(self) -> Any:
        """Return the state as plain values that can be encoded."""
        return {
            "version": self.version,
            "replicas": [list(replica) for replica in self.by_name.values()],
        }

    def restore(self, snapshot: Any) -> None:
        """Replace the state with that of a snapshot."""
        self.by_name, self.by_host = {}, {}
        self.version = snapshot["version"]
        for values in snapshot["replicas"]:
            replica = Replica(*values)
            self._add(replica._replace(hosts=tuple(replica.hosts)))

    def free_for(self, replica: Replica) -> bool:
        """Return whether no host of a replica is recorded in another one."""
        holders = (self.by_host.get(host) for host in replica.hosts)
        return all(holder is None or holder.name == replica.name for holder in holders)

    def _check_hosts_free(self, hosts: list[str], replica_name: str) -> str:
        for host in hosts:
            holder = self.by_host.get(host)
            if holder is not None and holder.name != replica_name:
                return Rejection.HOST_TAKEN
        return ""

    def _add(self, replica: Replica) -> None:
        self.by_name[replica.name] = replica
        for host in replica.hosts:
            self.by_host[host] = replica


def _new_replica(entry: Entry) -> Replica:
    body = entry.record.body
    return Replica(
        name=body["replica"],
        generation=entry.offset,
        model=body["model"],
        failure_domain=body["failure_domain"],
        fabric_domain=body["fabric_domain"],
        hosts=tuple(body["hosts"]),
    )


_STRING_FIELDS_BY_KIND = {
    Kind.FORM: ("replica", "model", "failure_domain", "fabric_domain"),
    Kind.REPAIR: ("replica", "fabric_domain"),
    Kind.DISSOLVE: ("replica",),
}


def _is_well_formed(kind: str, body: Mapping[str, Any]) -> bool:
    if kind not in _STRING_FIELDS_BY_KIND:
        return False
    if any(
        not _is_nonempty_string(body.get(key))
        for key in _STRING_FIELDS_BY_KIND[Kind(kind)]
    ):
        return False
    return kind == Kind.DISSOLVE or _is_host_list(body.get("hosts"))


def _is_nonempty_string(value: Any) -> bool:
    return isinstance(value, str) and bool(value)


def _is_host_list(value: Any) -> bool:
    if not isinstance(value, list | tuple) or not value:
        return False
    return all(map(_is_nonempty_string, value)) and len(set(value)) == len(value)
