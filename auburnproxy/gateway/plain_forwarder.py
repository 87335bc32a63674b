"""Plain (non-streamed) requests, retried on another host where the route allows it.

On other routes a request is sent at most once.
"""

from __future__ import annotations

import asyncio
from collections.abc import Set

from aiohttp import ClientError, web

from ..bounded_body import read_body
from ..clock import loop_time
from ..errors import Ran, RefusalError
from ..telemetry.decisions import DecisionLog
from .call import MAX_UNREACHABLE, UNSENT_RETRY_S, AttemptError, Call, Obstacle
from .caller_response import forward_response
from .header_codec import Dispatch
from .health import Health
from .host import Host
from .outcome_record import answered_outcome, failed_outcome
from .outcomes import Outcomes, UnusedOutcomes
from .retry_budget import RetryLimit
from .sender import Sender, check_response
from .silence_timeout import SilenceTimeout
from .upstream_selector import UpstreamSelector

PATIENCE_FRACTION = 0.45
"""Fraction of the remaining time after which a silent host is given up, if another one
can take its place."""
MIN_PATIENCE_S = 0.2
"""Lower bound of that wait; hosts take a quarter of it on average."""
SERVER_ERROR = 500
SILENT = "silent"


class PlainForwarder:
    """Forwards requests of plain routes.

    :param sender: sends each try
    :param selector: selects hosts
    :param health: records the result of each try
    :param decisions: log, with a line for each failed try
    :param answer_bytes: maximum body size of a response
    :param outcomes: learns from each try which hosts fail
    """

    def __init__(
        self,
        sender: Sender,
        selector: UpstreamSelector,
        health: Health,
        decisions: DecisionLog,
        *,
        answer_bytes: int,
        outcomes: Outcomes | None = None,
    ) -> None:
        self._outcomes = outcomes or UnusedOutcomes()
        self._sender = sender
        self._answer_bytes = answer_bytes
        self._selector = selector
        self._health = health
        self._decisions = decisions

    async def forward(self, call: Call, retry_limit: RetryLimit) -> web.Response:
        """Forward a request and return an upstream's response.

        :raises RefusalError: if there is none
        """
        ran = Ran.NO
        tried: set[str] = set()
        sent = unreachable = 0
        failure: web.Response | None = None
        replacement = _Replacement(
            self._selector, self._decisions, call, retry_limit, tried
        )
        while True:
            try:
                host = replacement.take() or self._select_host(call, tried)
            except RefusalError as refusal:
                if failure is not None:
                    return failure
                if ran is Ran.NO:
                    raise
                raise _build_refusal(refusal.code, ran) from refusal
            tried.add(host.id)
            last = sent + 1 >= call.route.attempts or not call.route.repeatable
            paid = False
            sent_at = loop_time()
            try:
                response = await self._try(call, host, replacement, last=last)
                outcome = answered_outcome(response.status)
                self._outcomes.record(host, outcome, sent_at=sent_at)
                if response.status < SERVER_ERROR or last:
                    return response
                error = AttemptError(f"answered_{response.status}", ran=Ran.UNKNOWN)
                paid = retry_limit.spend(error.code)
                if not paid:
                    return response
                failure = response
            except AttemptError as caught:
                error = caught
                if failed := failed_outcome(error):
                    self._outcomes.record(host, failed, sent_at=sent_at)
            self._log_failed_try(call, host, error)
            sent += error.sent
            unreachable += not error.sent
            if error.ran is Ran.UNKNOWN:
                ran = Ran.UNKNOWN
            if not error.sent:
                if unreachable < MAX_UNREACHABLE:
                    continue
                raise _build_refusal(error.code, ran)
            # Without a replacement, only the deadline ends a wait at a silent host.
            late = error.code == SILENT and replacement.host is None
            used_up = sent >= call.route.attempts
            if late or used_up or (ran is Ran.UNKNOWN and not call.route.repeatable):
                if failure is not None:
                    return failure
                raise _build_refusal(error.code, ran, late=late)
            if paid or replacement.host is not None or retry_limit.spend(error.code):
                continue
            if failure is not None:
                return failure
            raise _build_refusal(error.code, ran)

    def _select_host(self, call: Call, tried: Set[str]) -> Host:
        """Return the host for the next try, on its first one possibly as its trial.

        :raises RefusalError: if no host can take the request now
        """
        repeatable = call.route.repeatable
        trials = frozenset() if tried else self._outcomes.trials(repeatable=repeatable)
        host = self._selector.select_host(
            self._selector.service(call),
            tried=tried,
            urgency=call.urgency,
            repeatable=repeatable,
            trials=trials,
        )
        if host.id in trials:
            self._outcomes.begin_trial(host, call.id)
        return host

    async def _try(
        self, call: Call, host: Host, replacement: _Replacement, *, last: bool
    ) -> web.Response:
        remaining_s = call.remaining_s
        if remaining_s <= 0:
            raise AttemptError("deadline", ran=Ran.NO, sent=False)
        patience_s = (
            remaining_s
            if last
            else max(PATIENCE_FRACTION * remaining_s, MIN_PATIENCE_S)
        )
        dispatch = Dispatch(host, remaining_s, call.account, call.urgency)

        def record_stall() -> None:
            self._health.record_stall(host.id, silence_s=patience_s, reason="no answer")

        try:
            with self._health.track_request(host.id, _do_nothing):
                async with asyncio.timeout(remaining_s) as limit:
                    if last:
                        return await self._exchange(call, dispatch)
                    given_up_at = loop_time() + patience_s
                    with SilenceTimeout(
                        limit,
                        lambda: given_up_at,
                        on_silent=record_stall,
                        replace=replacement.reserve,
                    ):
                        return await self._exchange(call, dispatch)
        except TimeoutError:
            if last:
                record_stall()
            raise AttemptError(SILENT, ran=Ran.UNKNOWN) from None
        except AttemptError as error:
            if not error.sent:
                self._health.record_failure(host.id, reason=error.code)
            raise

    async def _exchange(self, call: Call, dispatch: Dispatch) -> web.Response:
        host = dispatch.host
        call.held_answer.release()
        answer, info = await self._sender.send(call, dispatch)
        async with answer:
            self._health.record_data(host.id)
            check_response(call, info)
            try:
                body = await read_body(
                    answer,
                    max_bytes=self._answer_bytes,
                    make_room=call.held_answer.grow_when_free,
                )
            except (ClientError, OSError) as error:
                raise AttemptError("broken", ran=Ran.UNKNOWN) from error
            if not answer.complete:
                raise AttemptError("reset", ran=Ran.UNKNOWN)
        return forward_response(answer, body)

    def _log_failed_try(self, call: Call, host: Host, error: AttemptError) -> None:
        call.progress.await_upstream()
        self._decisions.request(
            "try_failed",
            call.id,
            upstream=host.id,
            code=error.code,
            reason=error.reason,
            ran=error.ran,
            remaining_s=round(call.remaining_s, 3),
        )


class _Replacement:
    """Host reserved for a request in place of a silent one.

    The retry budget is spent only for a host that is going to get the request.

    :param selector: selects hosts
    :param decisions: log, with a line for a request that waits at a silent host
    :param call: the request
    :param retry_limit: retry budget of the service that gets the next try
    :param tried: hosts that already got the request
    """

    def __init__(
        self,
        selector: UpstreamSelector,
        decisions: DecisionLog,
        call: Call,
        retry_limit: RetryLimit,
        tried: Set[str],
    ) -> None:
        self.host: Host | None = None
        """The reserved host, which is charged to the retry budget."""
        self._selector = selector
        self._decisions = decisions
        self._call = call
        self._retry_limit = retry_limit
        self._tried = tried
        self._obstacle_logged = False

    def take(self) -> Host | None:
        """Return the reserved host, which is no longer reserved afterwards."""
        host, self.host = self.host, None
        return host

    async def reserve(self) -> bool:
        """Reserve a host if there is one, and return whether there is."""
        if self._retry_limit.remaining < 1:
            self._log_waiting(Obstacle.RETRY_BUDGET)
            return False
        try:
            host = self._selector.select_host(
                self._selector.service(self._call),
                tried=self._tried,
                urgency=self._call.urgency,
            )
        except RefusalError:
            self._log_waiting(Obstacle.NO_REPLICA)
            return False
        if self._retry_limit.spend(SILENT):
            self.host = host
        return self.host is not None

    def _log_waiting(self, obstacle: Obstacle) -> None:
        if self._obstacle_logged:
            return
        self._obstacle_logged = True
        self._decisions.request(
            "waiting_at_silent_upstream",
            self._call.id,
            obstacle=obstacle,
            remaining_s=round(self._call.remaining_s, 3),
        )


def _build_refusal(code: str, ran: Ran, *, late: bool = False) -> RefusalError:
    if ran is Ran.NO:
        message = "No upstream took the request."
        return RefusalError(code, message, retry_after_s=UNSENT_RETRY_S)
    message = "An upstream may have run the request and gave no whole answer."
    return RefusalError(code, message, status=504 if late else 502, ran=ran)


def _do_nothing() -> None:
    """Do nothing: a plain request waits for its own response."""
