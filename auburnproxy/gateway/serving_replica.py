"""Serving replicas, as reported by their hosts."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from .host import Host, ReplicaPartState
from .route import EngineSpec, ModelSpec


class ServingReplica(NamedTuple):
    """A replica whose head accepts requests."""

    name: str
    epoch: int
    model: ModelSpec
    head: Host
    members: tuple[Host, ...]
    """The registered hosts that report to be members, the head first."""
    slowdown: float = 1.0
    """Factor on its processing times; above 1 if its hosts span several fabric
    domains."""

    @property
    def service(self) -> str:
        """Return the service of its hosts."""
        return self.head.service

    @property
    def leaving(self) -> bool:
        """Return whether one of its hosts is leaving."""
        return any(member.leaving for member in self.members)

    @property
    def missing(self) -> int:
        """Return how many of its hosts are no longer registered."""
        return self.model.hosts - len(self.members)


def serving_replicas(
    hosts: Iterable[Host], engines: Mapping[str, EngineSpec]
) -> tuple[ServingReplica, ...]:
    """Return the replicas whose heads are open.

    A head is opened only after every member was ready, so a member whose registration
    is gone may be lost, or may only be cut off from the registry.

    :param hosts: the registered hosts
    :param engines: the engine specs of the services whose hosts form replicas
    """
    members_by_replica: dict[tuple[str, str, int], list[Host]] = {}
    for host in hosts:
        if host.part is not None and host.service in engines:
            key = host.service, host.part.replica, host.part.epoch
            members_by_replica.setdefault(key, []).append(host)
    replicas = []
    for (service, name, epoch), members in members_by_replica.items():
        members.sort(key=_rank)
        head = members[0]
        if _rank(head) != 0 or head.part is None or not head.models:
            continue
        engine = engines[service]
        model = engine.model(head.models[0])
        if head.part.state is ReplicaPartState.OPEN and model is not None:
            spread = len({member.fabric_domain for member in members}) > 1
            slowdown = engine.spread_factor if spread else 1.0
            replicas.append(
                ServingReplica(name, epoch, model, head, tuple(members), slowdown)
            )
    return tuple(replicas)


def _rank(host: Host) -> int:
    return host.part.rank if host.part else -1
