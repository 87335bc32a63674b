"""Copies of a topic whose reads, loads and updates arrive late and out of order."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

import async_solipsism
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from auburnproxy.store import Change, ExpiredError, Follower
from auburnproxy.store.follower import TopicUpdate
from features.fakes.held_store import HeldStore
from features.fakes.store import FakeTopics, null_decisions
from features.machines.runner import close_loop

TOPIC, KEYS, DAEMONS = "servers", ("a", "b"), 2
numbers = st.integers(0, DAEMONS - 1)
SHORT_S = 0.02
"""Time in which a call reaches the store."""


class LateReadMachine(RuleBasedStateMachine):
    """Two daemons follow a topic while keys are written and deleted."""

    @initialize()
    def start(self) -> None:
        self.loop = async_solipsism.EventLoop()
        self.topics = FakeTopics()
        self.written = 0
        self.stores = [HeldStore(self.topics) for _ in range(DAEMONS)]
        self.followers = [self._follower(store) for store in self.stores]
        for follower in self.followers:
            self._run(follower.read_once(wait=False))
        self.copies: list[tuple[int, TopicUpdate]] = []
        """Copies on their way, with the number of their receiver."""

    def _follower(self, store: HeldStore) -> Follower:
        return Follower(store, TOPIC, null_decisions())

    def teardown(self) -> None:
        if not hasattr(self, "loop"):
            return
        try:
            for store in self.stores:
                store.holding = False
                while store.held:
                    store.release()
                    self._pass_time()
            for follower in self.followers:
                self._run(follower.read_once(wait=False))
            self.copies_are_true()
            newest = {c.key: c.value for c in self.topics.newest(TOPIC).changes}
            for follower in self.followers:
                assert {k: c.value for k, c in follower.by_key.items()} == newest
        finally:
            close_loop(self.loop)

    @rule(key=st.sampled_from(KEYS), reader=numbers, late=st.booleans())
    def write(self, key: str, reader: int, late: bool) -> None:
        """Write a key, which one daemon reads."""
        self.written += 1
        self.topics.append(TOPIC, [Change(key, b"%d" % self.written)])
        self.read(reader, late)

    @rule(key=st.sampled_from(KEYS), reader=numbers, copied=st.booleans())
    def delete(self, key: str, reader: int, copied: bool) -> None:
        """Delete a key; one daemon reads that, and the other may get a copy of it."""
        self.topics.append(TOPIC, [Change(key, b"")])
        self.read(reader, late=False)
        if copied:
            self.copy_now(1 - reader)

    @rule(number=numbers, late=st.booleans())
    def read(self, number: int, late: bool) -> None:
        store, follower = self.stores[number], self.followers[number]
        store.holding = late
        task = self.loop.create_task(self._read(follower))
        self._pass_time()
        assert late or task.done()

    @rule(number=numbers, place=st.integers(0, 1))
    def arrive(self, number: int, place: int) -> None:
        store = self.stores[number]
        store.holding = False
        if place < len(store.held):
            store.release(place)
            self._pass_time()

    @rule(receiver=numbers)
    def send_copy(self, receiver: int) -> None:
        """Send the copy of one daemon to the other one."""
        source, target = self.followers[1 - receiver], self.followers[receiver]
        if source.current:
            position = target.end if target.current else -1
            update = self._call(source.changes_since, position)
            self.copies.append((receiver, update))

    def copy_now(self, receiver: int) -> None:
        self.send_copy(receiver)
        self.receive_copy(len(self.copies) - 1)

    @rule(place=st.integers(0, 1))
    def receive_copy(self, place: int) -> None:
        if 0 <= place < len(self.copies):
            receiver, update = self.copies.pop(place)
            self._call(self.followers[receiver].apply_update, update)

    @rule(number=numbers, expires=st.booleans())
    def restart(self, number: int, expires: bool) -> None:
        """Start a daemon anew, or let the store drop the records read so far."""
        if expires:
            self.topics.expire(TOPIC)
            return
        self.followers[number] = self._follower(self.stores[number])
        self.copies = [each for each in self.copies if each[0] != number]

    @invariant()
    def copies_are_true(self) -> None:
        """Check each copy against the records before its end."""
        if not hasattr(self, "followers"):
            return
        for follower in self.followers:
            if not follower.complete:
                continue
            newest: dict[str, Change] = {}
            for change in self.topics.records(TOPIC)[: follower.end]:
                newest[change.key] = change
            for key in KEYS:
                known, true = follower.by_key.get(key), newest.get(key)
                if known is not None and known.offset >= follower.end:
                    continue  # A load reads keys in turn, also past the end.
                value = true.value if true is not None else b""
                assert (known.value if known else b"") == value, (key, known, true)

    async def _read(self, follower: Follower) -> None:
        try:
            await follower.read_once(wait=False)
        except ExpiredError:
            return

    def _call(self, function: Callable[..., Any], *arguments: Any) -> Any:
        """Call a function while the loop runs."""

        async def call() -> Any:
            return function(*arguments)

        return self.loop.run_until_complete(call())

    def _run(self, work: Coroutine[Any, Any, None]) -> None:
        self.loop.run_until_complete(work)

    def _pass_time(self) -> None:
        self._run(asyncio.sleep(SHORT_S))


MACHINES = (LateReadMachine,)
