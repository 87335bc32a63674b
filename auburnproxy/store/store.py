"""Interface of the store, independent of its wire protocol."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Sequence
from typing import NamedTuple

from ..era import EraTracker
from ..errors import PlatformError


class ConflictError(PlatformError):
    """A conditional append was rejected because the topic had another end.

    Nothing was appended.

    :param end: offset after the newest record, to which the writer has to catch up
    """

    code = "conflict"

    def __init__(self, end: int) -> None:
        super().__init__(f"the topic ends at offset {end}")
        self.end = end


class BusyError(PlatformError):
    """The store refused a call, and nothing was done.

    :param status: HTTP status of the refusal
    :param retry_after_s: seconds after which to call again, None if it named none
    """

    code = "busy"

    def __init__(self, status: int, retry_after_s: float | None = None) -> None:
        super().__init__(f"the store returned status {status}")
        self.retry_after_s = retry_after_s


class ExpiredError(PlatformError):
    """The requested records are no longer retained."""

    code = "expired"


class Change(NamedTuple):
    """Keyed record that sets or deletes the value of its key."""

    key: str
    value: bytes
    """Empty if the key was deleted."""
    offset: int = -1
    """Offset in the topic; -1 in a record that is not appended yet."""


class Page(NamedTuple):
    """Consecutive records of one topic."""

    changes: tuple[Change, ...]
    next_offset: int
    """Offset at which the next read starts."""


class NewestRecords(NamedTuple):
    """Newest record of each key; keys are read in turn, so it is no atomic snapshot."""

    changes: tuple[Change, ...]
    end: int
    """End of the topic before the read; the next read has to start here."""


class Store(ABC):
    """Log service that retains the newest record of each key without limit."""

    @property
    @abstractmethod
    def era(self) -> EraTracker:
        """Return the era of the log according to its responses so far."""

    @abstractmethod
    async def newest(self, topic: str) -> NewestRecords:
        """Return the newest record of each key of a topic.

        :raises PlatformError: if the service does not answer
        """

    @abstractmethod
    async def read(self, topic: str, offset: int, *, wait_s: float) -> Page:
        """Return the records from an offset on.

        :param wait_s: seconds to wait for a record before returning an empty page
        :raises ExpiredError: if the offset is no longer retained
        :raises PlatformError: if the service does not answer
        """

    @abstractmethod
    async def append(
        self, topic: str, changes: Sequence[Change], *, expected_end: int | None = None
    ) -> int:
        """Append records atomically, and return the new end of the topic.

        :param expected_end: required end of the topic, None to append unconditionally
        :raises ConflictError: if the topic has another end
        :raises AppendUncertainError: if the outcome of the append is unknown
        :raises PlatformError: if nothing was appended
        """

    @abstractmethod
    async def close(self) -> None:
        """Close every connection to the service."""
