"""What a slice adds to the fold of the journal."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import Any, ClassVar

from .record import Entry


class Reducer(ABC):
    """One slice's state, changed by accepted records alone.

    A reducer is deterministic: it reads no clock, no setting of one process
    and nothing but its own state and the entry.
    """

    name: ClassVar[str]
    """Prefix of the kinds that this reducer takes, and its key in checkpoints."""

    @abstractmethod
    def check(self, entry: Entry) -> str:
        """Return the code of a rejection, or an empty string to accept."""

    @abstractmethod
    def apply(self, entry: Entry) -> None:
        """Change the state by an entry that was accepted."""

    @abstractmethod
    def snapshot(self) -> Any:
        """Return the state as plain values that msgspec encodes."""

    @abstractmethod
    def restore(self, snapshot: Any) -> None:
        """Replace the state by a snapshot."""
