"""Emulated callers: request sizes, timeouts and retries."""

from __future__ import annotations

import asyncio
import math
import zlib
from collections.abc import Callable, Sequence
from typing import NamedTuple

from aiohttp import web
from numpy.random import Generator

from auburnproxy.clock import loop_time
from auburnproxy.platform import headers as names

from .daemons import EmulatedDaemon
from .day import RequestKind, Size
from .in_memory_request import CallerWriter, make_request

CLIENT_LATENCY_S = 0.001
"""One-way latency between a caller and a daemon."""
MIN_SILENCE_LIMIT_S = 2.0
"""Minimum silence after which a caller abandons a stream.

It is longer for request kinds with longer objectives.
"""
SILENCE_OBJECTIVES, SILENCE_PAUSES = 4, 8
"""Multiples of the first-event and pause objectives that raise this limit."""
MAX_WAIT_FRACTION = 1 / 3
"""Maximum wait before a retry, as a fraction of the remaining time."""
DEFAULT_RETRY_DELAY_S = 0.02
RETRIES = 1
NOT_EXECUTED_STATUSES = (408, 421, 429, 503)
"""Statuses that guarantee that a request has not run."""


class Outcome(NamedTuple):
    """Result of one request, over all of its attempts."""

    kind: str
    failure_domain: str
    at_s: float
    """Arrival of the request, in seconds after the start of the traffic."""
    state: str
    """``in time``, ``late``, ``refused`` or ``failed``."""
    earned: float
    possible: float
    first_s: float
    """Time to the first event, or to the complete answer; 0 if there was none."""
    pause_s: float
    """Longest pause between two events."""


class _AnswerProgress:
    """Progress of an answer at the caller, over all attempts."""

    def __init__(self, sent_at: float) -> None:
        self.sent_at = sent_at
        self.first_at = 0.0
        self.last_event_at = sent_at
        self.last_event_id = 0
        self.pause_s = 0.0

    def receive_block(self, block: bytes) -> None:
        now = loop_time() + CLIENT_LATENCY_S
        if self.first_at:
            self.pause_s = max(self.pause_s, now - self.last_event_at)
        else:
            self.first_at = now
        self.last_event_at = now
        _, _, rest = block.rpartition(b"id: ")
        self.last_event_id = int(rest.partition(b"\n")[0])


def draw_size(random: Generator, size: Size) -> int:
    """Draw a size from a log-normal distribution with a maximum."""
    variance = math.log1p(size.spread**2)
    mean = math.log(size.mean) - variance / 2
    drawn = random.lognormal(mean, math.sqrt(variance))
    return max(round(min(drawn, size.maximum)), 1)


class Caller:
    """One request of one kind, retried until it is answered or its deadline passes.

    :param kind: kind of the request
    :param failure_domain: failure domain of the caller
    :param daemons: returns the daemons that its connections may reach
    :param random: generator for sizes and the choice of daemons
    :param id: prefix of the request identifiers; each attempt appends its number
    :param prompt_parts: parts of its prompt that other requests share
    """

    def __init__(
        self,
        kind: RequestKind,
        failure_domain: str,
        daemons: Callable[[str], Sequence[EmulatedDaemon]],
        random: Generator,
        *,
        id: str,
        prompt_parts: Sequence[str] = (),
    ) -> None:
        self._kind = kind
        self._failure_domain = failure_domain
        self._daemons = daemons
        self._random = random
        self._id = id
        self._prompt_parts = prompt_parts
        self._prompt_tokens = draw_size(random, kind.prompt_tokens)
        self._events = draw_size(random, kind.events)

    async def run(self, started_at: float) -> Outcome:
        """Send the request and its retries, and return the outcome."""
        answer = _AnswerProgress(loop_time())
        state = "failed"
        for attempt in range(1 + RETRIES):
            status, wait_s = await self._attempt(answer, attempt)
            if status == 200:
                state = "late" if self._is_late(answer) else "in time"
                break
            state = "refused" if status in NOT_EXECUTED_STATUSES else "failed"
            remaining_s = answer.sent_at + self._kind.limit_s - loop_time()
            if remaining_s <= 0 or not (
                self._kind.repeatable or status in NOT_EXECUTED_STATUSES
            ):
                break
            await asyncio.sleep(min(wait_s, MAX_WAIT_FRACTION * remaining_s))
        return self._outcome(answer, state, started_at)

    def _outcome(
        self, answer: _AnswerProgress, state: str, started_at: float
    ) -> Outcome:
        kind = self._kind
        earned = {"in time": kind.worth, "late": kind.late_worth}.get(state, 0.0)
        first_s = answer.first_at - answer.sent_at if answer.first_at else 0.0
        return Outcome(
            kind.name,
            self._failure_domain,
            answer.sent_at - started_at,
            state,
            earned,
            kind.worth,
            first_s,
            answer.pause_s,
        )

    def _is_late(self, answer: _AnswerProgress) -> bool:
        kind = self._kind
        if answer.first_at - answer.sent_at > kind.objective_s:
            return True
        return bool(kind.model) and answer.pause_s > kind.pause_s

    async def _attempt(
        self, answer: _AnswerProgress, attempt: int
    ) -> tuple[int, float]:
        """Return the status of one attempt, 0 for none, and the retry delay."""
        daemons = self._daemons(self._failure_domain)
        if not daemons:
            return 0, DEFAULT_RETRY_DELAY_S
        daemon = daemons[int(self._random.integers(len(daemons)))]
        remaining_s = answer.sent_at + self._kind.limit_s - loop_time()
        await asyncio.sleep(2 * CLIENT_LATENCY_S)
        http = make_request(
            f"/{self._kind.name}/x",
            self._headers(answer, attempt, remaining_s),
            CallerWriter(answer.receive_block),
        )
        answer.last_event_at = loop_time()
        response_task = daemon.start_request(http)
        try:
            response = await self._wait_for_response(response_task, answer, remaining_s)
        except (asyncio.CancelledError, TimeoutError):
            if not response_task.cancelled():
                response_task.cancel()
            return 0, DEFAULT_RETRY_DELAY_S
        return self._read_response(response, answer)

    def _read_response(
        self, response: web.StreamResponse, answer: _AnswerProgress
    ) -> tuple[int, float]:
        wait_s = float(response.headers.get("Retry-After", DEFAULT_RETRY_DELAY_S))
        if response.status != 200 or not self._kind.model:
            if response.status == 200:
                answer.first_at = loop_time() + CLIENT_LATENCY_S
            return response.status, wait_s
        complete = answer.last_event_id >= self._events
        return (200 if complete else 0), wait_s

    def _headers(
        self, answer: _AnswerProgress, attempt: int, remaining_s: float
    ) -> dict[str, str]:
        found = {
            "Host": "emulated",
            names.REQUEST_ID: f"{self._id}-{attempt}",
            names.DEADLINE_MS: str(max(int(remaining_s * 1000), 1)),
        }
        if self._kind.model:
            found[names.MODEL] = self._kind.model
            parts = (*self._prompt_parts, f"{zlib.crc32(self._id.encode()):x}")
            found[names.PROMPT_PREFIX] = ",".join(f"{part}:1" for part in parts)
            found[names.TOKEN_USAGE] = f"{self._prompt_tokens},{self._events}"
        if answer.last_event_id:
            found[names.RESUME_AFTER] = str(answer.last_event_id)
        return found

    async def _wait_for_response(
        self,
        response_task: asyncio.Task[web.StreamResponse],
        answer: _AnswerProgress,
        remaining_s: float,
    ) -> web.StreamResponse:
        """Wait for the end of an answer.

        :raises TimeoutError: if the answer pauses for too long or the deadline passes
        """
        kind = self._kind
        silence_limit_s = remaining_s
        if kind.model:
            silence_limit_s = max(
                MIN_SILENCE_LIMIT_S,
                SILENCE_OBJECTIVES * kind.objective_s,
                SILENCE_PAUSES * kind.pause_s,
            )
        ends_at = loop_time() + remaining_s
        while True:
            until = min(answer.last_event_at + silence_limit_s, ends_at)
            if until <= loop_time():
                raise TimeoutError
            done, _ = await asyncio.wait({response_task}, timeout=until - loop_time())
            if done:
                return response_task.result()
