"""Callers: when they come, what they wait for, and when they come back."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable, Sequence
from typing import NamedTuple

from aiohttp import web
from numpy.random import Generator

from auburnproxy.clock import loop_time
from auburnproxy.platform import headers as names

from .daemons import EmulatedDaemon
from .day import RequestKind, Size
from .intake import CallerWriter, request

CLIENT_S = 0.001
"""One way between a caller and a daemon."""
LEAST_GAP_S = 2.0
"""Gap after which a caller gives a stream up; longer for longer objectives."""
GAP_OBJECTIVES, GAP_PAUSES = 4, 8
MOST_WAIT_PART = 1 / 3
"""Part of its time left that a caller waits before it comes back."""
QUICK_RETRY_S = 0.02
RETRIES = 1
REFUSED = (408, 421, 429, 503)
"""Statuses that promise that a request has not run."""


class Outcome(NamedTuple):
    """How one request ended."""

    kind: str
    failure_domain: str
    at_s: float
    """Seconds from the start of the traffic at which it came."""
    state: str
    """``in time``, ``late``, ``refused`` or ``failed``."""
    earned: float
    possible: float
    first_s: float
    """Time to the first event, or to the whole answer; 0 if there was none."""
    pause_s: float
    """Longest pause between two events."""


class _Answer:
    """What a caller has of its answer, over all of its attempts."""

    def __init__(self, began: float) -> None:
        self.began = began
        self.first_at = 0.0
        self.heard_at = began
        self.last_id = 0
        self.pause_s = 0.0

    def take(self, block: bytes) -> None:
        now = loop_time() + CLIENT_S
        if self.first_at:
            self.pause_s = max(self.pause_s, now - self.heard_at)
        else:
            self.first_at = now
        self.heard_at = now
        _, _, rest = block.rpartition(b"id: ")
        self.last_id = int(rest.partition(b"\n")[0])


def draw(random: Generator, size: Size) -> int:
    """Return a size of a distribution."""
    variance = math.log1p(size.spread**2)
    mean = math.log(size.mean) - variance / 2
    drawn = random.lognormal(mean, math.sqrt(variance))
    return max(round(min(drawn, size.maximum)), 1)


class Caller:
    """One request of one kind, sent until it is answered or its time is up.

    :param kind: what it asks for
    :param failure_domain: where it is
    :param daemons: returns the daemons that its connections may go to
    :param random: draws sizes and daemons
    :param id: names it, and each attempt with a number more
    """

    def __init__(
        self,
        kind: RequestKind,
        failure_domain: str,
        daemons: Callable[[str], Sequence[EmulatedDaemon]],
        random: Generator,
        *,
        id: str,
    ) -> None:
        self._kind = kind
        self._failure_domain = failure_domain
        self._daemons = daemons
        self._random = random
        self._id = id
        self._prompt_tokens = draw(random, kind.prompt_tokens)
        self._events = draw(random, kind.events)

    async def run(self, started_at: float) -> Outcome:
        """Ask until there is an answer, or no hope of one."""
        answer = _Answer(loop_time())
        state = "failed"
        for attempt in range(1 + RETRIES):
            status, wait_s = await self._attempt(answer, attempt)
            if status == 200:
                state = "late" if self._late(answer) else "in time"
                break
            state = "refused" if status in REFUSED else "failed"
            left_s = answer.began + self._kind.limit_s - loop_time()
            if left_s <= 0 or not (self._kind.repeatable or status in REFUSED):
                break
            await asyncio.sleep(min(wait_s, MOST_WAIT_PART * left_s))
        return self._outcome(answer, state, started_at)

    def _outcome(self, answer: _Answer, state: str, started_at: float) -> Outcome:
        kind = self._kind
        earned = {"in time": kind.worth, "late": kind.late_worth}.get(state, 0.0)
        first_s = answer.first_at - answer.began if answer.first_at else 0.0
        return Outcome(
            kind.name,
            self._failure_domain,
            answer.began - started_at,
            state,
            earned,
            kind.worth,
            first_s,
            answer.pause_s,
        )

    def _late(self, answer: _Answer) -> bool:
        kind = self._kind
        if answer.first_at - answer.began > kind.objective_s:
            return True
        return bool(kind.model) and answer.pause_s > kind.pause_s

    async def _attempt(self, answer: _Answer, attempt: int) -> tuple[int, float]:
        """Return the status of one attempt, 0 for none, and when to come back."""
        daemons = self._daemons(self._failure_domain)
        if not daemons:
            return 0, QUICK_RETRY_S
        daemon = daemons[int(self._random.integers(len(daemons)))]
        left_s = answer.began + self._kind.limit_s - loop_time()
        await asyncio.sleep(2 * CLIENT_S)
        http = request(
            f"/{self._kind.name}/x",
            self._headers(answer, attempt, left_s),
            CallerWriter(answer.take),
        )
        answer.heard_at = loop_time()
        asking = daemon.ask(http)
        try:
            response = await self._patiently(asking, answer, left_s)
        except (asyncio.CancelledError, TimeoutError):
            if not asking.cancelled():
                asking.cancel()
            return 0, QUICK_RETRY_S
        return self._taken(response, answer)

    def _taken(
        self, response: web.StreamResponse, answer: _Answer
    ) -> tuple[int, float]:
        wait_s = float(response.headers.get("Retry-After", QUICK_RETRY_S))
        if response.status != 200 or not self._kind.model:
            if response.status == 200:
                answer.first_at = loop_time() + CLIENT_S
            return response.status, wait_s
        whole = answer.last_id >= self._events
        return (200 if whole else 0), wait_s

    def _headers(self, answer: _Answer, attempt: int, left_s: float) -> dict[str, str]:
        found = {
            "Host": "emulated",
            names.REQUEST_ID: f"{self._id}-{attempt}",
            names.DEADLINE_MS: str(max(int(left_s * 1000), 1)),
        }
        if self._kind.model:
            found[names.MODEL] = self._kind.model
            found[names.TOKEN_USAGE] = f"{self._prompt_tokens},{self._events}"
        if answer.last_id:
            found[names.RESUME_AFTER] = str(answer.last_id)
        return found

    async def _patiently(
        self,
        asking: asyncio.Task[web.StreamResponse],
        answer: _Answer,
        left_s: float,
    ) -> web.StreamResponse:
        """Wait for an answer's end until its caller would give it up.

        :raises TimeoutError: if it does
        """
        kind = self._kind
        gap_s = left_s
        if kind.model:
            gap_s = max(
                LEAST_GAP_S,
                GAP_OBJECTIVES * kind.objective_s,
                GAP_PAUSES * kind.pause_s,
            )
        ends_at = loop_time() + left_s
        while True:
            until = min(answer.heard_at + gap_s, ends_at)
            if until <= loop_time():
                raise TimeoutError
            done, _ = await asyncio.wait({asking}, timeout=until - loop_time())
            if done:
                return asking.result()
