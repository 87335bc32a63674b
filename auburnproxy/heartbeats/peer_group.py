"""Exchange of heartbeats with the other daemons."""

from __future__ import annotations

import asyncio
from collections import defaultdict
from collections.abc import Callable, Collection, Mapping, Sequence, Set
from typing import cast

import msgspec

from ..binding import bind_when_free
from ..clock import loop_time
from ..decoding import decode_json
from ..extensible_tuple import convert_known_fields
from ..gateway.host import Incarnation
from ..gateway.prompt_load import read_prompt_loads
from ..gossip import Fact
from ..rendezvous import rank_names
from ..store import Change, Follower, PauseRange, ReadProgress
from ..telemetry.decisions import DecisionLog
from ..unreadable_values import UnreadableValues
from .broadcast_queue import BroadcastQueue
from .daemon_record import DaemonRecord
from .heartbeat import Heartbeat, pack, unpack
from .liveness_tracker import LivenessTracker
from .round_robin import RoundRobin
from .upstream_aggregate import UpstreamAggregate

TICK_S = 0.1
"""Seconds between two heartbeats to daemons of the own failure domain."""
REMOTE_INTERVAL_TICKS = 3
"""Ticks between two heartbeats to other failure domains; traffic to them is billed."""
LOCAL_HEARTBEATS_PER_S = 60
"""Upper limit of heartbeats per second to the own failure domain."""
REMOTE_HEARTBEATS_PER_S = 30
"""Upper limit of heartbeats per second to all other failure domains together."""
PEER_TIMEOUT_S = 1.5
"""Minimum time without a heartbeat after which a daemon counts as gone."""
PEER_TIMEOUT_HEARTBEATS = 3
"""Missed heartbeats before a daemon counts as gone; single datagrams get lost."""
READERS_PER_DOMAIN = 2
"""Daemons of a failure domain that read the store, so that one may fail."""
SEND_DELAY_S = 0.01
"""Seconds for which urgent changes are collected into one heartbeat."""
STORE_RETRY_TICKS = 20
"""Ticks between two attempts to read by a daemon that the store rejected."""
PROBES_PER_S = 3
"""Calls per second of a failure domain to a store that serves none of its daemons."""
FIRST_STORE_PAUSE_S = 0.25
"""Pause of a daemon after the first call that the store did not serve."""
LOAD_TIMEOUT_S = 1.0
"""Minimum age at which the requests in a heartbeat are no longer counted."""
LOAD_TIMEOUT_HEARTBEATS = 1.5
"""Missed heartbeats before that; older requests have mostly ended by then."""
PRUNE_TICKS = 50
"""Ticks between two removals of upstreams that no daemon hears from any more."""


class PeerGroup(asyncio.DatagramProtocol):
    """Sends heartbeats to the registered daemons and tracks those that it receives.

    :param name: name of this daemon
    :param record: this daemon's record
    :param follower: topic of the registered daemons
    :param make_heartbeat: returns the heartbeat to send
    :param decisions: logs each daemon that becomes reachable or unreachable
    :param startup_grace_s: seconds after the start during which registered daemons
        count as present although no heartbeat has arrived yet
    """

    def __init__(
        self,
        name: str,
        record: DaemonRecord,
        follower: Follower,
        make_heartbeat: Callable[[], Heartbeat],
        decisions: DecisionLog,
        *,
        startup_grace_s: float = 0.0,
    ) -> None:
        self.peers_served = False
        """Whether another daemon has served a request."""
        self.on_upstream_leaving: Callable[[Incarnation], None] = lambda incarnation: (
            None
        )
        """Called with each upstream that a heartbeat reports as leaving."""
        self.on_era: Callable[[int], None] = lambda era: None
        """Called with the era of the store in each heartbeat."""
        self.on_facts: Callable[[Sequence[Fact]], None] = lambda facts: None
        """Called with the facts in each heartbeat that has any."""
        self.aggregate = UpstreamAggregate()
        """Upstream state from the heartbeats that are recent enough to count."""
        self._name = name
        self._own_record = record
        self._make_heartbeat = make_heartbeat
        self._decisions = decisions
        self._unreadable = UnreadableValues("beat_unreadable", "peer", decisions)
        self._unreadable_tokens = UnreadableValues(
            "beat_tokens_unreadable", "peer", decisions
        )
        self.names_by_domain: defaultdict[str, set[str]] = defaultdict(set)
        """The registered daemons of each failure domain, including this one."""
        self._records: dict[str, DaemonRecord] = {}
        self._local_receivers = RoundRobin()
        self._remote_receivers = RoundRobin()
        self._heartbeat_by_name: dict[str, Heartbeat] = {}
        self._liveness = {is_local: LivenessTracker() for is_local in (True, False)}
        """Peers that count as present, by whether they are in this failure domain."""
        self._load_freshness = {
            is_local: LivenessTracker() for is_local in (True, False)
        }
        """Peers whose reported load still counts, by the same key."""
        self._domain_heard_at: dict[str, float] = {}
        self._active_leaders: set[str] = set()
        self._readers: list[str] | None = None
        """Local daemons that can reach the store, by rank; None to recompute them."""
        self.local_interval_s = TICK_S
        """Seconds between two heartbeats from a daemon of this failure domain."""
        self.remote_interval_s = REMOTE_INTERVAL_TICKS * TICK_S
        """Seconds between two heartbeats from a daemon of another failure domain."""
        self._grace_ends_at = loop_time() + startup_grace_s
        self._pending_receivers: set[str] = set()
        self._broadcasts = BroadcastQueue()
        self._send_scheduled = False
        self.sent_bytes = 0
        """Bytes of the heartbeats sent since the start."""
        self._transport: asyncio.DatagramTransport | None = None
        self._tick_count = 0
        follower.on_change = self._apply_record

    @property
    def records(self) -> Mapping[str, DaemonRecord]:
        """Return all registered daemons, including this one once it is registered."""
        return self._records

    @property
    def daemon_count(self) -> int:
        """Return the number of daemons: registered, or heard from and this one."""
        return max(len(self._records), len(self._heartbeat_by_name) + 1)

    def daemons_of(self, failure_domain: str) -> Set[str]:
        """Return the daemons of a failure domain, or all daemons if it has none."""
        return self.names_by_domain[failure_domain] or self._records.keys()

    @property
    def live_peers(self) -> Set[str]:
        """Return the other daemons whose heartbeats are recent."""
        return self._heartbeat_by_name.keys()

    def domain_heard_at(self, failure_domain: str) -> float:
        """Return the loop's time of the last heartbeat from a failure domain.

        :return: negative if there was none
        """
        if failure_domain == self._own_record.failure_domain:
            return loop_time()
        return self._domain_heard_at.get(failure_domain, -1.0)

    @property
    def active_leaders(self) -> Set[str]:
        """Return the other daemons that report to lead the formation of replicas."""
        return self._active_leaders

    @property
    def progress_by_peer(self) -> Mapping[str, ReadProgress]:
        """Return how far peers have read each topic, by internal address.

        Only peers of the own failure domain are included if one of them reaches the
        store. Otherwise those of other domains are included too, since the store may
        reject a whole failure domain.
        """
        names = self._load_freshness[True].names
        if not self._local_readers():
            names = names | self._load_freshness[False].names
        return {
            self._records[name].internal_address: _progress(
                self._heartbeat_by_name[name]
            )
            for name in names
            if name in self._records
        }

    @property
    def forwarding_addresses(self) -> tuple[Sequence[str], Sequence[str]]:
        """Return the internal addresses of peers that take forwarded requests.

        Those of the own failure domain are first, then those of others.
        """
        by_distance: tuple[list[str], list[str]] = [], []
        for name, heartbeat in self._heartbeat_by_name.items():
            if heartbeat.takes_forwarded and name in self._records:
                is_far = name not in self._local_receivers.records
                by_distance[is_far].append(self._records[name].internal_address)
        return by_distance

    def should_read_store(self, *, store_reachable: bool) -> bool:
        """Return whether this daemon should read the store for its failure domain.

        :param store_reachable: whether the store answered this daemon's last read
        """
        if loop_time() < self._grace_ends_at:
            unheard = self._local_receivers.records.keys() - self._liveness[True].names
            return self._is_selected_reader(
                rank_names("reader", self._local_with_store_access() | unheard)
            )
        readers = self._local_readers()
        if not store_reachable and len(readers) >= READERS_PER_DOMAIN:
            return self._tick_count % STORE_RETRY_TICKS == 0
        return self._is_selected_reader(readers)

    @property
    def store_pauses(self) -> PauseRange:
        """Return the pauses of this daemon when the store does not serve it.

        The live daemons of a failure domain share the calls that find out whether it
        is back, and tell each other. If several are not served, the store is more
        likely away than this daemon turned away for a moment.
        """
        names = self._liveness[True].names
        share_s = (len(names) + 1) / PROBES_PER_S
        unserved = len(names) - len(self._local_with_store_access())
        is_away = unserved >= READERS_PER_DOMAIN
        first_s = share_s if is_away else FIRST_STORE_PAUSE_S
        return PauseRange(first_s, share_s, others_unserved=is_away)

    def _local_readers(self) -> Sequence[str]:
        """Return the local daemons that can reach the store, by rank."""
        if self._readers is None:
            self._readers = rank_names("reader", self._local_with_store_access())
        return self._readers

    def _local_with_store_access(self) -> set[str]:
        """Return the local daemons whose heartbeats say that they reach the store."""
        return {
            name
            for name in self._liveness[True].names
            if self._heartbeat_by_name[name].reaches_store
        }

    def _is_selected_reader(self, readers: Sequence[str]) -> bool:
        """Return whether this daemon ranks among the first candidates."""
        first = rank_names("reader", [self._name, *readers[:READERS_PER_DOMAIN]])
        return self._name in first[:READERS_PER_DOMAIN]

    def requests_at(self, host: str) -> tuple[int, int]:
        """Return the peers' requests at an upstream: in flight, and unanswered."""
        return self.aggregate.requests_at(host)

    def report_age_s(self, failure_domain: str, *, told_at_once: bool) -> float:
        """Return the mean age of what is known of requests at an upstream.

        :param failure_domain: failure domain of the upstream
        :param told_at_once: whether those who use it tell this daemon of changes soon
        """
        if failure_domain != self._own_record.failure_domain:
            return self.remote_interval_s / 2
        return SEND_DELAY_S if told_at_once else self.local_interval_s / 2

    def send_to_all(self) -> None:
        """Send a heartbeat to all daemons soon; for rare and urgent changes.

        What exceeds the bytes for that is sent later, with all changes until then.
        """
        if self._transport is None:
            return
        self._broadcasts.add(self._local_receivers.records)
        self._broadcasts.add(self._remote_receivers.records)
        self._schedule_send()

    @property
    def waiting_count(self) -> int:
        """Return the number of daemons that wait for a heartbeat out of turn."""
        return len(self._broadcasts)

    def announce_exclusion(self, host: str) -> None:
        """Announce an excluded upstream, unless another daemon excludes it already."""
        if host not in self.aggregate.suspects:
            self.send_to_all()

    def send_soon(self, names: Collection[str]) -> None:
        """Send a heartbeat to some daemons soon, ahead of their turn.

        The send is delayed by SEND_DELAY_S, so that it covers several changes.
        """
        if self._transport is None or not names:
            return
        self._pending_receivers.update(names)
        self._schedule_send()

    def _schedule_send(self) -> None:
        if not self._send_scheduled:
            self._send_scheduled = True
            asyncio.get_running_loop().call_later(SEND_DELAY_S, self._send_pending)

    def _send_pending(self) -> None:
        self._send_scheduled = False
        names, self._pending_receivers = self._pending_receivers, set()
        if self._transport is None:
            return
        heartbeat = self._make_heartbeat()
        self._broadcasts.discard(names)
        names.update(self._broadcasts.take(len(pack(heartbeat))))
        records = [self._records[name] for name in names if name in self._records]
        self._send_to(heartbeat, records)

    def registration(self, *, force: bool = False) -> Change | None:
        """Return this daemon's record to append, or None if it is registered already.

        :param force: whether to return the record in any case
        """
        if self._records.get(self._name) == self._own_record and not force:
            return None
        return Change(self._name, msgspec.json.encode(self._own_record))

    async def run(self) -> None:
        """Receive and send heartbeats until cancelled, once the port is free."""
        transport = await bind_when_free(self._open_transport, self._log_held)
        try:
            while True:
                self.tick()
                self.send_heartbeats()
                await asyncio.sleep(TICK_S)
        finally:
            self._transport = None
            transport.close()

    async def _open_transport(self) -> asyncio.DatagramTransport:
        """Open the socket that heartbeats are exchanged on.

        :raises OSError: if its port is held
        """
        host, _, port = self._own_record.heartbeat_address.rpartition(":")
        loop = asyncio.get_running_loop()
        try:
            transport, _ = await loop.create_datagram_endpoint(
                lambda: self, local_addr=(host, int(port))
            )
        except OSError as error:
            if isinstance(error.__cause__, OSError):
                # uvloop raises an error without a number.
                raise error.__cause__ from error
            raise
        return transport

    def _log_held(self, error: OSError) -> None:
        address = self._own_record.heartbeat_address
        self._decisions.belief("port_held", address=address, reason=str(error))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport that sends heartbeats."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Decode and process a heartbeat."""
        try:
            heartbeat = unpack(data)
            if heartbeat.name != self._name:
                self.receive(heartbeat)
        except Exception as error:
            # An error that leaves a datagram callback closes the socket.
            self._unreadable.report(addr[0], error)
        else:
            self._unreadable.clear(addr[0])

    def receive(self, heartbeat: Heartbeat) -> None:
        """Process a heartbeat from another daemon."""
        now, name = loop_time(), heartbeat.name
        is_local = name in self._local_receivers.records
        before = self._heartbeat_by_name.get(name)
        self._heartbeat_by_name[name] = heartbeat
        self.peers_served |= heartbeat.has_served
        if self._liveness[is_local].mark_heard(name, at=now):
            self._decisions.belief("dependency_regained", dependency=f"daemon/{name}")
        self._load_freshness[is_local].mark_heard(name, at=now)
        self.aggregate.update(self._with_usable_tokens(heartbeat), at=now)
        if heartbeat.is_leader:
            self._active_leaders.add(name)
        else:
            self._active_leaders.discard(name)
        if is_local and (
            before is None or before.reaches_store != heartbeat.reaches_store
        ):
            self._readers = None
        if (record := self._records.get(name)) is not None:
            self._domain_heard_at[record.failure_domain] = now
        for incarnation in heartbeat.leaving_upstreams:
            self.on_upstream_leaving(incarnation)
        if heartbeat.facts:
            self.on_facts(heartbeat.facts)
        self.on_era(heartbeat.era)

    def _with_usable_tokens(self, heartbeat: Heartbeat) -> Heartbeat:
        """Return a heartbeat without token figures that are malformed or absurd.

        Where tokens are not counted, they are not read either.
        """
        if not self.aggregate.counts_tokens:
            return heartbeat
        requests = {h: load.in_flight for h, load in heartbeat.load_by_host.items()}
        loads, error = read_prompt_loads(heartbeat.prompt_load_by_host, requests)
        if error is not None:
            self._unreadable_tokens.report(heartbeat.name, error)
        else:
            self._unreadable_tokens.clear(heartbeat.name)
        return heartbeat._replace(prompt_load_by_host=loads)

    def tick(self) -> None:
        """Expire daemons and loads whose heartbeats are overdue."""
        self._tick_count += 1
        now = loop_time()
        for is_local, interval_s in (
            (True, self.local_interval_s),
            (False, self.remote_interval_s),
        ):
            load_timeout_s = max(LOAD_TIMEOUT_S, LOAD_TIMEOUT_HEARTBEATS * interval_s)
            for name in self._load_freshness[is_local].expire(now - load_timeout_s):
                self.aggregate.remove(name)
            peer_timeout_s = max(PEER_TIMEOUT_S, PEER_TIMEOUT_HEARTBEATS * interval_s)
            for name in self._liveness[is_local].expire(now - peer_timeout_s):
                self._mark_gone(name)
        if self._tick_count % PRUNE_TICKS == 0:
            self.aggregate.prune(now)

    def _mark_gone(self, name: str) -> None:
        del self._heartbeat_by_name[name]
        self._active_leaders.discard(name)
        self._readers = None
        self._decisions.belief("dependency_lost", dependency=f"daemon/{name}")

    def error_received(self, exc: Exception) -> None:
        """Log an error that the operating system reports for a sent datagram."""
        self._decisions.belief("beat_unsent", reason=repr(exc))

    def send_heartbeats(self) -> None:
        """Send to the next batch of daemons, more often within the failure domain."""
        heartbeat = self._make_heartbeat()
        if self._broadcasts:
            self._schedule_send()
        self._send_to(
            heartbeat,
            self._local_receivers.next_batch(int(LOCAL_HEARTBEATS_PER_S * TICK_S)),
        )
        if self._tick_count % REMOTE_INTERVAL_TICKS == 0:
            batch_size = int(REMOTE_HEARTBEATS_PER_S * TICK_S * REMOTE_INTERVAL_TICKS)
            self._send_to(heartbeat, self._remote_receivers.next_batch(batch_size))

    def _send_to(self, heartbeat: Heartbeat, records: Sequence[DaemonRecord]) -> None:
        """Send a heartbeat, without tokens to other failure domains.

        Traffic to them is billed; most requests at an upstream come from its own
        failure domain, and the others are counted as usual ones.
        """
        own_domain = self._own_record.failure_domain
        near_data = pack(heartbeat)
        far_data = near_data
        if heartbeat.prompt_load_by_host:
            far_data = pack(heartbeat._replace(prompt_load_by_host={}))
        for record in records:
            data = near_data if record.failure_domain == own_domain else far_data
            transport = cast(asyncio.DatagramTransport, self._transport)
            host, _, port = record.heartbeat_address.rpartition(":")
            self.sent_bytes += len(data)
            self._broadcasts.charge(len(data))
            try:
                transport.sendto(data, (host, int(port)))
            except ValueError as error:
                # Another writer's record may name no address at all.
                self._unreadable.report(record.heartbeat_address, error)

    def _apply_record(self, change: Change) -> None:
        """Apply a daemon's record; an unreadable one leaves the older in force.

        :raises UnreadableError: if it cannot be read
        """
        name, before = change.key, self._records.get(change.key)
        self._update_record(change)
        record = self._records.get(name)
        if before is not None:
            self.names_by_domain[before.failure_domain].discard(name)
        if record is not None:
            self.names_by_domain[record.failure_domain].add(name)
        self._local_receivers.remove(name)
        self._remote_receivers.remove(name)
        if record is not None and name != self._name:
            is_local = record.failure_domain == self._own_record.failure_domain
            (self._local_receivers if is_local else self._remote_receivers).add(
                name, record
            )
            self._move_between_domains(name, is_local=is_local)
        self._readers = None
        self._set_intervals()

    def _move_between_domains(self, name: str, *, is_local: bool) -> None:
        """Move a daemon to the trackers of the failure domain that it is in now."""
        for trackers in (self._liveness, self._load_freshness):
            if name in trackers[not is_local].names:
                trackers[not is_local].remove(name)
                trackers[is_local].mark_heard(name, at=loop_time())

    def _set_intervals(self) -> None:
        """Compute the expected intervals between heartbeats from each peer.

        Every daemon sends round-robin at a limited rate, so the interval grows with
        the number of daemons.
        """
        round_s = len(self._local_receivers.records) / LOCAL_HEARTBEATS_PER_S
        self.local_interval_s = max(TICK_S, round_s)
        own = self._own_record.failure_domain
        domains = self.names_by_domain.items()
        counts = [len(names) for domain, names in domains if domain != own and names]
        smallest_domain = min(counts, default=0)
        round_s = (len(self._records) - smallest_domain) / REMOTE_HEARTBEATS_PER_S
        self.remote_interval_s = max(REMOTE_INTERVAL_TICKS * TICK_S, round_s)

    def _update_record(self, change: Change) -> None:
        if not change.value:
            self._records.pop(change.key, None)
            return
        fields = decode_json(change.value)
        self._records[change.key] = convert_known_fields(fields, DaemonRecord)


def _progress(heartbeat: Heartbeat) -> ReadProgress:
    return ReadProgress(
        heartbeat.end_by_topic, heartbeat.era, heartbeat.previous_era_end_by_topic
    )
