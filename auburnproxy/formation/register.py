"""The register of replicas: no host in two of them, whoever writes."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from types import MappingProxyType

from ..errors import PlatformError
from ..store import Change, Follower, Store
from ..telemetry.decisions import Decisions
from .layout import Form
from .record import Formed, decode, encode, member_of

TOPIC = "replicas"
DUTY_KEY = "duty"
"""Names the daemon that forms replicas at present."""
REPLICA_PREFIX = "replica/"


class Register:
    """The recorded replicas, changed by conditional appends alone.

    Every append names the end of the log that its writer has read up to, so of
    two writers one is told to read first. What a writer has checked against its
    copy therefore holds at the moment of its append.

    :param store: the log service
    :param decisions: takes a line for each change
    :param follower: the local copy of the register's topic
    """

    def __init__(self, store: Store, decisions: Decisions, follower: Follower) -> None:
        self.follower = follower
        self._store = store
        self._decisions = decisions
        self._by_name: dict[str, Formed] = {}
        self._by_host: dict[str, Formed] = {}
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
    def on_duty(self) -> str:
        """Return the daemon that forms replicas, empty if nobody does."""
        record = self.follower.by_key.get(DUTY_KEY)
        return record.value.decode(errors="replace").strip() if record else ""

    async def take_duty(self, daemon: str) -> None:
        """Record who forms replicas from now on.

        :param daemon: name of the daemon, or a blank for nobody
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
        changes = [Change(REPLICA_PREFIX + formed.name, b"") for formed in gone]
        for form in forms:
            epoch = self.follower.end + len(changes)
            name = f"r{epoch}"
            members = tuple(map(member_of, form.hosts))
            formed = Formed(name, epoch, form.model, form.fabric_domain, members)
            taken = [m.id for m in members if m.id in self._by_host]
            if any(host not in free for host in taken):
                raise PlatformError(f"hosts {taken} are in another replica")
            changes.append(Change(REPLICA_PREFIX + name, encode(formed)))
        if changes:
            await self._append(changes)

    async def _append(self, changes: list[Change]) -> None:
        await self._store.append(TOPIC, changes, at=self.follower.end)
        await self.follower.step(wait=False)

    def _take(self, change: Change) -> None:
        if change.key == DUTY_KEY:
            self._decisions.belief("on_duty", daemon=self.on_duty, offset=change.offset)
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
        )
