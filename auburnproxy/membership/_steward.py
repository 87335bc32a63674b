"""Writes what the journal should know of the roster, one daemon for each domain."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from loguru import logger

from ..errors import AuburnError
from .rendezvous import rank
from .roster import LEAVE, SETTLE

if TYPE_CHECKING:
    from .membership import Membership

TICK_S = 1.0
PROPOSE_TIMEOUT_S = 10.0
EPOCHS_KEPT = 4
"""Kept epochs from which on a settled one is recorded."""

log = logger.bind(part="roster")


class Steward:
    """Proposes the leave of members that are gone, and the newest settled epoch.

    Two stewards at once do no harm: the fold rejects the second record.

    :param membership: the daemon's membership
    """

    def __init__(self, membership: Membership) -> None:
        self._membership = membership

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

    def _tends(self, domain: str) -> bool:
        """Return whether this daemon writes for a failure domain now."""
        membership = self._membership
        members = membership.roster.members(domain)
        mine = domain == membership.me.failure_domain
        if not mine and any(m.id not in membership.gone for m in members):
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

    async def _propose(self, kind: str, body: dict[str, Any]) -> None:
        journal = self._membership.journal
        try:
            await journal.propose(kind, body, expects={}, timeout_s=PROPOSE_TIMEOUT_S)
        except AuburnError as error:
            log.warning("{} was not recorded: {}.", kind, error)
