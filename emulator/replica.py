"""Model of a replica with continuous batching and chunked prefill."""

from __future__ import annotations

import asyncio
from bisect import insort
from collections.abc import Callable
from typing import NamedTuple

from auburnproxy.gateway.route import EngineSpec

QUEUE_FRACTION = 0.3
"""Length of a replica's queue as a fraction of its slots."""


class PrefillSettings(NamedTuple):
    """Prefill parameters of engines that the configuration does not hold."""

    chunk_tokens: int = 2048
    """Maximum number of prompt tokens prefilled in one decode step."""
    attention_pair_s: float = 0.7e-9
    """Attention time for each pair of a prompt token and an earlier token."""
    admission_delay_s: float = 0.0
    """Time between a request's arrival and its admission or refusal."""


class Job:
    """One request at a replica.

    :param prompt_tokens: tokens that are prefilled before the first event
    :param events: number of events to emit
    :param urgency: queue priority, 0 is served first
    :param on_event: called with the number of each event, with 0 at the end, and with a
        negative number if the replica failed
    """

    def __init__(
        self,
        prompt_tokens: int,
        events: int,
        *,
        urgency: int,
        on_event: Callable[[int], None],
    ) -> None:
        self.pending_prompt_tokens = prompt_tokens
        self.prefilled_tokens = 0
        self.emitted_events = 0
        self.events = events
        self.urgency = urgency
        self.on_event = on_event


class Replica:
    """Runs one job per slot in a shared batch and queues a few more.

    :param engine: batching parameters of its engines
    :param prefill: prefill parameters of its engines
    :param slowdown: returns the factor by which all times are multiplied
    """

    def __init__(
        self,
        engine: EngineSpec,
        prefill: PrefillSettings,
        slowdown: Callable[[], float],
    ) -> None:
        self.running: list[Job] = []
        self.waiting: list[Job] = []
        self.stalled = False
        """Whether a member is lost, so that no job makes progress."""
        self._engine = engine
        self._prefill = prefill
        self._slowdown = slowdown
        self._timer: asyncio.TimerHandle | None = None

    def admit(self, job: Job) -> bool:
        """Start or queue a job; return False if slots and queue are full."""
        slots = self._engine.slots
        if len(self.running) < slots:
            self.running.append(job)
        elif len(self.waiting) < QUEUE_FRACTION * slots:
            insort(self.waiting, job, key=lambda each: each.urgency)
        else:
            return False
        if self._timer is None and not self.stalled:
            self._start_iteration()
        return True

    def drop(self, job: Job) -> None:
        """Remove a job whose caller has disconnected."""
        for jobs in (self.running, self.waiting):
            if job in jobs:
                jobs.remove(job)
        self._fill_slots()

    def stall(self) -> None:
        """Stop all progress; jobs stay open."""
        self.stalled = True
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def abort(self) -> None:
        """Stop all progress and abort every job."""
        self.stall()
        jobs = [*self.running, *self.waiting]
        self.running.clear()
        self.waiting.clear()
        for job in jobs:
            job.on_event(-1)

    def _fill_slots(self) -> None:
        while self.waiting and len(self.running) < self._engine.slots:
            self.running.append(self.waiting.pop(0))

    def _start_iteration(self) -> None:
        engine, prefill = self._engine, self._prefill
        decoding = [job for job in self.running if not job.pending_prompt_tokens]
        prefilling = [job for job in self.running if job.pending_prompt_tokens]
        steps = engine.tokens_per_event if decoding else 1
        step_s = engine.step_s + engine.step_per_request_s * len(decoding)
        seconds, budget_tokens = steps * step_s, prefill.chunk_tokens * steps
        for job in prefilling:
            tokens = min(job.pending_prompt_tokens, budget_tokens)
            pairs = tokens * (job.prefilled_tokens + tokens / 2)
            seconds += (
                tokens / engine.prompt_tokens_per_s + pairs * prefill.attention_pair_s
            )
            job.pending_prompt_tokens -= tokens
            job.prefilled_tokens += tokens
            budget_tokens -= tokens
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(
            seconds * self._slowdown(), self._finish_iteration, decoding
        )

    def _finish_iteration(self, decoding: list[Job]) -> None:
        self._timer = None
        for job in decoding:
            if job not in self.running:
                continue
            job.emitted_events += 1
            job.on_event(job.emitted_events)
            if job.emitted_events >= job.events:
                self.running.remove(job)
                job.on_event(0)
        self._fill_slots()
        if self.running and not self.stalled:
            self._start_iteration()
