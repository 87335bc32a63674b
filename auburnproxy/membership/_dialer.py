"""Keeps the links that this daemon wants."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, NamedTuple

from loguru import logger

from ..errors import PeerError
from . import link as links
from .member import Member
from .rendezvous import rank

if TYPE_CHECKING:
    from .membership import Membership

TICK_S = 0.5
RETRY_S = 3.0
TURN_S = 0.5
"""Head start of the member that sorts first, so that two do not cross."""
SILENT_S = 15.0
"""How long a delegate that did not answer is passed over."""

log = logger.bind(part="peers")


class Wanted(NamedTuple):
    """A link to keep."""

    address: str
    member: Member | None = None
    """Who should answer there; None for a seed."""


class Dialer:
    """Dials members of the own failure domain, delegates of others, and seeds.

    :param membership: the daemon's membership
    """

    def __init__(self, membership: Membership) -> None:
        self._membership = membership
        self._tasks_by_address: dict[str, asyncio.Task[None]] = {}
        self._due_by_address: dict[str, float] = {}
        self._silent_until_by_id: dict[str, float] = {}

    def delegate(self, failure_domain: str) -> Member | None:
        """Return the member of a failure domain that the own one links with.

        :param failure_domain: its name
        """
        membership = self._membership
        mine = membership.me.failure_domain
        if failure_domain == mine:
            live = membership.live
            return next(iter(rank(f"delegate/{mine}", live)), None)
        return self._first_answering(failure_domain)

    async def run(self) -> None:
        """Dial whoever is wanted and not linked; until cancelled."""
        async with asyncio.TaskGroup() as group:
            while True:
                for wanted in self._wanted():
                    if self._is_due(wanted):
                        task = group.create_task(self._dial(wanted))
                        self._tasks_by_address[wanted.address] = task
                await asyncio.sleep(TICK_S)

    def _wanted(self) -> list[Wanted]:
        membership = self._membership
        me, gone = membership.me, membership.gone
        roster = membership.roster
        epochs = roster.epochs(me.failure_domain)
        members = {m for e in epochs for m in e.members if m.id not in gone}
        for domain in roster.failure_domains:
            if domain != me.failure_domain and self._links_with(domain):
                other = self._first_answering(domain)
                members |= {other} if other else set()
        members.discard(me)
        wanted = [Wanted(m.peer_address, m) for m in sorted(members)]
        known = {me.peer_address} | {w.address for w in wanted}
        if not membership.joined or not membership.journal.up:
            wanted += [Wanted(s) for s in membership.seeds if s not in known]
        return wanted

    def _links_with(self, failure_domain: str) -> bool:
        """Return whether this daemon is the one that links with a failure domain."""
        membership = self._membership
        key = _pair(membership.me.failure_domain, failure_domain)
        return next(iter(rank(key, membership.live)), None) == membership.me

    def _first_answering(self, failure_domain: str) -> Member | None:
        membership = self._membership
        now = asyncio.get_running_loop().time()
        key = _pair(membership.me.failure_domain, failure_domain)
        for member in rank(key, membership.roster.members(failure_domain)):
            silent = self._silent_until_by_id.get(member.id, 0.0) > now
            if member.id not in membership.gone and not silent:
                return member
        return None

    def _is_due(self, wanted: Wanted) -> bool:
        address = wanted.address
        task = self._tasks_by_address.get(address)
        if task and not task.done():
            return False
        now = asyncio.get_running_loop().time()
        if self._is_linked(wanted):
            self._due_by_address.pop(address, None)
            return False
        first = wanted.member is None or self._membership.me.id < wanted.member.id
        due = self._due_by_address.setdefault(address, now + (0 if first else TURN_S))
        return now >= due

    def _is_linked(self, wanted: Wanted) -> bool:
        linked = self._membership.links_by_id
        if wanted.member:
            return wanted.member.id in linked
        return any(link.peer.peer_address == wanted.address for link in linked.values())

    async def _dial(self, wanted: Wanted) -> None:
        membership, member = self._membership, wanted.member
        try:
            link = await links.dial(wanted.address, membership.me, membership.secret)
        except ConnectionRefusedError:
            self._retry_later(wanted)
            if member:
                membership.mark_gone(member.id, reason="nothing listens there")
            return
        except PeerError as error:
            log.debug("No link with {}: {}.", wanted.address, error)
            self._retry_later(wanted)
            return
        if member and link.peer.id != member.id:
            membership.mark_gone(member.id, reason=f"{link.peer.id} listens there")
        if link.peer.id == membership.me.id or self._is_linked(wanted):
            link.close()
            return
        self._silent_until_by_id.pop(link.peer.id, None)
        self._due_by_address.pop(wanted.address, None)
        await membership.serve(link)

    def _retry_later(self, wanted: Wanted) -> None:
        now = asyncio.get_running_loop().time()
        self._due_by_address[wanted.address] = now + RETRY_S
        if wanted.member:
            self._silent_until_by_id[wanted.member.id] = now + SILENT_S


def _pair(one: str, other: str) -> str:
    return "delegate/" + "/".join(sorted((one, other)))
