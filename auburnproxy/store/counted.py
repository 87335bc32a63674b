"""A store whose calls are counted."""

from __future__ import annotations

from collections.abc import Awaitable, Sequence
from typing import TypeVar

from ..era import Era
from ..errors import PlatformError
from ..telemetry import Counter, Telemetry
from .store import Change, Newest, Page, Store

_T = TypeVar("_T")


class CountedStore(Store):
    """Counts every call to a store by topic, kind and outcome.

    :param store: the log service
    :param telemetry: takes the counts
    """

    def __init__(self, store: Store, telemetry: Telemetry) -> None:
        self._store = store
        self._telemetry = telemetry

    @property
    def era(self) -> Era:
        """Return the era of the log, as its answers have told it so far."""
        return self._store.era

    async def newest(self, topic: str) -> Newest:
        """Return the newest record of each key of a topic.

        :raises PlatformError: if the service does not answer
        """
        return await self._counted(topic, "newest", self._store.newest(topic))

    async def read(self, topic: str, offset: int, *, wait_s: float) -> Page:
        """Return the records from an offset on.

        :param wait_s: seconds to wait for a record before an empty page
        :raises ExpiredError: if the offset is no longer retained
        :raises PlatformError: if the service does not answer
        """
        reading = self._store.read(topic, offset, wait_s=wait_s)
        return await self._counted(topic, "read", reading)

    async def append(
        self, topic: str, changes: Sequence[Change], *, at: int | None = None
    ) -> int:
        """Append records, all or none, and return the end of the topic.

        :param at: end that the topic must have, None to append in any case
        :raises ConflictError: if the topic ends elsewhere
        :raises AppendUncertainError: if the records may have been appended
        :raises PlatformError: if nothing was appended
        """
        appending = self._store.append(topic, changes, at=at)
        return await self._counted(topic, "append", appending)

    async def close(self) -> None:
        """Close every connection to the service."""
        await self._store.close()

    async def _counted(self, topic: str, kind: str, call: Awaitable[_T]) -> _T:
        outcome = "cancelled"
        try:
            answer = await call
            outcome = "answered"
            return answer
        except PlatformError as error:
            outcome = error.code
            raise
        finally:
            self._telemetry.count(Counter.STORE_CALL, "", topic, f"{kind}_{outcome}")
