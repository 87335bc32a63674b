"""Replication of the store's records between peers.

Calls to the store are expensive, and it may reject some daemons. So only a few
daemons of a failure domain read it, each heartbeat contains the end offsets of its
sender's copies, and daemons that are behind fetch the changes from peers that are
ahead. Links may be slow, and there may be many long configurations, so a peer sends
only the newest value of each key, compressed, and topics are fetched independently:
a slow one delays no other.
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
from ..decoding import MsgpackDecoder
from ..errors import AuburnError, PeerError, UnreadableError
from ..telemetry.decisions import DecisionLog
from ..upstreams.client import upstream_errors
from .follower import PREVIOUS_ERA_OFFSET, Follower, TopicUpdate

RECORDS_PATH = "/records/"
BEHIND_BEFORE_FETCH_S = 0.15
"""Seconds for which a peer must be ahead; the own read mostly returns sooner."""
FETCH_TIMEOUT_S = 2.0
"""Timeout of a fetch; equal to the time in which a configuration must be in force."""
FETCH_INTERVAL_S = 0.4
"""Seconds between two fetches of a topic, as hosts register several times a second."""
MAX_CONCURRENT_FETCHES = 3
"""Concurrent fetches of a topic; an unresponsive peer blocks only one of them."""
CACHE_LIFETIME_S = 0.5
"""Lifetime of a cached response, which contains the time since the store failed."""
MAX_COMPRESSED_BYTES = 4_194_304
"""Maximum size of a peer's response."""
MAX_DECOMPRESSED_BYTES = 33_554_432
"""Maximum size after decompression; 1,600 hosts and a configuration take a tenth."""
ZLIB_LEVEL = 1
"""Fastest zlib level; a configuration still shrinks to a tenth."""


class ReadProgress(NamedTuple):
    """End offsets of a peer's copies of the topics."""

    end_by_topic: Mapping[str, int]
    era: int = 0
    """Era of the store to which these offsets belong."""
    previous_era_end_by_topic: Mapping[str, int] = MappingProxyType({})
    """End offsets in the previous era of the topics whose records it carried over."""


class TopicPosition(NamedTuple):
    """End offset of the requesting daemon's copy of a topic."""

    end: int
    previous_era_end: int = PREVIOUS_ERA_OFFSET
    """End of the copy in the previous era, negative if nothing is carried over."""


_decoder = MsgpackDecoder(TopicUpdate)


def pack(update: TopicUpdate) -> bytes:
    """Encode and compress records of a topic for a peer."""
    return zlib.compress(msgspec.msgpack.encode(update), ZLIB_LEVEL)


def unpack(data: bytes) -> TopicUpdate:
    """Decompress and decode records of a topic from a peer.

    :raises PeerError: if the data is malformed, incomplete or too long
    """
    decompressor = zlib.decompressobj()
    try:
        decompressed = decompressor.decompress(data, MAX_DECOMPRESSED_BYTES)
        if not decompressor.eof:
            raise PeerError(f"response of {len(data)} bytes is incomplete or too long")
        return _decoder.decode(decompressed)
    except (UnreadableError, zlib.error) as error:
        raise PeerError(
            f"malformed records in a response of {len(data)} bytes"
        ) from error


class PeerClient(ABC):
    """Client for the records that other daemons serve."""

    @abstractmethod
    async def fetch(
        self, address: str, topic: str, position: TopicPosition
    ) -> TopicUpdate:
        """Fetch the changes of a topic since a position.

        :param address: internal address of the peer
        :raises AuburnError: if there is no response or it cannot be decoded
        """


class HttpPeerClient(PeerClient):
    """HTTP client for daemons that serve :meth:`PeerSync.application`.

    :param session: HTTP connections to them
    """

    def __init__(self, session: ClientSession) -> None:
        self._session = session

    async def fetch(
        self, address: str, topic: str, position: TopicPosition
    ) -> TopicUpdate:
        """Fetch the changes of a topic since a position.

        :param address: internal address of the peer
        :raises AuburnError: if there is no response or it cannot be decoded
        """
        query = f"from={position.end}&carried={position.previous_era_end}"
        url = f"http://{address}{RECORDS_PATH}{topic}?{query}"
        timeout = ClientTimeout(total=FETCH_TIMEOUT_S)
        with upstream_errors(address):
            async with self._session.get(url, timeout=timeout) as response:
                return unpack(await read_body(response, max_bytes=MAX_COMPRESSED_BYTES))


class _CachedResponse(NamedTuple):
    """Most recent response, reused for peers that are equally far behind."""

    position: TopicPosition
    """Position of the requesting daemon."""
    end: tuple[int, int]
    """Era and end of the own copy."""
    at: float
    """The loop's time in seconds at which it was encoded."""
    data: bytes


class _TopicState:
    """State of fetching and serving one topic."""

    def __init__(self, follower: Follower) -> None:
        self.follower = follower
        self.behind_since: float | None = None
        self.next_fetch_at = 0.0
        self.pending_peers: set[str] = set()
        """Addresses of the peers from which a fetch is pending."""
        self.cached: _CachedResponse | None = None


class PeerSync:
    """Serves the followed topics to peers, and fetches from peers that are ahead.

    :param followers: the shared topics by name
    :param peers: client for the other daemons
    :param decisions: logs each fetch
    :param random: selects a peer among those that are ahead
    """

    def __init__(
        self,
        followers: Mapping[str, Follower],
        peers: PeerClient,
        decisions: DecisionLog,
        *,
        random: Random | None = None,
    ) -> None:
        self.followers = followers
        self._peers = peers
        self._decisions = decisions
        self._topics = {name: _TopicState(f) for name, f in followers.items()}
        self._fetches: set[asyncio.Task[None]] = set()
        self._random = random or Random()

    @property
    def end_by_topic(self) -> dict[str, int]:
        """Return the end offset of each topic whose copy is current."""
        return {name: f.end for name, f in self.followers.items() if f.current}

    @property
    def previous_era_end_by_topic(self) -> dict[str, int]:
        """Return the end offsets in the previous era of the topics carried over."""
        return {
            name: follower.previous_era_end
            for name, follower in self.followers.items()
            if follower.current and follower.previous_era_end != PREVIOUS_ERA_OFFSET
        }

    def application(self) -> web.Application:
        """Return the HTTP application for the listener for peers."""
        application = web.Application()
        application.router.add_get(RECORDS_PATH + "{topic}", self._serve)
        return application

    def fetch_missing(self, progress_by_peer: Mapping[str, ReadProgress]) -> None:
        """Start fetches of the topics for which a peer has been ahead for a while.

        :param progress_by_peer: positions from the heartbeats, by internal address
        """
        now = loop_time()
        for name, topic in self._topics.items():
            ahead = [
                address
                for address, progress in progress_by_peer.items()
                if _is_ahead(progress, name, topic.follower)
            ]
            if not ahead:
                topic.behind_since = None
                continue
            # The store has lost these records, so reading it would not return them.
            has_more_of_previous_era = any(
                _has_more_of_previous_era(
                    progress_by_peer[address], name, topic.follower
                )
                for address in ahead
            )
            if topic.behind_since is None:
                topic.behind_since = now
            if now - topic.behind_since < BEHIND_BEFORE_FETCH_S:
                continue
            if not topic.follower.read_overdue and not has_more_of_previous_era:
                continue
            others = [
                address for address in ahead if address not in topic.pending_peers
            ]
            if not others or len(topic.pending_peers) >= MAX_CONCURRENT_FETCHES:
                continue
            if now >= topic.next_fetch_at:
                topic.next_fetch_at = now + FETCH_INTERVAL_S
                self._start_fetch(name, topic, self._random.choice(others))

    def close(self) -> None:
        """Cancel all fetches."""
        for task in self._fetches:
            task.cancel()

    def _start_fetch(self, name: str, topic: _TopicState, address: str) -> None:
        topic.pending_peers.add(address)
        task = asyncio.create_task(self._fetch(name, topic.follower, address))
        self._fetches.add(task)

        def finish(task: asyncio.Task[None]) -> None:
            self._fetches.discard(task)
            topic.pending_peers.discard(address)

        task.add_done_callback(finish)

    async def _fetch(self, topic: str, follower: Follower, address: str) -> None:
        try:
            update = await self._peers.fetch(address, topic, _position_of(follower))
        except AuburnError as error:
            self._decisions.belief(
                "relay_failed", topic=topic, peer=address, reason=repr(error)
            )
            return
        before = follower.era, follower.end
        follower.apply_update(update)
        if (follower.era, follower.end) > before:
            self._decisions.belief(
                "relayed",
                topic=topic,
                peer=address,
                before=before[1],
                end=follower.end,
                era=follower.era,
            )

    async def _serve(self, request: web.Request) -> web.Response:
        topic = self._topics.get(request.match_info["topic"])
        if topic is None or not topic.follower.complete:
            return web.Response(status=404)
        end = _parse_offset(request.query.get("from", ""))
        previous_era_end = _parse_offset(request.query.get("carried", ""))
        return web.Response(
            body=_encoded_changes(topic, TopicPosition(end, previous_era_end))
        )


def _parse_offset(text: str) -> int:
    return int(text) if text.isascii() and text.isdigit() else PREVIOUS_ERA_OFFSET


def _position_of(follower: Follower) -> TopicPosition:
    """Return the position from which a copy needs changes."""
    if follower.current:
        return TopicPosition(follower.end, follower.previous_era_end)
    return TopicPosition(PREVIOUS_ERA_OFFSET)


def _is_ahead(progress: ReadProgress, topic: str, follower: Follower) -> bool:
    """Return whether a peer has records of a topic that this daemon lacks."""
    end = progress.end_by_topic.get(topic)
    if end is None or not follower.is_current_era(progress.era):
        return False
    if not follower.current:
        return True
    return end > follower.end or _has_more_of_previous_era(progress, topic, follower)


def _has_more_of_previous_era(
    progress: ReadProgress, topic: str, follower: Follower
) -> bool:
    """Return whether a peer has carried over more records from the previous era."""
    previous_era_end = progress.previous_era_end_by_topic.get(
        topic, PREVIOUS_ERA_OFFSET
    )
    return follower.current and previous_era_end > follower.previous_era_end


def _encoded_changes(topic: _TopicState, position: TopicPosition) -> bytes:
    """Return the encoded changes since a position, from the cache if it is fresh."""
    now, response, follower = loop_time(), topic.cached, topic.follower
    end = follower.era, follower.end
    matches = response and (response.position, response.end) == (position, end)
    if response is None or not matches or now - response.at > CACHE_LIFETIME_S:
        update = follower.changes_since(
            position.end, previous_era_end=position.previous_era_end
        )
        response = _CachedResponse(position, end, now, pack(update))
        topic.cached = response
    return response.data
