"""Exchange of heartbeats with the other daemons."""

from __future__ import annotations

import asyncio
from collections import defaultdict
from collections.abc import Callable, Collection, Mapping, Sequence, Set
from typing import cast

import msgspec

from ..clock import loop_time
from ..errors import PeerError
from ..gateway.host import Life
from ..growing_tuple import known_fields
from ..rendezvous import rank_names
from ..store import Change, Follower, Progress
from ..telemetry.decisions import Decisions
from .beat import Beat, pack, unpack
from .roll import Roll
from .seat import Seat
from .tally import Tally
from .turns import Turns

TICK_S = 0.1
"""Seconds between two heartbeats to daemons of the own failure domain."""
FAR_TICKS = 3
"""Ticks between two heartbeats to other failure domains; traffic to them is billed."""
NEAR_BEATS_PER_S = 60
"""Upper limit of heartbeats that a daemon sends to its own failure domain."""
FAR_BEATS_PER_S = 30
"""Upper limit of heartbeats that a daemon sends to all other failure domains."""
HEARD_S = 1.5
"""Minimum time without a heartbeat after which a daemon counts as gone."""
HEARD_BEATS = 3
"""Missed heartbeats before a daemon counts as gone; single datagrams get lost."""
READERS = 2
"""Daemons of a failure domain that read the store, so that one may fail."""
SOON_S = 0.01
"""Seconds for which urgent changes are collected into one heartbeat."""
RETRY_TURNS = 20
"""Ticks between two attempts to read by a daemon that the store rejected."""
LOAD_S = 1.0
"""Minimum age at which the requests in a heartbeat are no longer counted."""
LOAD_BEATS = 1.5
"""Missed heartbeats before that; older requests have mostly ended by then."""
FORGET_TURNS = 50
"""Ticks between two removals of upstreams that no daemon hears from any more."""


class Circle(asyncio.DatagramProtocol):
    """Sends heartbeats to the registered daemons and tracks those that it receives.

    :param name: name of this daemon
    :param seat: this daemon's record
    :param follower: topic of the registered daemons
    :param make_beat: returns the heartbeat to send
    :param decisions: logs each daemon that becomes reachable or unreachable
    :param startup_grace_s: seconds after the start during which registered daemons
        count as present although no heartbeat has arrived yet
    """

    def __init__(
        self,
        name: str,
        seat: Seat,
        follower: Follower,
        make_beat: Callable[[], Beat],
        decisions: Decisions,
        *,
        startup_grace_s: float = 0.0,
    ) -> None:
        self.served = False
        """Whether another daemon has served a request."""
        self.on_leaving: Callable[[Life], None] = lambda life: None
        """Called with each upstream that a heartbeat reports as leaving."""
        self.on_era: Callable[[int], None] = lambda era: None
        """Called with the era of the store in each heartbeat."""
        self.tally = Tally()
        """Upstream state from the heartbeats that are recent enough to count."""
        self._name = name
        self._seat = seat
        self._make_beat = make_beat
        self._decisions = decisions
        self.names_by_domain: defaultdict[str, set[str]] = defaultdict(set)
        """The registered daemons of each failure domain, including this one."""
        self._seats: dict[str, Seat] = {}
        self._local_receivers = Turns()
        self._remote_receivers = Turns()
        self._beat_by_name: dict[str, Beat] = {}
        self._liveness = {is_local: Roll() for is_local in (True, False)}
        self._load_freshness = {is_local: Roll() for is_local in (True, False)}
        self._domain_heard_at: dict[str, float] = {}
        self._peers_on_duty: set[str] = set()
        self._readers: list[str] | None = None
        """Local daemons that can reach the store, by rank; None to recompute them."""
        self.near_interval_s = TICK_S
        """Seconds between two heartbeats from a daemon of this failure domain."""
        self.far_interval_s = FAR_TICKS * TICK_S
        """Seconds between two heartbeats from a daemon of another failure domain."""
        self._grace_ends_at = loop_time() + startup_grace_s
        self._pending_receivers: set[str] = set()
        self._transport: asyncio.DatagramTransport | None = None
        self._tick_count = 0
        follower.on_change = self._take_seat

    @property
    def seats(self) -> Mapping[str, Seat]:
        """Return all registered daemons, including this one once it is registered."""
        return self._seats

    @property
    def size(self) -> int:
        """Return the number of daemons: registered, or heard from and this one."""
        return max(len(self._seats), len(self._beat_by_name) + 1)

    def sharers(self, failure_domain: str) -> Set[str]:
        """Return the daemons of a failure domain, or all daemons if it has none."""
        return self.names_by_domain[failure_domain] or self._seats.keys()

    @property
    def present(self) -> Set[str]:
        """Return the other daemons whose heartbeats are recent."""
        return self._beat_by_name.keys()

    def domain_heard_at(self, failure_domain: str) -> float:
        """Return the loop's time of the last heartbeat from a failure domain.

        :return: negative if there was none
        """
        if failure_domain == self._seat.failure_domain:
            return loop_time()
        return self._domain_heard_at.get(failure_domain, -1.0)

    @property
    def acting(self) -> Set[str]:
        """Return the other daemons whose last heartbeat says that they are on duty."""
        return self._peers_on_duty

    @property
    def progress_by_peer(self) -> Mapping[str, Progress]:
        """Return how far peers have read each topic, by internal address.

        Only peers of the own failure domain are included if one of them reaches the
        store. Otherwise those of other domains are included too, since the store may
        reject a whole failure domain.
        """
        names = self._load_freshness[True].names
        if not self._local_readers():
            names = names | self._load_freshness[False].names
        return {
            self._seats[name].internal: _progress(self._beat_by_name[name])
            for name in names
            if name in self._seats
        }

    def reads_store(self, *, reaches: bool) -> bool:
        """Return whether this daemon should read the store for its failure domain.

        :param reaches: whether the store answered this daemon's last read
        """
        if loop_time() < self._grace_ends_at:
            unheard = self._local_receivers.seats.keys() - self._liveness[True].names
            return self._is_selected_reader(
                rank_names("reader", self._local_with_store_access() | unheard)
            )
        readers = self._local_readers()
        if not reaches and len(readers) >= READERS:
            return self._tick_count % RETRY_TURNS == 0
        return self._is_selected_reader(readers)

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
            if self._beat_by_name[name].reaches_store
        }

    def _is_selected_reader(self, readers: Sequence[str]) -> bool:
        """Return whether this daemon ranks among the first READERS candidates."""
        first = rank_names("reader", [self._name, *readers[:READERS]])
        return self._name in first[:READERS]

    def work(self, host: str) -> tuple[int, int]:
        """Return the peers' requests at an upstream: in flight, and waiting."""
        return self.tally.work(host)

    def tell_everyone(self) -> None:
        """Send a heartbeat to all daemons ahead of schedule, for urgent changes."""
        self.tell_soon(self._seats.keys() - {self._name})

    def tell_excluded(self, host: str) -> None:
        """Announce an excluded upstream, unless another daemon excludes it already."""
        if host not in self.tally.suspects:
            self.tell_everyone()

    def tell_soon(self, names: Collection[str]) -> None:
        """Send a heartbeat to some daemons ahead of schedule.

        The send is delayed by SOON_S, so that it covers several changes.
        """
        if self._transport is None or not names:
            return
        if not self._pending_receivers:
            asyncio.get_running_loop().call_later(SOON_S, self._send_pending)
        self._pending_receivers.update(names)

    def _send_pending(self) -> None:
        names, self._pending_receivers = self._pending_receivers, set()
        seats = [self._seats[name] for name in names if name in self._seats]
        if seats and self._transport is not None:
            self._send_to(pack(self._make_beat()), seats)

    def record(self, *, again: bool = False) -> Change | None:
        """Return this daemon's record to append, or None if it is registered already.

        :param again: whether to return the record in any case
        """
        if self._seats.get(self._name) == self._seat and not again:
            return None
        return Change(self._name, msgspec.json.encode(self._seat))

    async def run(self) -> None:
        """Receive and send heartbeats until cancelled."""
        host, _, port = self._seat.address.rpartition(":")
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(host, int(port))
        )
        try:
            while True:
                self.tick()
                self.send_beats()
                await asyncio.sleep(TICK_S)
        finally:
            self._transport = None
            transport.close()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport that sends heartbeats."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Decode and process a heartbeat."""
        try:
            beat = unpack(data)
        except PeerError as error:
            self._decisions.belief("beat_unreadable", peer=addr[0], reason=str(error))
            return
        if beat.name != self._name:
            self.hear(beat)

    def hear(self, beat: Beat) -> None:
        """Process a heartbeat from another daemon."""
        now, name = loop_time(), beat.name
        is_local = name in self._local_receivers.seats
        before = self._beat_by_name.get(name)
        self._beat_by_name[name] = beat
        self.served |= beat.served
        if self._liveness[is_local].hear(name, at=now):
            self._decisions.belief("dependency_regained", dependency=f"daemon/{name}")
        self._load_freshness[is_local].hear(name, at=now)
        self.tally.put(beat, at=now)
        if beat.on_duty:
            self._peers_on_duty.add(name)
        else:
            self._peers_on_duty.discard(name)
        if is_local and (before is None or before.reaches_store != beat.reaches_store):
            self._readers = None
        if (seat := self._seats.get(name)) is not None:
            self._domain_heard_at[seat.failure_domain] = now
        for life in beat.leaving:
            self.on_leaving(life)
        self.on_era(beat.era)

    def tick(self) -> None:
        """Expire daemons and loads whose heartbeats are overdue."""
        self._tick_count += 1
        now = loop_time()
        for is_local, interval_s in (
            (True, self.near_interval_s),
            (False, self.far_interval_s),
        ):
            load_s = max(LOAD_S, LOAD_BEATS * interval_s)
            for name in self._load_freshness[is_local].expire(now - load_s):
                self.tally.drop(name)
            heard_s = max(HEARD_S, HEARD_BEATS * interval_s)
            for name in self._liveness[is_local].expire(now - heard_s):
                self._mark_gone(name)
        if self._tick_count % FORGET_TURNS == 0:
            self.tally.forget(now)

    def _mark_gone(self, name: str) -> None:
        del self._beat_by_name[name]
        self._peers_on_duty.discard(name)
        self._readers = None
        self._decisions.belief("dependency_lost", dependency=f"daemon/{name}")

    def error_received(self, exc: Exception) -> None:
        """Log an error that the operating system reports for a sent datagram."""
        self._decisions.belief("beat_unsent", reason=repr(exc))

    def send_beats(self) -> None:
        """Send to the next batch of daemons, more often within the failure domain."""
        data = pack(self._make_beat())
        self._send_to(data, self._local_receivers.next(int(NEAR_BEATS_PER_S * TICK_S)))
        if self._tick_count % FAR_TICKS == 0:
            batch_size = int(FAR_BEATS_PER_S * TICK_S * FAR_TICKS)
            self._send_to(data, self._remote_receivers.next(batch_size))

    def _send_to(self, data: bytes, seats: Sequence[Seat]) -> None:
        for seat in seats:
            host, _, port = seat.address.rpartition(":")
            transport = cast(asyncio.DatagramTransport, self._transport)
            transport.sendto(data, (host, int(port)))

    def _take_seat(self, change: Change) -> None:
        name, before = change.key, self._seats.get(change.key)
        self._decode_seat(change)
        seat = self._seats.get(name)
        if before is not None:
            self.names_by_domain[before.failure_domain].discard(name)
        if seat is not None:
            self.names_by_domain[seat.failure_domain].add(name)
        self._local_receivers.drop(name)
        self._remote_receivers.drop(name)
        if seat is not None and name != self._name:
            is_local = seat.failure_domain == self._seat.failure_domain
            (self._local_receivers if is_local else self._remote_receivers).put(
                name, seat
            )
            self._move_between_domains(name, is_local=is_local)
        self._readers = None
        self._set_intervals()

    def _move_between_domains(self, name: str, *, is_local: bool) -> None:
        """Move a daemon to the trackers of the failure domain that it is in now."""
        for rolls in (self._liveness, self._load_freshness):
            if name in rolls[not is_local].names:
                rolls[not is_local].drop(name)
                rolls[is_local].hear(name, at=loop_time())

    def _set_intervals(self) -> None:
        """Compute the expected intervals between heartbeats from each peer.

        Every daemon sends round-robin at a limited rate, so the interval grows with
        the number of daemons.
        """
        round_s = len(self._local_receivers.seats) / NEAR_BEATS_PER_S
        self.near_interval_s = max(TICK_S, round_s)
        own = self._seat.failure_domain
        domains = self.names_by_domain.items()
        counts = [len(names) for domain, names in domains if domain != own and names]
        smallest_domain = min(counts, default=0)
        round_s = (len(self._seats) - smallest_domain) / FAR_BEATS_PER_S
        self.far_interval_s = max(FAR_TICKS * TICK_S, round_s)

    def _decode_seat(self, change: Change) -> None:
        if not change.value:
            self._seats.pop(change.key, None)
            return
        try:
            fields = msgspec.json.decode(change.value)
            self._seats[change.key] = known_fields(fields, Seat)
        except msgspec.MsgspecError as error:
            self._decisions.belief(
                "record_unreadable", key=change.key, reason=str(error)
            )


def _progress(beat: Beat) -> Progress:
    return Progress(beat.end_by_topic, beat.era, beat.carried_by_topic)
