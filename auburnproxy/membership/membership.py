"""This daemon among its peers: beats, the window, and who is gone."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Mapping, Sequence

from loguru import logger

from ..errors import AuburnError, PeerError
from . import link as links
from ._dialer import Dialer
from ._journal import JournalPort
from ._limits import SharedLimits
from ._missing import Missing
from ._relay import Relay
from ._steward import Steward
from ._teller import Teller
from ._wire import encode
from .beat import Beat, key_digest
from .epoch import NOTHING, Epoch, Window
from .link import Link
from .member import Member
from .reports import Reports
from .roster import JOIN, LEAVE, Roster
from .view import View

TICK_S = 0.25
BEAT_MIN_S = 0.5
BEAT_PER_LINK_S = 0.15
SILENCE_BEATS = 4
SILENCE_MIN_S = 8.0
PAUSE_BOUND_S = 30.0
"""A daemon that did not run for this long asks its peers before it acts again."""
PROPOSE_TIMEOUT_S = 10.0

log = logger.bind(part="membership")


class Membership:
    """One daemon's place among the others.

    :param me: this daemon; it listens at its ``peer_address``
    :param roster: reducer of ``journal``
    :param journal: the journal
    :param secret: the secret that all daemons share
    :param seeds: addresses of peers to ask before the roster is known
    :param version: returns the configuration version in force here
    :param lost_hosts: returns names of daemons whose hosts can run nothing any more
    :param is_out: whether a failure domain, or a host in it, is out of service
    """

    def __init__(
        self,
        me: Member,
        roster: Roster,
        journal: JournalPort,
        *,
        secret: bytes,
        seeds: Sequence[str] = (),
        version: Callable[[], int] = lambda: 0,
        lost_hosts: Callable[[], frozenset[str]] = frozenset,
        is_out: Callable[[str, str], bool] = lambda domain, host: False,
    ) -> None:
        self.me = me
        self.roster = roster
        self.journal = journal
        self.secret = secret
        self.seeds = tuple(seeds)
        self.view = View(me, roster)
        self.links_by_id: dict[str, Link] = {}
        self.beats_by_member: dict[str, Beat] = {}
        """Newest beat of each connected member, by member id."""
        self.take_reports: Callable[[Member, Reports], None] = _ignore_reports
        """Called with the reports of peers of the own failure domain."""
        self._version = version
        self._conditions: list[Callable[[Epoch], bool]] = []
        self._teller = Teller(self, version)
        self._dialer = Dialer(self)
        self._relay = Relay(self)
        self._steward = Steward(self, lambda domain: is_out(domain, ""))
        self._missing = Missing(self, lost_hosts, is_out, PAUSE_BOUND_S)
        self._ran_at = time.clock_gettime(time.CLOCK_BOOTTIME)
        self._suspended = False
        self._resumed_at = 0.0
        self._accepting = False

    @property
    def window(self) -> Window:
        """Return what this daemon has to obey now; empty when it may not act."""
        paused_s = time.clock_gettime(time.CLOCK_BOOTTIME) - self._ran_at
        if self._suspended or paused_s > PAUSE_BOUND_S or self._missing.lost_self:
            return NOTHING
        return self.view.window

    @property
    def gone(self) -> frozenset[str]:
        """Return the ids of members that can never act again."""
        return self.view.gone

    @property
    def joined(self) -> bool:
        """Return whether this daemon is on its failure domain's roster."""
        return self.me in self.roster.members(self.me.failure_domain)

    @property
    def expelled(self) -> bool:
        """Return whether peers take this daemon for gone: only a restart helps."""
        return self.view.expelled

    @property
    def links(self) -> tuple[Link, ...]:
        """Return the open links."""
        return tuple(self.links_by_id.values())

    @property
    def in_force(self) -> Mapping[str, int]:
        """Return the newest configuration version in force, by failure domain."""
        by_domain = dict(self.view.version_by_domain)
        mine = self.me.failure_domain
        by_domain[mine] = max(by_domain.get(mine, 0), self._version())
        return by_domain

    @property
    def live(self) -> tuple[Member, ...]:
        """Return this daemon and the connected members of its failure domain."""
        members = self.roster.members(self.me.failure_domain)
        return tuple(m for m in members if m == self.me or m.id in self.beats_by_member)

    def attach(self, limits: SharedLimits) -> None:
        """Tell peers of the free slots of gates, and acknowledge only what fits them.

        :param limits: this daemon's gates
        """
        self._teller.limits = limits
        self.require(limits.fits)

    def tell_busy(self, busy: Callable[[], Mapping[str, int]]) -> None:
        """Tell peers of the slots in use while one of them counts.

        :param busy: returns the slots in use by key
        """
        self._teller.busy = busy

    def busy_slots(self, key: str) -> Mapping[str, int]:
        """Return the slots that connected members said to use, by member id.

        Members are asked for some seconds after each call; the first answers
        come with their next beats.

        :param key: the quota's key
        """
        self._teller.count()
        digest = key_digest(key)
        beats = self.beats_by_member.items()
        return {member_id: beat.busy.get(digest, 0) for member_id, beat in beats}

    def require(self, obeys: Callable[[Epoch], bool]) -> None:
        """Add a condition that has to hold before an epoch is acknowledged.

        :param obeys: whether this daemon acts within an epoch already
        """
        self._conditions.append(obeys)

    def delegate(self, failure_domain: str) -> Member | None:
        """Return the member of a failure domain that the own one links with.

        :param failure_domain: its name; the own one's answer is among :attr:`live`
        """
        return self._dialer.delegate(failure_domain)

    def links_with(self, failure_domain: str) -> bool:
        """Return whether this daemon is the own domain's delegate to another one.

        :param failure_domain: the other failure domain
        """
        return self._dialer.links_with(failure_domain)

    def free_slots(self, key: str) -> Mapping[str, int]:
        """Return the free slots that connected members told of, by member id.

        :param key: the quota's key
        """
        digest = key_digest(key)
        return {
            member_id: beat.free[digest]
            for member_id, beat in self.beats_by_member.items()
            if digest in beat.free
        }

    async def run(self) -> None:
        """Listen, keep the links, and join the roster; until cancelled."""
        host, _, port = self.me.peer_address.rpartition(":")
        async with asyncio.TaskGroup() as group:

            def take(
                reader: asyncio.StreamReader, writer: asyncio.StreamWriter
            ) -> None:
                if self._accepting:
                    group.create_task(self._accept(reader, writer))
                else:
                    writer.close()

            server = await asyncio.start_server(take, host, int(port))
            log.info("Listening for peers on {}.", self.me.peer_address)
            self._accepting = True
            try:
                group.create_task(self._join())
                group.create_task(self._beat())
                group.create_task(self._dialer.run())
                group.create_task(self._relay.run())
                group.create_task(self._missing.run())
                await self._steward.run()
            finally:
                self._accepting = False
                server.close()

    async def leave(self, *, timeout_s: float) -> None:
        """Say farewell: nothing of this daemon is in flight any more, nor will be.

        :param timeout_s: seconds to wait for the journal; peers are told at once
        """
        self.view.mark_gone((self.me.id,))
        self._send_beat()
        try:
            body = {"member": self.me.id}
            await self.journal.propose(LEAVE, body, expects={}, timeout_s=timeout_s)
        except AuburnError as error:
            log.warning("The leave was not recorded: {}.", error)

    def send_reports(self, peer: Member, reports: Reports) -> None:
        """Send reports over the link with a peer, if there is one.

        :param peer: the peer
        :param reports: what it is told
        """
        link = self.links_by_id.get(peer.id)
        if link:
            link.send(encode(reports))

    async def serve(self, link: Link) -> None:
        """Take a link's messages until it ends.

        :param link: an authenticated link
        """
        peer = link.peer
        older = self.links_by_id.get(peer.id)
        if older and self._prefers(older) and not self._prefers(link):
            link.close()
            return
        if older:
            older.close()
        self.links_by_id[peer.id] = link
        log.debug("Linked with {}.", peer.id)
        try:
            link.send(self._teller.frame)
            while self.links_by_id.get(peer.id) is link:
                message = await link.receive(timeout_s=self.silence_s)
                if isinstance(message, Beat):
                    self._hear(link, message)
                elif isinstance(message, Reports):
                    self._take_reports(peer, message)
                else:
                    self._relay.take(link, message)
        except AuburnError as error:
            log.debug("The link with {} ended: {}.", peer.id, error)
        finally:
            link.close()
            if self.links_by_id.get(peer.id) is link:
                del self.links_by_id[peer.id]
                self.beats_by_member.pop(peer.id, None)

    def _prefers(self, link: Link) -> bool:
        """Return whether a link is the one that both ends keep of two that crossed."""
        return link.dialed == (self.me.id < link.peer.id)

    @property
    def beat_interval_s(self) -> float:
        """Return the seconds between beats; more links, slower beats."""
        return max(BEAT_MIN_S, BEAT_PER_LINK_S * len(self.links_by_id))

    @property
    def silence_s(self) -> float:
        """Return the seconds of silence after which a link is given up."""
        return max(SILENCE_MIN_S, SILENCE_BEATS * self.beat_interval_s)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            link = await links.accept(reader, writer, self.me, self.secret)
        except PeerError as error:
            log.warning("A peer was turned away: {}.", error)
            return
        await self.serve(link)

    async def _join(self) -> None:
        while not self.joined and not self.view.expelled:
            if self.journal.ready and self.journal.up:
                await self._propose_join()
            await asyncio.sleep(TICK_S)

    async def _propose_join(self) -> None:
        try:
            outcome = await self.journal.propose(
                JOIN,
                self.me._asdict(),
                expects={},
                timeout_s=PROPOSE_TIMEOUT_S,
                record_id=f"join/{self.me.id}",
            )
        except AuburnError as error:
            log.warning("The join was not recorded yet: {}.", error)
            return
        if not outcome.accepted:
            log.error("The join was rejected: {}.", outcome.reason)

    async def _beat(self) -> None:
        due = 0.0
        while True:
            self._ran()
            self.view.acknowledge(self._obeys)
            now = asyncio.get_running_loop().time()
            if now >= due or self._teller.has_news:
                self._send_beat()
                due = now + self.beat_interval_s
            await asyncio.sleep(TICK_S)

    def _ran(self) -> None:
        """Note that this daemon runs; after a long pause it has to ask first."""
        now = time.clock_gettime(time.CLOCK_BOOTTIME)
        if now - self._ran_at > PAUSE_BOUND_S:
            self._suspended = True
            self._resumed_at = asyncio.get_running_loop().time()
            log.warning("Paused for {:.0f} s; asking peers.", now - self._ran_at)
            for link in self.links:
                link.close()
            self.links_by_id.clear()
            self.beats_by_member.clear()
        self._ran_at = now
        if self._suspended and not self._others():
            self._suspended = False

    def _others(self) -> list[Member]:
        members = self.roster.members(self.me.failure_domain)
        return [m for m in members if m != self.me and m.id not in self.gone]

    def _obeys(self, epoch: Epoch) -> bool:
        return all(obeys(epoch) for obeys in self._conditions)

    def _hear(self, link: Link, beat: Beat) -> None:
        peer = link.peer
        self.view.hear(peer, beat)
        self._teller.heard_from(peer)
        self.beats_by_member[peer.id] = beat
        if self._suspended and link.opened_at > self._resumed_at:
            self._suspended = False
            log.info("{} answered after the pause.", peer.id)

    def _take_reports(self, peer: Member, reports: Reports) -> None:
        if peer.failure_domain == self.me.failure_domain:
            self.take_reports(peer, reports)

    def _send_beat(self) -> None:
        frame = self._teller.next_frame()
        for link in self.links:
            link.send(frame)


def _ignore_reports(peer: Member, reports: Reports) -> None:
    pass
