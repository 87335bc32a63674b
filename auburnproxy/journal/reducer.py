"""Interface of the replicated state that a package keeps in the journal."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import Any, ClassVar

from .record import Entry


class Reducer(ABC):
    """One package's replicated state, changed only by accepted records.

    A reducer is deterministic: it reads only its own state and the entry, no
    clock and no setting that may differ between processes.
    """

    name: ClassVar[str]
    """Prefix of the record kinds it handles, and its key in checkpoints."""

    @abstractmethod
    def check(self, entry: Entry) -> str:
        """Return the code of a rejection, or an empty string to accept."""

    @abstractmethod
    def apply(self, entry: Entry) -> None:
        """Apply an accepted entry to the state."""

    @abstractmethod
    def snapshot(self) -> Any:
        """Return the state as values that msgspec can encode."""

    @abstractmethod
    def restore(self, snapshot: Any) -> None:
        """Replace the state with a snapshot."""
