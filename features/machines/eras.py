"""Concurrent writers on a store that is restored; an oracle keeps all histories."""

from __future__ import annotations

import asyncio

import async_solipsism
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from auburnproxy.errors import PlatformError
from auburnproxy.formation.placement import NewReplica
from auburnproxy.formation.record import ReplicaRecord, decode
from auburnproxy.formation.registry import REPLICA_PREFIX, TOPIC
from auburnproxy.store import Follower
from features.fakes.fleet import host
from features.fakes.formation import make_registry
from features.fakes.store import FakeTopics

HOSTS = 6
WRITERS = 3


class EraMachine(RuleBasedStateMachine):
    """Three writers record and delete replicas of two hosts, between restores."""

    @initialize()
    def start(self) -> None:
        self.loop = async_solipsism.EventLoop()
        self.topics = FakeTopics(era=1)
        self.registries = [make_registry(self.topics) for _ in range(WRITERS)]
        self.ever_recorded: dict[tuple[str, int], ReplicaRecord] = {}
        """Every replica that was ever recorded, including lost records."""

    def teardown(self) -> None:
        if not hasattr(self, "loop"):
            return
        for registry in self.registries:
            registry.follower._store.rejecting = False
        for _ in range(4):
            for writer in range(WRITERS):
                self.read(writer)
                self.fill(writer)
                self.pass_time()
        known = [registry.by_name for registry in self.registries]
        self.loop.close()
        assert all(each == known[0] for each in known), known

    @rule(
        writer=st.integers(0, WRITERS - 1),
        first=st.integers(0, HOSTS - 1),
        second=st.integers(0, HOSTS - 1),
        drop=st.booleans(),
    )
    def change(self, writer: int, first: int, second: int, drop: bool) -> None:
        if first == second:
            return
        registry = self.registries[writer]
        dropped = [*registry.by_name.values()][:1] if drop else []
        form = NewReplica("small", "fd1/f0", (host(f"h{first}"), host(f"h{second}")))
        self._try(registry.change([form], dropped=dropped))

    @rule(lost=st.integers(0, 6))
    def come_back_older(self, lost: int) -> None:
        self.topics.restore_older_copy(lost)

    @rule(writer=st.integers(0, WRITERS - 1))
    def read(self, writer: int) -> None:
        self._try(self.registries[writer].follower.read_once(wait=False))

    @rule(writer=st.integers(0, WRITERS - 1))
    def fill(self, writer: int) -> None:
        self._try(self.registries[writer].seed_new_era())

    @rule(writer=st.integers(0, WRITERS - 1), other=st.integers(0, WRITERS - 1))
    def tell(self, writer: int, other: int) -> None:
        """Copy one daemon's records to another, as peer synchronization does."""
        source, target = (
            self.registries[writer].follower,
            self.registries[other].follower,
        )
        if source is not target and source.current:
            self.loop.run_until_complete(self.copy_records(source, target))

    async def copy_records(self, source: Follower, target: Follower) -> None:
        position = target.end if target.current else -1
        target.apply_update(
            source.changes_since(position, previous_era_end=target.previous_era_end)
        )

    @rule(writer=st.integers(0, WRITERS - 1), away=st.booleans())
    def cut(self, writer: int, away: bool) -> None:
        self.registries[writer].follower._store.rejecting = away

    @rule(writer=st.integers(0, WRITERS - 1))
    def lose_answer(self, writer: int) -> None:
        self.registries[writer].follower._store.lose_answers = 1

    @rule(writer=st.integers(0, WRITERS - 1))
    def restart(self, writer: int) -> None:
        self.registries[writer] = make_registry(self.topics)

    @rule()
    def pass_time(self) -> None:
        self.loop.run_until_complete(asyncio.sleep(1.5))

    @invariant()
    def hosts_are_apart(self) -> None:
        if not hasattr(self, "registries"):
            return
        for registry in self.registries:
            hosts = [h for replica in registry.by_name.values() for h in replica.ids]
            assert len(hosts) == len(set(hosts)), registry.by_name

    @invariant()
    def names_are_given_once(self) -> None:
        if not hasattr(self, "topics"):
            return
        for topic, records in self.topics.records_by_topic.items():
            if not topic.startswith(TOPIC):
                continue
            for change in records:
                if change.key.startswith(REPLICA_PREFIX) and change.value:
                    replica = decode(change.value)
                    key = replica.name, replica.epoch
                    known = self.ever_recorded.setdefault(key, replica)
                    assert known == replica, (known, replica)

    def _try(self, work) -> None:
        try:
            self.loop.run_until_complete(work)
        except PlatformError:
            return


MACHINES = (EraMachine,)
