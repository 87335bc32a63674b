"""Keeps the links that this daemon wants."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, NamedTuple

from loguru import logger

from ..errors import PeerError
from . import link as links
from .member import Member
from .rendezvous import rank
from .view import Probe

if TYPE_CHECKING:
    from .membership import Membership

TICK_S = 0.5
RETRY_S = 2.0
TURN_S = 0.5
"""Head start of the member that sorts first, so that two do not cross."""
KEEP_S = 2.0
"""How long a link is kept that is wanted no more."""
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
        self._unwanted_since_by_address: dict[str, float] = {}
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

    @property
    def silent(self) -> frozenset[str]:
        """Return the ids of members that did not answer when they were last dialed."""
        now = asyncio.get_running_loop().time()
        silent = self._silent_until_by_id.items()
        return frozenset(member_id for member_id, until in silent if until > now)

    def links_with(self, failure_domain: str) -> bool:
        """Return whether this daemon is the one that links with a failure domain.

        :param failure_domain: its name
        """
        membership = self._membership
        key = _pair(membership.me.failure_domain, failure_domain)
        return next(iter(rank(key, membership.live)), None) == membership.me

    async def run(self) -> None:
        """Dial whoever is wanted and not linked; until cancelled."""
        async with asyncio.TaskGroup() as group:
            while True:
                every = self._wanted()
                for wanted in every:
                    if self._is_due(wanted):
                        task = group.create_task(self._dial(wanted))
                        self._tasks_by_address[wanted.address] = task
                self._drop_unwanted({wanted.address for wanted in every})
                await asyncio.sleep(TICK_S)

    def _drop_unwanted(self, addresses: set[str]) -> None:
        """End the links that were dialed from here and are wanted no more."""
        now = asyncio.get_running_loop().time()
        for address, task in list(self._tasks_by_address.items()):
            if address in addresses:
                self._unwanted_since_by_address.pop(address, None)
            elif (
                now - self._unwanted_since_by_address.setdefault(address, now) > KEEP_S
            ):
                task.cancel()
                del self._tasks_by_address[address]
                del self._unwanted_since_by_address[address]

    def _wanted(self) -> list[Wanted]:
        membership = self._membership
        me, gone = membership.me, membership.gone
        roster = membership.roster
        epochs = roster.epochs(me.failure_domain)
        members = {m for e in epochs for m in e.members if m.id not in gone}
        for domain in roster.failure_domains:
            if domain != me.failure_domain and self.links_with(domain):
                other = self._first_answering(domain)
                members |= {other} if other else set()
        members.discard(me)
        wanted = [Wanted(m.peer_address, m) for m in sorted(members)]
        known = {me.peer_address} | {w.address for w in wanted}
        if not membership.joined or not membership.journal.up:
            wanted += [Wanted(s) for s in membership.seeds if s not in known]
        return wanted

    def _first_answering(self, failure_domain: str) -> Member | None:
        membership = self._membership
        passed_over = membership.gone | self.silent
        key = _pair(membership.me.failure_domain, failure_domain)
        order = rank(key, membership.roster.members(failure_domain))
        return next((m for m in order if m.id not in passed_over), None)

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
            self._found(wanted, Probe.REFUSED)
            return
        except PeerError as error:
            log.debug("No link with {}: {}.", wanted.address, error)
            self._found(wanted, Probe.SILENT)
            return
        if member and link.peer.id != member.id:
            self._found(wanted, Probe.REPLACED)
        if link.peer.id == membership.me.id:
            link.close()
            return
        self._silent_until_by_id.pop(link.peer.id, None)
        self._due_by_address.pop(wanted.address, None)
        await membership.serve(link)

    def _found(self, wanted: Wanted, probe: Probe) -> None:
        now = asyncio.get_running_loop().time()
        self._due_by_address[wanted.address] = now + RETRY_S
        if wanted.member is None:
            return
        self._silent_until_by_id[wanted.member.id] = now + SILENT_S
        if self._membership.view.probed(wanted.member.id, probe):
            log.warning("{} is gone: {}.", wanted.member.id, probe.name.lower())


def _pair(one: str, other: str) -> str:
    return "delegate/" + "/".join(sorted((one, other)))
