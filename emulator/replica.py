"""A replica that reads prompts between the tokens of others, pass after pass."""

from __future__ import annotations

import asyncio
from bisect import insort
from collections.abc import Callable
from typing import NamedTuple

from auburnproxy.gateway.route import EngineSpec

QUEUE_PART = 0.3
"""Requests that a replica queues beyond its slots, as a part of them."""


class Reading(NamedTuple):
    """How engines read prompts, beyond what the configuration tells."""

    chunk_tokens: int = 2048
    """Most prompt tokens that are read beside one step."""
    pair_s: float = 0.7e-9
    """Time for each pair of a prompt token and one before it."""
    intake_s: float = 0.0
    """Time between a request's arrival and the first look at it."""


class Job:
    """One request at a replica.

    :param prompt_tokens: tokens that are read before the first event
    :param events: events that it writes
    :param urgency: place in the queue, 0 first
    :param take: called with the number of each event, with 0 at the end, and with a
        negative number if the replica broke
    """

    def __init__(
        self,
        prompt_tokens: int,
        events: int,
        *,
        urgency: int,
        take: Callable[[int], None],
    ) -> None:
        self.unread = prompt_tokens
        self.read = 0
        self.written = 0
        self.events = events
        self.urgency = urgency
        self.take = take


class Replica:
    """Works on as many jobs at once as it has slots, at the pace of its hosts.

    :param engine: how its engines batch requests
    :param reading: how they read prompts
    :param slowdown: returns the factor on all times
    """

    def __init__(
        self, engine: EngineSpec, reading: Reading, slowdown: Callable[[], float]
    ) -> None:
        self.running: list[Job] = []
        self.waiting: list[Job] = []
        self.stalled = False
        """Whether a member is lost, so that nothing moves."""
        self._engine = engine
        self._reading = reading
        self._slowdown = slowdown
        self._timer: asyncio.TimerHandle | None = None

    def admit(self, job: Job) -> bool:
        """Take a job, or return that there is no room for it."""
        slots = self._engine.slots
        if len(self.running) < slots:
            self.running.append(job)
        elif len(self.waiting) < QUEUE_PART * slots:
            insort(self.waiting, job, key=lambda each: each.urgency)
        else:
            return False
        if self._timer is None and not self.stalled:
            self._begin_pass()
        return True

    def drop(self, job: Job) -> None:
        """Forget a job whose caller has left."""
        for jobs in (self.running, self.waiting):
            if job in jobs:
                jobs.remove(job)
        self._fill()

    def stall(self) -> None:
        """Move nothing any more."""
        self.stalled = True
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def break_off(self) -> None:
        """Cut every job off."""
        self.stall()
        jobs = [*self.running, *self.waiting]
        self.running.clear()
        self.waiting.clear()
        for job in jobs:
            job.take(-1)

    def _fill(self) -> None:
        while self.waiting and len(self.running) < self._engine.slots:
            self.running.append(self.waiting.pop(0))

    def _begin_pass(self) -> None:
        engine, reading = self._engine, self._reading
        writers = [job for job in self.running if not job.unread]
        readers = [job for job in self.running if job.unread]
        steps = engine.tokens_per_event if writers else 1
        step_s = engine.step_s + engine.step_per_request_s * len(writers)
        seconds, left = steps * step_s, reading.chunk_tokens * steps
        for job in readers:
            tokens = min(job.unread, left)
            pairs = tokens * (job.read + tokens / 2)
            seconds += tokens / engine.prompt_tokens_per_s + pairs * reading.pair_s
            job.unread -= tokens
            job.read += tokens
            left -= tokens
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(seconds * self._slowdown(), self._end, writers)

    def _end(self, writers: list[Job]) -> None:
        self._timer = None
        for job in writers:
            if job not in self.running:
                continue
            job.written += 1
            job.take(job.written)
            if job.written >= job.events:
                self.running.remove(job)
                job.take(0)
        self._fill()
        if self.running and not self.stalled:
            self._begin_pass()
