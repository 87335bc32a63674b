"""Proposes roster records to the journal."""

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
MAX_KEPT_EPOCHS = 4
"""A settled epoch is recorded once more epochs than this are kept."""
PROPOSE_DELAY_TICKS = 5
"""Ticks to wait for each preceding failure domain to propose a division."""

log = logger.bind(part="roster")


class RosterProposer:
    """Proposes leaves of members that are gone, settled epochs and divisions.

    Concurrent proposals of two daemons do no harm: the roster rejects the second
    record.

    :param membership: the daemon's membership
    :param is_out: whether a failure domain is out of service
    """

    def __init__(self, membership: Membership, is_out: Callable[[str], bool]) -> None:
        self._membership = membership
        self._is_out = is_out
        self._ticks_waited = 0

    async def run(self) -> None:
        """Propose what is due, every second until cancelled."""
        while True:
            await asyncio.sleep(TICK_S)
            if not self._membership.journal.up or not self._membership.joined:
                continue
            for domain in self._membership.roster.failure_domains:
                if self._is_proposer(domain):
                    await self._propose_leaves(domain)
            await self._propose_settle()
            await self._propose_division()

    def _is_proposer(self, domain: str) -> bool:
        """Return whether this daemon is the one to propose for a failure domain."""
        membership = self._membership
        is_own = domain == membership.me.failure_domain
        if not is_own and self._has_live_members(domain):
            return False
        order = rank(f"steward/{domain}", membership.live)
        return bool(order) and order[0] == membership.me

    async def _propose_leaves(self, domain: str) -> None:
        membership = self._membership
        for member in membership.roster.members(domain):
            if member.id in membership.gone and member != membership.me:
                await self._propose(LEAVE, {"member": member.id})

    async def _propose_settle(self) -> None:
        membership = self._membership
        domain = membership.me.failure_domain
        numbers = [epoch.number for epoch in membership.roster.epochs(domain)]
        settled = membership.view.settled
        if len(numbers) <= MAX_KEPT_EPOCHS or settled not in numbers[1:]:
            return
        if self._is_proposer(domain):
            body = {"failure_domain": domain, "number": settled}
            await self._propose(SETTLE, body)

    async def _propose_division(self) -> None:
        """Propose weight 0 for the failure domains that are out of service."""
        membership = self._membership
        domains = [
            d for d in membership.roster.failure_domains if self._has_live_members(d)
        ]
        serving = [domain for domain in domains if not self._is_out(domain)]
        weights = {domain: int(domain in serving) for domain in domains}
        divisions = membership.roster.divisions
        if not serving or not divisions or weights == dict(divisions[-1].weights):
            self._ticks_waited = 0
            return
        self._ticks_waited += 1
        own_domain = membership.me.failure_domain
        if own_domain not in serving or not self._is_proposer(own_domain):
            return
        if self._ticks_waited > PROPOSE_DELAY_TICKS * serving.index(own_domain):
            await self._propose(DIVIDE, {"weights": weights})

    def _has_live_members(self, domain: str) -> bool:
        members = self._membership.roster.members(domain)
        return any(member.id not in self._membership.gone for member in members)

    async def _propose(self, kind: str, body: dict[str, Any]) -> None:
        journal = self._membership.journal
        try:
            await journal.propose(kind, body, expects={}, timeout_s=PROPOSE_TIMEOUT_S)
        except AuburnError as error:
            log.warning("Failed to record {}: {}.", kind, error)
