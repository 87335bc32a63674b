"""Repairs that were made while the log was unavailable and are not recorded yet."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from ..upstreams import Watcher
from .assignment import find_reported, is_reported
from .replica import Replica
from .replicas import Replicas


class Repairs:
    """The recorded replicas, overlaid with this daemon's unrecorded repairs.

    A repair keeps the replica's generation, so the next record of the replica ends
    it. It also ends when the journal records one of its hosts in another replica.

    :param replicas: the recorded replicas
    """

    def __init__(self, replicas: Replicas) -> None:
        self._replicas = replicas
        self._repaired_by_name: dict[str, Replica] = {}

    @property
    def unrecorded(self) -> tuple[Replica, ...]:
        """Return the repaired replicas whose new hosts are not in the journal."""
        self._drop_ended()
        return tuple(self._repaired_by_name.values())

    def add(self, replica: Replica) -> None:
        """Add a repair.

        :param replica: the recorded replica with its new hosts
        """
        self._repaired_by_name[replica.name] = replica

    def adopt(self, watcher: Watcher, is_owner: Callable[[str], bool]) -> None:
        """Adopt repairs that hosts report and that are not in the journal.

        A previous owner made them while the log was unavailable.

        :param watcher: observed state of the hosts
        :param is_owner: whether this daemon owns a fabric domain
        """
        for replica in self.replicas():
            if replica.failure_domain != watcher.failure_domain:
                continue
            if not is_owner(replica.fabric_domain) or is_reported(replica, watcher):
                continue
            found = find_reported(replica, watcher)
            if found is not None and self._replicas.free_for(found):
                self.add(found)

    def replicas(self) -> tuple[Replica, ...]:
        """Return every replica, with its unrecorded repair if there is one."""
        self._drop_ended()
        recorded = self._replicas.by_name.values()
        return tuple(
            self._repaired_by_name.get(replica.name, replica) for replica in recorded
        )

    def by_host(self) -> dict[str, Replica]:
        """Return the replicas by host, with unrecorded repairs applied."""
        return (
            _index_by_host(self.replicas())
            if self._repaired_by_name
            else self._replicas.by_host
        )

    def _drop_ended(self) -> None:
        for name, repaired in list(self._repaired_by_name.items()):
            if not self._is_current(repaired):
                del self._repaired_by_name[name]

    def _is_current(self, repaired: Replica) -> bool:
        recorded = self._replicas.by_name.get(repaired.name)
        if recorded is None or recorded.generation != repaired.generation:
            return False
        return recorded.hosts != repaired.hosts and self._replicas.free_for(repaired)


def _index_by_host(replicas: Iterable[Replica]) -> dict[str, Replica]:
    return {host: replica for replica in replicas for host in replica.hosts}
