"""Which upstreams answer, by what this daemon's own requests show.

Answers a dead replica that looks alive: its head goes on accepting requests for
seconds. The events of its other streams tell sooner than any report, so a head
that is silent towards all of them is left out, and tried again by one request
at a time with growing pauses.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from typing import NamedTuple

from ..clock import loop_time
from ..telemetry.decisions import Decisions

FIRST_PAUSE_S = 0.5
"""Shortest exclusion; stalled batches of long prompts pass within it."""
LONGEST_PAUSE_S = 4.0
"""Longest exclusion; the register drops a dead host within that time."""
PROBE_LEAD_S = 0.3
"""Seconds before the end of a pause at which the upstream is asked; a probe's time."""
PROBE_SLACK_S = 0.1
"""Delay of a probe's end beyond which this process stood still."""
FORGET_S = 10.0
"""Seconds without trouble after which an upstream's pauses start short again."""
MS_PER_S = 1000
LONGEST_AGE_MS = 60_000


class Work(NamedTuple):
    """The requests of one daemon at an upstream."""

    in_flight: int
    waiting: int
    """Those without an answer yet."""
    silent_ms: int
    """Milliseconds since the upstream last sent this daemon something."""


class _State:
    def __init__(self) -> None:
        self.in_flight = 0
        self.waiting = 0
        self.heard_at = -1.0
        self.excluded_until = -1.0
        self.pause_s = 0.0
        self.probing = False
        self.watches: set[Callable[[], None]] = set()


class Health:
    """What is known of upstreams from the requests that were sent to them.

    :param decisions: takes a line for each upstream that is excluded or back
    :param probe: returns whether an upstream's process answers
    :param heard_elsewhere: returns the loop's time at which another daemon last
        heard from an upstream, negative if none did
    """

    def __init__(
        self,
        decisions: Decisions,
        *,
        probe: Callable[[str], Awaitable[bool]],
        heard_elsewhere: Callable[[str], float] = lambda host: -1.0,
    ) -> None:
        self._decisions = decisions
        self._probe = probe
        self._heard_elsewhere = heard_elsewhere
        self._probes: set[asyncio.Task[None]] = set()
        self._states: dict[str, _State] = {}
        self.on_news: Callable[[str], None] = lambda host: None
        """Called with an upstream at which this daemon's requests have changed."""
        self.on_excluded: Callable[[str], None] = lambda host: None
        """Called with an upstream that is left out from now on."""

    def in_flight(self, host: str) -> int:
        """Return this daemon's requests that are at an upstream."""
        state = self._states.get(host)
        return state.in_flight if state else 0

    def waiting(self, host: str) -> int:
        """Return this daemon's requests at an upstream that have no answer yet."""
        state = self._states.get(host)
        return state.waiting if state else 0

    @property
    def work_by_host(self) -> dict[str, Work]:
        """Return this daemon's requests at each upstream that has any."""
        now = loop_time()
        return {
            host: Work(state.in_flight, state.waiting, _age_ms(now, state.heard_at))
            for host, state in self._states.items()
            if state.in_flight
        }

    def quiet_s(self, host: str) -> float:
        """Return for how long an upstream has kept this daemon's streams waiting.

        :return: 0 if there are no streams that have begun
        """
        state = self._states.get(host)
        if state is None or state.in_flight <= state.waiting:
            return 0.0
        return loop_time() - state.heard_at

    def heard_at(self, host: str) -> float:
        """Return the loop's time at which any daemon last heard from an upstream."""
        state = self._states.get(host)
        own = state.heard_at if state else -1.0
        return max(own, self._heard_elsewhere(host))

    @property
    def suspects(self) -> tuple[str, ...]:
        """Return the upstreams that are excluded now."""
        now = loop_time()
        return tuple(h for h, s in self._states.items() if s.excluded_until > now)

    def excluded(self, host: str) -> bool:
        """Return whether an upstream is not to get a request now.

        After its pause an upstream gets one request, and the others once that
        one has been answered.
        """
        state = self._states.get(host)
        if state is None or not state.pause_s:
            return False
        return state.excluded_until > loop_time() or state.probing

    @contextmanager
    def request(
        self, host: str, on_lost: Callable[[], None]
    ) -> Iterator[Callable[[], None]]:
        """Count a request at an upstream for as long as it is there.

        :param on_lost: called if the upstream turns out to be silent towards all
        :return: a function to be called when the answer has begun
        """
        state = self._states.setdefault(host, _State())
        probe = bool(state.pause_s)
        state.in_flight += 1
        state.waiting += 1
        state.probing |= probe
        state.watches.add(on_lost)
        began = False

        def begin() -> None:
            nonlocal began
            if not began:
                began = True
                state.waiting -= 1
                self.on_news(host)

        self.on_news(host)
        try:
            yield begin
        finally:
            begin()
            state.in_flight -= 1
            state.watches.discard(on_lost)
            if probe:
                state.probing = False
            self.on_news(host)

    def heard(self, host: str) -> None:
        """Note that an upstream has sent something."""
        state = self._states.setdefault(host, _State())
        state.heard_at = loop_time()
        if state.pause_s:
            state.pause_s = 0.0
            state.probing = False
            state.excluded_until = -1.0
            self._decisions.belief("upstream_back", upstream=host)

    def stalled(self, host: str, *, silence_s: float, reason: str) -> None:
        """Note that a request got nothing from an upstream.

        :param silence_s: how long it got nothing
        :param reason: what its request saw
        """
        state = self._states.setdefault(host, _State())
        if loop_time() - self.heard_at(host) < silence_s:
            return
        self.failed(host, reason=reason)
        for on_lost in tuple(state.watches):
            on_lost()

    def failed(self, host: str, *, reason: str) -> None:
        """Exclude an upstream for a while.

        :param reason: what was seen of it
        """
        state = self._states.setdefault(host, _State())
        now = loop_time()
        if state.excluded_until > now:
            return
        calm = now - state.excluded_until > FORGET_S
        state.pause_s = (
            FIRST_PAUSE_S
            if calm or not state.pause_s
            else min(2 * state.pause_s, LONGEST_PAUSE_S)
        )
        state.excluded_until = now + state.pause_s
        self.on_excluded(host)
        self._check_later(host, state.pause_s)
        self._decisions.belief(
            "upstream_excluded",
            upstream=host,
            reason=reason,
            pause_s=state.pause_s,
            silent_s=round(now - state.heard_at, 3) if state.heard_at >= 0 else None,
        )

    def _check_later(self, host: str, pause_s: float) -> None:
        """Ask an upstream before the end of its pause whether it is there at all."""
        task = asyncio.create_task(self._check(host, pause_s))
        self._probes.add(task)
        task.add_done_callback(self._probes.discard)

    async def _check(self, host: str, pause_s: float) -> None:
        await asyncio.sleep(max(pause_s - PROBE_LEAD_S, 0.0))
        state = self._states.get(host)
        if state is None or not state.pause_s:
            return
        if not await self._answers(host) and self._states.get(host) is state:
            state.excluded_until = loop_time()
            self.failed(host, reason="no answer to a probe")

    async def _answers(self, host: str) -> bool:
        """Return whether an upstream answers a probe.

        A probe that ends long after its own limit shows that this process stood
        still meanwhile, not that the upstream did.
        """
        began = loop_time()
        if await self._probe(host):
            return True
        took_s = loop_time() - began
        return took_s > PROBE_LEAD_S + PROBE_SLACK_S and await self._probe(host)

    def close(self) -> None:
        """Stop asking upstreams."""
        for task in self._probes:
            task.cancel()

    def forget(self, host: str) -> None:
        """Drop what is known of an upstream that is gone."""
        state = self._states.get(host)
        if state is not None and not state.in_flight:
            del self._states[host]


def _age_ms(now: float, at: float) -> int:
    return min(round((now - at) * MS_PER_S), LONGEST_AGE_MS)
