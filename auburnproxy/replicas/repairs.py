"""Repairs that were made while the log was away and are not recorded yet."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from ..upstreams import Watcher
from .assignment import observed, played
from .replica import Replica
from .replicas import Replicas


class Repairs:
    """The recorded replicas, with this daemon's unrecorded repairs on top.

    A repair keeps the generation, so it ends with the next record of its
    replica. One whose host the journal gives to another replica ends as well.

    :param replicas: the recorded replicas
    """

    def __init__(self, replicas: Replicas) -> None:
        self._replicas = replicas
        self._by_name: dict[str, Replica] = {}

    @property
    def unrecorded(self) -> tuple[Replica, ...]:
        """Return the repaired replicas that the journal does not have like this."""
        self._prune()
        return tuple(self._by_name.values())

    def add(self, replica: Replica) -> None:
        """Take a repair.

        :param replica: the recorded replica with its new hosts
        """
        self._by_name[replica.name] = replica

    def adopt(self, watcher: Watcher, in_custody: Callable[[str], bool]) -> None:
        """Take up the repairs that hosts show and no record tells of.

        They were made by a former custodian while the log was away.

        :param watcher: what is known of the hosts
        :param in_custody: whether a fabric domain is in this daemon's custody
        """
        for replica in self.replicas():
            if replica.failure_domain != watcher.failure_domain:
                continue
            if not in_custody(replica.fabric_domain) or played(replica, watcher):
                continue
            found = observed(replica, watcher)
            if found is not None and self._replicas.free_for(found):
                self.add(found)

    def replicas(self) -> tuple[Replica, ...]:
        """Return every replica with its newest hosts."""
        self._prune()
        recorded = self._replicas.by_name.values()
        return tuple(self._by_name.get(replica.name, replica) for replica in recorded)

    def by_host(self) -> dict[str, Replica]:
        """Return every replica by each of its newest hosts."""
        return _by_host(self.replicas()) if self._by_name else self._replicas.by_host

    def _prune(self) -> None:
        for name, repaired in list(self._by_name.items()):
            if not self._holds(repaired):
                del self._by_name[name]

    def _holds(self, repaired: Replica) -> bool:
        recorded = self._replicas.by_name.get(repaired.name)
        if recorded is None or recorded.generation != repaired.generation:
            return False
        return recorded.hosts != repaired.hosts and self._replicas.free_for(repaired)


def _by_host(replicas: Iterable[Replica]) -> dict[str, Replica]:
    return {host: replica for replica in replicas for host in replica.hosts}
