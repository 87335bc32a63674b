"""Records that a daemon gets from its peers in place of the store.

Answers a store whose calls are dear and which may turn some daemons away: a few
daemons of a failure domain read it, each beat tells how far its daemon has read,
and who is behind fetches the changes from who is ahead.
"""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from random import Random

import msgspec
from aiohttp import ClientSession, ClientTimeout, web

from ..errors import UpstreamError
from ..telemetry.decisions import Decisions
from ..upstreams.client import upstream_errors
from .follower import Follower, Shared

PATH = "/records/"
BEHIND_S = 0.15
"""Seconds for which a peer must be ahead; the own reading mostly comes sooner."""
FETCH_TIMEOUT_S = 0.8
"""A whole configuration of a hundred kilobytes over the slowest link."""
RETRY_S = 0.3
"""Seconds between two fetches of a topic; hosts register several times a second."""


_decoder = msgspec.msgpack.Decoder(Shared)


class Relay:
    """Serves the followed topics to peers, and fetches from those that are ahead.

    :param followers: the shared topics by name
    :param session: connections to peers
    :param decisions: takes a line for each fetch
    """

    def __init__(
        self,
        followers: Mapping[str, Follower],
        session: ClientSession,
        decisions: Decisions,
    ) -> None:
        self._followers = followers
        self._session = session
        self._decisions = decisions
        self._behind_since: dict[str, float] = {}
        self._fetch_at: dict[str, float] = {}
        self._random = Random()

    @property
    def end_by_topic(self) -> dict[str, int]:
        """Return how far this daemon has read each topic."""
        return {name: f.end for name, f in self._followers.items() if f.whole}

    def application(self) -> web.Application:
        """Return what the listener for peers serves."""
        application = web.Application()
        application.router.add_get(PATH + "{topic}", self._serve)
        return application

    async def step(self, end_by_peer: Mapping[str, Mapping[str, int]]) -> None:
        """Fetch the topics that a peer has read further for a while.

        :param end_by_peer: what each peer's beat told, by its internal address
        """
        now = asyncio.get_running_loop().time()
        for topic, follower in self._followers.items():
            ahead = [
                address
                for address, ends in end_by_peer.items()
                if ends.get(topic, 0) > follower.end
            ]
            if not ahead:
                self._behind_since.pop(topic, None)
                continue
            since = self._behind_since.setdefault(topic, now)
            if now - since < BEHIND_S or not follower.overdue:
                continue
            if now >= self._fetch_at.get(topic, 0.0):
                self._fetch_at[topic] = now + RETRY_S
                await self._fetch(topic, follower, self._random.choice(ahead))

    async def _fetch(self, topic: str, follower: Follower, address: str) -> None:
        url = f"http://{address}{PATH}{topic}?from={follower.end}"
        timeout = ClientTimeout(total=FETCH_TIMEOUT_S)
        try:
            with upstream_errors(address):
                async with self._session.get(url, timeout=timeout) as response:
                    body = await response.read()
            shared = _decoder.decode(body)
        except (UpstreamError, msgspec.MsgspecError) as error:
            self._decisions.belief(
                "relay_failed", topic=topic, peer=address, reason=repr(error)
            )
            return
        before = follower.end
        follower.adopt(shared)
        if shared.changes:
            self._decisions.belief(
                "relayed", topic=topic, peer=address, before=before, end=follower.end
            )

    async def _serve(self, http: web.Request) -> web.Response:
        follower = self._followers.get(http.match_info["topic"])
        if follower is None or not follower.whole:
            return web.Response(status=404)
        start = http.query.get("from", "")
        shared = follower.since(int(start) if start.isdigit() else -1)
        return web.Response(body=msgspec.msgpack.encode(shared))
