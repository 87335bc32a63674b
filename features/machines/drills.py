"""Complete daemons through random store restores, partitions, crashes and handovers."""

from __future__ import annotations

import asyncio

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from emulator.daemons import settings_of
from features.fakes.drill import RestoreDrill

DAEMONS = 4
HOSTS = 8
HEAL_S = 40.0
"""Time to load weights, to expire lost registrations and to elect a leader."""


class DrillMachine(RuleBasedStateMachine):
    """Four daemons of two failure domains with eight engines each."""

    @initialize()
    def start(self) -> None:
        self.drill = RestoreDrill(daemons=DAEMONS, domains=2, hosts=HOSTS)
        self.drill.run(15)
        self.started = DAEMONS

    def teardown(self) -> None:
        if not hasattr(self, "drill"):
            return
        for store in self.drill.store_by_name.values():
            store.rejecting = False
        self.drill.network.cut_domains.clear()
        self.drill.run(HEAL_S)
        try:
            self.check()
        finally:
            self.drill.close()

    def check(self) -> None:
        drill = self.drill
        assert not drill.fleet.violations, drill.fleet.violations
        leaders = [
            d.settings.name for d in drill.daemons if d.leader_election.is_leader
        ]
        assert len(leaders) == 1, leaders
        known = [
            (
                d.settings.name,
                d.replica_registry.follower.era,
                sorted(d.replica_registry.by_name),
            )
            for d in drill.daemons
        ]
        assert drill.all_agree(), (drill.topics.era, known)
        registry = drill.daemons[0].replica_registry
        hosts = [host for formed in registry.by_name.values() for host in formed.ids]
        assert len(hosts) == len(set(hosts)), hosts
        assert drill.serving_replicas() == registry.by_name.keys(), (
            drill.serving_replicas(),
            registry.by_name,
        )

    @rule(lost=st.integers(0, 5))
    def come_back_older(self, lost: int) -> None:
        self.drill.restore_without_records("replicas", lost)

    @rule(number=st.integers(0, DAEMONS - 1), away=st.booleans())
    def turn_away(self, number: int, away: bool) -> None:
        self.drill.store_by_name[f"d{number}"].rejecting = away

    @rule(cut=st.booleans())
    def cut(self, cut: bool) -> None:
        domains = self.drill.network.cut_domains
        domains.add("fd1") if cut else domains.discard("fd1")

    @rule()
    def hand_over(self) -> None:
        leader = self.drill.leader
        if leader is not None and len(self.drill.daemons) > DAEMONS - 1:
            self.drill.loop.run_until_complete(self.replace(leader.settings.name))

    @rule(number=st.integers(0, DAEMONS - 1))
    def crash(self, number: int) -> None:
        names = sorted(self.drill.group.daemon_by_name)
        self.drill.loop.run_until_complete(
            self.replace(names[number % len(names)], planned=False)
        )

    async def replace(self, name: str, *, planned: bool = True) -> None:
        """Stop a daemon and start another one in its failure domain."""
        daemon = self.drill.group.daemon_by_name[name]
        if planned:
            await daemon.leader_election.resign()
        await self.drill.group.kill(name)
        settings = settings_of(
            self.started,
            failure_domain=daemon.settings.failure_domain,
            first_start=False,
        )
        self.started += 1
        self.drill.group.start(settings)

    @rule(domain=st.integers(0, 1), number=st.integers(0, HOSTS - 1))
    def lose_engine(self, domain: int, number: int) -> None:
        name, fleet = f"h{domain}-{number}", self.drill.fleet
        lost = len(fleet.stopped)
        if name in fleet.stopped or lost >= HOSTS // 2:
            return
        self.drill.lose_engine(name)

    @rule(seconds=st.sampled_from((0.1, 0.6, 1.5, 4.0)))
    def pass_time(self, seconds: float) -> None:
        self.drill.loop.run_until_complete(asyncio.sleep(seconds))


MACHINES = (DrillMachine,)
