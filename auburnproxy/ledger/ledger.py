"""The keys of calls that may not be repeated, and what became of them."""

from __future__ import annotations

from enum import StrEnum
from typing import Any, ClassVar, NamedTuple

import msgspec

from ..journal import Entry, Reducer

KEPT_KEYS = 16_384
"""Keys that are remembered, the newest; an older key counts as new again."""
KEPT_ANSWER_BYTES = 1024
"""Longest answer that is stored for a second caller."""
CLAIM = "ledger.claim"
DONE = "ledger.done"
RELEASE = "ledger.release"


class State(StrEnum):
    """What the journal shows of a call."""

    CLAIMED = "claimed"
    """Its author may have dispatched it."""
    DONE = "done"
    """It ran, and its answer is known."""


class Claim(NamedTuple):
    """The right to dispatch one call, once."""

    key: str
    """Digest of the plan, the service and the idempotency key."""
    digest: str
    """Digest of the call; another one under the same key is refused."""
    token: str
    """Unique for each try; only its maker may dispatch."""


class StoredAnswer(NamedTuple):
    """An answer as it is kept for a second caller."""

    status: int
    content_type: str
    body: bytes
    whole: bool
    """Whether the body was short enough to be kept."""


class Settlement(NamedTuple):
    """What became of one claim."""

    key: str
    token: str
    answer: StoredAnswer | None = None


class Booking(NamedTuple):
    """The state of one key."""

    claim: Claim
    state: State
    answer: StoredAnswer | None = None


class Claims(msgspec.Struct, frozen=True):
    """Body of a ``ledger.claim`` record; each claim wins or loses by itself."""

    claims: tuple[Claim, ...]


class Settlements(msgspec.Struct, frozen=True):
    """Body of a ``ledger.done`` or ``ledger.release`` record."""

    settlements: tuple[Settlement, ...]


class Ledger(Reducer):
    """The first claim of a key wins; only a release by its author frees the key.

    :param kept_keys: keys that are remembered, equal in all processes
    """

    name: ClassVar[str] = "ledger"

    def __init__(self, *, kept_keys: int = KEPT_KEYS) -> None:
        self.by_key: dict[str, Booking] = {}
        self._kept_keys = kept_keys

    def check(self, entry: Entry) -> str:
        """Return the code of a rejection, or an empty string to accept."""
        kind, body = entry.record.kind, entry.record.body
        if kind == CLAIM:
            msgspec.convert(body, Claims)
        elif kind in (DONE, RELEASE):
            msgspec.convert(body, Settlements)
        else:
            return "unknown_kind"
        return ""

    def apply(self, entry: Entry) -> None:
        """Change the state by an entry that was accepted."""
        kind, body = entry.record.kind, entry.record.body
        if kind == CLAIM:
            for claim in msgspec.convert(body, Claims).claims:
                self._claim(claim)
            return
        for settlement in msgspec.convert(body, Settlements).settlements:
            self._settle(kind, settlement)

    def holds(self, claim: Claim) -> bool:
        """Return whether a claim has won its key and is not settled."""
        booking = self.by_key.get(claim.key)
        if booking is None or booking.state is not State.CLAIMED:
            return False
        return booking.claim.token == claim.token

    def snapshot(self) -> Any:
        """Return the state as plain values, oldest key first."""
        return list(self.by_key.values())

    def restore(self, snapshot: Any) -> None:
        """Replace the state by a snapshot."""
        bookings = msgspec.convert(snapshot, list[Booking])
        self.by_key = {booking.claim.key: booking for booking in bookings}

    def _claim(self, claim: Claim) -> None:
        if claim.key in self.by_key:
            return
        self.by_key[claim.key] = Booking(claim, State.CLAIMED)
        while len(self.by_key) > self._kept_keys:
            del self.by_key[next(iter(self.by_key))]

    def _settle(self, kind: str, settlement: Settlement) -> None:
        booking = self.by_key.get(settlement.key)
        if booking is None or booking.claim.token != settlement.token:
            return
        if booking.state is not State.CLAIMED:
            return
        if kind == RELEASE:
            del self.by_key[settlement.key]
        else:
            done = booking._replace(state=State.DONE, answer=settlement.answer)
            self.by_key[settlement.key] = done
