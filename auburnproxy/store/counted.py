"""Metrics for calls to the store."""

from __future__ import annotations

from collections.abc import Awaitable, Sequence
from typing import TypeVar

from ..era import EraTracker
from ..errors import PlatformError
from ..telemetry import Counter, Telemetry
from .store import Change, NewestRecords, Page, Store

_T = TypeVar("_T")


class CountedStore(Store):
    """Counts every call to a store by topic, kind and outcome.

    :param store: the log service
    :param telemetry: receives the counts
    """

    def __init__(self, store: Store, telemetry: Telemetry) -> None:
        self._store = store
        self._telemetry = telemetry

    @property
    def era(self) -> EraTracker:
        """Return the era of the log according to its responses so far."""
        return self._store.era

    async def newest(self, topic: str) -> NewestRecords:
        """Return the newest record of each key of a topic.

        :raises PlatformError: if the service does not result
        """
        return await self._counted(topic, "newest", self._store.newest(topic))

    async def read(self, topic: str, offset: int, *, wait_s: float) -> Page:
        """Return the records from an offset on.

        :param wait_s: seconds to wait for a record before returning an empty page
        :raises ExpiredError: if the offset is no longer retained
        :raises PlatformError: if the service does not result
        """
        read_call = self._store.read(topic, offset, wait_s=wait_s)
        return await self._counted(topic, "read", read_call)

    async def append(
        self, topic: str, changes: Sequence[Change], *, expected_end: int | None = None
    ) -> int:
        """Append records atomically, and return the new end of the topic.

        :param expected_end: required end of the topic, None to append unconditionally
        :raises ConflictError: if the topic has another end
        :raises AppendUncertainError: if the outcome of the append is unknown
        :raises PlatformError: if nothing was appended
        """
        append_call = self._store.append(topic, changes, expected_end=expected_end)
        return await self._counted(topic, "append", append_call)

    async def close(self) -> None:
        """Close every connection to the service."""
        await self._store.close()

    async def _counted(self, topic: str, kind: str, call: Awaitable[_T]) -> _T:
        outcome = "cancelled"
        try:
            result = await call
            outcome = "answered"
            return result
        except PlatformError as error:
            outcome = error.code
            raise
        finally:
            self._telemetry.count(Counter.STORE_CALL, "", topic, f"{kind}_{outcome}")
