"""Shared pause of one daemon's calls to a store that does not serve it."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from random import Random
from typing import NamedTuple, TypeVar

from ..clock import loop_time
from ..era import EraTracker
from ..errors import PlatformError, UnreadableError
from ..notifier import Notifier
from ..telemetry import Counter, Telemetry
from ..telemetry.decisions import DecisionLog
from .store import (
    BusyError,
    Change,
    ConflictError,
    ExpiredError,
    NewestRecords,
    Page,
    Store,
)

MIN_PAUSE_S = 0.25
LONGEST_PAUSE_S = 8.0
"""Upper limit of every pause, and of a Retry-After of the store."""
GROWTH = 2
"""Factor by which each further failure prolongs the pause."""
PAUSE_SPREAD = 0.25
"""Random fraction by which a pause differs, so that daemons do not return together."""
RETRY_AFTER_SPREAD = 0.25
"""Random extension of a Retry-After, as a fraction of it."""
RETURN_SPREAD_S = 0.25
"""Time over which the callers of one daemon come back after the store has answered."""
DOUBTFUL_AFTER_S = 1.0
"""Age of the newest answered call after which one call is made alone if other daemons
are not served."""
PROBE_CHECK_S = 0.1
"""Seconds between two checks whether a pending probe has failed."""
MAX_GROWTHS = 16
LOG_INTERVAL_S = 5.0
"""Least time between two pauses that are logged; one topic alone may keep failing."""

_T = TypeVar("_T")


class PausedError(PlatformError):
    """A call was not made, since the store has not served this daemon lately.

    :param remaining_s: seconds until the next call may be made
    :param after_failure: whether a call of this daemon has failed, and not only those
        of others
    """

    code = "paused"

    def __init__(self, remaining_s: float, *, after_failure: bool) -> None:
        super().__init__(f"calls to the store are paused for {remaining_s:.2f} s")
        self.after_failure = after_failure


class PauseRange(NamedTuple):
    """Pauses in seconds that suit the daemons which share the calls to a store."""

    first_s: float
    """Pause after the first failure."""
    longest_s: float
    others_unserved: bool = False
    """Whether other daemons report that the store does not serve them."""


class Admission(NamedTuple):
    """Permission for one call."""

    sent_at: float
    """The loop's time in seconds."""
    is_probe: bool
    """Whether the call finds out, for all callers, whether the store serves again."""


class CallPacing:
    """Pauses all calls of a daemon after one that the store did not serve.

    The pause grows with each failure. After it one call is made, as a probe; the others
    follow, spread over a moment, once it has been answered. A failure of a call that
    was sent before another one was answered, or before the pause, tells nothing new.
    A daemon that has not called lately, and hears that others are not served, begins
    with a probe as well.

    :param decisions: logs when calls stay paused and when the store serves again
    :param telemetry: counts pauses and the calls that were not made
    :param pauses: returns the pauses that suit this daemon now
    :param random: spreads the pauses
    """

    def __init__(
        self,
        decisions: DecisionLog,
        telemetry: Telemetry,
        *,
        pauses: Callable[[], PauseRange],
        random: Random,
    ) -> None:
        self._decisions = decisions
        self._telemetry = telemetry
        self._pauses = pauses
        self._random = random
        self._reopened = Notifier()
        self.answered_sent_at = -1.0
        """The loop's time at which the newest answered call was sent."""
        self._failures = 0
        """Failures in a row, each of a call that was sent after the one before."""
        self._failing_since = 0.0
        self._paused_at = 0.0
        self._pause_ends_at = 0.0
        self._log_at = 0.0
        """The loop's time from which a further pause is logged."""
        self._is_logged = False
        self._held_back = 0
        """Calls that were not made since the first of these failures."""
        self._probe: Admission | None = None

    @property
    def paused(self) -> bool:
        """Return whether the store has not answered since a call failed."""
        return self._failures > 0

    @property
    def probe_due(self) -> bool:
        """Return whether the pause has ended and no probe has been made since."""
        return (
            self.paused and self._probe is None and loop_time() >= self._pause_ends_at
        )

    def admit(self) -> Admission:
        """Return permission for a call that is made now.

        :raises PausedError: if no call may be made yet
        """
        now = loop_time()
        if not self.paused and not self._doubtful(now):
            return Admission(now, is_probe=False)
        remaining_s = self._pause_ends_at - now
        if remaining_s > 0 or self._probe is not None:
            self._held_back += 1
            self._telemetry.count(Counter.STORE_CALL_HELD_BACK, "", "")
            raise PausedError(max(remaining_s, 0.0), after_failure=self.paused)
        self._probe = Admission(now, is_probe=True)
        return self._probe

    def record_answer(self, admission: Admission) -> None:
        """Record that the store served a call."""
        self._end_probe(admission)
        self.answered_sent_at = max(self.answered_sent_at, admission.sent_at)
        if not self.paused:
            return
        if self._is_logged:
            self._decisions.belief(
                "store_regained",
                after_s=round(loop_time() - self._failing_since, 3),
                failures=self._failures,
                held_back=self._held_back,
            )
        self._failures, self._pause_ends_at = 0, 0.0
        self._reopened.notify()

    def record_failure(self, admission: Admission, error: PlatformError) -> None:
        """Record that the store did not serve a call.

        :param error: what it did instead
        """
        self._end_probe(admission)
        if admission.sent_at < self.answered_sent_at:
            return
        if self.paused and admission.sent_at <= self._paused_at:
            return
        now = loop_time()
        if not self.paused:
            self._failing_since, self._held_back = now, 0
        self._failures += 1
        pause_s = self._next_pause_s(error)
        self._paused_at, self._pause_ends_at = now, now + pause_s
        self._telemetry.count(Counter.STORE_PAUSE, "", "", error.code)
        if self._failures == 1:
            self._is_logged = now >= self._log_at
        if self._failures == 1 and self._is_logged:
            self._log_at = now + LOG_INTERVAL_S
            self._decisions.belief(
                "store_paused", reason=repr(error), pause_s=round(pause_s, 3)
            )

    def record_cancelled(self, admission: Admission) -> None:
        """Record that the outcome of a call will not be known."""
        self._end_probe(admission)

    async def before_retry(self, seconds: float) -> None:
        """Wait before a failed call is repeated, until the pause has ended.

        :param seconds: least time to wait, unless the store answers another caller
        """
        retry_at = loop_time() + seconds
        while self.paused:
            if self.probe_due:
                break
            remaining_s = self._pause_ends_at - loop_time()
            if await self._reopened.wait(max(remaining_s, PROBE_CHECK_S)):
                await asyncio.sleep(self._random.uniform(0.0, RETURN_SPREAD_S))
                return
        await asyncio.sleep(retry_at - loop_time())

    def _doubtful(self, now: float) -> bool:
        """Return whether the store may be away, though no call has failed here."""
        answer_age_s = now - self.answered_sent_at
        return answer_age_s > DOUBTFUL_AFTER_S and self._pauses().others_unserved

    def _end_probe(self, admission: Admission) -> None:
        if self._probe is admission:
            self._probe = None

    def _next_pause_s(self, error: PlatformError) -> float:
        growth = float(GROWTH ** min(self._failures - 1, MAX_GROWTHS))
        pauses = self._pauses()
        longest_s = min(pauses.longest_s, LONGEST_PAUSE_S)
        pause_s = max(min(pauses.first_s * growth, longest_s), MIN_PAUSE_S)
        pause_s *= self._random.uniform(1.0 - PAUSE_SPREAD, 1.0 + PAUSE_SPREAD)
        asked_s = error.retry_after_s if isinstance(error, BusyError) else None
        if asked_s is not None:
            spread = 1.0 + self._random.uniform(0.0, RETRY_AFTER_SPREAD)
            pause_s = max(pause_s, min(asked_s * spread, LONGEST_PAUSE_S))
        return pause_s


class PacedStore(Store):
    """Makes the calls that the pacing admits; the others fail at once.

    :param store: the log service
    :param pacing: shared by all callers of this daemon
    """

    def __init__(self, store: Store, pacing: CallPacing) -> None:
        self._store = store
        self._pacing = pacing

    @property
    def era(self) -> EraTracker:
        """Return the era of the log according to its responses so far."""
        return self._store.era

    async def newest(self, topic: str) -> NewestRecords:
        """Return the newest record of each key of a topic.

        :raises PausedError: if no call may be made yet
        :raises PlatformError: if the service does not answer
        """
        admission = self._pacing.admit()
        return await self._recorded(admission, self._store.newest(topic))

    async def read(self, topic: str, offset: int, *, wait_s: float) -> Page:
        """Return the records from an offset on.

        :param wait_s: seconds to wait for a record before returning an empty page; a
            probe does not wait, so that its outcome is known soon
        :raises ExpiredError: if the offset is no longer retained
        :raises PausedError: if no call may be made yet
        :raises PlatformError: if the service does not answer
        """
        admission = self._pacing.admit()
        page = self._store.read(
            topic, offset, wait_s=0.0 if admission.is_probe else wait_s
        )
        return await self._recorded(admission, page)

    async def append(
        self, topic: str, changes: Sequence[Change], *, expected_end: int | None = None
    ) -> int:
        """Append records atomically, and return the new end of the topic.

        :param expected_end: required end of the topic, None to append unconditionally
        :raises ConflictError: if the topic has another end
        :raises AppendUncertainError: if the outcome of the append is unknown
        :raises PausedError: if no call may be made yet
        :raises PlatformError: if nothing was appended
        """
        admission = self._pacing.admit()
        end = self._store.append(topic, changes, expected_end=expected_end)
        return await self._recorded(admission, end)

    async def close(self) -> None:
        """Close every connection to the service."""
        await self._store.close()

    async def _recorded(self, admission: Admission, call: Awaitable[_T]) -> _T:
        try:
            result = await call
        except (ConflictError, ExpiredError, UnreadableError):
            self._pacing.record_answer(admission)
            raise
        except PlatformError as error:
            self._pacing.record_failure(admission, error)
            raise
        except BaseException:
            self._pacing.record_cancelled(admission)
            raise
        self._pacing.record_answer(admission)
        return result
