"""Records that a daemon gets from its peers in place of the store.

Answers a store whose calls are dear and which may turn some daemons away: a few
daemons of a failure domain read it, each beat tells how far its daemon has read,
and who is behind fetches the changes from who is ahead. Links may be slow and
configurations long and many, so a peer sends the newest value of each key alone,
compressed, and a topic that is slow to come holds up no other.
"""

from __future__ import annotations

import asyncio
import zlib
from abc import ABC, abstractmethod
from collections.abc import Mapping
from random import Random
from types import MappingProxyType
from typing import NamedTuple

import msgspec
from aiohttp import ClientSession, ClientTimeout, web

from ..bounded_body import read_body
from ..clock import loop_time
from ..errors import AuburnError, PeerError
from ..telemetry.decisions import Decisions
from ..upstreams.client import upstream_errors
from .follower import CARRIED, Follower, Shared

PATH = "/records/"
BEHIND_S = 0.15
"""Seconds for which a peer must be ahead; the own reading mostly comes sooner."""
FETCH_TIMEOUT_S = 2.0
"""Longest fetch; the bound in which a configuration must be in force."""
RETRY_S = 0.4
"""Seconds between two fetches of a topic; hosts register several times a second."""
MOST_FETCHES = 3
"""Fetches of a topic under way at once: a peer that is silent holds up one."""
PACKED_S = 0.5
"""Age at which packed records are packed anew: they tell when the store failed."""
PACKED_BYTES = 4_194_304
"""Longest answer of a peer that is read."""
UNPACKED_BYTES = 33_554_432
"""Longest records in it; a topic of 1,600 hosts and a configuration takes a tenth."""
COMPRESSION = 1
"""Level of zlib: fastest, and a configuration still shrinks to a tenth."""


class Progress(NamedTuple):
    """How far a peer has read the topics."""

    end_by_topic: Mapping[str, int]
    era: int = 0
    """Era of the store that these ends are of."""
    carried_by_topic: Mapping[str, int] = MappingProxyType({})
    """Ends in the era before of the topics that it has carried over."""


class Place(NamedTuple):
    """How far a daemon that asks has read a topic."""

    end: int
    carried_end: int = CARRIED


_decoder = msgspec.msgpack.Decoder(Shared)


def pack(shared: Shared) -> bytes:
    """Return the bytes of what a daemon tells another of a topic."""
    return zlib.compress(msgspec.msgpack.encode(shared), COMPRESSION)


def unpack(data: bytes) -> Shared:
    """Return what a daemon tells of a topic.

    :raises PeerError: if it is malformed
    """
    inflater = zlib.decompressobj()
    try:
        text = inflater.decompress(data, UNPACKED_BYTES)
        if not inflater.eof:
            raise PeerError(f"records of {len(data)} bytes are cut off or too long")
        return _decoder.decode(text)
    except (msgspec.MsgspecError, zlib.error) as error:
        raise PeerError(f"malformed records of {len(data)} bytes") from error


class Peers(ABC):
    """Other daemons, asked for records."""

    @abstractmethod
    async def fetch(self, address: str, topic: str, place: Place) -> Shared:
        """Return the changes of a topic from a place on.

        :param address: internal address of the peer
        :raises AuburnError: if it gives no answer that can be read
        """


class HttpPeers(Peers):
    """Daemons that serve :meth:`Relay.application`.

    :param session: connections to them
    """

    def __init__(self, session: ClientSession) -> None:
        self._session = session

    async def fetch(self, address: str, topic: str, place: Place) -> Shared:
        """Return the changes of a topic from a place on.

        :param address: internal address of the peer
        :raises AuburnError: if it gives no answer that can be read
        """
        query = f"from={place.end}&carried={place.carried_end}"
        url = f"http://{address}{PATH}{topic}?{query}"
        timeout = ClientTimeout(total=FETCH_TIMEOUT_S)
        with upstream_errors(address):
            async with self._session.get(url, timeout=timeout) as response:
                return unpack(await read_body(response, most_bytes=PACKED_BYTES))


class _Packed(NamedTuple):
    """The bytes sent last; peers that are as far behind get the same."""

    place: Place
    """Of who asked."""
    end: tuple[int, int]
    """Era and end of the own copy."""
    at: float
    """The loop's time in seconds."""
    data: bytes


class _Topic:
    """What is under way for one topic."""

    def __init__(self, follower: Follower) -> None:
        self.follower = follower
        self.behind_since: float | None = None
        self.fetch_at = 0.0
        self.asked: set[str] = set()
        """Addresses of the peers that are being asked."""
        self.packed: _Packed | None = None


class Relay:
    """Serves the followed topics to peers, and fetches from those that are ahead.

    :param followers: the shared topics by name
    :param peers: the other daemons
    :param decisions: takes a line for each fetch
    :param random: chooses among the peers that are ahead
    """

    def __init__(
        self,
        followers: Mapping[str, Follower],
        peers: Peers,
        decisions: Decisions,
        *,
        random: Random | None = None,
    ) -> None:
        self.followers = followers
        self._peers = peers
        self._decisions = decisions
        self._topics = {name: _Topic(f) for name, f in followers.items()}
        self._fetches: set[asyncio.Task[None]] = set()
        self._random = random or Random()

    @property
    def end_by_topic(self) -> dict[str, int]:
        """Return how far this daemon has read each topic."""
        return {name: f.end for name, f in self.followers.items() if f.current}

    @property
    def carried_by_topic(self) -> dict[str, int]:
        """Return how far this daemon had read the topics that it has carried over."""
        return {
            name: follower.carried_end
            for name, follower in self.followers.items()
            if follower.current and follower.carried_end != CARRIED
        }

    def application(self) -> web.Application:
        """Return what the listener for peers serves."""
        application = web.Application()
        application.router.add_get(PATH + "{topic}", self._serve)
        return application

    def step(self, progress_by_peer: Mapping[str, Progress]) -> None:
        """Begin to fetch the topics that a peer has read further for a while.

        :param progress_by_peer: what each peer's beat told, by its internal address
        """
        now = loop_time()
        for name, topic in self._topics.items():
            ahead = [
                address
                for address, progress in progress_by_peer.items()
                if _ahead(progress, name, topic.follower)
            ]
            if not ahead:
                topic.behind_since = None
                continue
            # The store has lost that, so no reading of the own will bring it.
            carries_more = any(
                _carries_more(progress_by_peer[address], name, topic.follower)
                for address in ahead
            )
            if topic.behind_since is None:
                topic.behind_since = now
            if now - topic.behind_since < BEHIND_S:
                continue
            if not topic.follower.overdue and not carries_more:
                continue
            others = [address for address in ahead if address not in topic.asked]
            if not others or len(topic.asked) >= MOST_FETCHES:
                continue
            if now >= topic.fetch_at:
                topic.fetch_at = now + RETRY_S
                self._begin(name, topic, self._random.choice(others))

    def close(self) -> None:
        """End every fetch."""
        for task in self._fetches:
            task.cancel()

    def _begin(self, name: str, topic: _Topic, address: str) -> None:
        topic.asked.add(address)
        task = asyncio.create_task(self._fetch(name, topic.follower, address))
        self._fetches.add(task)

        def end(task: asyncio.Task[None]) -> None:
            self._fetches.discard(task)
            topic.asked.discard(address)

        task.add_done_callback(end)

    async def _fetch(self, topic: str, follower: Follower, address: str) -> None:
        try:
            shared = await self._peers.fetch(address, topic, _place(follower))
        except AuburnError as error:
            self._decisions.belief(
                "relay_failed", topic=topic, peer=address, reason=repr(error)
            )
            return
        before = follower.era, follower.end
        follower.adopt(shared)
        if (follower.era, follower.end) > before:
            self._decisions.belief(
                "relayed",
                topic=topic,
                peer=address,
                before=before[1],
                end=follower.end,
                era=follower.era,
            )

    async def _serve(self, http: web.Request) -> web.Response:
        topic = self._topics.get(http.match_info["topic"])
        if topic is None or not topic.follower.whole:
            return web.Response(status=404)
        end = _whole_number(http.query.get("from", ""))
        carried_end = _whole_number(http.query.get("carried", ""))
        return web.Response(body=_packed(topic, Place(end, carried_end)))


def _whole_number(text: str) -> int:
    return int(text) if text.isascii() and text.isdigit() else CARRIED


def _place(follower: Follower) -> Place:
    """Return the place from which changes are of use to a copy."""
    if follower.current:
        return Place(follower.end, follower.carried_end)
    return Place(CARRIED)


def _ahead(progress: Progress, topic: str, follower: Follower) -> bool:
    """Return whether a peer knows more of a topic."""
    end = progress.end_by_topic.get(topic)
    if end is None or not follower.knows_era(progress.era):
        return False
    if not follower.current:
        return True
    return end > follower.end or _carries_more(progress, topic, follower)


def _carries_more(progress: Progress, topic: str, follower: Follower) -> bool:
    """Return whether a peer has carried more over from the era before."""
    carried_end = progress.carried_by_topic.get(topic, CARRIED)
    return follower.current and carried_end > follower.carried_end


def _packed(topic: _Topic, place: Place) -> bytes:
    """Return what has changed since a place, packed anew if that is due."""
    now, known, follower = loop_time(), topic.packed, topic.follower
    end = follower.era, follower.end
    fits = known and (known.place, known.end) == (place, end)
    if known is None or not fits or now - known.at > PACKED_S:
        shared = follower.since(place.end, carried_end=place.carried_end)
        known = _Packed(place, end, now, pack(shared))
        topic.packed = known
    return known.data
