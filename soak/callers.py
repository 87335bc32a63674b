"""Clients that check each response and compare it with what the engines executed."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections import Counter
from random import Random
from typing import NamedTuple
from uuid import uuid4

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
    event,
)

from .connection import Answer, Connection
from .deadly_parts import DeadlyParts
from .judge import CUT, UNANSWERED, Exchange
from .site import DaemonProcess, SoakSite

NOT_EXECUTED_STATUSES = frozenset({408, 421, 429, 503})
MIN_BUDGET_S, MAX_BUDGET_S = 4.0, 8.0
LARGE_EVENT_BYTES = 8000
PATIENCE_S = 1.0
"""Time after the deadline for which a caller waits."""
MAX_PAUSE_S = 0.05
EXPECTED_BODY = b"the whole answer"
CHECK_INTERVAL_S = 0.5
CHECK_TIMEOUT_S = 0.5
MAX_FAILED_CHECKS = 2
"""Failed readiness checks in a row that take a daemon out of the load balancer."""


class Request(NamedTuple):
    """What a caller asks for; the query tells the engine how to answer."""

    path: str
    query: str
    expected: bytes
    budget_s: float = MIN_BUDGET_S


class LoadBalancer:
    """Takes daemons that are not ready out of rotation.

    :param site: the deployment under test
    """

    def __init__(self, site: SoakSite) -> None:
        self.rotation: list[DaemonProcess] = list(site.daemons)
        self._daemons = site.daemons
        self._failed_checks: Counter[str] = Counter()

    async def run(self) -> None:
        """Check the readiness of every daemon until cancelled."""
        while True:
            await asyncio.gather(*map(self._check, self._daemons))
            self.rotation = [
                daemon
                for daemon in self._daemons
                if self._failed_checks[daemon.name] < MAX_FAILED_CHECKS
            ]
            await asyncio.sleep(CHECK_INTERVAL_S)

    async def _check(self, daemon: DaemonProcess) -> None:
        self._failed_checks[daemon.name] += 1
        with contextlib.suppress(OSError, EOFError):
            async with asyncio.timeout(CHECK_TIMEOUT_S):
                connection = await Connection.open(daemon.readiness)
                try:
                    answer = await connection.request("GET", "/", {"Host": "x"})
                finally:
                    connection.close()
            if answer.status == 200:
                del self._failed_checks[daemon.name]


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
        self.exchanges: list[Exchange] = []
        self.balancer = LoadBalancer(site)
        self.deadly_parts = DeadlyParts(site, Random(f"parts {seed}"))
        self._random = Random(f"prefixes {seed}")
        self._seed = seed

    async def run(self, caller_number: int) -> None:
        """Send requests until cancelled.

        :param caller_number: distinguishes the random sequences of the clients
        """
        random = Random(f"{self._seed}/{caller_number}")
        slow, balanced = caller_number % 8 == 1, caller_number % 3 == 0
        connection_by_daemon: dict[str, Connection] = {}
        try:
            while True:
                await asyncio.sleep(MAX_PAUSE_S * random.random())
                request = random_request(random, slow=slow)
                daemons = self.balancer.rotation if balanced else self.site.daemons
                if daemons:
                    daemon = random.choice(daemons)
                    await self.call(connection_by_daemon, daemon, request, slow=slow)
        finally:
            for connection in connection_by_daemon.values():
                connection.close()

    async def call(
        self,
        connection_by_daemon: dict[str, Connection],
        daemon: DaemonProcess,
        request: Request,
        *,
        slow: bool = False,
    ) -> str:
        """Send one request, on the open connection if there is one, and check it.

        Returns the status code, or how the request ended without one.
        """
        try:
            if daemon.name not in connection_by_daemon:
                connection = await Connection.open(daemon.callers, slow=slow)
                connection_by_daemon[daemon.name] = connection
            connection = connection_by_daemon[daemon.name]
            outcome = await self._exchange(connection, daemon, request)
        except OSError:
            outcome = "unconnected"
        else:
            if not connection.reusable:
                connection_by_daemon.pop(daemon.name).close()
        self.outcomes[f"{request.path.strip('/')} {outcome}"] += 1
        return outcome

    async def _exchange(
        self, connection: Connection, daemon: DaemonProcess, request: Request
    ) -> str:
        request_id = uuid4().hex[:16]
        if request.path == ONCE_PATH:
            self.non_idempotent_ids.add(request_id)
        headers = {
            "Host": HOST,
            "Attempt-Id": request_id,
            "Deadline-Ms": str(round(request.budget_s * 1000)),
            "Api-Key": self.key,
            "Model": MODEL,
            "Token-Usage": "100,30",
        }
        headers |= self.deadly_parts.prefix(self._random, request.path, request_id)
        method = "GET" if request.path == SAFE_PATH else "POST"
        path = f"{request.path}x{request.query}"
        kept, connection.sent_at = connection.uses > 0, time.monotonic()
        try:
            async with asyncio.timeout(request.budget_s + PATIENCE_S):
                answer = await connection.request(method, path, headers)
        except TimeoutError:
            connection.reusable, outcome = False, "timeout"
        except (EOFError, ConnectionError):
            connection.reusable = False
            outcome = CUT if connection.answering else UNANSWERED
        else:
            outcome = str(answer.status)
            self._check_response(request_id, request, answer)
        self.exchanges.append(
            Exchange(
                request_id,
                daemon.name,
                request.path == STREAM_PATH,
                kept,
                connection.sent_at,
                time.monotonic(),
                request.budget_s,
                outcome,
            )
        )
        return outcome

    def _check_response(
        self, request_id: str, request: Request, answer: Answer
    ) -> None:
        if answer.status in NOT_EXECUTED_STATUSES:
            self.not_executed_ids.add(request_id)
        if answer.status == 200:
            if answer.body != request.expected:
                self.violations.append(
                    f"{request_id}: response body is {answer.body[:500]!r}"
                )
            stamp = answer.headers.get("engine-stamp", "")
            if not stamp.startswith(STAMP):
                self.violations.append(f"{request_id}: stamp is {stamp!r}")
            if answer.headers.get("attempt-id") != request_id:
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
                if not any(at <= end <= at + MAX_BUDGET_S for end in engine.ended_at):
                    names_by_id.setdefault(request_id, set()).add(engine.name)
        for request_id, names in names_by_id.items():
            if len(names) > ATTEMPTS:
                self.violations.append(f"{request_id}: executed on {sorted(names)}")


def short_request(path: str) -> Request:
    """Return a request that the engine answers at once."""
    return Request(path, "", EXPECTED_BODY if path != STREAM_PATH else EXPECTED_STREAM)


def random_request(random: Random, *, slow: bool = False) -> Request:
    """Return a request; most are short, and some streams pause or last seconds.

    :param random: chooses the request
    :param slow: whether its caller reads slowly, for which events are large
    """
    path = random.choice((STREAM_PATH, STREAM_PATH, ONCE_PATH, SAFE_PATH))
    budget_s = round(random.uniform(MIN_BUDGET_S, MAX_BUDGET_S), 3)
    share = random.random()
    if path != STREAM_PATH:
        delay_s = 0.0 if share < 0.8 else random.uniform(0.1, 2.5)
        return Request(path, f"?delay={delay_s:.2f}", EXPECTED_BODY, budget_s)
    events, interval_s, pause_s = EVENTS, 0.01, 0.0
    if share > 0.7:
        seconds = random.uniform(0.3, 1.5) if share < 0.85 else random.uniform(2.0, 8.0)
        budget_s = max(budget_s, round(seconds, 3))
        interval_s = random.uniform(0.03, 0.2)
        events += int(seconds / interval_s)
        pause_s = random.choice((0.0, 0.0, 0.0, random.uniform(0.3, 1.5)))
    size = LARGE_EVENT_BYTES if slow else 0
    query = f"?events={events}&interval={interval_s:.3f}"
    query += f"&pause={pause_s:.2f}&size={size}"
    return Request(path, query, _stream_body(events, size), budget_s)


def _stream_body(events: int, size: int = 0) -> bytes:
    return b"".join(event(number, size) for number in range(1, events + 1))


EXPECTED_STREAM = _stream_body(EVENTS)
