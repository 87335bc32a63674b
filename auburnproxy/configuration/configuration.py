"""Replicated state of the operators' lists and out-of-service marks."""

from __future__ import annotations

import hashlib
from collections.abc import Mapping
from typing import Any, ClassVar, NamedTuple

import msgspec

from ..journal import Entry, Reducer
from .lists import Grant, Lists, Plan, TargetKind

LISTS_KIND = "configuration.lists"
MARK_KIND = "configuration.mark"
LISTS_KEY = "configuration"
MAX_REMEMBERED_IDS = 256
"""Accepted records whose ids are remembered beyond the journal's id window."""


class Mark(NamedTuple):
    """Whether a failure domain, or a single host, is out of service."""

    failure_domain: str
    """Empty for a host, whose name is unique in the system."""
    host: str
    """Empty for a whole failure domain."""
    out: bool

    @property
    def key(self) -> str:
        """Return the journal key of the marked failure domain or host."""
        if self.host:
            return f"mark/host/{self.host}"
        return f"mark/domain/{self.failure_domain}"


class ConfigurationState(NamedTuple):
    """State of the configuration as stored in checkpoints."""

    version: int
    lists: Lists
    out_domains: tuple[str, ...]
    out_hosts: tuple[str, ...]
    offset_by_id: dict[str, int]


def digest_key(key: str) -> str:
    """Return the digest of a bearer key that is stored in a plan."""
    return hashlib.sha256(key.encode()).hexdigest()


class Configuration(Reducer):
    """Lists and marks in force in this process."""

    name: ClassVar[str] = "configuration"

    def __init__(self) -> None:
        self._state = ConfigurationState(0, Lists((), ()), (), (), {})
        self._build_indexes()

    @property
    def version(self) -> int:
        """Return the offset of the newest accepted change of lists or marks."""
        return self._state.version

    @property
    def lists(self) -> Lists:
        """Return the lists of plans and grants."""
        return self._state.lists

    @property
    def out_domains(self) -> frozenset[str]:
        """Return the failure domains that are out of service."""
        return frozenset(self._state.out_domains)

    @property
    def out_hosts(self) -> frozenset[str]:
        """Return the hosts that are individually out of service."""
        return frozenset(self._state.out_hosts)

    def is_out(self, failure_domain: str, host: str = "") -> bool:
        """Return whether a failure domain, or a host in it, is out of service."""
        if failure_domain in self._state.out_domains:
            return True
        return bool(host) and host in self._state.out_hosts

    def grant(self, plan: str, kind: TargetKind, target: str) -> Grant | None:
        """Return a plan's grant for a target, None if it has none."""
        return self._grant_by_target.get((plan, kind, target))

    def accepted_at(self, record_id: str) -> int:
        """Return the offset of a recently accepted record, 0 if it is unknown."""
        return self._state.offset_by_id.get(record_id, 0)

    def check(self, entry: Entry) -> str:
        """Return the code of a rejection, or an empty string to accept."""
        record = entry.record
        if record.kind == LISTS_KIND:
            msgspec.convert(record.body["lists"], Lists)
            return "" if LISTS_KEY in record.expects else "no_version"
        if record.kind == MARK_KIND:
            mark = msgspec.convert(record.body["mark"], Mark)
            if not mark.failure_domain and not mark.host:
                return "no_target"
            return "" if mark.key in record.expects else "no_version"
        return "unknown_kind"

    def apply(self, entry: Entry) -> None:
        """Put an accepted record in force."""
        record, state = entry.record, self._state
        offset_by_id = {**state.offset_by_id, record.id: entry.offset}
        for oldest_id in list(offset_by_id)[:-MAX_REMEMBERED_IDS]:
            del offset_by_id[oldest_id]
        state = state._replace(version=entry.offset, offset_by_id=offset_by_id)
        if record.kind == LISTS_KIND:
            lists = msgspec.convert(record.body["lists"], Lists)
            state = state._replace(lists=lists)
        else:
            state = _with_mark(state, msgspec.convert(record.body["mark"], Mark))
        self._state = state
        self._build_indexes()

    def snapshot(self) -> Any:
        """Return the state as values that msgspec can encode."""
        return self._state

    def restore(self, snapshot: Any) -> None:
        """Replace the state with a snapshot unless that is older."""
        state = msgspec.convert(snapshot, ConfigurationState)
        if state.version < self.version:
            return
        self._state = state
        self._build_indexes()

    def _build_indexes(self) -> None:
        plans, grants = self._state.lists
        self.plans_by_name: Mapping[str, Plan] = {plan.name: plan for plan in plans}
        self.plan_by_digest: Mapping[str, Plan] = {
            digest: plan for plan in plans for digest in plan.key_digests
        }
        self._grant_by_target = {(g.plan, g.kind, g.target): g for g in grants}


def _with_mark(state: ConfigurationState, mark: Mark) -> ConfigurationState:
    if mark.host:
        hosts = _add_or_remove(state.out_hosts, mark.host, mark.out)
        return state._replace(out_hosts=hosts)
    out_domains = _add_or_remove(state.out_domains, mark.failure_domain, mark.out)
    return state._replace(out_domains=out_domains)


def _add_or_remove(names: tuple[str, ...], name: str, include: bool) -> tuple[str, ...]:
    others = set(names) - {name}
    return tuple(sorted(others | {name} if include else others))
