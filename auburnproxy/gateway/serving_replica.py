"""Replicas that serve, as their hosts report them."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from .host import Host, PartState
from .route import EngineSpec, ModelSpec


class ServingReplica(NamedTuple):
    """A replica whose head takes requests."""

    name: str
    epoch: int
    model: ModelSpec
    head: Host
    members: tuple[Host, ...]
    """The registered hosts that report a part in it, the head first."""
    slowdown: float = 1.0
    """Factor on its times; above 1 if its hosts are in several fabric domains."""

    @property
    def leaving(self) -> bool:
        """Return whether one of its hosts is leaving."""
        return any(member.leaving for member in self.members)

    @property
    def missing(self) -> int:
        """Return how many hosts of it are not registered any more."""
        return self.model.hosts - len(self.members)


def serving_replicas(
    hosts: Iterable[Host], engine: EngineSpec
) -> tuple[ServingReplica, ...]:
    """Return the replicas whose heads are open.

    A head is opened only after every member was ready, so a member that has
    left the register since may be lost or only cut off from it.

    :param hosts: the registered hosts
    :param engine: the models that replicas serve
    """
    members_by_replica: dict[tuple[str, int], list[Host]] = {}
    for host in hosts:
        if host.part is not None:
            key = host.part.replica, host.part.epoch
            members_by_replica.setdefault(key, []).append(host)
    found = []
    for (name, epoch), members in members_by_replica.items():
        members.sort(key=_rank)
        head = members[0]
        if _rank(head) != 0 or head.part is None or not head.models:
            continue
        model = engine.model(head.models[0])
        if head.part.state is PartState.OPEN and model is not None:
            spread = len({member.fabric_domain for member in members}) > 1
            slowdown = engine.spread_factor if spread else 1.0
            found.append(
                ServingReplica(name, epoch, model, head, tuple(members), slowdown)
            )
    return tuple(found)


def _rank(host: Host) -> int:
    return host.part.rank if host.part else -1
