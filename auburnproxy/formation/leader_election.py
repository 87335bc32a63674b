"""Election of the daemon that forms replicas, with failover within seconds."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Collection

from ..clock import loop_time
from ..errors import PlatformError
from ..rendezvous import rank_names
from ..telemetry.decisions import DecisionLog
from .registry import ReplicaRegistry

POLL_INTERVAL_S = 0.2
CANDIDATE_STAGGER_S = 0.4
"""Delay between the attempts of two candidates; one takes a few milliseconds."""
MINORITY_WAIT_S = 4.0
"""Extra delay of a daemon that hears from less than half of the others: it is more
likely partitioned away than all of them are down."""
NO_LEADER = " "
"""Value that a leader records when it resigns."""


class LeaderElection:
    """Takes over the leadership when the leader is silent.

    A single leader saves calls and avoids conflicting plans. Correctness does not
    depend on it: every change of the registry is a conditional append, so two
    leaders at the same time do no harm.

    :param name: name of this daemon
    :param registry: records which daemon is the leader
    :param live_daemons: returns the other daemons that have been heard from lately
    :param active_leaders: returns those of them that claim to be an active leader
    :param all_daemons: returns every recorded daemon
    :param suitable: returns whether a daemon's host has the resources to lead; other
        daemons take over only after the suitable ones
    :param failure_domain_of: returns the failure domain of a daemon; daemons in the
        leader's failure domain notice its loss first, so they take over before others
    :param decisions: logs each failed attempt
    """

    def __init__(
        self,
        name: str,
        registry: ReplicaRegistry,
        *,
        live_daemons: Callable[[], Collection[str]],
        active_leaders: Callable[[], Collection[str]],
        all_daemons: Callable[[], Collection[str]],
        suitable: Callable[[str], bool] = lambda daemon: True,
        failure_domain_of: Callable[[str], str] = lambda daemon: "",
        decisions: DecisionLog,
    ) -> None:
        self._name = name
        self._registry = registry
        self._live_daemons = live_daemons
        self._active_leaders = active_leaders
        self._all_daemons = all_daemons
        self._suitable = suitable
        self._failure_domain_of = failure_domain_of
        self._decisions = decisions
        self._leader_silent_since: float | None = None
        self._resigned = False

    @property
    def is_leader(self) -> bool:
        """Return whether this daemon is the leader."""
        return not self._resigned and self._registry.leader == self._name

    @property
    def is_active_leader(self) -> bool:
        """Return whether this daemon is the leader and can reach the store."""
        return self.is_leader and self._registry.follower.up

    async def run(self) -> None:
        """Watch the leader until cancelled."""
        while True:
            try:
                await self.step()
            except PlatformError as error:
                self._decisions.belief("duty_not_taken", reason=str(error))
            await asyncio.sleep(POLL_INTERVAL_S)

    async def step(self) -> None:
        """Take over if the leader is silent and it is this daemon's turn.

        :raises PlatformError: if the new leader was not recorded
        """
        follower = self._registry.follower
        if self._resigned or not follower.complete or not follower.up:
            return
        leader = self._registry.leader
        if leader == self._name or (leader and leader in self._active_leaders()):
            self._leader_silent_since = None
            return
        now = loop_time()
        if self._leader_silent_since is None:
            self._leader_silent_since = now
        if now - self._leader_silent_since >= self._wait_s(self._live_daemons()):
            self._leader_silent_since = None
            # Most daemons get the registry from peers, which may lag behind the store;
            # a new leader needs the current records.
            await follower.read_once(wait=False)
            if self._registry.leader == leader and not self._resigned:
                await self._registry.record_leader(self._name)

    async def resign(self) -> None:
        """Give up the leadership so that another daemon takes over at once."""
        is_leader, self._resigned = self.is_leader, True
        if is_leader:
            try:
                await self._registry.record_leader(NO_LEADER)
            except PlatformError as error:
                self._decisions.belief("duty_not_given_up", reason=str(error))

    def _wait_s(self, live_daemons: Collection[str]) -> float:
        ranking = rank_names("duty", {self._name, *live_daemons})
        leader_failure_domain = self._failure_domain_of(self._registry.leader)
        ranking.sort(
            key=lambda daemon: (
                self._failure_domain_of(daemon) != leader_failure_domain,
                not self._suitable(daemon),
            )
        )
        stagger_s = CANDIDATE_STAGGER_S * ranking.index(self._name)
        in_minority = 2 * (len(live_daemons) + 1) < len(self._all_daemons())
        return stagger_s + (MINORITY_WAIT_S if in_minority else 0.0)
