"""The requests that a daemon has in flight."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager
from enum import StrEnum

from .clock import loop_time
from .errors import Ran


class Phase(StrEnum):
    """What a request in flight is waiting for."""

    READING = "reading_body"
    """For the rest of its body."""
    CONFIGURATION = "waiting_for_configuration"
    UPSTREAM = "waiting_for_upstream"
    """For an upstream that can take it, or for another attempt."""
    ANSWER = "at_upstream"
    """For the answer of the upstream that it was sent to."""
    CALLER = "writing"
    """For its caller to read the answer."""


class InFlightRequest:
    """How far a request in flight has got; updated by those who handle it.

    Must be created in the task that handles the request.

    :param request_id: id of the request
    """

    def __init__(self, request_id: str = "") -> None:
        self.id = request_id
        self.arrived_at = loop_time()
        self.deadline: float | None = None
        """The loop's time in seconds by which it must be answered, None if unknown."""
        self.phase = Phase.READING
        self.upstream = ""
        """The upstream that it was last sent to."""
        self.ran = Ran.NO
        """Whether an upstream may have run it."""
        self.answer_begun = False
        """Whether its caller may have received a part of the answer."""
        self.cut_off = False
        """Whether it was ended because the daemon stops."""
        self._ran_before = Ran.NO
        self._task = asyncio.current_task()

    def send_to(self, upstream: str) -> None:
        """Record that it is being sent to an upstream.

        :param upstream: id of the upstream
        """
        self.phase, self.upstream = Phase.ANSWER, upstream
        self._ran_before, self.ran = self.ran, Ran.UNKNOWN

    def mark_not_run(self) -> None:
        """Record that the upstream it was last sent to certainly did not run it."""
        self.phase, self.ran = Phase.UPSTREAM, self._ran_before

    def await_upstream(self) -> None:
        """Record that it is waiting for an upstream after a failed attempt."""
        self.phase = Phase.UPSTREAM

    def begin_answer(self) -> None:
        """Record that its caller may receive a part of the answer from now on."""
        self.answer_begun = True

    def cut(self) -> None:
        """End it by cancelling the task that handles it, which answers the caller."""
        self.cut_off = True
        if self._task is not None:
            self._task.cancel()


class InFlightRequests:
    """The requests in flight, which can be waited for and ended."""

    def __init__(self) -> None:
        self._requests: set[InFlightRequest] = set()
        self._idle = asyncio.Event()
        self._idle.set()

    @property
    def count(self) -> int:
        """Return the number of requests in flight."""
        return len(self._requests)

    def __iter__(self) -> Iterator[InFlightRequest]:
        """Iterate over the requests that are in flight now."""
        return iter(tuple(self._requests))

    @contextmanager
    def track(self, request_id: str = "") -> Iterator[InFlightRequest]:
        """Count a request as in flight while the context is open.

        :param request_id: id of the request
        """
        request = InFlightRequest(request_id)
        self._requests.add(request)
        self._idle.clear()
        try:
            yield request
        finally:
            self._requests.discard(request)
            if not self._requests:
                self._idle.set()

    async def wait_idle(self, until: float | None = None) -> bool:
        """Wait until no request is in flight, and return whether that is so.

        :param until: the loop's time at which the wait ends, None for no limit
        """
        try:
            async with asyncio.timeout_at(until):
                await self._idle.wait()
        except TimeoutError:
            return False
        return True
