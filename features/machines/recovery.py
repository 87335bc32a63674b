"""State machine for host failures: recorded replicas must serve or be ended.

Hosts are lost, partitioned away and replaced at random, and daemons take over.
"""

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
REGISTRATION_EXPIRY_S = 4.0
RECOVERY_S = 15.0
"""Upper bound of the time in which lost replicas are replaced."""
NUMBERS = st.sets(st.integers(0, HOSTS - 1), min_size=1, max_size=HOSTS)


class RecoveryMachine(RuleBasedStateMachine):
    """One failure domain with one fabric domain, its store and the leader."""

    @initialize()
    def start(self) -> None:
        self.loop = async_solipsism.EventLoop()
        self.host_generation = 0
        self.partitioned: set[str] = set()
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
        assert recorded <= served, f"recorded, but not serving: {recorded - served}"
        assert served <= recorded, f"serving, but not recorded: {served - recorded}"

    @rule(seconds=st.sampled_from([0.3, 1.0, 4.0, 12.0]))
    def pass_time(self, seconds: float) -> None:
        self.loop.run_until_complete(self.site.run(seconds))

    @rule(numbers=NUMBERS)
    def lose(self, numbers: set[int]) -> None:
        """Stop processes permanently; their registrations expire."""
        fleet = self.site.fleet
        names = [name for n, name in enumerate(sorted(fleet.hosts)) if n in numbers]
        for name in names:
            fleet.stop(name)
        by_host = self.site.replica_registry.by_host
        self.site.stalled_heads.update(
            by_host[name].head.id for name in names if name in by_host
        )
        self.pass_time(REGISTRATION_EXPIRY_S)
        for name in names:
            fleet.unregister(name)

    @rule(numbers=NUMBERS)
    def add(self, numbers: set[int]) -> None:
        """Add new hosts, every second time with the weights of the large model."""
        self.host_generation += 1
        staged = ("large",) if self.host_generation % 2 else ()
        for number in numbers:
            self.site.fleet.add(
                host(f"n{self.host_generation}-{number}", staged=staged)
            )

    @rule(numbers=NUMBERS)
    @precondition(lambda self: not self.partitioned)
    def cut_off(self, numbers: set[int]) -> None:
        """Partition running hosts from the daemon and the store."""
        fleet = self.site.fleet
        names = [name for n, name in enumerate(sorted(fleet.hosts)) if n in numbers]
        self.partitioned = {name for name in names if name not in fleet.silent}
        fleet.silent |= self.partitioned
        self.pass_time(REGISTRATION_EXPIRY_S)
        for name in self.partitioned:
            fleet.unregister(name)

    @rule()
    def heal(self) -> None:
        fleet = self.site.fleet
        fleet.silent -= self.partitioned - fleet.stopped
        self.partitioned = set()
        self.site.hears_daemons = True
        fleet.delayed_commands = 0
        self.site.stalled_heads.clear()

    @rule(heard=st.booleans())
    def hear_daemons(self, heard: bool) -> None:
        """Set whether daemons of the failure domain are heard from, until ``heal``."""
        self.site.hears_daemons = heard

    @rule(count=st.integers(1, 10))
    def lose_orders(self, count: int) -> None:
        self.site.fleet.delayed_commands = count

    @rule()
    def take_over(self) -> None:
        """Start another leader that knows only the records and the registrations."""

        async def start_daemon() -> FormationSite:
            return FormationSite([], shared_with=self.site)

        self.site = self.loop.run_until_complete(start_daemon())

    @invariant()
    def no_order_broke_a_rule(self) -> None:
        if hasattr(self, "site"):
            assert not self.site.fleet.violations, self.site.fleet.violations


MACHINES = (RecoveryMachine,)
