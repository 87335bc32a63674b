"""HTTP clients of the platform's services."""

from __future__ import annotations

from typing import Any

from ..decoding import decode_json, decode_msgpack
from ..errors import AppendUncertainError
from .client import Client, LostResponseError
from .hosts import HostEntry, HostList
from .log import LogPage, LogService
from .weights import ModelSpec, WeightStore

MS_PER_S = 1000


def _decode(body: bytes, result_type: Any, *, msgpack: bool = False) -> Any:
    decode = decode_msgpack if msgpack else decode_json
    return decode(body, result_type)


class HttpLogService(LogService):
    """Client of the log service: appends raw payloads, reads pages as MessagePack.

    :param base_url: root of the service
    """

    def __init__(self, base_url: str) -> None:
        self._client = Client(base_url)

    async def append(self, payload: bytes) -> int:
        """Append a record and return its offset.

        :param payload: the record
        :raises AppendUncertainError: if the record may have been appended
        :raises PlatformError: if the record was certainly not appended
        """
        try:
            response = await self._client.post("/records", payload)
        except LostResponseError as error:
            raise AppendUncertainError(str(error)) from error
        try:
            return int(response)
        except ValueError as error:
            raise AppendUncertainError(
                "cannot decode the offset in the response"
            ) from error

    async def read(self, offset: int, *, limit: int, wait_s: float) -> LogPage:
        """Read records starting at an offset, waiting for one if there is none yet.

        :param offset: first offset to read
        :param limit: maximum number of records to return
        :param wait_s: seconds to wait for a record before returning an empty page
        :raises PlatformError: if the service does not respond
        """
        wait_ms = round(wait_s * MS_PER_S)
        params = {"offset": offset, "limit": limit, "wait_ms": wait_ms}
        body = await self._client.get("/records", params=params, wait_s=wait_s)
        page: LogPage = _decode(body, LogPage, msgpack=True)
        return page

    async def close(self) -> None:
        """Close every connection to the service."""
        await self._client.close()


class HttpHostList(HostList):
    """Client of the host list, which is served as JSON.

    :param base_url: root of the service
    """

    def __init__(self, base_url: str) -> None:
        self._client = Client(base_url)

    async def fetch(self) -> tuple[HostEntry, ...]:
        """Return the current list, which lags behind the hosts by some seconds.

        :raises PlatformError: if the service does not respond
        """
        body = await self._client.get("/hosts")
        entries: tuple[HostEntry, ...] = _decode(body, tuple[HostEntry, ...])
        return entries

    async def close(self) -> None:
        """Close every connection to the service."""
        await self._client.close()


class HttpWeightStore(WeightStore):
    """Client of the weight store, which responds with JSON.

    :param base_url: root of the service
    """

    def __init__(self, base_url: str) -> None:
        self._client = Client(base_url)

    async def models(self) -> tuple[ModelSpec, ...]:
        """Return the models that the store offers.

        :raises PlatformError: if the service does not respond
        """
        body = await self._client.get("/models")
        models: tuple[ModelSpec, ...] = _decode(body, tuple[ModelSpec, ...])
        return models

    async def loads_per_minute(self) -> int:
        """Return the number of host loads that the store serves per minute.

        :raises PlatformError: if the service does not respond
        """
        rate: int = _decode(await self._client.get("/loads-per-minute"), int)
        return rate

    async def close(self) -> None:
        """Close every connection to the service."""
        await self._client.close()


def connect_log(base_url: str) -> HttpLogService:
    """Return a client of the log service at a base URL.

    :param base_url: root of the service, for example ``http://127.0.0.1:9000``
    """
    return HttpLogService(base_url)


def connect_hosts(base_url: str) -> HttpHostList:
    """Return a client of the host list at a base URL.

    :param base_url: root of the service, for example ``http://127.0.0.1:9001``
    """
    return HttpHostList(base_url)


def connect_weights(base_url: str) -> HttpWeightStore:
    """Return a client of the weight store at a base URL.

    :param base_url: root of the service, for example ``http://127.0.0.1:9002``
    """
    return HttpWeightStore(base_url)
