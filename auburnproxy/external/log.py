"""The platform's append-only log service."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import NamedTuple

from ..era import EraTracker


class LogRecord(NamedTuple):
    """One record as the log keeps it."""

    offset: int
    payload: bytes


class LogPage(NamedTuple):
    """The answer to a read."""

    records: tuple[LogRecord, ...]
    """Retained records from the wanted offset on, in offset order."""
    start: int
    """Offset of the oldest record that is still retained."""
    end: int
    """Offset that the next append will get."""


class LogService(ABC):
    """An append-only log with offsets, limited retention and outages."""

    era = EraTracker()
    """The only era: this log keeps what it has acknowledged."""

    @abstractmethod
    async def append(self, payload: bytes) -> int:
        """Append a record and return its offset.

        :raises AppendUncertainError: if the answer was lost after it was sent
        :raises PlatformError: if the record was surely not appended
        """

    @abstractmethod
    async def read(self, offset: int, *, limit: int, wait_s: float) -> LogPage:
        """Read records from an offset, waiting for one if there is none yet.

        A page whose ``start`` is above ``offset`` shows that records are lost
        to this reader.

        :param offset: first offset wanted
        :param limit: greatest number of records to return
        :param wait_s: seconds to wait for a record before an empty page
        :raises PlatformError: if the service does not answer
        """
