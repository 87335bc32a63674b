"""What a log of keyed records is to this system, whatever its wire dialect."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Sequence
from typing import NamedTuple

from ..era import Era
from ..errors import PlatformError


class ConflictError(PlatformError):
    """A conditional append found a log that had grown; nothing was appended.

    :param end: offset after the newest record, where the writer has to catch up to
    """

    code = "conflict"

    def __init__(self, end: int) -> None:
        super().__init__(f"the log ends at {end}")
        self.end = end


class ExpiredError(PlatformError):
    """The records asked for are no longer retained."""

    code = "expired"


class Change(NamedTuple):
    """One keyed record."""

    key: str
    value: bytes
    """Empty if the key was dropped."""
    offset: int = -1
    """Place in the log; unset in a record that is still to be appended."""


class Page(NamedTuple):
    """Consecutive records of one topic."""

    changes: tuple[Change, ...]
    next_offset: int
    """Where the next reading begins."""


class Newest(NamedTuple):
    """The newest record of each key, read key by key and not at one instant."""

    changes: tuple[Change, ...]
    end: int
    """End of the log before the reading; later records have to be read after it."""


class Store(ABC):
    """A log service that keeps the newest record of each key for good."""

    @property
    @abstractmethod
    def era(self) -> Era:
        """Return the era of the log, as its answers have told it so far."""

    @abstractmethod
    async def newest(self, topic: str) -> Newest:
        """Return the newest record of each key of a topic.

        :raises PlatformError: if the service does not answer
        """

    @abstractmethod
    async def read(self, topic: str, offset: int, *, wait_s: float) -> Page:
        """Return the records from an offset on.

        :param wait_s: seconds to wait for a record before an empty page
        :raises ExpiredError: if the offset is no longer retained
        :raises PlatformError: if the service does not answer
        """

    @abstractmethod
    async def append(
        self, topic: str, changes: Sequence[Change], *, at: int | None = None
    ) -> int:
        """Append records, all or none, and return the end of the topic.

        :param at: end that the topic must have, None to append in any case
        :raises ConflictError: if the topic ends elsewhere
        :raises AppendUncertainError: if the records may have been appended
        :raises PlatformError: if nothing was appended
        """

    @abstractmethod
    async def close(self) -> None:
        """Close every connection to the service."""
