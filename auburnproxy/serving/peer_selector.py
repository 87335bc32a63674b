"""Choice of a peer for a call that finds no free slot on this daemon."""

from __future__ import annotations

from collections.abc import Collection, Iterable
from itertools import count

from ..clock import loop_time
from ..membership import Member
from ._protocols import Peers

PROBE_BACKOFF_S = 1.0
"""Seconds for which a failure domain is not probed again after it refused a call."""
MAX_FAR_PEERS = 4
"""Peers in other failure domains that one call is offered to for queueing."""
QUEUEING_PREFIX = "waiting/"


def queueing_exclusion(member: Member) -> str:
    """Return the name that excludes a peer from queueing a call.

    A peer that had no free slot is excluded by its id instead.
    """
    return f"{QUEUEING_PREFIX}{member.id}"


class PeerSelector:
    """Chooses a peer that has, or may have, a free slot of the plan and of the target.

    Near peers, those in the same failure domain, report their free slots in
    heartbeats. Far peers, those in other failure domains, do not, so that links
    between failure domains carry no traffic until it is needed: one of them is
    probed with the call itself, and a refusal suppresses further probes of its
    failure domain for a while.

    :param peers: the other daemons
    """

    def __init__(self, peers: Peers) -> None:
        self._peers = peers
        self._round_robin = count()
        self._probe_backoff_until: dict[tuple[str, str, str], float] = {}

    def choose_for_forwarding(
        self, plan: str, target: str, *, exclude: Collection[str] = ()
    ) -> Member | None:
        """Return a peer to forward a call to, or None.

        A call that has already failed on a host or peer is not used as a probe.

        :param plan: name of the caller's plan
        :param target: ``model/NAME`` or ``service/NAME``
        :param exclude: hosts, and ids of peers, that the call has failed on
        """
        near_peer = self._choose_near(plan, target, exclude)
        if near_peer is not None or exclude:
            return near_peer
        return self._choose_probe(plan, target)

    def may_queue_here(self, plan: str, target: str) -> bool:
        """Return whether a call may queue for a slot on this daemon.

        Without shares of both the plan and the target, it would never get one.

        :param plan: name of the caller's plan
        :param target: ``model/NAME`` or ``service/NAME``
        """
        return self._peers.has_share(plan, target)

    def choose_for_queueing(
        self, plan: str, target: str, *, exclude: Collection[str] = ()
    ) -> Member | None:
        """Return a peer to queue a call at; None if there is none or it can queue here.

        A near peer with shares is preferred. If there is none or all have refused,
        a far peer is returned.

        :param plan: name of the caller's plan
        :param target: ``model/NAME`` or ``service/NAME``
        :param exclude: what the call has failed on; a peer that had no free slot may
            still queue it, one that refused to queue it is excluded
        """
        if self._peers.has_share(plan, target):
            return None
        near_peers = self._peers.near_peers_with_share(plan, target)
        candidates = _not_refusing(near_peers, exclude) or _not_refusing(
            self._far_peers_to_queue_at(exclude), exclude
        )
        return (
            candidates[next(self._round_robin) % len(candidates)]
            if candidates
            else None
        )

    def _far_peers_to_queue_at(self, exclude: Collection[str]) -> list[Member]:
        """Return the far peers to queue at; none once enough of them have refused."""
        if sum(name.startswith(QUEUEING_PREFIX) for name in exclude) >= MAX_FAR_PEERS:
            return []
        far_by_domain = self._peers.far_by_domain
        return [m for domain in sorted(far_by_domain) for m in far_by_domain[domain]]

    def record_refusal(self, member: Member, plan: str, target: str) -> None:
        """Suppress probes of a peer's failure domain after the peer refused a call.

        :param member: the peer
        :param plan: name of the caller's plan
        :param target: ``model/NAME`` or ``service/NAME``
        """
        key = (member.failure_domain, plan, target)
        self._probe_backoff_until[key] = loop_time() + PROBE_BACKOFF_S

    def _choose_near(
        self, plan: str, target: str, exclude: Collection[str]
    ) -> Member | None:
        plan_free = self._peers.free_slots(f"plan/{plan}")
        near_peers = self._peers.near_by_id
        candidates = [
            (-free, member_id)
            for member_id, free in self._peers.free_slots(target).items()
            if free > 0 and plan_free.get(member_id, 0) > 0 and member_id in near_peers
        ]
        candidates = [entry for entry in candidates if entry[1] not in exclude]
        return near_peers[min(candidates)[1]] if candidates else None

    def _choose_probe(self, plan: str, target: str) -> Member | None:
        now = loop_time()
        self._probe_backoff_until = {
            k: t for k, t in self._probe_backoff_until.items() if t > now
        }
        members_by_domain = {
            domain: members
            for domain, members in self._peers.far_by_domain.items()
            if members and (domain, plan, target) not in self._probe_backoff_until
        }
        if not members_by_domain:
            return None
        turn = next(self._round_robin)
        domain = sorted(members_by_domain)[turn % len(members_by_domain)]
        members = members_by_domain[domain]
        return members[turn // len(members_by_domain) % len(members)]


def _not_refusing(members: Iterable[Member], exclude: Collection[str]) -> list[Member]:
    """Return the members that have not refused to queue the call."""
    return [member for member in members if queueing_exclusion(member) not in exclude]
