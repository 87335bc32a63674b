"""Writes what the journal should know of the roster."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from loguru import logger

from ..errors import AuburnError
from .rendezvous import rank
from .roster import DIVIDE, LEAVE, SETTLE

if TYPE_CHECKING:
    from .membership import Membership

TICK_S = 1.0
PROPOSE_TIMEOUT_S = 10.0
EPOCHS_KEPT = 4
"""Kept epochs from which on a settled one is recorded."""
TURN_TICKS = 5
"""Ticks after which the next failure domain writes what the first one did not."""

log = logger.bind(part="roster")


class Steward:
    """Proposes leaves of members that are gone, settled epochs and divisions.

    Two stewards at once do no harm: the fold rejects the second record.

    :param membership: the daemon's membership
    :param is_out: whether a failure domain is out of service
    """

    def __init__(self, membership: Membership, is_out: Callable[[str], bool]) -> None:
        self._membership = membership
        self._is_out = is_out
        self._waited = 0

    async def run(self) -> None:
        """Propose what is due every second; until cancelled."""
        while True:
            await asyncio.sleep(TICK_S)
            if not self._membership.journal.up or not self._membership.joined:
                continue
            for domain in self._membership.roster.failure_domains:
                if self._tends(domain):
                    await self._record_gone(domain)
            await self._record_settled()
            await self._record_division()

    def _tends(self, domain: str) -> bool:
        """Return whether this daemon writes for a failure domain now."""
        membership = self._membership
        mine = domain == membership.me.failure_domain
        if not mine and self._lives(domain):
            return False
        order = rank(f"steward/{domain}", membership.live)
        return bool(order) and order[0] == membership.me

    async def _record_gone(self, domain: str) -> None:
        membership = self._membership
        for member in membership.roster.members(domain):
            if member.id in membership.gone and member != membership.me:
                await self._propose(LEAVE, {"member": member.id})

    async def _record_settled(self) -> None:
        membership = self._membership
        domain = membership.me.failure_domain
        numbers = [epoch.number for epoch in membership.roster.epochs(domain)]
        settled = membership.view.settled
        if len(numbers) <= EPOCHS_KEPT or settled not in numbers[1:]:
            return
        if self._tends(domain):
            body = {"failure_domain": domain, "number": settled}
            await self._propose(SETTLE, body)

    async def _record_division(self) -> None:
        """Give no part of the plans to failure domains that are out of service."""
        membership = self._membership
        domains = [d for d in membership.roster.failure_domains if self._lives(d)]
        serving = [domain for domain in domains if not self._is_out(domain)]
        weights = {domain: int(domain in serving) for domain in domains}
        divisions = membership.roster.divisions
        if not serving or not divisions or weights == dict(divisions[-1].weights):
            self._waited = 0
            return
        self._waited += 1
        mine = membership.me.failure_domain
        if mine not in serving or not self._tends(mine):
            return
        if self._waited > TURN_TICKS * serving.index(mine):
            await self._propose(DIVIDE, {"weights": weights})

    def _lives(self, domain: str) -> bool:
        members = self._membership.roster.members(domain)
        return any(member.id not in self._membership.gone for member in members)

    async def _propose(self, kind: str, body: dict[str, Any]) -> None:
        journal = self._membership.journal
        try:
            await journal.propose(kind, body, expects={}, timeout_s=PROPOSE_TIMEOUT_S)
        except AuburnError as error:
            log.warning("{} was not recorded: {}.", kind, error)
