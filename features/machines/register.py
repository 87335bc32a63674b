"""State machine for concurrent writers of the replica registry on a faulty store.

The invariants replay the log independently of the registry.
"""

from __future__ import annotations

import async_solipsism
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from auburnproxy.errors import PlatformError
from auburnproxy.formation import ReplicaRegistry
from auburnproxy.formation.placement import NewReplica
from auburnproxy.formation.record import decode
from auburnproxy.formation.registry import REPLICA_PREFIX, TOPIC
from auburnproxy.store import Follower
from features.fakes.fleet import host
from features.fakes.store import FakeStore, FakeTopics, null_decisions

HOSTS = 6
WRITERS = 3


class RegisterMachine(RuleBasedStateMachine):
    """Three concurrent writers record and drop replicas of two hosts each."""

    @initialize()
    def start(self) -> None:
        self.loop = async_solipsism.EventLoop()
        self.topics = FakeTopics()
        self.stores = [FakeStore(self.topics) for _ in range(WRITERS)]
        self.registries = []
        for store in self.stores:
            follower = Follower(store, TOPIC, null_decisions())
            self.registries.append(
                ReplicaRegistry(store, null_decisions(), follower, unique_suffix=str)
            )

    def teardown(self) -> None:
        self.loop.close()

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
        new_replica = NewReplica(
            "small", "fd1/f0", (host(f"h{first}"), host(f"h{second}"))
        )
        self._try(registry.change([new_replica], dropped=dropped))

    @rule(writer=st.integers(0, WRITERS - 1))
    def read(self, writer: int) -> None:
        self._try(self.registries[writer].follower.read_once(wait=False))

    @rule(writer=st.integers(0, WRITERS - 1))
    def lose_answer(self, writer: int) -> None:
        self.stores[writer].lose_answers = 1

    @rule(writer=st.integers(0, WRITERS - 1), away=st.booleans())
    def cut(self, writer: int, away: bool) -> None:
        self.stores[writer].rejecting = away

    @rule()
    def expire(self) -> None:
        self.topics.expire(TOPIC)

    @rule(writer=st.integers(0, WRITERS - 1))
    def restart(self, writer: int) -> None:
        follower = Follower(self.stores[writer], TOPIC, null_decisions())
        self.registries[writer] = ReplicaRegistry(
            self.stores[writer], null_decisions(), follower, unique_suffix=str
        )

    @invariant()
    def hosts_are_apart(self) -> None:
        if not hasattr(self, "topics"):
            return
        hosts_by_name: dict[str, tuple[str, ...]] = {}
        newest_epoch = -1
        for change in self.topics.records(TOPIC):
            name = change.key.removeprefix(REPLICA_PREFIX)
            if not change.value:
                hosts_by_name.pop(name, None)
                continue
            replica = decode(change.value)
            assert replica.epoch == change.offset > newest_epoch, replica
            newest_epoch = replica.epoch
            hosts_by_name[name] = replica.ids
            hosts = [h for ids in hosts_by_name.values() for h in ids]
            assert len(hosts) == len(set(hosts)), hosts_by_name

    @invariant()
    def copies_agree_with_the_log(self) -> None:
        if not hasattr(self, "topics"):
            return
        for registry in self.registries:
            follower = registry.follower
            if not follower.complete:
                continue
            expected: dict[str, int] = {}
            for change in self.topics.records(TOPIC)[: follower.end]:
                expected.pop(change.key, None)
                if change.value:
                    expected[change.key] = change.offset
            held = {key: change.offset for key, change in follower.by_key.items()}
            assert held == expected, (held, expected)

    def _try(self, work) -> None:
        try:
            self.loop.run_until_complete(work)
        except PlatformError:
            return


MACHINES = (RegisterMachine,)
