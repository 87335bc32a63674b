"""The peers that calls may be forwarded to, and what peers are told."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from ..configuration import Configuration, TargetKind
from ..membership import Epoch, Member, Membership
from ..quotas import PLAN_PREFIX, UPSTREAM_PREFIX, Gates
from ..replicas import Readiness
from ..upstreams import Watcher


class KnownPeers:
    """The daemons of the roster.

    :param membership: keeps the roster and the links
    :param configuration: tells which failure domains are out of service
    """

    def __init__(self, membership: Membership, configuration: Configuration) -> None:
        self._membership = membership
        self._configuration = configuration

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

    def free_slots(self, key: str) -> Mapping[str, int]:
        """Return the free slots by member id that near peers told of.

        :param key: ``plan/NAME``, ``model/NAME`` or ``service/NAME``
        """
        return self._membership.free_slots(key)


class Offers:
    """The free slots that this daemon tells its peers of, by plan and by target.

    :param gates: this daemon's shares
    :param configuration: names the plans and targets
    :param readiness: which replicas serve
    :param watcher: what is known of the hosts
    """

    def __init__(
        self,
        gates: Gates,
        configuration: Configuration,
        readiness: Readiness,
        watcher: Watcher,
    ) -> None:
        self._gates = gates
        self._configuration = configuration
        self._readiness = readiness
        self._watcher = watcher

    def fits(self, epoch: Epoch) -> bool:
        """Return whether everything in flight fits the shares of an epoch.

        :param epoch: one epoch of the daemon's failure domain
        """
        return self._gates.fits(epoch)

    @property
    def free_by_key(self) -> Mapping[str, int]:
        """Return the keys that have a free slot, with their number."""
        lists = self._configuration.lists
        free = {
            f"{PLAN_PREFIX}{p.name}": self._free_of_plan(p.name) for p in lists.plans
        }
        for kind, name in {(grant.kind, grant.target) for grant in lists.grants}:
            free[f"{kind}/{name}"] = sum(map(self._free_at, self._hosts(kind, name)))
        return {key: slots for key, slots in free.items() if slots}

    def _free_of_plan(self, plan: str) -> int:
        return self._gates.gate(f"{PLAN_PREFIX}{plan}").free

    def _free_at(self, host: str) -> int:
        return self._gates.gate(f"{UPSTREAM_PREFIX}{host}").free

    def _hosts(self, kind: TargetKind, name: str) -> list[str]:
        if kind is TargetKind.MODEL:
            return [replica.head for replica in self._readiness.serving(name)]
        entries = self._watcher.entries_by_host.values()
        return [
            entry.name
            for entry in entries
            if entry.service == name and self._watcher.usable(entry.name)
        ]
