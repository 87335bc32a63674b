"""The other daemons: who is heard, what they run, and who is told."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable, Mapping
from typing import NamedTuple, cast

import msgspec

from ..clock import loop_time
from ..errors import PeerError
from ..gateway.host import Life
from ..rendezvous import rank_names
from ..store import Change, Follower
from ..telemetry.decisions import Decisions
from .beat import Beat, pack, unpack

TICK_S = 0.1
"""Seconds between two beats to daemons of the own failure domain."""
FAR_TICKS = 3
"""Ticks between two beats to other failure domains, whose links are paid for."""
NEAR_BEATS_PER_S = 120
"""Most beats that a daemon sends to its own failure domain in a second."""
FAR_BEATS_PER_S = 40
"""Most beats that a daemon sends to other failure domains in a second."""
HEARD_S = 1.5
"""Least age at which a beat no longer shows its daemon to be there."""
HEARD_BEATS = 3
"""Beats that are late before a daemon counts as gone; single datagrams are lost."""
READERS = 2
"""Daemons of a failure domain that read the store: one more may be lost meanwhile."""
RETRY_TURNS = 20
"""Ticks between two tries of a daemon that the store has turned away."""
LOAD_S = 1.0
"""Least age at which a beat's requests in flight are no longer counted."""
LOAD_BEATS = 1.5
"""Beats that are late before that; older requests in flight have mostly ended."""
WORK_S = 0.02
"""Age at which the others' requests are added up anew; beats come less often, and a
choice asks for each upstream."""
MS_PER_S = 1000


class Seat(NamedTuple):
    """Where a daemon listens for beats, as it has recorded."""

    address: str
    """IP number and port."""
    failure_domain: str
    internal: str
    """IP number and port of its listener for peers."""


class Heard(NamedTuple):
    """The newest beat of a daemon."""

    beat: Beat
    at: float
    """The loop's time in seconds at which it came."""


class Circle(asyncio.DatagramProtocol):
    """Sends beats to the recorded daemons and keeps theirs.

    :param name: name of this daemon
    :param seat: where it listens
    :param follower: the recorded daemons
    :param say: returns what to tell
    :param decisions: takes a line for each daemon that comes and goes
    """

    def __init__(
        self,
        name: str,
        seat: Seat,
        follower: Follower,
        say: Callable[[], Beat],
        decisions: Decisions,
    ) -> None:
        self._name = name
        self._seat = seat
        self._say = say
        self._decisions = decisions
        self._seats: dict[str, Seat] = {}
        self._count_by_domain: Counter[str] = Counter()
        self._heard: dict[str, Heard] = {}
        self._work_by_host: dict[str, tuple[int, int]] = {}
        self._work_at = -1.0
        self._present: frozenset[str] = frozenset()
        self._transport: asyncio.DatagramTransport | None = None
        self._turn = 0
        self.on_leaving: Callable[[Life], None] = lambda life: None
        """Called with each upstream that a beat says to be leaving."""
        follower.on_change = self._take_seat

    @property
    def seats(self) -> Mapping[str, Seat]:
        """Return every recorded daemon, this one included once it is recorded."""
        return self._seats

    @property
    def size(self) -> int:
        """Return how many daemons there may be."""
        return max(len(self._seats), len(self._present) + 1)

    @property
    def present(self) -> frozenset[str]:
        """Return the other daemons that were heard of late."""
        return frozenset(heard.beat.name for heard in self._present_beats())

    def domain_heard_at(self, failure_domain: str) -> float:
        """Return the loop's time at which a daemon of a failure domain was heard."""
        if failure_domain == self._seat.failure_domain:
            return loop_time()
        times = (
            heard.at
            for name, heard in self._heard.items()
            if self._domain(name) == failure_domain
        )
        return max(times, default=-1.0)

    @property
    def acting(self) -> frozenset[str]:
        """Return the other daemons that lately said to be on duty."""
        present = self._present_beats()
        return frozenset(heard.beat.name for heard in present if heard.beat.on_duty)

    @property
    def served(self) -> bool:
        """Return whether one of the others has served a request."""
        return any(heard.beat.served for heard in self._heard.values())

    @property
    def suspects(self) -> frozenset[str]:
        """Return the upstreams that others leave out."""
        fresh = self._load_beats()
        return frozenset(host for heard in fresh for host in heard.beat.suspects)

    @property
    def end_by_peer(self) -> Mapping[str, Mapping[str, int]]:
        """Return how far others have read each topic, by internal address.

        Those of the own failure domain are told of, if any is heard.
        """
        heard = {
            heard.beat.name: heard.beat.end_by_topic
            for heard in self._load_beats()
            if heard.beat.name in self._seats
        }
        near = heard.keys() & self._near
        return {
            self._seats[name].internal: ends
            for name, ends in heard.items()
            if name in near or not near
        }

    def reads_store(self, *, reaches: bool) -> bool:
        """Return whether this daemon is to read the store for its failure domain.

        :param reaches: whether the store answered this daemon's last reading
        """
        able = {
            name
            for name in self.present & self._near
            if self._heard[name].beat.reaches_store
        }
        if not reaches and len(able) >= READERS:
            return self._turn % RETRY_TURNS == 0
        order = rank_names("reader", {self._name, *able})
        return order.index(self._name) < READERS

    def _present_beats(self) -> list[Heard]:
        return self._fresh(least_s=HEARD_S, beats=HEARD_BEATS)

    def _load_beats(self) -> list[Heard]:
        return self._fresh(least_s=LOAD_S, beats=LOAD_BEATS)

    def _fresh(self, *, least_s: float, beats: float) -> list[Heard]:
        """Return the newest beats of the daemons that are not late.

        :param least_s: age that a beat may have at any size of the deployment
        :param beats: beats that a daemon may be late where that is more
        """
        now = loop_time()
        age_s_by_domain = {
            domain: max(least_s, beats * self._interval_s(domain))
            for domain in self._count_by_domain
        }
        return [
            heard
            for name, heard in self._heard.items()
            if now - heard.at < age_s_by_domain.get(self._domain(name), least_s)
        ]

    def _domain(self, name: str) -> str:
        seat = self._seats.get(name)
        return seat.failure_domain if seat else ""

    def _interval_s(self, domain: str) -> float:
        """Return the seconds between two beats of a failure domain's daemon to here."""
        near = self._count_by_domain[domain]
        if domain == self._seat.failure_domain:
            return TICK_S * max(1.0, (near - 1) / (NEAR_BEATS_PER_S * TICK_S))
        far = self._count_by_domain.total() - near
        return max(FAR_TICKS * TICK_S, far / FAR_BEATS_PER_S)

    @property
    def _near(self) -> set[str]:
        own = self._seat.failure_domain
        return {name for name, s in self._seats.items() if s.failure_domain == own}

    @property
    def lost(self) -> frozenset[str]:
        """Return the heads of the replicas that the daemon on duty is ending."""
        fresh = self._load_beats()
        return frozenset(host for heard in fresh for host in heard.beat.lost)

    def work(self, host: str) -> tuple[int, int]:
        """Return the requests of the others at an upstream, and those that wait."""
        if loop_time() - self._work_at >= WORK_S:
            self._work_at = loop_time()
            self._work_by_host = self._sum_work()
        return self._work_by_host.get(host, (0, 0))

    def _sum_work(self) -> dict[str, tuple[int, int]]:
        sums: dict[str, tuple[int, int]] = {}
        for heard in self._load_beats():
            for host, work in heard.beat.work_by_host.items():
                in_flight, waiting = sums.get(host, (0, 0))
                sums[host] = in_flight + work.in_flight, waiting + work.waiting
        return sums

    def heard_at(self, host: str) -> float:
        """Return the loop's time at which one of the others last heard an upstream."""
        times = [
            heard.at - work.silent_ms / MS_PER_S
            for heard in self._heard.values()
            if (work := heard.beat.work_by_host.get(host)) is not None
        ]
        return max(times, default=-1.0)

    def record(self) -> Change | None:
        """Return the record of this daemon's seat, None if it stands already."""
        if self._seats.get(self._name) == self._seat:
            return None
        return Change(self._name, msgspec.json.encode(self._seat))

    async def run(self) -> None:
        """Listen and send until cancelled."""
        host, _, port = self._seat.address.rpartition(":")
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(host, int(port))
        )
        self._transport = transport
        try:
            while True:
                self._send_beats()
                self._note_presence()
                await asyncio.sleep(TICK_S)
        finally:
            transport.close()

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Take a beat."""
        try:
            beat = unpack(data)
        except PeerError as error:
            self._decisions.belief("beat_unreadable", peer=addr[0], reason=str(error))
            return
        if beat.name == self._name:
            return
        self._heard[beat.name] = Heard(beat, loop_time())
        for life in beat.leaving:
            self.on_leaving(life)

    def error_received(self, exc: Exception) -> None:
        """Log a datagram that the network gave back."""
        self._decisions.belief("beat_unsent", reason=repr(exc))

    def _send_beats(self) -> None:
        """Send to a few daemons in turn, near ones more often."""
        data = pack(self._say())
        own = self._seat.failure_domain
        others = [s for n, s in sorted(self._seats.items()) if n != self._name]
        near = [seat for seat in others if seat.failure_domain == own]
        far = [seat for seat in others if seat.failure_domain != own]
        self._turn += 1
        self._send(data, near, int(NEAR_BEATS_PER_S * TICK_S))
        if self._turn % FAR_TICKS == 0:
            self._send(data, far, int(FAR_BEATS_PER_S * TICK_S * FAR_TICKS))

    def _send(self, data: bytes, seats: list[Seat], most: int) -> None:
        start = self._turn * most % len(seats) if len(seats) > most else 0
        for seat in (seats[start:] + seats[:start])[:most]:
            host, _, port = seat.address.rpartition(":")
            transport = cast(asyncio.DatagramTransport, self._transport)
            transport.sendto(data, (host, int(port)))

    def _note_presence(self) -> None:
        present = self.present
        for name in present - self._present:
            self._decisions.belief("dependency_regained", dependency=f"daemon/{name}")
        for name in self._present - present:
            self._decisions.belief("dependency_lost", dependency=f"daemon/{name}")
        self._present = present

    def _take_seat(self, change: Change) -> None:
        self._keep_seat(change)
        self._count_by_domain = Counter(s.failure_domain for s in self._seats.values())

    def _keep_seat(self, change: Change) -> None:
        if not change.value:
            self._seats.pop(change.key, None)
            return
        try:
            self._seats[change.key] = msgspec.json.decode(change.value, type=Seat)
        except msgspec.MsgspecError as error:
            self._decisions.belief(
                "record_unreadable", key=change.key, reason=str(error)
            )
