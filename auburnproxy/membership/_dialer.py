"""Dials and maintains the links to peers."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, NamedTuple

from loguru import logger

from ..errors import PeerError
from . import link as links
from .member import Member
from .rendezvous import rank
from .view import ProbeResult

if TYPE_CHECKING:
    from .membership import Membership

TICK_S = 0.5
RETRY_S = 2.0
DIAL_DELAY_S = 0.5
"""Head start of the member with the lower id, so that two do not dial each other."""
UNWANTED_LINK_KEEP_S = 2.0
"""Time for which a link that is no longer needed stays open."""
SILENT_SKIP_S = 15.0
"""Time for which other delegates are preferred to one that did not answer."""

log = logger.bind(part="peers")


class WantedLink(NamedTuple):
    """A link to establish and keep."""

    address: str
    member: Member | None = None
    """The member expected at the address; None for a seed."""


class Dialer:
    """Dials the members of the own failure domain, delegates of others, and seeds.

    :param membership: the daemon's membership
    """

    def __init__(self, membership: Membership) -> None:
        self._membership = membership
        self._tasks_by_address: dict[str, asyncio.Task[None]] = {}
        self._due_by_address: dict[str, float] = {}
        self._unwanted_since_by_address: dict[str, float] = {}
        self._silent_until_by_id: dict[str, float] = {}

    def delegate(self, failure_domain: str) -> Member | None:
        """Return the member that represents a failure domain towards the own one.

        :param failure_domain: its name
        """
        membership = self._membership
        own_domain = membership.me.failure_domain
        if failure_domain == own_domain:
            live = membership.live
            return next(iter(rank(f"delegate/{own_domain}", live)), None)
        return self._first_responsive(failure_domain)

    @property
    def silent(self) -> frozenset[str]:
        """Return the ids of members that recently did not answer a dial."""
        now = asyncio.get_running_loop().time()
        silent_until = self._silent_until_by_id.items()
        return frozenset(member_id for member_id, until in silent_until if until > now)

    def is_delegate_to(self, failure_domain: str) -> bool:
        """Return whether this daemon links its failure domain with another one.

        :param failure_domain: its name
        """
        membership = self._membership
        key = _pair_key(membership.me.failure_domain, failure_domain)
        return next(iter(rank(key, membership.live)), None) == membership.me

    async def run(self) -> None:
        """Dial the peers that should be linked and are not, until cancelled."""
        async with asyncio.TaskGroup() as group:
            while True:
                targets = self._wanted_links()
                for wanted in targets:
                    if self._is_due(wanted):
                        task = group.create_task(self._dial(wanted))
                        self._tasks_by_address[wanted.address] = task
                self._drop_unwanted({wanted.address for wanted in targets})
                await asyncio.sleep(TICK_S)

    def _drop_unwanted(self, addresses: set[str]) -> None:
        """Close the links that this daemon dialed and no longer needs."""
        now = asyncio.get_running_loop().time()
        for address, task in list(self._tasks_by_address.items()):
            if address in addresses:
                self._unwanted_since_by_address.pop(address, None)
            elif (
                now - self._unwanted_since_by_address.setdefault(address, now)
                > UNWANTED_LINK_KEEP_S
            ):
                task.cancel()
                del self._tasks_by_address[address]
                del self._unwanted_since_by_address[address]

    def _wanted_links(self) -> list[WantedLink]:
        membership = self._membership
        me, gone = membership.me, membership.gone
        roster = membership.roster
        epochs = roster.epochs(me.failure_domain)
        members = {m for e in epochs for m in e.members if m.id not in gone}
        for domain in roster.failure_domains:
            if domain != me.failure_domain and self.is_delegate_to(domain):
                delegate = self._first_responsive(domain)
                members |= {delegate} if delegate else set()
        members.discard(me)
        wanted = [WantedLink(m.peer_address, m) for m in sorted(members)]
        known = {me.peer_address} | {w.address for w in wanted}
        if not membership.joined or not membership.journal.up:
            wanted += [WantedLink(s) for s in membership.seeds if s not in known]
        return wanted

    def _first_responsive(self, failure_domain: str) -> Member | None:
        membership = self._membership
        skipped = membership.gone | self.silent
        key = _pair_key(membership.me.failure_domain, failure_domain)
        order = rank(key, membership.roster.members(failure_domain))
        return next((m for m in order if m.id not in skipped), None)

    def _is_due(self, wanted: WantedLink) -> bool:
        address = wanted.address
        task = self._tasks_by_address.get(address)
        if task and not task.done():
            return False
        now = asyncio.get_running_loop().time()
        if self._is_linked(wanted):
            self._due_by_address.pop(address, None)
            return False
        dials_first = wanted.member is None or self._membership.me.id < wanted.member.id
        due = self._due_by_address.setdefault(
            address, now + (0 if dials_first else DIAL_DELAY_S)
        )
        return now >= due

    def _is_linked(self, wanted: WantedLink) -> bool:
        links_by_id = self._membership.links_by_id
        if wanted.member:
            return wanted.member.id in links_by_id
        return any(
            link.peer.peer_address == wanted.address for link in links_by_id.values()
        )

    async def _dial(self, wanted: WantedLink) -> None:
        membership, member = self._membership, wanted.member
        try:
            link = await links.dial(wanted.address, membership.me, membership.secret)
        except ConnectionRefusedError:
            self._record_probe(wanted, ProbeResult.REFUSED)
            return
        except PeerError as error:
            log.debug("Failed to link with {}: {}.", wanted.address, error)
            self._record_probe(wanted, ProbeResult.SILENT)
            return
        if member and link.peer.id != member.id:
            self._record_probe(wanted, ProbeResult.REPLACED)
        if link.peer.id == membership.me.id:
            link.close()
            return
        self._silent_until_by_id.pop(link.peer.id, None)
        self._due_by_address.pop(wanted.address, None)
        await membership.serve(link)

    def _record_probe(self, wanted: WantedLink, result: ProbeResult) -> None:
        now = asyncio.get_running_loop().time()
        self._due_by_address[wanted.address] = now + RETRY_S
        if wanted.member is None:
            return
        self._silent_until_by_id[wanted.member.id] = now + SILENT_SKIP_S
        if self._membership.view.record_probe(wanted.member.id, result):
            log.warning(
                "Member {} is gone: its address probe returned {}.",
                wanted.member.id,
                result.name.lower(),
            )


def _pair_key(domain: str, other: str) -> str:
    return "delegate/" + "/".join(sorted((domain, other)))
