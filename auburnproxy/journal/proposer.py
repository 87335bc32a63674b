"""Interface through which other packages append to the journal."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, Protocol

from .record import Outcome


class Proposer(Protocol):
    """The part of the journal that accepts proposals."""

    @property
    def up(self) -> bool:
        """Return whether the log answered the last read."""

    async def propose(
        self,
        kind: str,
        body: Mapping[str, Any],
        *,
        expects: Mapping[str, int],
        timeout_s: float,
        record_id: str = "",
    ) -> Outcome:
        """Append a record and return its outcome once it is applied.

        :raises PlatformError: if the record was certainly not appended
        :raises OutcomeUnknownError: at the timeout; the error holds the id
        """
