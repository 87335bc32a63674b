"""At-most-once execution of calls, with claims recorded in the journal."""

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
    MAX_STORED_ANSWER_BYTES,
    RELEASE,
    Claim,
    Claims,
    KeyRecord,
    KeyState,
    Ledger,
    Settlement,
    Settlements,
    StoredAnswer,
)

CLAIM_TIMEOUT_S = 3.0
"""Seconds after which a claim that was not read back from the log is withdrawn."""
APPEND_TIMEOUT_S = 10.0
"""Seconds after which one attempt to append a record is repeated."""
APPEND_RETRY_S = 1.0
"""Seconds between two attempts to append a record."""
RETRY_AFTER_S = 2.0
"""Seconds after which a caller may retry while the outcome is not final."""

DIGEST_CHARACTERS = 32
"""Hexadecimal characters of a key's or a call's digest."""

log = logger.bind(part="ledger")
Dispatch = Callable[[PlainCall], Awaitable[PlainAnswer]]


class AtMostOnceRunner:
    """Runs a call only after its idempotency key was claimed in the journal.

    Claims that arrive while an append is in progress are batched into the next one.

    :param ledger: the state of the keys
    :param journal: the journal that applies entries to the ledger
    :param claim_timeout_s: seconds after which a claim without an outcome is withdrawn
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
        self._pending_claims: list[tuple[Claim, asyncio.Future[None]]] = []
        self._settlements_by_kind: dict[str, list[Settlement]] = {DONE: [], RELEASE: []}
        self._running_kinds: set[str] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(
        self, plan: str, call: PlainCall, dispatch: Dispatch, *, service: str = ""
    ) -> PlainAnswer:
        """Return the answer of a call, dispatching it at most once for its key.

        :param plan: name of the caller's plan
        :param call: the call; it is dispatched without a claim if it has no key
        :param dispatch: sends the call to the service, once
        :param service: name of the service
        :raises RefusalError: 409 if the outcome is not known or the answer was too
            long to be stored, 422 if the key was used for another call, 503 if the
            key can't be claimed now
        """
        if not call.idempotency_key:
            return await _dispatch(call, dispatch)
        stored_answer = self.stored_answer(plan, call, service=service)
        if stored_answer is not None:
            return stored_answer
        claim = Claim(_key_digest(plan, service, call), _call_digest(call), uuid4().hex)
        await self._await_claim(claim)
        if self._ledger.holds(claim):
            return await self._run_claimed(claim, call, dispatch)
        stored_answer = self.stored_answer(plan, call, service=service)
        if stored_answer is None:
            raise _claim_refusal("ledger_contended")
        return stored_answer

    def stored_answer(
        self, plan: str, call: PlainCall, *, service: str = ""
    ) -> PlainAnswer | None:
        """Return the stored answer for a call's key, None if the key is free.

        :raises RefusalError: 409 if the outcome is not known or the answer was too
            long to be stored, 422 if the key was used for another call
        """
        key_record = self._ledger.record_by_key.get(_key_digest(plan, service, call))
        if key_record is None or not call.idempotency_key:
            return None
        return _answer_from(key_record, _call_digest(call))

    async def wait_settled(self) -> None:
        """Wait until the outcome of every claim is recorded."""
        while self._tasks:
            await asyncio.wait(self._tasks)

    async def _await_claim(self, claim: Claim) -> None:
        """Append a claim and wait until it is applied, whether it won or lost.

        :raises RefusalError: 503 if the claim is not applied in time
        """
        if not self._journal.up:
            raise _claim_refusal("ledger_unavailable")
        applied: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._pending_claims.append((claim, applied))
        self._ensure_appender(CLAIM, self._append_claims)
        try:
            async with asyncio.timeout(self._claim_timeout_s):
                await applied
        except TimeoutError:
            self._withdraw(claim, applied)
            raise _claim_refusal("ledger_unavailable") from None
        except asyncio.CancelledError:
            self._withdraw(claim, applied)
            raise

    def _withdraw(self, claim: Claim, applied: asyncio.Future[None]) -> None:
        """Withdraw a claim, or release it if it was applied; its call never runs."""
        self._pending_claims = [
            entry for entry in self._pending_claims if entry[0] != claim
        ]
        if applied.done() and not applied.cancelled():
            self._record_settlement(RELEASE, Settlement(claim.key, claim.token))

    async def _run_claimed(
        self, claim: Claim, call: PlainCall, dispatch: Dispatch
    ) -> PlainAnswer:
        try:
            answer = await _dispatch(call, dispatch)
        except RefusalError as refusal:
            if refusal.ran is Ran.NO:
                self._record_settlement(RELEASE, Settlement(claim.key, claim.token))
            raise
        self._record_settlement(
            DONE, Settlement(claim.key, claim.token, _to_stored(answer))
        )
        return answer

    async def _append_claims(self) -> None:
        while self._pending_claims:
            batch, self._pending_claims = self._pending_claims, []
            claims = Claims(tuple(claim for claim, _ in batch))
            body = msgspec.to_builtins(claims, builtin_types=(bytes,))
            try:
                await self._propose(CLAIM, body, self._claim_timeout_s, "")
            except OutcomeUnknownError as error:
                _refuse_claims(batch, _claim_refusal("ledger_unavailable"))
                self._create_task(
                    self._release_when_applied(body, error.record_id, claims)
                )
                continue
            except PlatformError:
                _refuse_claims(batch, _claim_refusal("ledger_unavailable"))
                continue
            self._resolve_claims(batch)

    def _resolve_claims(self, batch: list[tuple[Claim, asyncio.Future[None]]]) -> None:
        for claim, applied in batch:
            if not applied.done():
                applied.set_result(None)
            elif self._ledger.holds(claim):
                self._record_settlement(RELEASE, Settlement(claim.key, claim.token))

    async def _release_when_applied(
        self, body: Mapping[str, Any], record_id: str, claims: Claims
    ) -> None:
        """Release claims that are applied after their callers were refused."""
        await self._propose_until_known(CLAIM, body, record_id)
        for claim in claims.claims:
            if self._ledger.holds(claim):
                self._record_settlement(RELEASE, Settlement(claim.key, claim.token))

    def _record_settlement(self, kind: str, settlement: Settlement) -> None:
        self._settlements_by_kind[kind].append(settlement)
        self._ensure_appender(kind, lambda: self._append_settlements(kind))

    async def _append_settlements(self, kind: str) -> None:
        while batch := tuple(self._settlements_by_kind[kind]):
            self._settlements_by_kind[kind] = []
            body = msgspec.to_builtins(Settlements(batch), builtin_types=(bytes,))
            await self._propose_until_known(kind, body, "")

    async def _propose_until_known(
        self, kind: str, body: Mapping[str, Any], record_id: str
    ) -> None:
        """Propose a record repeatedly until its outcome is known."""
        while True:
            try:
                await self._propose(kind, body, APPEND_TIMEOUT_S, record_id)
            except OutcomeUnknownError as error:
                record_id = error.record_id
            except PlatformError:
                await asyncio.sleep(APPEND_RETRY_S)
            else:
                return

    async def _propose(
        self, kind: str, body: Mapping[str, Any], timeout_s: float, record_id: str
    ) -> Outcome:
        return await self._journal.propose(
            kind, body, expects={}, timeout_s=timeout_s, record_id=record_id
        )

    def _ensure_appender(
        self, kind: str, work: Callable[[], Coroutine[Any, Any, None]]
    ) -> None:
        """Start the appender task of a kind unless it is running."""
        if kind in self._running_kinds:
            return
        self._running_kinds.add(kind)
        self._create_task(self._run_appender(kind, work))

    async def _run_appender(
        self, kind: str, work: Callable[[], Coroutine[Any, Any, None]]
    ) -> None:
        try:
            await work()
        finally:
            self._running_kinds.discard(kind)

    def _create_task(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


async def _dispatch(call: PlainCall, dispatch: Dispatch) -> PlainAnswer:
    try:
        return await dispatch(call)
    except UpstreamError as error:
        log.warning("Call {} to a plain service failed: {}", call.request_id, error)
        if error.ran is Ran.NO:
            message = "The service could not be reached."
            raise RefusalError(
                "upstream_unreachable", message, retry_after_s=RETRY_AFTER_S
            ) from error
        message = "The service gave no whole answer; it may have run the call."
        raise RefusalError(
            "outcome_unknown", message, status=502, ran=Ran.UNKNOWN
        ) from error


def _answer_from(key_record: KeyRecord, digest: str) -> PlainAnswer:
    """Return the stored answer of a key.

    :raises RefusalError: if there is none to return
    """
    if key_record.claim.digest != digest:
        message = "The idempotency key was used for another call."
        raise RefusalError("key_reused", message, status=422)
    if key_record.state is KeyState.CLAIMED:
        message = "A call with this key is under way or its outcome is unknown."
        raise RefusalError(
            "outcome_unknown",
            message,
            status=409,
            ran=Ran.UNKNOWN,
            retry_after_s=RETRY_AFTER_S,
        )
    answer = key_record.answer
    if answer is None or not answer.whole:
        message = "The call has run; its answer was too long to be kept."
        raise RefusalError("already_done", message, status=409, ran=Ran.UNKNOWN)
    return PlainAnswer(answer.status, answer.content_type, answer.body)


def _claim_refusal(code: str) -> RefusalError:
    """Return the refusal of a call that was not dispatched.

    This attempt never runs. An earlier call with the same key may have run through
    another daemon without being visible here while the log is unavailable, so
    ``ran`` is not "no".
    """
    return RefusalError(
        code,
        "The key can't be claimed now. Try again with the same key.",
        ran=Ran.UNKNOWN,
        retry_after_s=RETRY_AFTER_S,
    )


def _refuse_claims(
    batch: list[tuple[Claim, asyncio.Future[None]]], error: RefusalError
) -> None:
    for _, applied in batch:
        if not applied.done():
            applied.set_exception(error)


def _key_digest(plan: str, service: str, call: PlainCall) -> str:
    parts = [plan, service, call.idempotency_key]
    return sha256(msgspec.msgpack.encode(parts)).hexdigest()[:DIGEST_CHARACTERS]


def _call_digest(call: PlainCall) -> str:
    parts = [call.method, call.path, call.content_type, call.body]
    return sha256(msgspec.msgpack.encode(parts)).hexdigest()[:DIGEST_CHARACTERS]


def _to_stored(answer: PlainAnswer) -> StoredAnswer:
    whole = len(answer.body) <= MAX_STORED_ANSWER_BYTES
    body = answer.body if whole else b""
    return StoredAnswer(answer.status, answer.content_type, body, whole)
