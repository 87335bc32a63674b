"""Passive health checks: tracks upstreams by the results of this daemon's requests.

Detects a dead replica that still looks alive: its head may go on accepting requests for
seconds. The events of its other streams show this sooner than any report, so a head
that is silent on all of its streams is excluded. After an exclusion, whose length grows
exponentially, one request at a time tests the head.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from typing import NamedTuple

from ..clock import loop_time
from ..telemetry.decisions import DecisionLog

MIN_EXCLUSION_S = 0.5
"""Shortest exclusion; stalls by batches of long prompts end within it."""
MAX_EXCLUSION_S = 4.0
"""Longest exclusion; a dead host's registration is removed within that time."""
PROBE_LEAD_S = 0.3
"""Seconds before the end of an exclusion at which the upstream is probed, which is also
the time limit of a probe."""
STALLED_PROBE_S = 0.1
"""Overrun of a probe's time limit that shows that this process was stalled."""
BACKOFF_RESET_S = 10.0
"""Seconds without a failure after which an upstream's exclusions start at the shortest
again."""
MAX_FAILED_PROBES = 2
"""Probes in a row that prolong an exclusion where requests outrank them."""
MS_PER_S = 1000
MAX_SILENT_MS = 60_000


class UpstreamLoad(NamedTuple):
    """The requests of one daemon at one upstream."""

    in_flight: int
    unanswered: int
    """Requests that have no answer yet."""
    silent_ms: int
    """Milliseconds since this daemon last received data from the upstream."""


class _UpstreamState:
    def __init__(self) -> None:
        self.in_flight = 0
        self.unanswered = 0
        self.heard_at = -1.0
        self.excluded_until = -1.0
        self.exclusion_s = 0.0
        self.failed_probes = 0
        """Probes in a row that have prolonged its exclusion."""
        self.test_request: object | None = None
        """The request that tests it after an exclusion, until it shows something."""
        self.stall_callbacks: set[Callable[[], None]] = set()


class Health:
    """Health and load of upstreams as seen by this daemon's own requests.

    :param decisions: log of exclusions and recoveries
    :param probe: returns whether an upstream's process answers
    :param heard_elsewhere: returns the loop's time at which another daemon last
        received data from an upstream, negative if none did
    :param requests_outrank_probes: whether an upstream that answers no probe is tested
        by a request all the same, since probes may lie
    """

    def __init__(
        self,
        decisions: DecisionLog,
        *,
        probe: Callable[[str], Awaitable[bool]],
        heard_elsewhere: Callable[[str], float] = lambda host: -1.0,
        requests_outrank_probes: bool = False,
    ) -> None:
        self._decisions = decisions
        self._probe = probe
        self._heard_elsewhere = heard_elsewhere
        self._requests_outrank_probes = requests_outrank_probes
        self._probes: set[asyncio.Task[None]] = set()
        self._states: dict[str, _UpstreamState] = {}
        self.on_requests_changed: Callable[[str], None] = lambda host: None
        """Called with an upstream when this daemon's requests there have changed."""
        self.on_excluded: Callable[[str], None] = lambda host: None
        """Called with an upstream when its exclusion begins."""

    def in_flight(self, host: str) -> int:
        """Return the number of this daemon's requests at an upstream."""
        state = self._states.get(host)
        return state.in_flight if state else 0

    def unanswered(self, host: str) -> int:
        """Return the number of this daemon's requests there that have no answer yet."""
        state = self._states.get(host)
        return state.unanswered if state else 0

    @property
    def load_by_host(self) -> dict[str, UpstreamLoad]:
        """Return this daemon's requests at each upstream that has any."""
        now = loop_time()
        return {
            host: UpstreamLoad(
                state.in_flight, state.unanswered, _silent_ms(now, state.heard_at)
            )
            for host, state in self._states.items()
            if state.in_flight
        }

    def streams_silent_s(self, host: str) -> float:
        """Return how long an upstream has sent nothing on this daemon's streams.

        :return: 0 if it has no stream that has begun
        """
        state = self._states.get(host)
        if state is None or state.in_flight <= state.unanswered:
            return 0.0
        return loop_time() - state.heard_at

    def heard_at(self, host: str) -> float:
        """Return the loop's time at which any daemon last heard from an upstream."""
        state = self._states.get(host)
        own = state.heard_at if state else -1.0
        return max(own, self._heard_elsewhere(host))

    @property
    def suspects(self) -> tuple[str, ...]:
        """Return the upstreams that this daemon excludes now."""
        now = loop_time()
        return tuple(h for h, s in self._states.items() if s.excluded_until > now)

    def is_excluded(self, host: str) -> bool:
        """Return whether an upstream must not get a request now.

        When its exclusion ends, an upstream gets a single test request, and others only
        after that one has been answered (a half-open circuit breaker).
        """
        state = self._states.get(host)
        if state is None or not state.exclusion_s:
            return False
        return state.excluded_until > loop_time() or state.test_request is not None

    @contextmanager
    def track_request(
        self, host: str, on_lost: Callable[[], None]
    ) -> Iterator[Callable[[], None]]:
        """Track a request at an upstream for the duration of the context.

        :param on_lost: called if the upstream turns out to be silent on all requests
        :return: a function to call when the answer has begun
        """
        state = self._states.setdefault(host, _UpstreamState())
        request = object()
        if state.exclusion_s:
            state.test_request = request
        state.in_flight += 1
        state.unanswered += 1
        state.stall_callbacks.add(on_lost)
        began = False

        def begin() -> None:
            nonlocal began
            if not began:
                began = True
                state.unanswered -= 1
                self.on_requests_changed(host)

        self.on_requests_changed(host)
        try:
            yield begin
        finally:
            begin()
            state.in_flight -= 1
            state.stall_callbacks.discard(on_lost)
            if state.test_request is request:
                state.test_request = None
            self.on_requests_changed(host)

    def record_data(self, host: str) -> None:
        """Record that an upstream has sent data, which ends its exclusion."""
        state = self._states.setdefault(host, _UpstreamState())
        state.heard_at = loop_time()
        if state.exclusion_s:
            state.exclusion_s = 0.0
            state.failed_probes = 0
            state.test_request = None
            state.excluded_until = -1.0
            self._decisions.belief("upstream_back", upstream=host)

    def record_stall(self, host: str, *, silence_s: float, reason: str) -> None:
        """Record that a request timed out, and exclude an upstream silent towards all.

        :param silence_s: how long the request received nothing
        :param reason: what the request saw, for the log
        """
        state = self._states.setdefault(host, _UpstreamState())
        if loop_time() - self.heard_at(host) < silence_s:
            return
        self.record_failure(host, reason=reason)
        for on_lost in tuple(state.stall_callbacks):
            on_lost()

    def record_failure(self, host: str, *, reason: str) -> None:
        """Exclude an upstream for a time that doubles with each failure.

        :param reason: what was seen of it, for the log
        """
        state = self._states.setdefault(host, _UpstreamState())
        now = loop_time()
        if state.excluded_until > now:
            return
        state.test_request = None
        recovered = now - state.excluded_until > BACKOFF_RESET_S
        state.exclusion_s = (
            MIN_EXCLUSION_S
            if recovered or not state.exclusion_s
            else min(2 * state.exclusion_s, MAX_EXCLUSION_S)
        )
        state.excluded_until = now + state.exclusion_s
        self.on_excluded(host)
        self._schedule_probe(host, state.exclusion_s)
        self._decisions.belief(
            "upstream_excluded",
            upstream=host,
            reason=reason,
            pause_s=state.exclusion_s,
            silent_s=round(now - state.heard_at, 3) if state.heard_at >= 0 else None,
        )

    def end_exclusions(self) -> None:
        """End all exclusions, if what caused them was not the upstreams' fault."""
        for state in self._states.values():
            state.exclusion_s, state.excluded_until = 0.0, -1.0
            state.failed_probes, state.test_request = 0, None

    def _schedule_probe(self, host: str, exclusion_s: float) -> None:
        """Schedule a probe of an upstream shortly before its exclusion ends."""
        task = asyncio.create_task(self._probe_before_end(host, exclusion_s))
        self._probes.add(task)
        task.add_done_callback(self._probes.discard)

    async def _probe_before_end(self, host: str, exclusion_s: float) -> None:
        await asyncio.sleep(max(exclusion_s - PROBE_LEAD_S, 0.0))
        state = self._states.get(host)
        if state is None or not state.exclusion_s:
            return
        excluded_at = state.excluded_until - state.exclusion_s
        if await self._answers(host) or self._states.get(host) is not state:
            state.failed_probes = 0
            return
        state.failed_probes += 1
        if self._requests_outrank_probes and (
            state.failed_probes > MAX_FAILED_PROBES or self.heard_at(host) > excluded_at
        ):
            state.failed_probes = 0
            return
        state.excluded_until = loop_time()
        self.record_failure(host, reason="no answer to a probe")

    async def _answers(self, host: str) -> bool:
        """Return whether an upstream answers a probe.

        A probe that ends long after its own time limit shows that this process was
        stalled meanwhile, not that the upstream was, so it is repeated.
        """
        began = loop_time()
        if await self._probe(host):
            return True
        took_s = loop_time() - began
        return took_s > PROBE_LEAD_S + STALLED_PROBE_S and await self._probe(host)

    def close(self) -> None:
        """Cancel all probes."""
        for task in self._probes:
            task.cancel()

    def forget(self, host: str) -> None:
        """Drop the state of an upstream that is gone."""
        state = self._states.get(host)
        if state is not None and not state.in_flight:
            del self._states[host]


def _silent_ms(now: float, at: float) -> int:
    return min(round((now - at) * MS_PER_S), MAX_SILENT_MS)
