"""Detection of members whose host is lost or out of service."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING

from loguru import logger

from .member import Member

if TYPE_CHECKING:
    from .membership import Membership

TICK_S = 1.0
MAX_STEP_S = 2 * TICK_S
"""Most that one check adds to a silence, so that this daemon's pauses don't count."""

log = logger.bind(part="membership")


class LostMemberDetector:
    """Marks members as gone whose host is lost, or out of service and silent.

    :param membership: the daemon's membership
    :param lost_hosts: returns the names of daemons whose hosts no longer run anything
    :param is_out: whether a failure domain, or a host in it, is out of service
    :param silence_limit_s: silence after which a member that is out counts as gone
    """

    def __init__(
        self,
        membership: Membership,
        lost_hosts: Callable[[], frozenset[str]],
        is_out: Callable[[str, str], bool],
        silence_limit_s: float,
    ) -> None:
        self.own_host_lost = False
        """Whether this daemon's host is reported lost and no peer is linked, so that
        peers may consider this daemon gone."""
        self._membership = membership
        self._lost_hosts = lost_hosts
        self._is_out = is_out
        self._silence_limit_s = silence_limit_s
        self._silence_s_by_id: dict[str, float] = {}
        self._checked_at = 0.0

    async def run(self) -> None:
        """Check every second, until cancelled."""
        self._checked_at = asyncio.get_running_loop().time()
        while True:
            self.check()
            await asyncio.sleep(TICK_S)

    def check(self) -> None:
        """Mark the members that are newly known to be gone."""
        now = asyncio.get_running_loop().time()
        step_s = min(now - self._checked_at, MAX_STEP_S)
        self._checked_at = now
        membership = self._membership
        lost = self._lost_hosts()
        linked = bool(membership.heartbeats_by_id)
        self.own_host_lost = membership.me.name in lost and not linked
        for member in self._other_members():
            if member.name in lost:
                self._mark_gone(member, "its host was lost")
            elif self._update_silence(member, step_s) >= self._silence_limit_s:
                self._mark_gone(member, "it is out of service and silent")

    def _other_members(self) -> set[Member]:
        membership = self._membership
        roster, gone = membership.roster, membership.gone
        epochs = (e for d in roster.failure_domains for e in roster.epochs(d))
        members = {m for epoch in epochs for m in epoch.members if m.id not in gone}
        return members - {membership.me}

    def _update_silence(self, member: Member, step_s: float) -> float:
        """Update and return the seconds of silence of an out-of-service member."""
        out = self._is_out(member.failure_domain, member.name)
        if not out or not self._is_silent(member):
            self._silence_s_by_id.pop(member.id, None)
            return 0.0
        silence_s = self._silence_s_by_id.get(member.id, 0.0) + step_s
        self._silence_s_by_id[member.id] = silence_s
        return silence_s

    def _is_silent(self, member: Member) -> bool:
        membership = self._membership
        domain = member.failure_domain
        if domain == membership.me.failure_domain:
            return member.id not in membership.heartbeats_by_id
        linked = {link.peer.failure_domain for link in membership.links}
        return membership.is_delegate_to(domain) and domain not in linked

    def _mark_gone(self, member: Member, reason: str) -> None:
        if self._membership.view.mark_gone((member.id,)):
            log.warning("Member {} is gone: {}.", member.id, reason)
