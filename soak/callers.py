"""Clients that check each response and compare it with what the engines executed."""

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

NOT_EXECUTED_STATUSES = frozenset({408, 421, 429, 503})
REQUEST_TIMEOUT_S = 8.0
TIMEOUT = ClientTimeout(total=REQUEST_TIMEOUT_S, sock_connect=1.0)
MAX_PAUSE_S = 0.05
EXPECTED_STREAM = b"".join(
    b"id: %d\ndata: token %d\n\n" % (n, n) for n in range(1, EVENTS + 1)
)
EXPECTED_BODY = b"the whole answer"


class Callers:
    """Clients that send requests over persistent connections and collect violations.

    :param site: the deployment under test
    :param seed: seed of the choice of daemons and kinds of request
    """

    def __init__(self, site: SoakSite, seed: int) -> None:
        self.site = site
        self.outcomes: Counter[str] = Counter()
        self.violations: list[str] = []
        self.not_executed_ids: set[str] = set()
        self.non_idempotent_ids: set[str] = set()
        self.key = KEY
        self._seed = seed

    async def run(self, caller_number: int) -> None:
        """Send requests until cancelled.

        :param caller_number: distinguishes the random sequences of the clients
        """
        random = Random(f"{self._seed}/{caller_number}")
        connector = TCPConnector(limit=0)
        async with ClientSession(connector=connector, timeout=TIMEOUT) as session:
            while True:
                path = random.choice((STREAM_PATH, STREAM_PATH, ONCE_PATH, SAFE_PATH))
                daemon = random.choice(self.site.daemons)
                await self.call(session, daemon.callers, path)
                await asyncio.sleep(MAX_PAUSE_S * random.random())

    async def call(self, session: ClientSession, address: str, path: str) -> str:
        """Send one request and check its response.

        Returns the status code, or the name of the client error.
        """
        request_id = uuid4().hex[:16]
        if path == ONCE_PATH:
            self.non_idempotent_ids.add(request_id)
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
            ) as response:
                body = await response.read()
        except (ClientError, OSError, TimeoutError) as error:
            outcome = type(error).__name__
        else:
            outcome = str(response.status)
            self._check_response(
                request_id, path, response.status, response.headers, body
            )
        self.outcomes[f"{path.strip('/')} {outcome}"] += 1
        return outcome

    def _check_response(self, request_id, path, status, headers, body) -> None:
        if status in NOT_EXECUTED_STATUSES:
            self.not_executed_ids.add(request_id)
        if status == 200:
            expected = EXPECTED_STREAM if path == STREAM_PATH else EXPECTED_BODY
            if body != expected:
                self.violations.append(f"{request_id}: response body is {body!r}")
            if not headers.get("Engine-Stamp", "").startswith(STAMP):
                self.violations.append(f"{request_id}: no stamp of an engine")
            if headers.get("Attempt-Id") != request_id:
                self.violations.append(f"{request_id}: response to another request")

    def check_executions(self) -> None:
        """Compare what the engines executed with what the clients were told."""
        execution_counts: Counter[str] = Counter()
        for engine in self.site.engines.values():
            execution_counts.update(engine.ran)
            for _, _, headers, _ in engine.requests:
                request_id = headers["attempt-id"]
                if "api-key" in headers or headers.get("tenant") != "works":
                    self.violations.append(
                        f"{request_id}: caller key or wrong account at {engine.name}"
                    )
        for request_id in self.non_idempotent_ids:
            if execution_counts[request_id] > 1:
                self.violations.append(
                    f"{request_id}: executed {execution_counts[request_id]} times"
                )
            if request_id in self.not_executed_ids and execution_counts[request_id]:
                self.violations.append(
                    f"{request_id}: reported as not executed, but was executed"
                )
        self._check_attempts()

    def _check_attempts(self) -> None:
        """Record requests that ran on more engines than their routes allow.

        Does not count an engine that may have stopped while the request was running.
        """
        names_by_id: dict[str, set[str]] = {}
        for engine in self.site.engines.values():
            for request_id, at in zip(engine.ran, engine.ran_at, strict=True):
                if not any(
                    at <= end <= at + REQUEST_TIMEOUT_S for end in engine.ended_at
                ):
                    names_by_id.setdefault(request_id, set()).add(engine.name)
        for request_id, names in names_by_id.items():
            if len(names) > ATTEMPTS:
                self.violations.append(f"{request_id}: executed on {sorted(names)}")
