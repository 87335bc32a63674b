"""The platform's append-only log service."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import NamedTuple

from ..era import EraTracker


class LogRecord(NamedTuple):
    """A record stored in the log."""

    offset: int
    payload: bytes


class LogPage(NamedTuple):
    """The result of a read."""

    records: tuple[LogRecord, ...]
    """Retained records starting at the requested offset, in offset order."""
    start: int
    """Offset of the oldest retained record."""
    end: int
    """Offset that will be assigned to the next record."""


class LogService(ABC):
    """An append-only log with offsets and limited retention; it may have outages."""

    era = EraTracker()
    """The era never changes, as this log never loses an acknowledged record."""

    @abstractmethod
    async def append(self, payload: bytes) -> int:
        """Append a record and return its offset.

        :raises AppendUncertainError: if the record was sent and the response lost
        :raises PlatformError: if the record was certainly not appended
        """

    @abstractmethod
    async def read(self, offset: int, *, limit: int, wait_s: float) -> LogPage:
        """Read records starting at an offset, waiting for one if there is none yet.

        If ``start`` of the page is greater than ``offset``, the records between
        them are no longer retained, so that this reader has missed them.

        :param offset: first offset to read
        :param limit: maximum number of records to return
        :param wait_s: seconds to wait for a record before returning an empty page
        :raises PlatformError: if the service does not respond
        """
