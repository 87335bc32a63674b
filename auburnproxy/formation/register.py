"""The register of replicas: no host in two of them, whoever writes."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping, Sequence
from types import MappingProxyType

from ..clock import loop_time
from ..errors import PlatformError
from ..store import Change, Follower, Store
from ..telemetry.decisions import Decisions
from .layout import Form
from .record import Formed, decode, encode, member_of

TOPIC = "replicas"
ERA_EPOCHS = 1 << 32
"""Epochs of one era of the store: offsets begin anew in each, and a host refuses a
lower epoch than it has seen."""
SEED_WAIT_S = 1.0
"""Seconds in a new era after which other daemons have told how far they had read."""
DUTY_KEY = "duty"
"""Key of the record that names the leader, which is the daemon that forms replicas."""
REPLICA_PREFIX = "replica/"


class Register:
    """The recorded replicas, changed by conditional appends alone.

    Every append names the end of the log that its writer has read up to, so of
    two writers one is told to read first. What a writer has checked against its
    copy therefore holds at the moment of its append. Where the store has come back
    from an older copy, the register goes on in a topic of the new era: the first
    writer puts all that it knows into it, on condition that it is empty.

    :param store: the log service
    :param decisions: takes a line for each change
    :param follower: the local copy of the register's topic
    :param token: returns what tells names apart that two histories give at one offset
    """

    def __init__(
        self,
        store: Store,
        decisions: Decisions,
        follower: Follower,
        *,
        token: Callable[[], str],
    ) -> None:
        self.follower = follower
        self._store = store
        self._decisions = decisions
        self._by_name: dict[str, Formed] = {}
        self._by_host: dict[str, Formed] = {}
        self._token = token
        self._vacant_since: float | None = None
        follower.on_change = self._take

    @property
    def by_name(self) -> Mapping[str, Formed]:
        """Return the recorded replicas."""
        return MappingProxyType(self._by_name)

    @property
    def by_host(self) -> Mapping[str, Formed]:
        """Return the replica of each host that is in one."""
        return MappingProxyType(self._by_host)

    @property
    def leader(self) -> str:
        """Return the daemon that forms replicas, empty if there is none."""
        record = self.follower.by_key.get(DUTY_KEY)
        return record.value.decode(errors="replace").strip() if record else ""

    async def record_leader(self, daemon: str) -> None:
        """Record which daemon forms replicas from now on.

        :param daemon: name of the daemon, or a blank for none
        :raises PlatformError: if it was not recorded
        """
        await self._append([Change(DUTY_KEY, daemon.encode())])

    async def change(
        self, forms: Sequence[Form], *, dropped: Iterable[Formed] = ()
    ) -> None:
        """Drop replicas and record new ones, all or none.

        :param forms: the new replicas
        :param dropped: replicas that can serve nothing any more
        :raises PlatformError: if it was not recorded
        """
        gone = list(dropped)
        free = {host for formed in gone for host in formed.ids}
        given: set[str] = set()
        changes = [Change(REPLICA_PREFIX + formed.name, b"") for formed in gone]
        if forms:
            await self.refill()
        for form in forms:
            offset = self.follower.end + len(changes)
            era = self.follower.era
            name = f"r{era}-{offset}-{self._token()}" if era else f"r{offset}"
            epoch = era * ERA_EPOCHS + offset
            members = tuple(map(member_of, form.hosts))
            formed = Formed(
                name, epoch, form.model, form.fabric_domain, members, form.spread
            )
            taken = {*formed.ids} & ((self._by_host.keys() - free) | given)
            if taken:
                raise PlatformError(f"hosts {sorted(taken)} are in another replica")
            given.update(formed.ids)
            changes.append(Change(REPLICA_PREFIX + name, encode(formed)))
        if changes:
            await self._append(changes)

    @property
    def era_epoch(self) -> int:
        """Return the least epoch of the current era."""
        return self.follower.era * ERA_EPOCHS

    async def refill(self) -> None:
        """Put all that is known into the topic of a new era, if it is empty.

        :raises PlatformError: if that has to wait, or it was not recorded
        """
        if not self.follower.awaiting_writer:
            self._vacant_since = None
            return
        now = loop_time()
        if self._vacant_since is None:
            self._vacant_since = now
        if now - self._vacant_since < SEED_WAIT_S:
            raise PlatformError("others may know more of the era before")
        known = [Change(c.key, c.value) for c in self.follower.by_key.values()]
        await self._send(known)
        self._decisions.belief(
            "register_refilled", era=self.follower.era, records=len(known)
        )

    async def _append(self, changes: list[Change]) -> None:
        await self.refill()
        await self._send(changes)

    async def _send(self, changes: list[Change]) -> None:
        """Append on condition that the log ends where it was read up to.

        :raises PlatformError: if it was not recorded
        """
        follower = self.follower
        if not follower.current:
            raise PlatformError("the register is of an earlier era")
        era = follower.era
        await self._store.append(follower.topic, changes, at=follower.end)
        if self._store.era.number != era:
            raise PlatformError("the store has come back from an older copy")
        await follower.read_once(wait=False)

    def _take(self, change: Change) -> None:
        if change.key == DUTY_KEY:
            self._decisions.belief("on_duty", daemon=self.leader, offset=change.offset)
            return
        name = change.key.removeprefix(REPLICA_PREFIX)
        known = self._by_name.pop(name, None)
        for host in known.ids if known else ():
            if self._by_host.get(host) == known:
                del self._by_host[host]
        if not change.value:
            self._decisions.belief("replica_dropped", replica=name)
            return
        try:
            formed = decode(change.value)
        except PlatformError as error:
            self._decisions.belief(
                "record_unreadable", key=change.key, reason=str(error)
            )
            return
        self._by_name[name] = formed
        self._by_host |= dict.fromkeys(formed.ids, formed)
        self._decisions.belief(
            "replica_recorded",
            replica=name,
            epoch=formed.epoch,
            model=formed.model,
            upstreams=formed.ids,
            spread=formed.spread,
        )
