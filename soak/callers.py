"""Callers that check each answer, and what engines say of each request."""

from __future__ import annotations

import asyncio
from collections import Counter
from random import Random
from uuid import uuid4

from aiohttp import ClientError, ClientSession, ClientTimeout, TCPConnector

from features.fakes.platform import (
    ATTEMPTS,
    EVENTS,
    HOST,
    KEY,
    MODEL,
    ONCE_PATH,
    SAFE_PATH,
    STAMP,
    STREAM_PATH,
)

from .site import SoakSite

NOT_RUN = frozenset({408, 421, 429, 503})
LONGEST_S = 8.0
TIMEOUT = ClientTimeout(total=LONGEST_S, sock_connect=1.0)
PAUSE_S = 0.05
WHOLE_STREAM = b"".join(
    b"id: %d\ndata: token %d\n\n" % (n, n) for n in range(1, EVENTS + 1)
)
WHOLE_ANSWER = b"the whole answer"


class Callers:
    """Sends requests over kept connections and collects broken promises.

    :param site: what they call
    :param seed: chooses daemons and kinds of request
    """

    def __init__(self, site: SoakSite, seed: int) -> None:
        self.site = site
        self.outcomes: Counter[str] = Counter()
        self.broken: list[str] = []
        self.refused_ids: set[str] = set()
        self.once_ids: set[str] = set()
        self.key = KEY
        self._seed = seed

    async def run(self, number: int) -> None:
        """Call until cancelled."""
        random = Random(f"{self._seed}/{number}")
        connector = TCPConnector(limit=0)
        async with ClientSession(connector=connector, timeout=TIMEOUT) as session:
            while True:
                path = random.choice((STREAM_PATH, STREAM_PATH, ONCE_PATH, SAFE_PATH))
                daemon = random.choice(self.site.daemons)
                await self.call(session, daemon.callers, path)
                await asyncio.sleep(PAUSE_S * random.random())

    async def call(self, session: ClientSession, address: str, path: str) -> str:
        """Send one request and check its answer; return how it ended."""
        request_id = uuid4().hex[:16]
        if path == ONCE_PATH:
            self.once_ids.add(request_id)
        headers = {
            "Host": HOST,
            "Attempt-Id": request_id,
            "Deadline-Ms": "4000",
            "Api-Key": self.key,
            "Model": MODEL,
            "Token-Usage": "100,30",
        }
        method = "GET" if path == SAFE_PATH else "POST"
        try:
            async with session.request(
                method, f"http://{address}{path}x", headers=headers
            ) as answer:
                body = await answer.read()
        except (ClientError, OSError, TimeoutError) as error:
            outcome = type(error).__name__
        else:
            outcome = str(answer.status)
            self._check(request_id, path, answer.status, answer.headers, body)
        self.outcomes[f"{path.strip('/')} {outcome}"] += 1
        return outcome

    def _check(self, request_id, path, status, headers, body) -> None:
        if status in NOT_RUN:
            self.refused_ids.add(request_id)
        if status == 200:
            whole = WHOLE_STREAM if path == STREAM_PATH else WHOLE_ANSWER
            if body != whole:
                self.broken.append(f"{request_id}: answer is {body!r}")
            if not headers.get("Engine-Stamp", "").startswith(STAMP):
                self.broken.append(f"{request_id}: no mark of an engine")
            if headers.get("Attempt-Id") != request_id:
                self.broken.append(f"{request_id}: answer of another request")

    def check_engines(self) -> None:
        """Compare what engines were asked with what callers were told."""
        runs: Counter[str] = Counter()
        for engine in self.site.engines.values():
            runs.update(engine.ran)
            for _, _, headers, _ in engine.requests:
                request_id = headers["attempt-id"]
                if "api-key" in headers or headers.get("tenant") != "works":
                    self.broken.append(f"{request_id}: key or account at {engine.name}")
        for request_id in self.once_ids:
            if runs[request_id] > 1:
                self.broken.append(f"{request_id}: ran {runs[request_id]} times")
            if request_id in self.refused_ids and runs[request_id]:
                self.broken.append(f"{request_id}: told not run, and ran")
        self._check_attempts()

    def _check_attempts(self) -> None:
        """Note requests that ran on more engines than their routes allow.

        An engine that may have ended while a request was under way does not count.
        """
        names_by_id: dict[str, set[str]] = {}
        for engine in self.site.engines.values():
            for request_id, at in zip(engine.ran, engine.ran_at, strict=True):
                if not any(at <= end <= at + LONGEST_S for end in engine.ended_at):
                    names_by_id.setdefault(request_id, set()).add(engine.name)
        for request_id, names in names_by_id.items():
            if len(names) > ATTEMPTS:
                self.broken.append(f"{request_id}: ran on {sorted(names)}")
