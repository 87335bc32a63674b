"""Membership of this daemon: heartbeats, the epoch window and dead members."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Mapping, Sequence

from loguru import logger

from ..binding import bind_when_free
from ..errors import AuburnError, PeerError
from . import link as links
from ._dialer import Dialer
from ._heartbeat_builder import HeartbeatBuilder
from ._journal import JournalPort
from ._limits import SharedLimits
from ._lost_members import LostMemberDetector
from ._relay import Relay
from ._roster_proposer import RosterProposer
from ._wire import encode
from .epoch import EMPTY_WINDOW, Epoch, EpochWindow
from .heartbeat import Heartbeat, key_digest
from .link import Link
from .member import Member
from .reports import Reports
from .roster import JOIN, LEAVE, Roster
from .view import MembershipView

TICK_S = 0.25
MIN_HEARTBEAT_INTERVAL_S = 0.5
HEARTBEAT_INTERVAL_PER_LINK_S = 0.15
LINK_TIMEOUT_HEARTBEATS = 4
MIN_LINK_TIMEOUT_S = 8.0
MAX_PAUSE_S = 30.0
"""After a longer pause, a daemon waits for a peer's heartbeat before it acts again."""
PROPOSE_TIMEOUT_S = 10.0

log = logger.bind(part="membership")


class Membership:
    """Exchanges heartbeats with peers and determines which epochs this daemon obeys.

    :param me: this daemon; it listens at its ``peer_address``
    :param roster: the reducer of ``journal`` that holds the members
    :param journal: the replicated journal
    :param secret: the secret that all daemons share
    :param seeds: addresses of peers to dial while the roster is unknown
    :param version: returns the configuration version in force at this daemon
    :param lost_hosts: returns the names of daemons whose hosts no longer run anything
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
        self.view = MembershipView(me, roster)
        self.links_by_id: dict[str, Link] = {}
        self.heartbeats_by_id: dict[str, Heartbeat] = {}
        """Newest heartbeat of each connected member, by member id."""
        self.on_reports: Callable[[Member, Reports], None] = _ignore_reports
        """Callback for reports from peers of the own failure domain."""
        self._version = version
        self._ack_conditions: list[Callable[[Epoch], bool]] = []
        self._heartbeat_builder = HeartbeatBuilder(self, version)
        self._dialer = Dialer(self)
        self._relay = Relay(self)
        self._roster_proposer = RosterProposer(self, lambda domain: is_out(domain, ""))
        self._lost_member_detector = LostMemberDetector(
            self, lost_hosts, is_out, MAX_PAUSE_S
        )
        self._last_ran_at = time.clock_gettime(time.CLOCK_BOOTTIME)
        self._suspended = False
        self._resumed_at = 0.0
        self._accepting = False

    @property
    def window(self) -> EpochWindow:
        """Return the epochs to obey now, an empty window if the daemon may not act."""
        paused_s = time.clock_gettime(time.CLOCK_BOOTTIME) - self._last_ran_at
        if (
            self._suspended
            or paused_s > MAX_PAUSE_S
            or self._lost_member_detector.own_host_lost
        ):
            return EMPTY_WINDOW
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
        """Return whether peers consider this daemon gone; only a restart ends that."""
        return self.view.expelled

    @property
    def links(self) -> tuple[Link, ...]:
        """Return the open links."""
        return tuple(self.links_by_id.values())

    @property
    def versions_in_force(self) -> Mapping[str, int]:
        """Return the newest configuration version in force, by failure domain."""
        by_domain = dict(self.view.version_by_domain)
        own_domain = self.me.failure_domain
        by_domain[own_domain] = max(by_domain.get(own_domain, 0), self._version())
        return by_domain

    @property
    def live(self) -> tuple[Member, ...]:
        """Return this daemon and the connected members of its failure domain."""
        members = self.roster.members(self.me.failure_domain)
        return tuple(
            m for m in members if m == self.me or m.id in self.heartbeats_by_id
        )

    def attach_limits(self, limits: SharedLimits) -> None:
        """Advertise the limiters' free slots; acknowledge only epochs that they fit.

        :param limits: this daemon's limiters
        """
        self._heartbeat_builder.limits = limits
        self.add_ack_condition(limits.fits)

    def advertise_busy_slots(self, busy: Callable[[], Mapping[str, int]]) -> None:
        """Advertise the slots in use while a peer requests them.

        :param busy: returns the slots in use by key
        """
        self._heartbeat_builder.busy = busy

    def busy_slots(self, key: str) -> Mapping[str, int]:
        """Return the slots that connected members report as in use, by member id.

        Each call requests the slots in use from all members for some seconds; the
        first answers come with their next heartbeats.

        :param key: the quota's key
        """
        self._heartbeat_builder.request_busy_slots()
        digest = key_digest(key)
        heartbeats = self.heartbeats_by_id.items()
        return {
            member_id: heartbeat.busy.get(digest, 0)
            for member_id, heartbeat in heartbeats
        }

    def add_ack_condition(self, obeys: Callable[[Epoch], bool]) -> None:
        """Add a condition that must hold before an epoch is acknowledged.

        :param obeys: whether this daemon already keeps to an epoch
        """
        self._ack_conditions.append(obeys)

    def delegate(self, failure_domain: str) -> Member | None:
        """Return the member that represents a failure domain towards the own one.

        :param failure_domain: its name; for the own one, a member of :attr:`live`
        """
        return self._dialer.delegate(failure_domain)

    def is_delegate_to(self, failure_domain: str) -> bool:
        """Return whether this daemon links its failure domain with another one.

        :param failure_domain: the other failure domain
        """
        return self._dialer.is_delegate_to(failure_domain)

    def free_slots(self, key: str) -> Mapping[str, int]:
        """Return the free slots that connected members advertise, by member id.

        :param key: the quota's key
        """
        digest = key_digest(key)
        return {
            member_id: heartbeat.free[digest]
            for member_id, heartbeat in self.heartbeats_by_id.items()
            if digest in heartbeat.free
        }

    async def run(self) -> None:
        """Listen for peers, maintain the links and join the roster, until cancelled."""
        host, _, port = self.me.peer_address.rpartition(":")
        async with asyncio.TaskGroup() as group:

            def on_connect(
                reader: asyncio.StreamReader, writer: asyncio.StreamWriter
            ) -> None:
                if self._accepting:
                    group.create_task(self._accept(reader, writer))
                else:
                    writer.close()

            server = await bind_when_free(
                lambda: asyncio.start_server(on_connect, host, int(port)),
                lambda error: log.warning("Waiting for the port of peers: {}.", error),
            )
            log.info("Listening for peers on {}.", self.me.peer_address)
            self._accepting = True
            try:
                group.create_task(self._join())
                group.create_task(self._send_heartbeats())
                group.create_task(self._dialer.run())
                group.create_task(self._relay.run())
                group.create_task(self._lost_member_detector.run())
                await self._roster_proposer.run()
            finally:
                self._accepting = False
                server.close()

    async def leave(self, *, timeout_s: float) -> None:
        """Announce that this daemon has drained and takes no more calls.

        :param timeout_s: seconds to wait for the journal; peers are told at once
        """
        self.view.mark_gone((self.me.id,))
        self._send_heartbeat()
        try:
            body = {"member": self.me.id}
            await self.journal.propose(LEAVE, body, expects={}, timeout_s=timeout_s)
        except AuburnError as error:
            log.warning("Failed to record the leave: {}.", error)

    def send_reports(self, peer: Member, reports: Reports) -> None:
        """Send reports over the link with a peer, if there is one.

        :param peer: the peer
        :param reports: what to send
        """
        link = self.links_by_id.get(peer.id)
        if link:
            link.send(encode(reports))

    async def serve(self, link: Link) -> None:
        """Handle the messages of a link until it closes.

        :param link: an authenticated link
        """
        peer = link.peer
        older = self.links_by_id.get(peer.id)
        if older and self._is_preferred(older) and not self._is_preferred(link):
            link.close()
            return
        if older:
            older.close()
        self.links_by_id[peer.id] = link
        log.debug("Linked with {}.", peer.id)
        try:
            link.send(self._heartbeat_builder.frame)
            while self.links_by_id.get(peer.id) is link:
                message = await link.receive(timeout_s=self.link_timeout_s)
                if isinstance(message, Heartbeat):
                    self._handle_heartbeat(link, message)
                elif isinstance(message, Reports):
                    self._handle_reports(peer, message)
                else:
                    self._relay.handle(link, message)
        except AuburnError as error:
            log.debug("The link with {} was closed: {}.", peer.id, error)
        finally:
            link.close()
            if self.links_by_id.get(peer.id) is link:
                del self.links_by_id[peer.id]
                self.heartbeats_by_id.pop(peer.id, None)

    def _is_preferred(self, link: Link) -> bool:
        """Return whether both ends keep this link if both have dialed at once."""
        return link.dialed == (self.me.id < link.peer.id)

    @property
    def heartbeat_interval_s(self) -> float:
        """Return the seconds between heartbeats, longer with more links."""
        return max(
            MIN_HEARTBEAT_INTERVAL_S,
            HEARTBEAT_INTERVAL_PER_LINK_S * len(self.links_by_id),
        )

    @property
    def link_timeout_s(self) -> float:
        """Return the seconds without a message after which a link is closed."""
        return max(
            MIN_LINK_TIMEOUT_S, LINK_TIMEOUT_HEARTBEATS * self.heartbeat_interval_s
        )

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            link = await links.accept(reader, writer, self.me, self.secret)
        except PeerError as error:
            log.warning("Rejected a peer connection: {}.", error)
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
            log.warning("Failed to record the join, will retry: {}.", error)
            return
        if not outcome.accepted:
            log.error("The join was rejected: {}.", outcome.reason)

    async def _send_heartbeats(self) -> None:
        due = 0.0
        while True:
            self._detect_pause()
            self.view.acknowledge(self._can_acknowledge)
            now = asyncio.get_running_loop().time()
            if now >= due or self._heartbeat_builder.has_urgent_change:
                self._send_heartbeat()
                due = now + self.heartbeat_interval_s
            await asyncio.sleep(TICK_S)

    def _detect_pause(self) -> None:
        """Detect a long pause, and suspend this daemon until a peer answers."""
        now = time.clock_gettime(time.CLOCK_BOOTTIME)
        if now - self._last_ran_at > MAX_PAUSE_S:
            self._suspended = True
            self._resumed_at = asyncio.get_running_loop().time()
            log.warning(
                "Paused for {:.0f} s; waiting for a heartbeat from a peer.",
                now - self._last_ran_at,
            )
            for link in self.links:
                link.close()
            self.links_by_id.clear()
            self.heartbeats_by_id.clear()
        self._last_ran_at = now
        if self._suspended and not self._other_members():
            self._suspended = False

    def _other_members(self) -> list[Member]:
        members = self.roster.members(self.me.failure_domain)
        return [m for m in members if m != self.me and m.id not in self.gone]

    def _can_acknowledge(self, epoch: Epoch) -> bool:
        return all(obeys(epoch) for obeys in self._ack_conditions)

    def _handle_heartbeat(self, link: Link, heartbeat: Heartbeat) -> None:
        peer = link.peer
        self.view.apply_heartbeat(peer, heartbeat)
        self._heartbeat_builder.add_linked_domain(peer)
        self.heartbeats_by_id[peer.id] = heartbeat
        if self._suspended and link.opened_at > self._resumed_at:
            self._suspended = False
            log.info(
                "Received a heartbeat from {} after the pause; acting again.", peer.id
            )

    def _handle_reports(self, peer: Member, reports: Reports) -> None:
        if peer.failure_domain == self.me.failure_domain:
            self.on_reports(peer, reports)

    def _send_heartbeat(self) -> None:
        frame = self._heartbeat_builder.next_frame()
        for link in self.links:
            link.send(frame)


def _ignore_reports(peer: Member, reports: Reports) -> None:
    pass
