"""The choice of a peer for a call that has no slot here."""

from __future__ import annotations

from collections.abc import Collection, Iterable
from itertools import count

from ..clock import loop_time
from ..membership import Member
from ._protocols import Peers

PROBE_PAUSE_S = 1.0
"""Seconds for which a failure domain that refused a call is not probed again."""
FAR_TRIES = 4
"""Far peers that are asked to let one call wait."""
WAITING = "waiting/"


def waiting_at(member: Member) -> str:
    """Return what stands for a peer that refused a call although it might wait."""
    return f"{WAITING}{member.id}"


class Spill:
    """Chooses a peer that has, or may have, a slot of the plan and of the target.

    Peers of the own failure domain tell of their free slots in beats. Those of
    other failure domains do not: one of their daemons is probed with the call
    itself, and a refusal keeps further ones away for a while. So the links
    between failure domains carry nothing while nobody needs them.

    :param peers: the other daemons
    """

    def __init__(self, peers: Peers) -> None:
        self._peers = peers
        self._turns = count()
        self._paused_until: dict[tuple[str, str, str], float] = {}

    def choose(
        self, plan: str, target: str, *, exclude: Collection[str] = ()
    ) -> Member | None:
        """Return a peer to forward to, or None.

        A call that has failed elsewhere already is not used as a probe.

        :param plan: name of the caller's plan
        :param target: ``model/NAME`` or ``service/NAME``
        :param exclude: hosts and ids of peers that the call has failed on
        """
        near = self._near(plan, target, exclude)
        if near is not None or exclude:
            return near
        return self._probe(plan, target)

    def waits_here(self, plan: str, target: str) -> bool:
        """Return whether a call may wait here for a slot.

        It waits in vain where this daemon has no share of the plan or of the
        target: no slot here would ever come free for it.

        :param plan: name of the caller's plan
        :param target: kind and name of the target
        """
        return self._peers.has_share(plan, target)

    def holder(
        self, plan: str, target: str, *, exclude: Collection[str] = ()
    ) -> Member | None:
        """Return a peer to wait at, None if there is none or a call can wait here.

        It is a near one that has shares. If none has or all have refused, it is
        one of another failure domain.

        :param plan: name of the caller's plan
        :param target: kind and name of the target
        :param exclude: what the call has failed on; a peer that had no free slot
            may still be waited at, one that refused to let it wait may not
        """
        if self._peers.has_share(plan, target):
            return None
        near = self._peers.holders(plan, target)
        found = _allowed(near, exclude) or _allowed(self._far(exclude), exclude)
        return found[next(self._turns) % len(found)] if found else None

    def _far(self, exclude: Collection[str]) -> list[Member]:
        """Return the far peers to wait at, none after some have refused."""
        if sum(name.startswith(WAITING) for name in exclude) >= FAR_TRIES:
            return []
        far_by_domain = self._peers.far_by_domain
        return [m for domain in sorted(far_by_domain) for m in far_by_domain[domain]]

    def refused(self, member: Member, plan: str, target: str) -> None:
        """Note that a peer refused a call.

        :param member: the peer
        :param plan: name of the caller's plan
        :param target: kind and name of the target
        """
        key = (member.failure_domain, plan, target)
        self._paused_until[key] = loop_time() + PROBE_PAUSE_S

    def _near(self, plan: str, target: str, exclude: Collection[str]) -> Member | None:
        plan_free = self._peers.free_slots(f"plan/{plan}")
        near = self._peers.near_by_id
        found = [
            (-free, member_id)
            for member_id, free in self._peers.free_slots(target).items()
            if free > 0 and plan_free.get(member_id, 0) > 0 and member_id in near
        ]
        found = [entry for entry in found if entry[1] not in exclude]
        return near[min(found)[1]] if found else None

    def _probe(self, plan: str, target: str) -> Member | None:
        now = loop_time()
        self._paused_until = {k: t for k, t in self._paused_until.items() if t > now}
        members_by_domain = {
            domain: members
            for domain, members in self._peers.far_by_domain.items()
            if members and (domain, plan, target) not in self._paused_until
        }
        if not members_by_domain:
            return None
        turn = next(self._turns)
        domain = sorted(members_by_domain)[turn % len(members_by_domain)]
        members = members_by_domain[domain]
        return members[turn // len(members_by_domain) % len(members)]


def _allowed(members: Iterable[Member], exclude: Collection[str]) -> list[Member]:
    """Return the members that have not refused to let the call wait."""
    return [member for member in members if waiting_at(member) not in exclude]
