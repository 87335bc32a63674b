"""Streamed requests: events are forwarded in order and resumed on another replica.

Each event reaches the caller exactly once, also when the replica is lost.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping, Sequence
from typing import NoReturn

from aiohttp import ClientError, ClientResponse, web

from ..bounded_body import read_body
from ..clock import loop_time
from ..errors import AuburnError, Ran, RefusalError, UnreadableError
from ..quarantine import PartQuarantine
from ..telemetry import Counter, Measure, Telemetry
from ..telemetry.decisions import DecisionLog
from ..upstreams.client import TrackedResponse
from .attempts import AttemptCounter
from .call import MAX_UNREACHABLE, UNSENT_RETRY_S, AttemptError, Call, Obstacle
from .caller_response import forward_response, forward_stream
from .cost_model import RequestSize
from .events import Event, EventReader, events_in_order, last_id
from .header_codec import Dispatch
from .health import Health
from .host import Host
from .liveness import LivenessChecker
from .outcome_record import Outcome, answered_outcome, failed_outcome
from .outcomes import Outcomes, UnusedOutcomes
from .process_exits import ProcessExits, process_name
from .retry_budget import RetryLimit
from .route import EngineSpec
from .scoring import Progress
from .sender import Sender, check_response
from .serving_replica import ServingReplica
from .silence_timeout import SilenceTimeout
from .unfinished_response import abort_response
from .upstream_selector import UpstreamSelector

FIRST_EVENT_FRACTION = 0.7
"""Fraction of the first-event objective after which a silent head is considered
lost."""
PAUSE_FRACTION = 1.0
"""Fraction of the pause objective after which a head counts as silent."""
MIN_SILENCE_S = 0.25
"""Lower bound of both timeouts: batches of long prompts take up to 0.2 s."""
QUEUED_EXTRA_S = 0.3
"""Added to the first-event timeout at a head whose slots are all taken."""
MAX_FIRST_EVENT_S = 1.5
"""Upper bound of the wait for the first event at a head that sends events to others."""
CALLER_PATIENCE_S = 1.8
"""Pause of a stream that has begun after which its caller is expected to disconnect. If
its caller has stayed for a silent head, the time starts again when that try ends."""
REPLICA_POLL_S = 0.1
LIVENESS_INTERVAL_S = 1.0
"""Interval between two liveness checks of the heads of a stream that waits at a silent
one."""
FULL, MISDIRECTED = "rejected_503", "rejected_421"
STALLED, DEADLINE = "stalled", "deadline"
BROKEN, TRUNCATED = "broken", "truncated"
MAX_MISDIRECTED = 2
"""Misdirected tries that are not counted as attempts: the heads may have left their
replica before their registrations show it."""
MAX_REFUSALS = 3
"""Refusals of a stream that has begun which are not counted as attempts, since it did
not run there; the limit spares the retry budget of other requests."""
MAX_LOGGED_PARTS = 8
"""Prompt parts in a log line."""
HTTP_OK = 200


class StreamAbortedError(AuburnError):
    """A stream was aborted after it had begun, and its connection was closed.

    :param reason: code of the failure that it could not recover from
    :param response: the response, which never looks complete
    """

    code = "stream_aborted"

    def __init__(self, reason: str, response: web.StreamResponse) -> None:
        super().__init__(reason)
        self.reason = reason
        self.response = response


class StreamForwarder:
    """Forwards requests of streamed routes.

    :param sender: sends each try
    :param selector: selects replicas
    :param health: records the data and failures of each try
    :param liveness_checker: checks whether the heads that failed a stream still live
    :param exits: heads whose processes have ended
    :param quarantine: prompt parts whose requests end heads
    :param engine: returns the batching parameters of a service's engines, None while
        unknown
    :param decisions: log, with a line for each try
    :param telemetry: histograms and counters
    :param answer_bytes: maximum body size of a failure that is passed on
    :param outcomes: learns from each try which heads fail
    """

    def __init__(
        self,
        sender: Sender,
        selector: UpstreamSelector,
        health: Health,
        liveness_checker: LivenessChecker,
        exits: ProcessExits,
        quarantine: PartQuarantine,
        engine: Callable[[str], EngineSpec | None],
        decisions: DecisionLog,
        telemetry: Telemetry,
        *,
        answer_bytes: int,
        outcomes: Outcomes | None = None,
    ) -> None:
        self.outcomes = outcomes or UnusedOutcomes()
        self.sender = sender
        self.answer_bytes = answer_bytes
        self.selector = selector
        self.health = health
        self.liveness_checker = liveness_checker
        self.exits = exits
        self.quarantine = quarantine
        self.engine = engine
        self.decisions = decisions
        self.telemetry = telemetry

    async def forward(self, call: Call, retry_limit: RetryLimit) -> web.StreamResponse:
        """Forward a stream and return its response, complete or aborted.

        :raises RefusalError: if nothing was sent to the caller
        """
        self.quarantine.admit(call.id, call.info.prompt_parts)
        return await _Stream(self, call, retry_limit).run()


class _Stream:
    """State of one streamed request over all of its tries."""

    def __init__(
        self, forwarder: StreamForwarder, call: Call, retry_limit: RetryLimit
    ) -> None:
        self._forwarder = forwarder
        self._call = call
        self._retry_limit = retry_limit
        self._sent_at = 0.0
        """The loop's time at which the current try began."""
        self._size = RequestSize(
            call.info.prompt_tokens,
            call.info.answer_tokens,
            call.route.objective_s,
            call.route.pause_objective_s,
        )
        self._progress = Progress()
        """What the current try shows about its replica."""
        self._load_when_selected = 0
        """Requests at the current head when it was selected."""
        self._response: web.StreamResponse | None = None
        self._last_id = call.info.resume_after
        """Id of the last event that was written to the caller and has one."""
        self._resumable = True
        """Whether the stream can go on after that event: nothing was written since."""
        self._event_received = False
        self._writing = False
        """Whether this stream is waiting for the caller to read."""
        self._written_at = 0.0
        """The loop's time at which the last event was written to the caller."""
        self._mark_begun: Callable[[], None] = _do_nothing
        self._ran = Ran.NO
        self._failed_heads: set[str] = set()
        self._attempts = AttemptCounter(
            call.route.attempts, forwarder.liveness_checker, on_absent=self._log_absent
        )
        self._attempt_counted = False
        """Whether the current try is counted as an attempt."""
        self._replacement: ServingReplica | None = None
        """The replica reserved for the next try, which is charged to the retry
        budget."""
        self._obstacle: Obstacle | None = None
        """What last kept the current try from being replaced or retried."""
        self._next_liveness_check_at = 0.0
        self._head_silent_at = -1.0
        """The loop's time at which the current head was found silent on all
        streams."""
        self._waited_until = 0.0
        """The loop's time at which a try that waited for a silent head ended."""
        self._unreachable = 0
        self._misdirected = 0
        self._refusals = 0
        self._tries = 0
        self._first_event_at = 0.0
        self._last_event_at = 0.0
        self._longest_pause_s = 0.0
        self._record_pause = forwarder.telemetry.recorder(
            Measure.BETWEEN_CHUNKS, call.account, call.service
        )

    async def run(self) -> web.StreamResponse:
        while True:
            try:
                replica = self._take_replica()
            except RefusalError as refusal:
                if self._may_wait_for_replica():
                    await asyncio.sleep(REPLICA_POLL_S)
                    continue
                self._obstacle = Obstacle.NO_REPLICA
                self._give_up(refusal.code, refusal.retry_after_s, refusal.inputs)
            self._record_try(replica)
            try:
                response = await self._try(replica)
                self._log_completed(replica)
                return response
            except AttemptError as error:
                self._log_failed_try(replica, error)
                self._obstacle = await self._obstacle_to_retry(replica, error)
                if self._obstacle is not None:
                    self._give_up(error.code, None, {})

    def _take_replica(self) -> ServingReplica:
        """Return the replica for the next try.

        :raises RefusalError: if no replica can take the request now
        """
        replacement, self._replacement = self._replacement, None
        if replacement is not None:
            return replacement
        selector, outcomes = self._forwarder.selector, self._forwarder.outcomes
        repeatable = self._call.route.repeatable
        trials = frozenset() if self._tries else outcomes.trials(repeatable=repeatable)
        replica = selector.select_replica(
            selector.service(self._call),
            self._call.info.model,
            tried=self._failed_heads,
            urgency=self._call.urgency,
            include_excluded=self._response is not None,
            repeatable=repeatable,
            trials=trials,
            size=self._size,
        )
        if replica.head.id in trials:
            outcomes.begin_trial(replica.head, self._call.id)
        return replica

    def _record_try(self, replica: ServingReplica) -> None:
        call, telemetry = self._call, self._forwarder.telemetry
        self._load_when_selected = self._forwarder.selector.load(replica.head)
        if not self._tries:
            waited_s = loop_time() - call.arrived_at
            telemetry.observe(Measure.QUEUE_WAIT, call.account, call.service, waited_s)
        elif self._response is not None:
            telemetry.count(Counter.RESUMED, call.account, call.service)
        self._tries += 1

    def _may_wait_for_replica(self) -> bool:
        """Return whether a stream that has begun may wait for another replica.

        Its caller is waiting for the next event anyway. Clears the set of failed heads,
        since they may answer again.
        """
        if self._response is None or self._patience_s() <= 0:
            return False
        self._failed_heads.clear()
        return self._call.remaining_s > REPLICA_POLL_S

    async def _obstacle_to_retry(
        self, replica: ServingReplica, error: AttemptError
    ) -> Obstacle | None:
        """Count a failed try and return what rules out another one, if anything."""
        self._failed_heads.add(replica.head.id)
        await self._record_exit(replica.head, error)
        self._record_failure(replica.head, error)
        if error.ran is Ran.UNKNOWN:
            self._ran = Ran.UNKNOWN
        if error.code == DEADLINE or self._call.remaining_s <= 0:
            return self._obstacle or Obstacle.DEADLINE
        if self._obstacle is not None:
            self._waited_until = loop_time()
        if self._forwarder.quarantine.is_blocked(self._call.info.prompt_parts):
            return Obstacle.BLOCKED_PART
        if not self._attempts.may_end_another:
            return Obstacle.EXITS
        if not self._resumable:
            return Obstacle.NO_EVENT_ID
        if self._replacement is not None:
            return None
        if not error.sent:
            self._unreachable += 1
            if self._unreachable < MAX_UNREACHABLE:
                return None
            if not self._may_wait_for_replica():
                return Obstacle.UNREACHABLE
            await asyncio.sleep(REPLICA_POLL_S)
            return None
        if error.code == MISDIRECTED and self._misdirected < MAX_MISDIRECTED:
            self._misdirected += 1
            return self._spend_retry(error.code)
        begun = self._response is not None
        if begun and error.ran is Ran.NO and self._refusals < MAX_REFUSALS:
            self._refusals += 1
            return self._spend_retry(error.code)
        self._count_attempt(replica.head)
        if self._ran is Ran.UNKNOWN and not self._call.route.repeatable:
            return Obstacle.NOT_REPEATABLE
        if not await self._attempts.any_remaining(within_s=self._patience_s()):
            return Obstacle.ATTEMPTS
        return self._spend_retry(error.code)

    async def _record_exit(self, head: Host, error: AttemptError) -> None:
        """Record what a failed try shows about the head's process.

        If the process has ended before it sent an event, the request may be the cause.
        """
        exits, call = self._forwarder.exits, self._call
        if error.connection_refused:
            exits.record(head, reason="connection refused")
        if error.code not in (BROKEN, TRUNCATED):
            return
        begun, event_received = bool(self._first_event_at), self._event_received

        def blame_parts() -> None:
            if not begun and not head.leaving:
                self._forwarder.quarantine.record_crash(
                    call.id,
                    call.info.prompt_parts,
                    process_name(head.incarnation),
                    arrived_at=call.arrived_at,
                )

        ended = await exits.check(head, blame_parts)
        if ended and not event_received:
            self._attempts.record_early_exit(head)

    def _record_failure(self, head: Host, error: AttemptError) -> None:
        """Record a failed try, unless its process has ended: that may be its fault."""
        if self._forwarder.exits.has_ended(head.incarnation):
            return
        outcome = failed_outcome(error, begun=self._event_received)
        if outcome is not None:
            self._record_outcome(head, outcome)

    def _record_outcome(self, head: Host, outcome: Outcome) -> None:
        self._forwarder.outcomes.record(head, outcome, sent_at=self._sent_at)

    def _spend_retry(self, code: str) -> Obstacle | None:
        return None if self._retry_limit.spend(code) else Obstacle.RETRY_BUDGET

    def _count_attempt(self, head: Host) -> None:
        """Count the current try as an attempt, once."""
        if not self._attempt_counted:
            self._attempt_counted = True
            self._attempts.count(head)

    async def _replace_silent(
        self, replica: ServingReplica, is_silent: Callable[[], bool]
    ) -> bool:
        """Reserve a replica in place of a silent one, and return whether there is one.

        The retry budget is spent only for a replica that is going to get the request.

        :param is_silent: returns whether the head is still silent
        """
        head = replica.head
        obstacle = await self._obstacle_to_replacement(head)
        if not is_silent():
            return False
        if obstacle is None:
            replacement = self._select_replacement(head)
            if replacement is None:
                obstacle = Obstacle.NO_REPLICA
            else:
                obstacle = self._spend_retry(STALLED)
            if obstacle is None:
                self._replacement = replacement
                return True
        if self._obstacle is None:
            self._log_waiting(replica, obstacle)
        self._obstacle = obstacle
        begun = self._response is not None
        if obstacle is Obstacle.NO_REPLICA and begun and self._may_check_liveness():
            await self._attempts.discount_if_absent(head)
        return False

    async def _obstacle_to_replacement(self, head: Host) -> Obstacle | None:
        """Return what rules out another try while a head is silent, if anything."""
        if not self._call.route.repeatable:
            return Obstacle.NOT_REPEATABLE
        if not self._resumable:
            return Obstacle.NO_EVENT_ID
        if self._retry_limit.remaining < 1:
            return Obstacle.RETRY_BUDGET
        self._count_attempt(head)
        if not self._attempts.used_up:
            return None
        if not self._may_check_liveness():
            return Obstacle.ATTEMPTS
        if await self._attempts.any_remaining(within_s=self._call.remaining_s):
            return None
        return Obstacle.ATTEMPTS

    def _select_replacement(self, head: Host) -> ServingReplica | None:
        """Return a replica that can take over from a silent head now, if any.

        A stream that has begun may return to heads that failed before, and to the
        silent one if its process has ended.
        """
        options: list[tuple[set[str], bool]] = [({*self._failed_heads, head.id}, False)]
        if self._response is not None:
            options.append(({head.id}, False))
            if not self._attempts.counts(head):
                options.append((set(), True))
        selector = self._forwarder.selector
        for tried, include_excluded in options:
            try:
                return selector.select_replica(
                    selector.service(self._call),
                    self._call.info.model,
                    tried=tried,
                    urgency=self._call.urgency,
                    include_excluded=include_excluded,
                    size=self._size,
                )
            except RefusalError:
                continue
        return None

    def _may_check_liveness(self) -> bool:
        """Return whether a check is due, and schedule the next one if it is."""
        now = loop_time()
        if now < self._next_liveness_check_at:
            return False
        self._next_liveness_check_at = now + LIVENESS_INTERVAL_S
        return True

    def _patience_s(self) -> float:
        """Return the seconds until this stream's caller is expected to disconnect."""
        heard_at = max(self._last_event_at or self._call.arrived_at, self._waited_until)
        left_s = heard_at + CALLER_PATIENCE_S - loop_time()
        return min(left_s, self._call.remaining_s)

    def _give_up(
        self,
        code: str,
        retry_after_s: float | None,
        inputs: Mapping[str, object],
    ) -> NoReturn:
        if self._response is not None:
            now = loop_time()
            self._forwarder.decisions.request(
                "stream_aborted",
                self._call.id,
                code=code,
                phase="between events",
                obstacle=self._obstacle,
                last_event=self._last_id,
                silent_s=round(now - self._last_event_at, 3),
                remaining_s=round(self._call.remaining_s, 3),
            )
            abort_response(self._call.http)
            raise StreamAbortedError(code, self._response)
        if self._ran is Ran.NO:
            message = "No replica took the request."
            refusal = RefusalError(
                code, message, retry_after_s=retry_after_s or UNSENT_RETRY_S
            )
            refusal.inputs = {**inputs, "obstacle": self._obstacle}
            raise refusal
        late = code == DEADLINE or self._call.remaining_s <= 0
        message = "A replica may have run the request and gave no whole answer."
        refusal = RefusalError(
            code, message, status=504 if late else 502, ran=Ran.UNKNOWN
        )
        refusal.inputs = {
            "phase": "before the first event",
            "obstacle": self._obstacle,
        }
        raise refusal

    async def _try(self, replica: ServingReplica) -> web.StreamResponse:
        head, health = replica.head, self._forwarder.health
        now = loop_time()
        remaining_s = self._call.deadline - now
        self._obstacle = None
        if remaining_s <= 0:
            raise AttemptError(DEADLINE, ran=Ran.NO, sent=False)
        first_event_timeout_s = self._first_event_timeout_s(replica)
        dispatch = Dispatch(
            head, remaining_s, self._call.account, self._call.urgency, self._last_id
        )
        self._event_received = self._writing = self._attempt_counted = False
        self._sent_at = now
        self._head_silent_at = -1.0

        def silent_at() -> float:
            return self._silence_deadline(head.id, now, first_event_timeout_s)

        def record_stall() -> None:
            silence_s = (
                self._pause_timeout_s()
                if self._event_received
                else first_event_timeout_s
            )
            health.record_stall(head.id, silence_s=silence_s, reason="no event")

        try:
            async with asyncio.timeout_at(self._call.deadline) as limit:
                silence = SilenceTimeout(
                    limit,
                    silent_at,
                    on_silent=record_stall,
                    replace=lambda: self._replace_silent(
                        replica, lambda: silence.silent
                    ),
                )

                def begin_silence() -> None:
                    self._head_silent_at = loop_time()
                    silence.begin_silence()

                with (
                    silence,
                    self._forwarder.selector.track(replica, self._size) as progress,
                    health.track_request(head.id, begin_silence) as begin,
                ):
                    self._mark_begun, self._progress = begin, progress
                    return await self._exchange(dispatch, replica)
        except TimeoutError:
            code = STALLED if self._replacement is not None else DEADLINE
            raise AttemptError(code, ran=Ran.UNKNOWN) from None
        except AttemptError as error:
            if not error.sent or error.code in (FULL, MISDIRECTED):
                health.record_failure(head.id, reason=error.code)
            raise

    def _silence_deadline(
        self, head: str, began: float, first_event_timeout_s: float
    ) -> float:
        """Return the loop's time after which the head's silence counts as a stall.

        That is the case at once if the head was found silent on all streams. Before the
        first event a head may be busy with other streams, so data that it sends on any
        stream counts as activity. Time that the caller takes to read never counts as
        silence.
        """
        if self._writing:
            return loop_time() + self._pause_timeout_s()
        if self._forwarder.health.heard_at(head) < self._head_silent_at:
            return self._head_silent_at
        if self._event_received:
            return self._written_at + self._pause_timeout_s()
        heard_at = max(self._forwarder.health.heard_at(head), began)
        return min(heard_at + first_event_timeout_s, began + MAX_FIRST_EVENT_S)

    async def _exchange(
        self, dispatch: Dispatch, replica: ServingReplica
    ) -> web.StreamResponse:
        forwarder = self._forwarder
        answer, info = await forwarder.sender.send(self._call, dispatch)
        async with answer:
            check_response(self._call, info)
            if info.status != HTTP_OK:
                response = await self._forward_failure(answer)
                if answered_outcome(info.status) is Outcome.FAILED:
                    self._record_outcome(replica.head, Outcome.FAILED)
                return response
            await self._forward_events(answer, replica)
        if self._response is None:
            await self._start_response(answer)
        assert self._response is not None
        self._writing = True
        await self._response.write_eof()
        return self._response

    async def _forward_events(
        self, answer: TrackedResponse, replica: ServingReplica
    ) -> None:
        """Forward the events of one try until it ends.

        :raises AttemptError: if the try ends before the stream is complete
        """
        reader = EventReader()
        while chunk := await _read(answer):
            try:
                for number, events in enumerate(reader.feed(chunk)):
                    if number:
                        await asyncio.sleep(0)
                    await self._forward_batch(answer, replica.head, events)
            except UnreadableError as error:
                raise AttemptError("unreadable", ran=Ran.UNKNOWN) from error
        ended_early = not answer.framed and not self._event_received
        if reader.inside_event or ended_early or not answer.complete:
            raise AttemptError(TRUNCATED, ran=Ran.UNKNOWN)
        if not answer.framed and await self._has_ended(replica.head):
            raise AttemptError(TRUNCATED, ran=Ran.UNKNOWN)

    async def _forward_batch(
        self, answer: ClientResponse, head: Host, events: Sequence[Event]
    ) -> None:
        """Forward events up to the first one that is out of order.

        :raises AttemptError: if there is such an event
        """
        in_order = events_in_order(events, self._last_id)
        if in_order:
            self._record_events(head, len(in_order))
            await self._write(answer, in_order)
        if len(in_order) < len(events):
            raise AttemptError("out_of_order", ran=Ran.UNKNOWN)

    def _record_events(self, head: Host, count: int) -> None:
        """Record what events show about the head that sent them."""
        self._forwarder.health.record_data(head.id)
        if not self._event_received:
            self._forwarder.quarantine.record_answer(self._call.info.prompt_parts)
            self._record_outcome(head, Outcome.ANSWERED)
        self._event_received = True
        self._mark_begun()
        self._record_event_time(count)

    async def _has_ended(self, head: Host) -> bool:
        """Return whether a head has ended without notice, as far as a check can tell.

        A process that is killed closes its connections as one does that has sent a
        whole answer without a length. One that leaves may end after its last answer.
        """
        if self._forwarder.selector.is_leaving(head):
            return False
        return await self._forwarder.exits.check(head, _do_nothing)

    def _record_event_time(self, count: int) -> None:
        now = loop_time()
        self._progress.record_events(count, at=now)
        if not self._first_event_at:
            self._first_event_at = now
        else:
            pause_s = now - self._last_event_at
            self._record_pause(pause_s)
            self._longest_pause_s = max(self._longest_pause_s, pause_s)
        self._last_event_at = now

    async def _write(self, answer: ClientResponse, events: Sequence[Event]) -> None:
        """Write events to the caller, who has them from then on."""
        self._writing = True
        if self._response is None:
            await self._start_response(answer)
        assert self._response is not None
        data = b"".join(event.data for event in events)
        # Without a wait in between: the write passes the data on before it waits for
        # the caller, so that these fields hold even if that wait is cancelled.
        self._last_id = last_id(events, self._last_id)
        self._resumable = bool(events[-1].id)
        await self._response.write(data)
        self._writing = False
        self._written_at = loop_time()

    async def _start_response(self, answer: ClientResponse) -> None:
        call = self._call
        self._response = forward_stream(answer)
        took_s = loop_time() - call.arrived_at
        self._forwarder.telemetry.observe(
            Measure.FIRST_CHUNK, call.account, call.service, took_s
        )
        call.progress.begin_answer()
        await self._response.prepare(call.http)

    async def _forward_failure(self, answer: ClientResponse) -> web.StreamResponse:
        """Return an upstream's error response, unless the request may be retried."""
        if self._call.route.repeatable and answer.status >= 500:
            raise AttemptError(f"answered_{answer.status}", ran=Ran.UNKNOWN)
        if self._response is not None:
            raise AttemptError(f"answered_{answer.status}", ran=Ran.UNKNOWN)
        try:
            body = await read_body(
                answer,
                max_bytes=self._forwarder.answer_bytes,
                make_room=self._call.held_answer.grow_when_free,
            )
        except (ClientError, OSError) as error:
            raise AttemptError(BROKEN, ran=Ran.UNKNOWN) from error
        return forward_response(answer, body)

    def _first_event_timeout_s(self, replica: ServingReplica) -> float:
        """Return how long a head may be silent before the first event."""
        engine = self._forwarder.engine(replica.service)
        rate = engine.prompt_tokens_per_s if engine else 0.0
        tokens = self._call.info.prompt_tokens
        pace = replica.model.pace * replica.slowdown
        prefill_s = tokens / rate * pace if rate else 0.0
        objective_s = self._call.route.objective_s
        slots = replica.head.slots / replica.slowdown
        full = self._forwarder.selector.load(replica.head) >= slots
        queued_s = QUEUED_EXTRA_S if full else 0.0
        return (
            max(FIRST_EVENT_FRACTION * objective_s, MIN_SILENCE_S)
            + prefill_s
            + queued_s
        )

    def _pause_timeout_s(self) -> float:
        return max(PAUSE_FRACTION * self._call.route.pause_objective_s, MIN_SILENCE_S)

    def _log_completed(self, replica: ServingReplica) -> None:
        self._forwarder.decisions.request(
            "streamed",
            self._call.id,
            upstream=replica.head.id,
            replica=replica.name,
            tries=self._tries,
            load=self._load_when_selected,
            prompt_tokens=self._call.info.prompt_tokens,
            first_s=round(self._first_event_at - self._call.arrived_at, 3),
            objective_s=self._call.route.objective_s,
            longest_pause_s=round(self._longest_pause_s, 3),
            pause_objective_s=self._call.route.pause_objective_s,
        )

    def _log_absent(self, host: Host) -> None:
        self._forwarder.decisions.request(
            "attempt_not_counted", self._call.id, upstream=host.id
        )

    def _log_waiting(self, replica: ServingReplica, obstacle: Obstacle) -> None:
        self._forwarder.decisions.request(
            "waiting_at_silent_upstream",
            self._call.id,
            upstream=replica.head.id,
            replica=replica.name,
            obstacle=obstacle,
            last_event=self._last_id,
            remaining_s=round(self._call.remaining_s, 3),
        )

    def _log_failed_try(self, replica: ServingReplica, error: AttemptError) -> None:
        self._call.progress.await_upstream()
        self._forwarder.decisions.request(
            "try_failed",
            self._call.id,
            upstream=replica.head.id,
            replica=replica.name,
            code=error.code,
            reason=error.reason,
            ran=error.ran,
            begun=self._event_received,
            prompt_parts=self._call.info.prompt_parts[:MAX_LOGGED_PARTS],
            last_event=self._last_id,
            load=self._forwarder.selector.load(replica.head),
            report_age_s=round(loop_time() - replica.head.seen_at, 3),
            remaining_s=round(self._call.remaining_s, 3),
        )


async def _read(answer: ClientResponse) -> bytes:
    """Return the next bytes of a response, none at its end.

    :raises AttemptError: if it broke off
    """
    try:
        return await answer.content.readany()
    except (ClientError, OSError) as error:
        raise AttemptError(BROKEN, ran=Ran.UNKNOWN) from error


def _do_nothing() -> None:
    """Do nothing; placeholder until a try is tracked."""
