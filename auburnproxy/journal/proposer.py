"""What other slices need of the journal to write to it."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, Protocol

from .record import Outcome


class Proposer(Protocol):
    """The part of the journal that takes proposals."""

    @property
    def up(self) -> bool:
        """Return whether the log answered the last time."""

    async def propose(
        self,
        kind: str,
        body: Mapping[str, Any],
        *,
        expects: Mapping[str, int],
        timeout_s: float,
        record_id: str = "",
    ) -> Outcome:
        """Append a record and return what became of it, once it is folded.

        :raises PlatformError: if the record was surely not appended
        :raises OutcomeUnknownError: at the timeout; it carries the id
        """
