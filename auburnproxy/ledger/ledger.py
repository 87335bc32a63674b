"""Replicated state of idempotency keys: which are claimed and which are done."""

from __future__ import annotations

from enum import StrEnum
from typing import Any, ClassVar, NamedTuple

import msgspec

from ..journal import Entry, Reducer

MAX_KEYS = 16_384
"""Number of newest keys that are kept; an evicted key counts as new again."""
MAX_STORED_ANSWER_BYTES = 1024
"""Longest body that is stored to answer a repeated call."""
CLAIM = "ledger.claim"
DONE = "ledger.done"
RELEASE = "ledger.release"


class KeyState(StrEnum):
    """State of a key according to the journal."""

    CLAIMED = "claimed"
    """The call may have been dispatched by the author of the claim."""
    DONE = "done"
    """The call has run, and its answer is known."""


class Claim(NamedTuple):
    """A claim of the right to dispatch one call, once."""

    key: str
    """Digest of the plan, the service and the idempotency key."""
    digest: str
    """Digest of the call; a different call with the same key is refused."""
    token: str
    """Unique for each claim; only its author may dispatch the call."""


class StoredAnswer(NamedTuple):
    """An answer as stored for repeated calls with the same key."""

    status: int
    content_type: str
    body: bytes
    whole: bool
    """Whether the body was short enough to be stored; otherwise it is empty."""


class Settlement(NamedTuple):
    """Outcome of a claim: its answer, or the release of its key."""

    key: str
    token: str
    answer: StoredAnswer | None = None


class KeyRecord(NamedTuple):
    """State of one key."""

    claim: Claim
    state: KeyState
    answer: StoredAnswer | None = None


class Claims(msgspec.Struct, frozen=True):
    """Body of a ``ledger.claim`` record; each claim succeeds or fails independently."""

    claims: tuple[Claim, ...]


class Settlements(msgspec.Struct, frozen=True):
    """Body of a ``ledger.done`` or ``ledger.release`` record."""

    settlements: tuple[Settlement, ...]


class Ledger(Reducer):
    """Replicated state machine of the idempotency keys.

    The first claim of a key wins; only a release by its author frees the key.

    :param max_keys: number of newest keys that are kept, equal in all processes
    """

    name: ClassVar[str] = "ledger"

    def __init__(self, *, max_keys: int = MAX_KEYS) -> None:
        self.record_by_key: dict[str, KeyRecord] = {}
        self._max_keys = max_keys

    def check(self, entry: Entry) -> str:
        """Return why a record is rejected, as a code; empty if it is accepted."""
        kind, body = entry.record.kind, entry.record.body
        if kind == CLAIM:
            msgspec.convert(body, Claims)
        elif kind in (DONE, RELEASE):
            msgspec.convert(body, Settlements)
        else:
            return "unknown_kind"
        return ""

    def apply(self, entry: Entry) -> None:
        """Apply an accepted entry to the state."""
        kind, body = entry.record.kind, entry.record.body
        if kind == CLAIM:
            for claim in msgspec.convert(body, Claims).claims:
                self._claim(claim)
            return
        for settlement in msgspec.convert(body, Settlements).settlements:
            self._settle(kind, settlement)

    def holds(self, claim: Claim) -> bool:
        """Return whether a claim holds its key: it has won and is not settled."""
        key_record = self.record_by_key.get(claim.key)
        if key_record is None or key_record.state is not KeyState.CLAIMED:
            return False
        return key_record.claim.token == claim.token

    def snapshot(self) -> Any:
        """Return the state as built-in values, oldest key first."""
        return list(self.record_by_key.values())

    def restore(self, snapshot: Any) -> None:
        """Replace the state with a snapshot."""
        key_records = msgspec.convert(snapshot, list[KeyRecord])
        self.record_by_key = {
            key_record.claim.key: key_record for key_record in key_records
        }

    def _claim(self, claim: Claim) -> None:
        if claim.key in self.record_by_key:
            return
        self.record_by_key[claim.key] = KeyRecord(claim, KeyState.CLAIMED)
        while len(self.record_by_key) > self._max_keys:
            del self.record_by_key[next(iter(self.record_by_key))]

    def _settle(self, kind: str, settlement: Settlement) -> None:
        key_record = self.record_by_key.get(settlement.key)
        if key_record is None or key_record.claim.token != settlement.token:
            return
        if key_record.state is not KeyState.CLAIMED:
            return
        if kind == RELEASE:
            del self.record_by_key[settlement.key]
        else:
            done = key_record._replace(state=KeyState.DONE, answer=settlement.answer)
            self.record_by_key[settlement.key] = done
