"""Interface that membership requires from the journal."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import Protocol

from ..journal import Entry, Proposer


class JournalPort(Proposer, Protocol):
    """A journal that accepts proposals and relays its entries between peers."""

    @property
    def offset(self) -> int:
        """Return the offset of the last folded entry."""

    @property
    def ready(self) -> bool:
        """Return whether the state is usable."""

    @property
    def diverged(self) -> bool:
        """Return whether the state is of a history that the log has discarded."""

    def entries_after(self, offset: int, limit: int) -> Sequence[Entry]:
        """Return the retained entries after an offset."""

    def apply_entries(self, entries: Iterable[Entry]) -> None:
        """Fold entries that a peer has relayed."""

    def checkpoint(self) -> bytes:
        """Return the state as a checkpoint."""

    def install_checkpoint(self, checkpoint: bytes) -> bool:
        """Replace the state with a peer's checkpoint if that is newer."""
