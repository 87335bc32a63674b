"""Streams: each event passed on once and in order, resumed when a replica is lost."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from typing import NoReturn

from aiohttp import ClientError, ClientResponse, web

from ..bounded_body import read_body
from ..clock import loop_time
from ..errors import AuburnError, Ran, RefusalError
from ..telemetry import Counter, Measure, Telemetry
from ..telemetry.decisions import Decisions
from ..upstreams.client import TrackedResponse
from .attempts import Attempts
from .call import MOST_UNSENT, UNSENT_RETRY_S, Call, TryError
from .choice import Choice
from .dialect import Dispatch, passed_on
from .events import EventReader, follows
from .health import Health
from .host import Host
from .lookout import Lookout
from .resends import Resends
from .route import EngineSpec
from .sender import Sender, check_head
from .serving_replica import ServingReplica
from .silence import SilenceWatch

FIRST_PART = 0.7
"""Part of the objective for the first event in which a head shows itself."""
PAUSE_PART = 1.0
"""Part of the objective for pauses after which a head counts as silent."""
LEAST_PAUSE_S = 0.25
"""Shortest silence that counts: batches of long prompts take up to 0.2 s."""
QUEUED_S = 0.3
"""Longer wait for the first event at a head whose slots are all taken."""
LONGEST_FIRST_S = 1.5
"""Longest wait for the first event at a head that sends events to others."""
LONGEST_PAUSE_S = 1.8
"""Pause of a stream that has begun after which its caller is about to leave."""
REPLICA_WAIT_S = 0.1
FULL, MISDIRECTED = "rejected_503", "rejected_421"
MOST_MISDIRECTED = 2
"""Heads that may have left their replica, as the register does not tell yet, before
one counts as an attempt."""
OK = 200


class StreamAbortedError(AuburnError):
    """A stream that had begun was given up; its connection is closed.

    :param reason: code of what kept it from going on
    :param response: the response, which never looks complete
    """

    code = "stream_aborted"

    def __init__(self, reason: str, response: web.StreamResponse) -> None:
        super().__init__(reason)
        self.reason = reason
        self.response = response


class Streams:
    """Sends requests of streamed routes.

    :param sender: sends each try
    :param choice: chooses replicas
    :param health: learns from each event
    :param lookout: looks for the heads that a stream failed at
    :param engine: returns how the engines batch, None while unknown
    :param decisions: takes a line for each try
    :param telemetry: histograms
    :param answer_bytes: longest body of a failure that is passed on
    """

    def __init__(
        self,
        sender: Sender,
        choice: Choice,
        health: Health,
        lookout: Lookout,
        engine: Callable[[], EngineSpec | None],
        decisions: Decisions,
        telemetry: Telemetry,
        *,
        answer_bytes: int,
    ) -> None:
        self.sender = sender
        self.answer_bytes = answer_bytes
        self.choice = choice
        self.health = health
        self.lookout = lookout
        self.engine = engine
        self.decisions = decisions
        self.telemetry = telemetry

    async def answer(self, call: Call, resends: Resends) -> web.StreamResponse:
        """Pass a stream on and return its response, complete or aborted.

        :raises RefusalError: if no byte of it was sent
        """
        return await _Stream(self, call, resends).run()


class _Stream:
    """One request and what its caller has of the answer."""

    def __init__(self, parts: Streams, call: Call, resends: Resends) -> None:
        self._parts = parts
        self._call = call
        self._resends = resends
        self._load = 0
        """Requests at the head when it was chosen last."""
        self._response: web.StreamResponse | None = None
        self._last_id = call.ask.resume_after
        self._heard = False
        self._writing = False
        """Whether it is the caller that this stream waits for."""
        self._quiet_from = 0.0
        """The loop's time since which the caller has all events of this try."""
        self._begin: Callable[[], None] = _nothing
        self._ran = Ran.NO
        self._exclude: set[str] = set()
        self._attempts = Attempts(
            call.route.attempts, parts.lookout, on_absent=self._log_absent
        )
        self._unsent = 0
        self._misdirected = 0
        self._tries = 0
        self._first_at = 0.0
        self._event_at = 0.0
        self._longest_pause_s = 0.0
        self._record_pause = parts.telemetry.recorder(
            Measure.BETWEEN_CHUNKS, call.account, call.service
        )

    async def run(self) -> web.StreamResponse:
        while True:
            try:
                replica = self._parts.choice.replica(
                    self._call.ask.model,
                    exclude=self._exclude,
                    any_head=self._response is not None,
                )
            except RefusalError as refusal:
                if self._waits_for_replica():
                    await asyncio.sleep(REPLICA_WAIT_S)
                    continue
                self._give_up(refusal.code, refusal.retry_after_s, refusal.inputs)
            self._note_try(replica)
            try:
                response = await self._try(replica)
                self._log_end(replica)
                return response
            except TryError as error:
                self._log(replica, error)
                if not await self._may_go_on(replica, error):
                    self._give_up(error.code, None, {})

    def _note_try(self, replica: ServingReplica) -> None:
        call, telemetry = self._call, self._parts.telemetry
        self._load = self._parts.choice.load(replica.head)
        if not self._tries:
            waited_s = loop_time() - call.arrived
            telemetry.observe(Measure.QUEUE_WAIT, call.account, call.service, waited_s)
        elif self._response is not None:
            telemetry.count(Counter.RESUMED, call.account, call.service)
        self._tries += 1

    def _waits_for_replica(self) -> bool:
        """Return whether a stream that has begun may still go on at a replica.

        Its caller waits for the next event; heads that were left may answer again.
        """
        if self._response is None or self._patience_s() <= 0:
            return False
        self._exclude.clear()
        return self._call.remaining_s > REPLICA_WAIT_S

    async def _may_go_on(self, replica: ServingReplica, error: TryError) -> bool:
        """Count a failed try; return whether another one is allowed."""
        self._exclude.add(replica.head.id)
        if error.ran is Ran.UNKNOWN:
            self._ran = Ran.UNKNOWN
        if self._call.remaining_s <= 0:
            return False
        if not error.sent:
            self._unsent += 1
            return self._unsent < MOST_UNSENT or self._waits_for_replica()
        if error.code == MISDIRECTED and self._misdirected < MOST_MISDIRECTED:
            self._misdirected += 1
            return self._resends.spend(error.code)
        self._attempts.failed(replica.head)
        if self._ran is Ran.UNKNOWN and not self._call.route.repeatable:
            return False
        if not await self._attempts.any_left(within_s=self._patience_s()):
            return False
        return self._resends.spend(error.code)

    def _patience_s(self) -> float:
        """Return the seconds until this stream's caller is about to leave."""
        heard_at = self._event_at or self._call.arrived
        left_s = heard_at + LONGEST_PAUSE_S - loop_time()
        return min(left_s, self._call.remaining_s)

    def _give_up(
        self,
        code: str,
        retry_after_s: float | None,
        inputs: Mapping[str, object],
    ) -> NoReturn:
        if self._response is not None:
            now = loop_time()
            self._parts.decisions.request(
                "stream_aborted",
                self._call.id,
                code=code,
                last_event=self._last_id,
                silent_s=round(now - self._event_at, 3),
                remaining_s=round(self._call.remaining_s, 3),
            )
            if self._call.http.transport is not None:
                self._call.http.transport.close()
            raise StreamAbortedError(code, self._response)
        if self._ran is Ran.NO:
            message = "No replica took the request."
            refusal = RefusalError(
                code, message, retry_after_s=retry_after_s or UNSENT_RETRY_S
            )
            refusal.inputs = inputs
            raise refusal
        status = 504 if self._call.remaining_s <= 0 else 502
        message = "A replica may have run the request and gave no whole answer."
        raise RefusalError(code, message, status=status, ran=Ran.UNKNOWN)

    async def _try(self, replica: ServingReplica) -> web.StreamResponse:
        head, health = replica.head, self._parts.health
        now = loop_time()
        remaining_s = self._call.deadline - now
        if remaining_s <= 0:
            raise TryError("deadline", ran=Ran.NO, sent=False)
        bound_s = self._first_bound_s(replica)
        dispatch = Dispatch(
            head, remaining_s, self._call.account, self._call.urgency, self._last_id
        )
        self._heard = self._writing = False
        try:
            async with asyncio.timeout_at(self._call.deadline) as limit:

                def silent_at() -> float:
                    return self._silent_at(head.id, now, bound_s)

                def lost() -> None:
                    if not limit.expired():
                        limit.reschedule(loop_time())

                with (
                    SilenceWatch(limit, silent_at),
                    health.request(head.id, lost) as begin,
                ):
                    self._begin = begin
                    return await self._exchange(dispatch, replica)
        except TimeoutError:
            if self._call.remaining_s <= 0:
                raise TryError("deadline", ran=Ran.UNKNOWN) from None
            silence_s = self._pause_bound_s() if self._heard else bound_s
            health.stalled(head.id, silence_s=silence_s, reason="no event")
            raise TryError("stalled", ran=Ran.UNKNOWN) from None
        except TryError as error:
            if not error.sent or error.code in (FULL, MISDIRECTED):
                health.failed(head.id, reason=error.code)
            raise

    def _silent_at(self, head: str, began: float, first_bound_s: float) -> float:
        """Return the loop's time from which the head's silence is too long.

        Before the first event a head may be busy with others' streams, so what it
        sends to anybody counts; time that the caller takes to read never does.
        """
        if self._writing:
            return loop_time() + self._pause_bound_s()
        if self._heard:
            return self._quiet_from + self._pause_bound_s()
        heard_at = max(self._parts.health.heard_at(head), began)
        return min(heard_at + first_bound_s, began + LONGEST_FIRST_S)

    async def _exchange(
        self, dispatch: Dispatch, replica: ServingReplica
    ) -> web.StreamResponse:
        parts = self._parts
        answer, reply = await parts.sender.send(self._call, dispatch)
        async with answer:
            check_head(self._call, reply)
            if reply.status != OK:
                return await self._failure(answer)
            await self._pass_on(answer, replica)
        if self._response is None:
            await self._start(answer)
        assert self._response is not None
        self._writing = True
        await self._response.write_eof()
        return self._response

    async def _pass_on(self, answer: TrackedResponse, replica: ServingReplica) -> None:
        """Pass the events of one try on until it ends.

        :raises TryError: if it ends early
        """
        reader, health = EventReader(), self._parts.health
        head = replica.head.id
        while True:
            try:
                block = await answer.content.readany()
            except (ClientError, OSError) as error:
                raise TryError("broken", ran=Ran.UNKNOWN) from error
            if not block:
                break
            health.heard(head)
            try:
                events = reader.feed(block)
            except ValueError as error:
                raise TryError("unreadable", ran=Ran.UNKNOWN) from error
            if events:
                self._heard = True
                self._begin()
                data = b""
                for event in events:
                    if not follows(event.id, self._last_id):
                        raise TryError("out_of_order", ran=Ran.UNKNOWN)
                    self._last_id = event.id or self._last_id
                    data += event.data
                self._time_event()
                await self._write(answer, data)
        if reader.rest or not answer.whole:
            raise TryError("truncated", ran=Ran.UNKNOWN)

    def _time_event(self) -> None:
        now = loop_time()
        if not self._first_at:
            self._first_at = now
        else:
            pause_s = now - self._event_at
            self._record_pause(pause_s)
            self._longest_pause_s = max(self._longest_pause_s, pause_s)
        self._event_at = now

    async def _write(self, answer: ClientResponse, data: bytes) -> None:
        self._writing = True
        if self._response is None:
            await self._start(answer)
        assert self._response is not None
        await self._response.write(data)
        self._writing = False
        self._quiet_from = loop_time()

    async def _start(self, answer: ClientResponse) -> None:
        call = self._call
        self._response = web.StreamResponse(
            status=answer.status, headers=passed_on(answer.headers)
        )
        took_s = loop_time() - call.arrived
        self._parts.telemetry.observe(
            Measure.FIRST_CHUNK, call.account, call.service, took_s
        )
        await self._response.prepare(call.http)

    async def _failure(self, answer: ClientResponse) -> web.StreamResponse:
        """Return an upstream's own failure, unless the request may run again."""
        if self._call.route.repeatable and answer.status >= 500:
            raise TryError(f"answered_{answer.status}", ran=Ran.UNKNOWN)
        if self._response is not None:
            raise TryError(f"answered_{answer.status}", ran=Ran.UNKNOWN)
        try:
            body = await read_body(answer, most_bytes=self._parts.answer_bytes)
        except (ClientError, OSError) as error:
            raise TryError("broken", ran=Ran.UNKNOWN) from error
        return web.Response(
            status=answer.status, headers=passed_on(answer.headers), body=body
        )

    def _first_bound_s(self, replica: ServingReplica) -> float:
        """Return the silence before the first event that shows a head to be lost."""
        engine = self._parts.engine()
        rate = engine.prompt_tokens_per_s if engine else 0.0
        tokens = self._call.ask.prompt_tokens
        pace = replica.model.pace * replica.slowdown
        reading_s = tokens / rate * pace if rate else 0.0
        objective_s = self._call.route.objective_s
        slots = replica.head.slots / replica.slowdown
        full = self._parts.choice.load(replica.head) >= slots
        queued_s = QUEUED_S if full else 0.0
        return max(FIRST_PART * objective_s, LEAST_PAUSE_S) + reading_s + queued_s

    def _pause_bound_s(self) -> float:
        return max(PAUSE_PART * self._call.route.pause_objective_s, LEAST_PAUSE_S)

    def _log_end(self, replica: ServingReplica) -> None:
        self._parts.decisions.request(
            "streamed",
            self._call.id,
            upstream=replica.head.id,
            replica=replica.name,
            tries=self._tries,
            load=self._load,
            prompt_tokens=self._call.ask.prompt_tokens,
            first_s=round(self._first_at - self._call.arrived, 3),
            objective_s=self._call.route.objective_s,
            longest_pause_s=round(self._longest_pause_s, 3),
            pause_objective_s=self._call.route.pause_objective_s,
        )

    def _log_absent(self, host: Host) -> None:
        self._parts.decisions.request(
            "attempt_not_counted", self._call.id, upstream=host.id
        )

    def _log(self, replica: ServingReplica, error: TryError) -> None:
        self._parts.decisions.request(
            "try_failed",
            self._call.id,
            upstream=replica.head.id,
            replica=replica.name,
            code=error.code,
            ran=error.ran,
            last_event=self._last_id,
            load=self._parts.choice.load(replica.head),
            report_age_s=round(loop_time() - replica.head.seen_at, 3),
            remaining_s=round(self._call.remaining_s, 3),
        )


def _nothing() -> None:
    """Stand in until a try has been counted."""
