"""Peers that calls may be forwarded to, and the free capacity advertised to peers."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping, Sequence
from typing import NamedTuple

from ..configuration import Configuration, TargetKind
from ..membership import Epoch, Member, Membership
from ..quotas import PLAN_PREFIX, UPSTREAM_PREFIX, SlotLimiters, share
from ..replicas import Readiness
from ..upstreams import Watcher

HOLDERS_CACHE_S = 0.5
"""Seconds for which the daemons with shares of a plan and a target are cached."""


class TargetHosts:
    """Looks up the upstreams of the own failure domain that serve a target.

    :param readiness: tells which replicas serve
    :param watcher: tracks the hosts
    """

    def __init__(self, readiness: Readiness, watcher: Watcher) -> None:
        self._readiness = readiness
        self._watcher = watcher

    def hosts(self, target: str) -> list[str]:
        """Return the hosts that accept calls for a target.

        :param target: ``model/NAME`` or ``service/NAME``
        """
        kind, _, name = target.partition("/")
        if kind == TargetKind.MODEL:
            return [replica.head for replica in self._readiness.serving(name)]
        entries = self._watcher.entries_by_host.values()
        return [
            entry.name
            for entry in entries
            if entry.service == name and self._watcher.usable(entry.name)
        ]


class ShareHolders(NamedTuple):
    """Cached result: the daemons that have shares of a plan and a target."""

    own: bool
    """Whether this daemon has shares itself; its peers are not checked then."""
    peers: tuple[Member, ...]
    expires_at: float
    """The loop's time in seconds at which this expires."""


class ForwardingPeers:
    """Finds the daemons of the roster that calls may be forwarded to.

    :param membership: holds the roster and the links
    :param configuration: tells which failure domains are out of service
    :param limiters: this daemon's shares and the limits that are divided into shares
    :param targets: looks up the upstreams of each target
    """

    def __init__(
        self,
        membership: Membership,
        configuration: Configuration,
        limiters: SlotLimiters,
        targets: TargetHosts,
    ) -> None:
        self._membership = membership
        self._configuration = configuration
        self._limiters = limiters
        self._targets = targets
        self._holders_by_plan_and_target: dict[tuple[str, str], ShareHolders] = {}

    @property
    def near_by_id(self) -> Mapping[str, Member]:
        """Return the linked daemons of the own failure domain."""
        membership = self._membership
        return {m.id: m for m in membership.live if m != membership.me}

    @property
    def far_by_domain(self) -> Mapping[str, Sequence[Member]]:
        """Return the daemons of each other failure domain that is in service."""
        membership = self._membership
        out = self._configuration.out_domains | {membership.me.failure_domain}
        return {
            domain: [
                member
                for member in membership.roster.members(domain)
                if member.id not in membership.gone
            ]
            for domain in membership.roster.failure_domains
            if domain not in out
        }

    def near_peers_with_share(self, plan: str, target: str) -> Sequence[Member]:
        """Return the near peers that have shares of a plan and of a target.

        :param plan: name of the plan
        :param target: ``model/NAME`` or ``service/NAME``
        """
        return self._cached_holders(plan, target).peers

    def has_share(self, plan: str, target: str) -> bool:
        """Return whether this daemon has shares of a plan and of a target.

        :param plan: name of the plan
        :param target: ``model/NAME`` or ``service/NAME``
        """
        return self._cached_holders(plan, target).own

    def _cached_holders(self, plan: str, target: str) -> ShareHolders:
        now = asyncio.get_running_loop().time()
        known = self._holders_by_plan_and_target.get((plan, target))
        if known is None or known.expires_at <= now:
            known = self._compute_holders(
                plan, target, expires_at=now + HOLDERS_CACHE_S
            )
            self._holders_by_plan_and_target[plan, target] = known
        return known

    def _compute_holders(
        self, plan: str, target: str, *, expires_at: float
    ) -> ShareHolders:
        keys = [f"{UPSTREAM_PREFIX}{host}" for host in self._targets.hosts(target)]
        plan_key = f"{PLAN_PREFIX}{plan}"

        def has_shares(member_id: str) -> bool:
            if not self._share(plan_key, member_id):
                return False
            return any(self._share(key, member_id) for key in keys)

        if has_shares(self._membership.me.id):
            return ShareHolders(True, (), expires_at)
        near = self.near_by_id.values()
        return ShareHolders(
            False, tuple(m for m in near if has_shares(m.id)), expires_at
        )

    def _share(self, key: str, member_id: str) -> int:
        limit = self._limiters.limiter(key).limit
        return share(limit, key, self._membership.window, member_id)

    def free_slots(self, key: str) -> Mapping[str, int]:
        """Return the free slots that near peers advertise, by member id.

        :param key: ``plan/NAME``, ``model/NAME`` or ``service/NAME``
        """
        return self._membership.free_slots(key)


class AdvertisedCapacity:
    """The free slots that this daemon advertises to its peers, by plan and by target.

    :param limiters: this daemon's shares
    :param configuration: lists the plans and targets
    :param targets: looks up the upstreams of each target
    """

    def __init__(
        self, limiters: SlotLimiters, configuration: Configuration, targets: TargetHosts
    ) -> None:
        self._limiters = limiters
        self._configuration = configuration
        self._targets = targets

    def fits(self, epoch: Epoch) -> bool:
        """Return whether all calls in flight fit into the shares of an epoch.

        :param epoch: one epoch of the daemon's failure domain
        """
        return self._limiters.fits(epoch)

    @property
    def free_by_key(self) -> Mapping[str, int]:
        """Return the number of free slots by key, without keys that have none."""
        lists = self._configuration.lists
        plans = (f"{PLAN_PREFIX}{plan.name}" for plan in lists.plans)
        free = {key: self._limiters.limiter(key).free for key in plans}
        for target in {f"{grant.kind}/{grant.target}" for grant in lists.grants}:
            hosts = self._targets.hosts(target)
            limiters = (
                self._limiters.limiter(f"{UPSTREAM_PREFIX}{host}") for host in hosts
            )
            free[target] = sum(limiter.free for limiter in limiters)
        return {key: slots for key, slots in free.items() if slots}
