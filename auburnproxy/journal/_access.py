"""The log service with a time limit on every call."""

from __future__ import annotations

import asyncio

from ..errors import AppendUncertainError, PlatformError
from ..external import LogPage, LogService

PAGE_RECORDS = 512
READ_MARGIN_S = 10.0
APPEND_S = 5.0


class LogAccess:
    """Reads and appends that end in time.

    :param log: the platform's log service
    """

    def __init__(self, log: LogService) -> None:
        self._log = log

    async def read(
        self, offset: int, *, wait_s: float, limit: int = PAGE_RECORDS
    ) -> LogPage:
        """Read records from an offset.

        :param offset: first offset wanted
        :param wait_s: seconds to wait for a record
        :param limit: greatest number of records
        :raises PlatformError: if the log does not answer in time
        """
        try:
            async with asyncio.timeout(wait_s + READ_MARGIN_S):
                return await self._log.read(offset, limit=limit, wait_s=wait_s)
        except TimeoutError as error:
            raise PlatformError("the log did not answer in time") from error

    async def append(self, payload: bytes) -> None:
        """Append a payload.

        :param payload: an encoded record
        :raises AppendUncertainError: if the answer was lost or came too late
        :raises PlatformError: if the payload was surely not appended
        """
        try:
            async with asyncio.timeout(APPEND_S):
                await self._log.append(payload)
        except TimeoutError as error:
            raise AppendUncertainError("the append was not answered") from error
