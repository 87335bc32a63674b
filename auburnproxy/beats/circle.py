"""The other daemons: who is heard, what they run, and who is told."""

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
"""Seconds between two beats to daemons of the own failure domain."""
FAR_TICKS = 3
"""Ticks between two beats to other failure domains, whose links are paid for."""
NEAR_BEATS_PER_S = 60
"""Most beats that a daemon sends to its own failure domain in a second."""
FAR_BEATS_PER_S = 30
"""Most beats that a daemon sends to other failure domains in a second."""
HEARD_S = 1.5
"""Least age at which a beat no longer shows its daemon to be there."""
HEARD_BEATS = 3
"""Beats that are late before a daemon counts as gone; single datagrams are lost."""
READERS = 2
"""Daemons of a failure domain that read the store: one more may be lost meanwhile."""
SOON_S = 0.01
"""Seconds in which changes at upstreams are told together."""
RETRY_TURNS = 20
"""Ticks between two tries of a daemon that the store has turned away."""
LOAD_S = 1.0
"""Least age at which a beat's requests in flight are no longer counted."""
LOAD_BEATS = 1.5
"""Beats that are late before that; older requests in flight have mostly ended."""
FORGET_TURNS = 50
"""Ticks between two looks for upstreams that nobody hears any more."""


class Circle(asyncio.DatagramProtocol):
    """Sends beats to the recorded daemons and keeps theirs.

    :param name: name of this daemon
    :param seat: where it listens
    :param follower: the recorded daemons
    :param say: returns what to tell
    :param decisions: takes a line for each daemon that comes and goes
    :param trust_s: seconds after the start in which recorded daemons count as there,
        heard or not
    """

    def __init__(
        self,
        name: str,
        seat: Seat,
        follower: Follower,
        say: Callable[[], Beat],
        decisions: Decisions,
        *,
        trust_s: float = 0.0,
    ) -> None:
        self.served = False
        """Whether one of the others has served a request."""
        self.on_leaving: Callable[[Life], None] = lambda life: None
        """Called with each upstream that a beat says to be leaving."""
        self.on_era: Callable[[int], None] = lambda era: None
        """Called with each era of the store that a beat tells."""
        self.tally = Tally()
        """What the beats of the daemons that are not late tell of upstreams."""
        self._name = name
        self._seat = seat
        self._say = say
        self._decisions = decisions
        self.names_by_domain: defaultdict[str, set[str]] = defaultdict(set)
        """The recorded daemons of each failure domain, this one included."""
        self._seats: dict[str, Seat] = {}
        self._near = Turns()
        self._far = Turns()
        self._beat_by_name: dict[str, Beat] = {}
        self._present = {near: Roll() for near in (True, False)}
        self._counted = {near: Roll() for near in (True, False)}
        self._domain_heard_at: dict[str, float] = {}
        self._acting: set[str] = set()
        self._readers: list[str] | None = None
        """Daemons near here that can read the store, the first to do so first."""
        self.near_interval_s = TICK_S
        """Seconds between two beats of a daemon of this failure domain."""
        self.far_interval_s = FAR_TICKS * TICK_S
        """Seconds between two beats of a daemon of another one."""
        self._trusts_until = loop_time() + trust_s
        self._told_soon: set[str] = set()
        self._transport: asyncio.DatagramTransport | None = None
        self._turn = 0
        follower.on_change = self._take_seat

    @property
    def seats(self) -> Mapping[str, Seat]:
        """Return every recorded daemon, this one included once it is recorded."""
        return self._seats

    @property
    def size(self) -> int:
        """Return how many daemons there may be."""
        return max(len(self._seats), len(self._beat_by_name) + 1)

    def sharers(self, failure_domain: str) -> Set[str]:
        """Return the daemons of a failure domain, all of them if it has none."""
        return self.names_by_domain[failure_domain] or self._seats.keys()

    @property
    def present(self) -> Set[str]:
        """Return the other daemons that were heard of late."""
        return self._beat_by_name.keys()

    def domain_heard_at(self, failure_domain: str) -> float:
        """Return the loop's time at which a daemon of a failure domain was heard."""
        if failure_domain == self._seat.failure_domain:
            return loop_time()
        return self._domain_heard_at.get(failure_domain, -1.0)

    @property
    def acting(self) -> Set[str]:
        """Return the other daemons that lately said to be on duty."""
        return self._acting

    @property
    def progress_by_peer(self) -> Mapping[str, Progress]:
        """Return how far others have read each topic, by internal address.

        Those of the own failure domain are told of, if one of them reaches the store;
        else the others as well, since the store may turn a whole domain away.
        """
        names = self._counted[True].names
        if not self._near_readers():
            names = names | self._counted[False].names
        return {
            self._seats[name].internal: _progress(self._beat_by_name[name])
            for name in names
            if name in self._seats
        }

    def reads_store(self, *, reaches: bool) -> bool:
        """Return whether this daemon is to read the store for its failure domain.

        :param reaches: whether the store answered this daemon's last reading
        """
        if loop_time() < self._trusts_until:
            unheard = self._near.seats.keys() - self._present[True].names
            return self._leads(rank_names("reader", self._able() | unheard))
        readers = self._near_readers()
        if not reaches and len(readers) >= READERS:
            return self._turn % RETRY_TURNS == 0
        return self._leads(readers)

    def _near_readers(self) -> Sequence[str]:
        """Return the daemons near here that reach the store, by rank."""
        if self._readers is None:
            self._readers = rank_names("reader", self._able())
        return self._readers

    def _able(self) -> set[str]:
        """Return the daemons near here that say that they reach the store."""
        return {
            name
            for name in self._present[True].names
            if self._beat_by_name[name].reaches_store
        }

    def _leads(self, readers: Sequence[str]) -> bool:
        """Return whether this daemon is among the first of the readers by rank."""
        first = rank_names("reader", [self._name, *readers[:READERS]])
        return self._name in first[:READERS]

    def work(self, host: str) -> tuple[int, int]:
        """Return the requests of the others at an upstream, and those that wait."""
        return self.tally.work(host)

    def tell_everyone(self) -> None:
        """Send the next beat to all daemons at once; for what is rare and urgent."""
        self.tell_soon(self._seats.keys() - {self._name})

    def tell_excluded(self, host: str) -> None:
        """Tell everyone of an upstream that is left out here and nowhere else yet."""
        if host not in self.tally.suspects:
            self.tell_everyone()

    def tell_soon(self, names: Collection[str]) -> None:
        """Send the next beat to some daemons at once, with what else comes soon."""
        if self._transport is None or not names:
            return
        if not self._told_soon:
            asyncio.get_running_loop().call_later(SOON_S, self._tell_now)
        self._told_soon.update(names)

    def _tell_now(self) -> None:
        names, self._told_soon = self._told_soon, set()
        seats = [self._seats[name] for name in names if name in self._seats]
        if seats and self._transport is not None:
            self._send_to(pack(self._say()), seats)

    def record(self, *, again: bool = False) -> Change | None:
        """Return the record of this daemon's seat, None if it stands already.

        :param again: whether to return it all the same
        """
        if self._seats.get(self._name) == self._seat and not again:
            return None
        return Change(self._name, msgspec.json.encode(self._seat))

    async def run(self) -> None:
        """Listen and send until cancelled."""
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
        """Take the socket that beats go out by."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Take a beat."""
        try:
            beat = unpack(data)
        except PeerError as error:
            self._decisions.belief("beat_unreadable", peer=addr[0], reason=str(error))
            return
        if beat.name != self._name:
            self.hear(beat)

    def hear(self, beat: Beat) -> None:
        """Take what another daemon says of itself."""
        now, name = loop_time(), beat.name
        near = name in self._near.seats
        before = self._beat_by_name.get(name)
        self._beat_by_name[name] = beat
        self.served |= beat.served
        if self._present[near].hear(name, at=now):
            self._decisions.belief("dependency_regained", dependency=f"daemon/{name}")
        self._counted[near].hear(name, at=now)
        self.tally.put(beat, at=now)
        if beat.on_duty:
            self._acting.add(name)
        else:
            self._acting.discard(name)
        if near and (before is None or before.reaches_store != beat.reaches_store):
            self._readers = None
        if (seat := self._seats.get(name)) is not None:
            self._domain_heard_at[seat.failure_domain] = now
        for life in beat.leaving:
            self.on_leaving(life)
        self.on_era(beat.era)

    def tick(self) -> None:
        """Count the daemons no more that are late."""
        self._turn += 1
        now = loop_time()
        for near, interval_s in (
            (True, self.near_interval_s),
            (False, self.far_interval_s),
        ):
            load_s = max(LOAD_S, LOAD_BEATS * interval_s)
            for name in self._counted[near].expire(now - load_s):
                self.tally.drop(name)
            heard_s = max(HEARD_S, HEARD_BEATS * interval_s)
            for name in self._present[near].expire(now - heard_s):
                self._lose(name)
        if self._turn % FORGET_TURNS == 0:
            self.tally.forget(now)

    def _lose(self, name: str) -> None:
        del self._beat_by_name[name]
        self._acting.discard(name)
        self._readers = None
        self._decisions.belief("dependency_lost", dependency=f"daemon/{name}")

    def error_received(self, exc: Exception) -> None:
        """Log a datagram that the network gave back."""
        self._decisions.belief("beat_unsent", reason=repr(exc))

    def send_beats(self) -> None:
        """Send to a few daemons in turn, near ones more often."""
        data = pack(self._say())
        self._send_to(data, self._near.next(int(NEAR_BEATS_PER_S * TICK_S)))
        if self._turn % FAR_TICKS == 0:
            most = int(FAR_BEATS_PER_S * TICK_S * FAR_TICKS)
            self._send_to(data, self._far.next(most))

    def _send_to(self, data: bytes, seats: Sequence[Seat]) -> None:
        for seat in seats:
            host, _, port = seat.address.rpartition(":")
            transport = cast(asyncio.DatagramTransport, self._transport)
            transport.sendto(data, (host, int(port)))

    def _take_seat(self, change: Change) -> None:
        name, before = change.key, self._seats.get(change.key)
        self._keep_seat(change)
        seat = self._seats.get(name)
        if before is not None:
            self.names_by_domain[before.failure_domain].discard(name)
        if seat is not None:
            self.names_by_domain[seat.failure_domain].add(name)
        self._near.drop(name)
        self._far.drop(name)
        if seat is not None and name != self._name:
            near = seat.failure_domain == self._seat.failure_domain
            (self._near if near else self._far).put(name, seat)
            self._move(name, near=near)
        self._readers = None
        self._set_intervals()

    def _move(self, name: str, *, near: bool) -> None:
        """Expect a daemon's beats as those of its failure domain."""
        for rolls in (self._present, self._counted):
            if name in rolls[not near].names:
                rolls[not near].drop(name)
                rolls[near].hear(name, at=loop_time())

    def _set_intervals(self) -> None:
        """Work out how often the others' turns bring their beats here."""
        turn_s = len(self._near.seats) / NEAR_BEATS_PER_S
        self.near_interval_s = max(TICK_S, turn_s)
        own = self._seat.failure_domain
        domains = self.names_by_domain.items()
        counts = [len(names) for domain, names in domains if domain != own and names]
        least = min(counts, default=0)
        turn_s = (len(self._seats) - least) / FAR_BEATS_PER_S
        self.far_interval_s = max(FAR_TICKS * TICK_S, turn_s)

    def _keep_seat(self, change: Change) -> None:
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
