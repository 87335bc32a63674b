"""Hosts are lost, cut off and replaced; what is recorded must serve or end."""

from __future__ import annotations

import async_solipsism
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from features.fakes.fleet import host
from features.fakes.formation import FormationSite
from features.machines.runner import close_loop

HOSTS = 14
LAPSE_S = 4.0
RECOVERY_S = 15.0
"""Bound on the time in which what was lost is made good."""
NUMBERS = st.sets(st.integers(0, HOSTS - 1), min_size=1, max_size=HOSTS)


class RecoveryMachine(RuleBasedStateMachine):
    """One failure domain of one fabric domain, its store and a daemon on duty."""

    @initialize()
    def start(self) -> None:
        self.loop = async_solipsism.EventLoop()
        self.born = 0
        self.cut: set[str] = set()
        self.site = self.loop.run_until_complete(self.make())
        self.pass_time(15.0)
        self.site.served = True

    async def make(self) -> FormationSite:
        return FormationSite([host(f"h{number}") for number in range(HOSTS)])

    def teardown(self) -> None:
        if not hasattr(self, "loop"):
            return
        self.heal()
        self.pass_time(4 * RECOVERY_S)
        served = {head.part.replica for head in self.site.fleet.open_heads()}
        recorded = set(self.site.replica_registry.by_name)
        close_loop(self.loop)
        assert recorded <= served, f"neither serve nor ended: {recorded - served}"
        assert served <= recorded, f"serve and are not recorded: {served - recorded}"

    @rule(seconds=st.sampled_from([0.3, 1.0, 4.0, 12.0]))
    def pass_time(self, seconds: float) -> None:
        self.loop.run_until_complete(self.site.run(seconds))

    @rule(numbers=NUMBERS)
    def lose(self, numbers: set[int]) -> None:
        """End processes for good; their registrations lapse."""
        fleet = self.site.fleet
        names = [name for n, name in enumerate(sorted(fleet.hosts)) if n in numbers]
        for name in names:
            fleet.stop(name)
        by_host = self.site.replica_registry.by_host
        self.site.stalled_heads.update(
            by_host[name].head.id for name in names if name in by_host
        )
        self.pass_time(LAPSE_S)
        for name in names:
            fleet.unregister(name)

    @rule(numbers=NUMBERS)
    def add(self, numbers: set[int]) -> None:
        """Add new hosts, with the weights that one of the models needs or none."""
        self.born += 1
        staged = ("large",) if self.born % 2 else ()
        for number in numbers:
            self.site.fleet.add(host(f"n{self.born}-{number}", staged=staged))

    @rule(numbers=NUMBERS)
    @precondition(lambda self: not self.cut)
    def cut_off(self, numbers: set[int]) -> None:
        """Cut running hosts off from the daemon and from the store."""
        fleet = self.site.fleet
        names = [name for n, name in enumerate(sorted(fleet.hosts)) if n in numbers]
        self.cut = {name for name in names if name not in fleet.silent}
        fleet.silent |= self.cut
        self.pass_time(LAPSE_S)
        for name in self.cut:
            fleet.unregister(name)

    @rule()
    def heal(self) -> None:
        fleet = self.site.fleet
        fleet.silent -= self.cut - fleet.stopped
        self.cut = set()
        self.site.hears_daemons = True
        fleet.lose_orders = 0
        self.site.stalled_heads.clear()

    @rule(heard=st.booleans())
    def hear_daemons(self, heard: bool) -> None:
        """Hear the daemons of the failure domain, or not until all has healed."""
        self.site.hears_daemons = heard

    @rule(count=st.integers(1, 10))
    def lose_orders(self, count: int) -> None:
        self.site.fleet.lose_orders = count

    @rule()
    def take_over(self) -> None:
        """Start a daemon that knows the records and the registrations alone."""

        async def beside() -> FormationSite:
            return FormationSite([], beside=self.site)

        self.site = self.loop.run_until_complete(beside())

    @invariant()
    def no_order_broke_a_rule(self) -> None:
        if hasattr(self, "site"):
            assert not self.site.fleet.violations, self.site.fleet.violations


MACHINES = (RecoveryMachine,)
