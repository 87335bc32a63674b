"""Registry of the replicas, which never has a host in two of them.

Any number of daemons may write at the same time.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping, Sequence
from types import MappingProxyType

from ..clock import loop_time
from ..errors import PlatformError
from ..store import Change, Follower, Store
from ..telemetry.decisions import DecisionLog
from .placement import NewReplica
from .record import ReplicaRecord, decode, encode, member_from_host

TOPIC = "replicas"
EPOCHS_PER_ERA = 1 << 32
"""Epochs reserved for each era of the store. Offsets restart at 0 in a new era, while
a host refuses any epoch lower than one that it has seen."""
SEED_WAIT_S = 1.0
"""Time in a new era by which other daemons have announced how far they had read."""
LEADER_KEY = "duty"
"""Key of the record that names the leader, which is the daemon that forms replicas."""
REPLICA_PREFIX = "replica/"


class ReplicaRegistry:
    """The recorded replicas, changed only by conditional appends to a log.

    Every append names the offset up to which its writer has read the log, so of two
    concurrent writers one fails and has to read first. What a writer has checked
    against its local copy therefore still holds at its append. After the store was
    restored from an older copy, the registry continues in a topic of the new era:
    the first writer appends all records that it knows, on condition that the topic
    is empty.

    :param store: the log service
    :param decisions: logs each change
    :param follower: the local copy of the registry's topic
    :param unique_suffix: returns a text that keeps names apart which two histories
        of the store would give to replicas at the same offset
    """

    def __init__(
        self,
        store: Store,
        decisions: DecisionLog,
        follower: Follower,
        *,
        unique_suffix: Callable[[], str],
    ) -> None:
        self.follower = follower
        self._store = store
        self._decisions = decisions
        self._by_name: dict[str, ReplicaRecord] = {}
        self._by_host: dict[str, ReplicaRecord] = {}
        self._unique_suffix = unique_suffix
        self._awaiting_writer_since: float | None = None
        follower.on_change = self._apply_change

    @property
    def by_name(self) -> Mapping[str, ReplicaRecord]:
        """Return the recorded replicas."""
        return MappingProxyType(self._by_name)

    @property
    def by_host(self) -> Mapping[str, ReplicaRecord]:
        """Return the replica of each host that is in one."""
        return MappingProxyType(self._by_host)

    @property
    def leader(self) -> str:
        """Return the daemon that forms replicas, empty if there is none."""
        record = self.follower.by_key.get(LEADER_KEY)
        return record.value.decode(errors="replace").strip() if record else ""

    async def record_leader(self, daemon: str) -> None:
        """Record which daemon forms replicas from now on.

        :param daemon: name of the daemon, or a blank for none
        :raises PlatformError: if it was not recorded
        """
        await self._append([Change(LEADER_KEY, daemon.encode())])

    async def change(
        self,
        new_replicas: Sequence[NewReplica],
        *,
        dropped: Iterable[ReplicaRecord] = (),
    ) -> None:
        """Drop replicas and record new ones in one atomic append.

        :param new_replicas: the replicas to record
        :param dropped: replicas that can no longer serve
        :raises PlatformError: if the change was not recorded
        """
        to_drop = list(dropped)
        freed = {host for replica in to_drop for host in replica.ids}
        assigned: set[str] = set()
        changes = [Change(REPLICA_PREFIX + replica.name, b"") for replica in to_drop]
        if new_replicas:
            await self.seed_new_era()
        for new_replica in new_replicas:
            offset = self.follower.end + len(changes)
            era = self.follower.era
            name = f"r{era}-{offset}-{self._unique_suffix()}" if era else f"r{offset}"
            epoch = era * EPOCHS_PER_ERA + offset
            members = tuple(map(member_from_host, new_replica.hosts))
            replica = ReplicaRecord(
                name,
                epoch,
                new_replica.model,
                new_replica.fabric_domain,
                members,
                new_replica.spread,
            )
            conflicting = {*replica.ids} & ((self._by_host.keys() - freed) | assigned)
            if conflicting:
                raise PlatformError(
                    f"hosts {sorted(conflicting)} are in another replica"
                )
            assigned.update(replica.ids)
            changes.append(Change(REPLICA_PREFIX + name, encode(replica)))
        if changes:
            await self._append(changes)

    @property
    def first_epoch_of_era(self) -> int:
        """Return the lowest epoch of the current era."""
        return self.follower.era * EPOCHS_PER_ERA

    async def seed_new_era(self) -> None:
        """Append all known records to the topic of a new era, if it is empty.

        :raises PlatformError: if it is too early, or the append failed
        """
        if not self.follower.awaiting_writer:
            self._awaiting_writer_since = None
            return
        now = loop_time()
        if self._awaiting_writer_since is None:
            self._awaiting_writer_since = now
        if now - self._awaiting_writer_since < SEED_WAIT_S:
            raise PlatformError(
                "other daemons may know more records of the previous era"
            )
        known = [Change(c.key, c.value) for c in self.follower.by_key.values()]
        await self._append_if_unchanged(known)
        self._decisions.belief(
            "register_refilled", era=self.follower.era, records=len(known)
        )

    async def _append(self, changes: list[Change]) -> None:
        await self.seed_new_era()
        await self._append_if_unchanged(changes)

    async def _append_if_unchanged(self, changes: list[Change]) -> None:
        """Append on condition that the log has not grown since it was read.

        :raises PlatformError: if the append failed
        """
        follower = self.follower
        if not follower.current:
            raise PlatformError("the local copy of the registry is from an earlier era")
        era = follower.era
        await self._store.append(follower.topic, changes, expected_end=follower.end)
        if self._store.era.number != era:
            raise PlatformError("the store was restored from an older copy")
        await follower.read_once(wait=False)

    def _apply_change(self, change: Change) -> None:
        if change.key == LEADER_KEY:
            self._decisions.belief("on_duty", daemon=self.leader, offset=change.offset)
            return
        name = change.key.removeprefix(REPLICA_PREFIX)
        # A record that cannot be decoded leaves the older one in force: its hosts must
        # not be taken for another replica.
        replica = decode(change.value) if change.value else None
        known = self._by_name.pop(name, None)
        for host in known.ids if known else ():
            if self._by_host.get(host) == known:
                del self._by_host[host]
        if replica is None:
            self._decisions.belief("replica_dropped", replica=name)
            return
        self._by_name[name] = replica
        self._by_host |= dict.fromkeys(replica.ids, replica)
        self._decisions.belief(
            "replica_recorded",
            replica=name,
            epoch=replica.epoch,
            model=replica.model,
            upstreams=replica.ids,
            spread=replica.spread,
        )
