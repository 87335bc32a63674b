"""The replicas that the journal records, no host in two of them."""

from __future__ import annotations

from collections.abc import Mapping
from enum import StrEnum
from typing import Any, ClassVar, NotRequired, TypedDict

from ..journal import Entry, Reducer
from .replica import Replica


class Kind(StrEnum):
    """Kinds of record that change replicas."""

    FORM = "replica.form"
    REPAIR = "replica.repair"
    DISSOLVE = "replica.dissolve"


class Rejection(StrEnum):
    """Codes of the rejections of these records."""

    MALFORMED = "malformed"
    UNKNOWN = "unknown_replica"
    EXISTS = "replica_exists"
    TAKEN = "host_taken"
    ELSEWHERE = "other_fabric_domain"
    STALE = "stale_generation"


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
    """Generation that is kept, of a repair that was made before its record."""


class DissolveBody(TypedDict):
    """Body of a ``replica.dissolve`` record."""

    replica: str


def replica_key(name: str) -> str:
    """Return the journal's key of a replica."""
    return f"replica/{name}"


def host_key(host: str) -> str:
    """Return the journal's key of a host."""
    return f"host/{host}"


class Replicas(Reducer):
    """Folds the records of replicas; hosts of two replicas are always disjoint."""

    name: ClassVar[str] = "replica"

    def __init__(self) -> None:
        self.by_name: dict[str, Replica] = {}
        self.by_host: dict[str, Replica] = {}
        self.version = 0

    def check(self, entry: Entry) -> str:
        """Return the code of a rejection, or an empty string to accept."""
        kind, body = entry.record.kind, entry.record.body
        if not _well_formed(kind, body):
            return Rejection.MALFORMED
        known = self.by_name.get(body["replica"])
        if kind == Kind.FORM:
            return Rejection.EXISTS if known else self._check_free(body["hosts"], "")
        if known is None:
            return Rejection.UNKNOWN
        if kind == Kind.DISSOLVE:
            return ""
        if body["fabric_domain"] != known.fabric_domain:
            return Rejection.ELSEWHERE
        if body.get("generation", known.generation) != known.generation:
            return Rejection.STALE
        return self._check_free(body["hosts"], known.name)

    def apply(self, entry: Entry) -> None:
        """Change the state by an entry that was accepted."""
        kind, body = entry.record.kind, entry.record.body
        self.version = entry.offset
        known = self.by_name.pop(body["replica"], None)
        for host in known.hosts if known else ():
            del self.by_host[host]
        if kind == Kind.DISSOLVE:
            return
        hosts = tuple(body["hosts"])
        if kind == Kind.FORM:
            self._add(_formed(entry))
        elif known is not None:
            generation = body.get("generation", entry.offset)
            self._add(known._replace(generation=generation, hosts=hosts))

    def snapshot(self) -> Any:
        """Return the state as plain values."""
        return {
            "version": self.version,
            "replicas": [list(replica) for replica in self.by_name.values()],
        }

    def restore(self, snapshot: Any) -> None:
        """Replace the state by a snapshot."""
        self.by_name, self.by_host = {}, {}
        self.version = snapshot["version"]
        for values in snapshot["replicas"]:
            replica = Replica(*values)
            self._add(replica._replace(hosts=tuple(replica.hosts)))

    def free_for(self, replica: Replica) -> bool:
        """Return whether no host of a replica is recorded in another one."""
        holders = (self.by_host.get(host) for host in replica.hosts)
        return all(holder is None or holder.name == replica.name for holder in holders)

    def _check_free(self, hosts: list[str], own: str) -> str:
        for host in hosts:
            holder = self.by_host.get(host)
            if holder is not None and holder.name != own:
                return Rejection.TAKEN
        return ""

    def _add(self, replica: Replica) -> None:
        self.by_name[replica.name] = replica
        for host in replica.hosts:
            self.by_host[host] = replica


def _formed(entry: Entry) -> Replica:
    body = entry.record.body
    return Replica(
        name=body["replica"],
        generation=entry.offset,
        model=body["model"],
        failure_domain=body["failure_domain"],
        fabric_domain=body["fabric_domain"],
        hosts=tuple(body["hosts"]),
    )


_TEXTS_BY_KIND = {
    Kind.FORM: ("replica", "model", "failure_domain", "fabric_domain"),
    Kind.REPAIR: ("replica", "fabric_domain"),
    Kind.DISSOLVE: ("replica",),
}


def _well_formed(kind: str, body: Mapping[str, Any]) -> bool:
    if kind not in _TEXTS_BY_KIND:
        return False
    if any(not _is_text(body.get(key)) for key in _TEXTS_BY_KIND[Kind(kind)]):
        return False
    return kind == Kind.DISSOLVE or _is_hosts(body.get("hosts"))


def _is_text(value: Any) -> bool:
    return isinstance(value, str) and bool(value)


def _is_hosts(value: Any) -> bool:
    if not isinstance(value, list | tuple) or not value:
        return False
    return all(map(_is_text, value)) and len(set(value)) == len(value)
