"""Which daemon forms replicas: one at a time, and a successor within seconds."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Collection

from ..clock import loop_time
from ..errors import PlatformError
from ..rendezvous import rank_names
from ..telemetry.decisions import Decisions
from .register import Register

TICK_S = 0.2
TURN_S = 0.4
"""Seconds between two candidates' tries; a try takes a few milliseconds."""
ALONE_S = 4.0
"""Seconds that a daemon waits which hears less than half of the others: it is
more likely cut off than they are all gone."""
VACANT = " "
"""Recorded by a daemon that gives the duty up."""


class Duty:
    """Takes the duty over when its holder is silent.

    The duty saves calls and keeps plans apart; what must hold does not rest on
    it, since every change of the register is a conditional append.

    :param name: name of this daemon
    :param register: records who is on duty
    :param present: returns the other daemons that are heard
    :param acting: returns those of them that are on duty and able to act
    :param known: returns every recorded daemon
    :param strong: returns whether a daemon's host is fit for the work; the others take
        the duty only after those that are
    :param domain: returns the failure domain of a daemon; those beside the holder hear
        of its end first, and take the duty before the others
    :param decisions: takes a line for each failed try
    """

    def __init__(
        self,
        name: str,
        register: Register,
        *,
        present: Callable[[], Collection[str]],
        acting: Callable[[], Collection[str]],
        known: Callable[[], Collection[str]],
        strong: Callable[[str], bool] = lambda daemon: True,
        domain: Callable[[str], str] = lambda daemon: "",
        decisions: Decisions,
    ) -> None:
        self._name = name
        self._register = register
        self._present = present
        self._acting = acting
        self._known = known
        self._strong = strong
        self._domain = domain
        self._decisions = decisions
        self._silent_since: float | None = None
        self._left = False

    @property
    def held(self) -> bool:
        """Return whether this daemon is on duty."""
        return not self._left and self._register.on_duty == self._name

    @property
    def acting(self) -> bool:
        """Return whether this daemon is on duty and reaches the store."""
        return self.held and self._register.follower.up

    async def run(self) -> None:
        """Watch the holder until cancelled."""
        while True:
            try:
                await self.step()
            except PlatformError as error:
                self._decisions.belief("duty_not_taken", reason=str(error))
            await asyncio.sleep(TICK_S)

    async def step(self) -> None:
        """Take the duty if its holder is silent and it is this daemon's turn.

        :raises PlatformError: if the duty was not recorded
        """
        follower = self._register.follower
        if self._left or not follower.whole or not follower.up:
            return
        holder = self._register.on_duty
        if holder == self._name or (holder and holder in self._acting()):
            self._silent_since = None
            return
        now = loop_time()
        if self._silent_since is None:
            self._silent_since = now
        if now - self._silent_since >= self._wait_s(self._present()):
            self._silent_since = None
            # Most daemons get the register from peers; this one has to be current.
            await follower.step(wait=False)
            if self._register.on_duty == holder:
                await self._register.take_duty(self._name)

    async def give_up(self) -> None:
        """Let another daemon take the duty at once."""
        held, self._left = self.held, True
        if held:
            try:
                await self._register.take_duty(VACANT)
            except PlatformError as error:
                self._decisions.belief("duty_not_given_up", reason=str(error))

    def _wait_s(self, present: Collection[str]) -> float:
        order = rank_names("duty", {self._name, *present})
        beside = self._domain(self._register.on_duty)
        order.sort(
            key=lambda daemon: (
                self._domain(daemon) != beside,
                not self._strong(daemon),
            )
        )
        turn_s = TURN_S * order.index(self._name)
        alone = 2 * (len(present) + 1) < len(self._known())
        return turn_s + (ALONE_S if alone else 0.0)
