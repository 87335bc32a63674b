"""What membership needs of the journal."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import Protocol

from ..journal import Entry, Proposer


class JournalPort(Proposer, Protocol):
    """The part of the journal that is relayed, and proposed to."""

    @property
    def offset(self) -> int:
        """Return the offset of the last folded entry."""

    @property
    def ready(self) -> bool:
        """Return whether the state is usable."""

    @property
    def diverged(self) -> bool:
        """Return whether this state is of a history that the log gave up."""

    def entries_after(self, offset: int, limit: int) -> Sequence[Entry]:
        """Return kept entries after an offset."""

    def offer(self, entries: Iterable[Entry]) -> None:
        """Fold entries that a peer relayed."""

    def checkpoint(self) -> bytes:
        """Return the state as a checkpoint."""

    def adopt(self, checkpoint: bytes) -> bool:
        """Take a peer's checkpoint if it is newer."""
