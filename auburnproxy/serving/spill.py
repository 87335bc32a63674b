"""The choice of a peer for a call that has no slot here."""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable

from ..membership import Member
from ._protocols import Peers

UpstreamKeys = Callable[[str], Iterable[str]]


class Spill:
    """Chooses a peer that has a free slot of the plan and of the target.

    :param peers: the other daemons
    :param upstream_keys: returns the gate keys of the upstreams of a target,
        ``model/NAME`` or ``service/NAME``, in every failure domain
    :param failure_domain: the own one, whose peers go first
    """

    def __init__(
        self, peers: Peers, upstream_keys: UpstreamKeys, *, failure_domain: str
    ) -> None:
        self._peers = peers
        self._upstream_keys = upstream_keys
        self._failure_domain = failure_domain

    def choose(
        self, plan: str, target: str, *, exclude: Collection[str] = ()
    ) -> Member | None:
        """Return the peer with the most free slots, near ones first, or None.

        :param plan: name of the caller's plan
        :param target: ``model/NAME`` or ``service/NAME``
        :param exclude: ids of peers that the call has failed on
        """
        plan_free = self._peers.free_slots(f"plan/{plan}")
        free_by_member: dict[str, int] = {}
        for key in self._upstream_keys(target):
            for member_id, free in self._peers.free_slots(key).items():
                free_by_member[member_id] = free_by_member.get(member_id, 0) + free
        members = self._peers.members_by_id
        found = [
            (members[m].failure_domain != self._failure_domain, -free, m)
            for m, free in free_by_member.items()
            if free > 0 and plan_free.get(m, 0) > 0 and m in members
        ]
        found = [entry for entry in found if entry[2] not in exclude]
        return members[min(found)[2]] if found else None
