"""Client of the log service with a timeout on every call."""

from __future__ import annotations

import asyncio

from ..errors import AppendUncertainError, PlatformError
from ..external import LogPage, LogService

PAGE_RECORDS = 512
READ_MARGIN_S = 10.0
APPEND_S = 5.0


class LogAccess:
    """Reads from and appends to the log with timeouts.

    :param log: the platform's log service
    """

    def __init__(self, log: LogService) -> None:
        self._log = log

    async def read(
        self, offset: int, *, wait_s: float, limit: int = PAGE_RECORDS
    ) -> LogPage:
        """Read records from an offset.

        :param offset: offset of the first record to return
        :param wait_s: seconds the log may wait for a record to arrive
        :param limit: maximum number of records
        :raises PlatformError: if the log does not answer within the timeout
        """
        try:
            async with asyncio.timeout(wait_s + READ_MARGIN_S):
                return await self._log.read(offset, limit=limit, wait_s=wait_s)
        except TimeoutError as error:
            raise PlatformError("the log did not answer within the timeout") from error

    async def append(self, payload: bytes) -> None:
        """Append a payload.

        :param payload: an encoded record
        :raises AppendUncertainError: if the answer was lost or came after the timeout
        :raises PlatformError: if the payload was certainly not appended
        """
        try:
            async with asyncio.timeout(APPEND_S):
                await self._log.append(payload)
        except TimeoutError as error:
            raise AppendUncertainError(
                "the append was not answered within the timeout"
            ) from error
