"""Runs calls that may not be repeated, each at most once."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Coroutine, Mapping
from hashlib import sha256
from typing import Any
from uuid import uuid4

import msgspec
from loguru import logger

from ..errors import (
    OutcomeUnknownError,
    PlatformError,
    Ran,
    RefusalError,
    UpstreamError,
)
from ..journal import Outcome, Proposer
from ..upstreams.service import PlainAnswer, PlainCall
from .ledger import (
    CLAIM,
    DONE,
    KEPT_ANSWER_BYTES,
    RELEASE,
    Booking,
    Claim,
    Claims,
    Ledger,
    Settlement,
    Settlements,
    State,
    StoredAnswer,
)

CLAIM_TIMEOUT_S = 3.0
"""Seconds after which a claim that is not read back is given up."""
SETTLE_TIMEOUT_S = 10.0
RETRY_S = 1.0
"""Seconds between two tries to record what became of claims."""
RETRY_AFTER_S = 2.0
"""Seconds after which a caller may ask again for a state that is not final."""

KEY_CHARACTERS = 32
"""Hexadecimal characters of a key's or a call's digest."""

log = logger.bind(part="ledger")
Dispatch = Callable[[PlainCall], Awaitable[PlainAnswer]]


class LedgerRunner:
    """Claims a key in the journal before its call is dispatched.

    Claims that arrive while another append is under way share the next one.

    :param ledger: the state of the keys
    :param journal: the journal that folds it
    :param claim_timeout_s: seconds after which an unanswered claim is given up
    """

    def __init__(
        self,
        ledger: Ledger,
        journal: Proposer,
        *,
        claim_timeout_s: float = CLAIM_TIMEOUT_S,
    ) -> None:
        self._ledger = ledger
        self._journal = journal
        self._claim_timeout_s = claim_timeout_s
        self._waiting: list[tuple[Claim, asyncio.Future[None]]] = []
        self._settlements_by_kind: dict[str, list[Settlement]] = {DONE: [], RELEASE: []}
        self._busy: set[str] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(
        self, plan: str, call: PlainCall, dispatch: Dispatch, *, service: str = ""
    ) -> PlainAnswer:
        """Return the answer of a call that is dispatched at most once for its key.

        :param plan: name of the caller's plan
        :param call: the call; without an idempotency key it is dispatched at once
        :param dispatch: sends the call to the service, once
        :param service: name of the service
        :raises RefusalError: 409 if the outcome is not known, 422 if the key was
            used for another call, 503 if nothing can be claimed now
        """
        if not call.idempotency_key:
            return await _dispatched(call, dispatch)
        known = self.known(plan, call, service=service)
        if known is not None:
            return known
        claim = Claim(_key(plan, service, call), _digest(call), uuid4().hex)
        await self._won(claim)
        if self._ledger.holds(claim):
            return await self._run_claimed(claim, call, dispatch)
        known = self.known(plan, call, service=service)
        if known is None:
            raise _uncertain("ledger_contended")
        return known

    def known(
        self, plan: str, call: PlainCall, *, service: str = ""
    ) -> PlainAnswer | None:
        """Return the stored answer of a call's key, None if the key is free.

        :raises RefusalError: 409 if the outcome is not known, 422 if the key was
            used for another call
        """
        booking = self._ledger.by_key.get(_key(plan, service, call))
        if booking is None or not call.idempotency_key:
            return None
        return _known(booking, _digest(call))

    async def settled(self) -> None:
        """Wait until what became of every claim is recorded."""
        while self._tasks:
            await asyncio.wait(self._tasks)

    async def _won(self, claim: Claim) -> None:
        """Wait until a claim is folded, whether it won or lost."""
        if not self._journal.up:
            raise _uncertain("ledger_unavailable")
        folded: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiting.append((claim, folded))
        self._start(CLAIM, self._append_claims)
        try:
            async with asyncio.timeout(self._claim_timeout_s):
                await folded
        except TimeoutError:
            self._give_up(claim, folded)
            raise _uncertain("ledger_unavailable") from None
        except asyncio.CancelledError:
            self._give_up(claim, folded)
            raise

    def _give_up(self, claim: Claim, folded: asyncio.Future[None]) -> None:
        """Withdraw a claim, or release it once it is folded; it never runs."""
        self._waiting = [entry for entry in self._waiting if entry[0] != claim]
        if folded.done() and not folded.cancelled():
            self._settle(RELEASE, Settlement(claim.key, claim.token))

    async def _run_claimed(
        self, claim: Claim, call: PlainCall, dispatch: Dispatch
    ) -> PlainAnswer:
        try:
            answer = await _dispatched(call, dispatch)
        except RefusalError as refusal:
            if refusal.ran is Ran.NO:
                self._settle(RELEASE, Settlement(claim.key, claim.token))
            raise
        self._settle(DONE, Settlement(claim.key, claim.token, _stored(answer)))
        return answer

    async def _append_claims(self) -> None:
        while self._waiting:
            batch, self._waiting = self._waiting, []
            claims = Claims(tuple(claim for claim, _ in batch))
            body = msgspec.to_builtins(claims, builtin_types=(bytes,))
            try:
                await self._propose(CLAIM, body, self._claim_timeout_s, "")
            except OutcomeUnknownError as error:
                _fail(batch, _uncertain("ledger_unavailable"))
                self._spawn(self._release_late(body, error.record_id, claims))
                continue
            except PlatformError:
                _fail(batch, _uncertain("ledger_unavailable"))
                continue
            self._tell(batch)

    def _tell(self, batch: list[tuple[Claim, asyncio.Future[None]]]) -> None:
        for claim, folded in batch:
            if not folded.done():
                folded.set_result(None)
            elif self._ledger.holds(claim):
                self._settle(RELEASE, Settlement(claim.key, claim.token))

    async def _release_late(
        self, body: Mapping[str, Any], record_id: str, claims: Claims
    ) -> None:
        """Release claims whose callers were answered before they were folded."""
        await self._insist(CLAIM, body, record_id)
        for claim in claims.claims:
            if self._ledger.holds(claim):
                self._settle(RELEASE, Settlement(claim.key, claim.token))

    def _settle(self, kind: str, settlement: Settlement) -> None:
        self._settlements_by_kind[kind].append(settlement)
        self._start(kind, lambda: self._append_settlements(kind))

    async def _append_settlements(self, kind: str) -> None:
        while batch := tuple(self._settlements_by_kind[kind]):
            self._settlements_by_kind[kind] = []
            body = msgspec.to_builtins(Settlements(batch), builtin_types=(bytes,))
            await self._insist(kind, body, "")

    async def _insist(self, kind: str, body: Mapping[str, Any], record_id: str) -> None:
        """Propose a record until its outcome is known."""
        while True:
            try:
                await self._propose(kind, body, SETTLE_TIMEOUT_S, record_id)
            except OutcomeUnknownError as error:
                record_id = error.record_id
            except PlatformError:
                await asyncio.sleep(RETRY_S)
            else:
                return

    async def _propose(
        self, kind: str, body: Mapping[str, Any], timeout_s: float, record_id: str
    ) -> Outcome:
        return await self._journal.propose(
            kind, body, expects={}, timeout_s=timeout_s, record_id=record_id
        )

    def _start(self, kind: str, work: Callable[[], Coroutine[Any, Any, None]]) -> None:
        """Start the only appender of a kind unless it is under way."""
        if kind in self._busy:
            return
        self._busy.add(kind)
        self._spawn(self._guarded(kind, work))

    async def _guarded(
        self, kind: str, work: Callable[[], Coroutine[Any, Any, None]]
    ) -> None:
        try:
            await work()
        finally:
            self._busy.discard(kind)

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


async def _dispatched(call: PlainCall, dispatch: Dispatch) -> PlainAnswer:
    try:
        return await dispatch(call)
    except UpstreamError as error:
        log.warning("Call {} failed: {}", call.request_id, error)
        if error.ran is Ran.NO:
            message = "The service could not be reached."
            raise RefusalError(
                "upstream_unreachable", message, retry_after_s=RETRY_AFTER_S
            ) from error
        message = "The service gave no whole answer; it may have run the call."
        raise RefusalError(
            "outcome_unknown", message, status=502, ran=Ran.UNKNOWN
        ) from error


def _known(booking: Booking, digest: str) -> PlainAnswer:
    """Return the stored answer of a key, or refuse."""
    if booking.claim.digest != digest:
        message = "The idempotency key was used for another call."
        raise RefusalError("key_reused", message, status=422)
    if booking.state is State.CLAIMED:
        message = "A call with this key is under way or its outcome is unknown."
        raise RefusalError(
            "outcome_unknown",
            message,
            status=409,
            ran=Ran.UNKNOWN,
            retry_after_s=RETRY_AFTER_S,
        )
    answer = booking.answer
    if answer is None or not answer.whole:
        message = "The call has run; its answer was too long to be kept."
        raise RefusalError("already_done", message, status=409, ran=Ran.UNKNOWN)
    return PlainAnswer(answer.status, answer.content_type, answer.body)


def _uncertain(code: str) -> RefusalError:
    """Return the refusal of a call that was not dispatched, though its key may be.

    This try never runs. An earlier one with the same key may have run through
    another daemon, unseen here while the log is away, so ``ran`` is not "no".
    """
    return RefusalError(
        code,
        "The key can't be claimed now. Try again with the same key.",
        ran=Ran.UNKNOWN,
        retry_after_s=RETRY_AFTER_S,
    )


def _fail(batch: list[tuple[Claim, asyncio.Future[None]]], error: RefusalError) -> None:
    for _, folded in batch:
        if not folded.done():
            folded.set_exception(error)


def _key(plan: str, service: str, call: PlainCall) -> str:
    parts = [plan, service, call.idempotency_key]
    return sha256(msgspec.msgpack.encode(parts)).hexdigest()[:KEY_CHARACTERS]


def _digest(call: PlainCall) -> str:
    parts = [call.method, call.path, call.content_type, call.body]
    return sha256(msgspec.msgpack.encode(parts)).hexdigest()[:KEY_CHARACTERS]


def _stored(answer: PlainAnswer) -> StoredAnswer:
    whole = len(answer.body) <= KEPT_ANSWER_BYTES
    body = answer.body if whole else b""
    return StoredAnswer(answer.status, answer.content_type, body, whole)
