"""Adapters of the platform's services that speak HTTP."""

from __future__ import annotations

from typing import Any

import msgspec

from ..errors import AppendUncertainError, PlatformError
from .client import Client, LostAnswerError
from .hosts import HostEntry, HostList
from .log import LogPage, LogService
from .weights import ModelSpec, WeightStore

MS_PER_S = 1000


def _decode(body: bytes, kind: Any, *, packed: bool = False) -> Any:
    codec = msgspec.msgpack if packed else msgspec.json
    try:
        return codec.decode(body, type=kind)
    except (msgspec.MsgspecError, ValueError) as error:
        raise PlatformError(f"unreadable answer: {error}") from error


class HttpLogService(LogService):
    """The log service over HTTP: payloads raw, pages as MessagePack.

    :param base_url: root of the service
    """

    def __init__(self, base_url: str) -> None:
        self._client = Client(base_url)

    async def append(self, payload: bytes) -> int:
        """Append a record and return its offset.

        :param payload: the record
        :raises AppendUncertainError: if the record may have been appended
        :raises PlatformError: if the record was surely not appended
        """
        try:
            answer = await self._client.post("/records", payload)
        except LostAnswerError as error:
            raise AppendUncertainError(str(error)) from error
        try:
            return int(answer)
        except ValueError as error:
            raise AppendUncertainError("unreadable offset") from error

    async def read(self, offset: int, *, limit: int, wait_s: float) -> LogPage:
        """Read records from an offset, waiting for one if there is none yet.

        :param offset: first offset wanted
        :param limit: greatest number of records to return
        :param wait_s: seconds to wait for a record before an empty page
        :raises PlatformError: if the service does not answer
        """
        wait_ms = round(wait_s * MS_PER_S)
        params = {"offset": offset, "limit": limit, "wait_ms": wait_ms}
        body = await self._client.get("/records", params=params, wait_s=wait_s)
        page: LogPage = _decode(body, LogPage, packed=True)
        return page

    async def close(self) -> None:
        """Close every connection to the service."""
        await self._client.close()


class HttpHostList(HostList):
    """The host list over HTTP, as JSON.

    :param base_url: root of the service
    """

    def __init__(self, base_url: str) -> None:
        self._client = Client(base_url)

    async def fetch(self) -> tuple[HostEntry, ...]:
        """Return the list as the platform sees it now, late by some seconds.

        :raises PlatformError: if the service does not answer
        """
        body = await self._client.get("/hosts")
        entries: tuple[HostEntry, ...] = _decode(body, tuple[HostEntry, ...])
        return entries

    async def close(self) -> None:
        """Close every connection to the service."""
        await self._client.close()


class HttpWeightStore(WeightStore):
    """The weight store over HTTP, as JSON.

    :param base_url: root of the service
    """

    def __init__(self, base_url: str) -> None:
        self._client = Client(base_url)

    async def models(self) -> tuple[ModelSpec, ...]:
        """Return the models on offer.

        :raises PlatformError: if the service does not answer
        """
        body = await self._client.get("/models")
        models: tuple[ModelSpec, ...] = _decode(body, tuple[ModelSpec, ...])
        return models

    async def loads_per_minute(self) -> int:
        """Return how many host loads the store serves a minute.

        :raises PlatformError: if the service does not answer
        """
        rate: int = _decode(await self._client.get("/loads-per-minute"), int)
        return rate

    async def close(self) -> None:
        """Close every connection to the service."""
        await self._client.close()


def connect_log(base_url: str) -> HttpLogService:
    """Return the log service at a base URL.

    :param base_url: root of the service, ``http://127.0.0.1:9000``
    """
    return HttpLogService(base_url)


def connect_hosts(base_url: str) -> HttpHostList:
    """Return the host list at a base URL.

    :param base_url: root of the service, ``http://127.0.0.1:9001``
    """
    return HttpHostList(base_url)


def connect_weights(base_url: str) -> HttpWeightStore:
    """Return the weight store at a base URL.

    :param base_url: root of the service, ``http://127.0.0.1:9002``
    """
    return HttpWeightStore(base_url)
