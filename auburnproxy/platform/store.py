"""Client of the platform's log service, with its keyed topics, over HTTP."""

from __future__ import annotations

import base64
from collections.abc import Iterator, Mapping, Sequence
from typing import Any

import msgspec

from ..decoding import decode_json
from ..errors import AppendUncertainError, PlatformError
from ..external.client import Client, LostResponseError, Response
from ..retry_after import parse_retry_after
from ..store import (
    BusyError,
    Change,
    ConflictError,
    EraTracker,
    ExpiredError,
    NewestRecords,
    Page,
    Store,
)

ERA_HEADER = "Store-Era"
"""Header whose number increases each time the store is restored from an older copy."""
KEYED_TOPIC_PREFIX = "keyed."
"""Prefix of the topics that retain the newest record of each key."""
MS_PER_S = 1000
IDLE_TIMEOUT_S = 1.0
"""Five times the response time of a slow store.

A store that was unresponsive never responds to the requests it received meanwhile.
"""
MAX_PAGE_BYTES = 4_194_304
"""Bound of a page: 1 MB of records, plus a third for base64 and a whole last record."""
LENGTH_BYTES = 4
PAGE_HEADER_BYTES = 16
"""Size of the two 8-byte offsets before the records: the end and the first retained."""
HTTP_OK, HTTP_CONFLICT, HTTP_GONE, HTTP_PRECONDITION_FAILED = 200, 409, 410, 412
HTTP_BUSY = {429, 503}


class _Item(msgspec.Struct):
    key: str
    value: str
    """Base64."""
    offset: int


class _Items(msgspec.Struct, rename="kebab"):
    items: list[_Item]
    has_more: bool
    end: int


class _Appended(msgspec.Struct):
    end: int


class PlatformStore(Store):
    """Client of the log service at an address.

    :param address: IP number and port
    """

    def __init__(self, address: str) -> None:
        self._era = EraTracker()
        self._client = Client(
            f"http://{address}",
            idle_timeout_s=IDLE_TIMEOUT_S,
            max_body_bytes=MAX_PAGE_BYTES,
        )

    @property
    def era(self) -> EraTracker:
        """Return the era of the log, as last seen in a response header."""
        return self._era

    async def newest(self, topic: str) -> NewestRecords:
        """Return the newest record of each key of a topic.

        :raises PlatformError: if the service does not respond
        """
        changes: list[Change] = []
        params: dict[str, str | int] = {"topic": KEYED_TOPIC_PREFIX + topic, "part": 0}
        end: int | None = None
        while True:
            response = await self._send("GET", "/log-newest", params=params)
            page = _decode(_require_ok(response), _Items)
            end = page.end if end is None else end
            changes += [
                Change(item.key, _decode_value(item.value), item.offset)
                for item in page.items
            ]
            if not page.has_more or not page.items:
                return NewestRecords(tuple(changes), end)
            last_key = page.items[-1].key
            if last_key == params.get("after"):
                raise PlatformError(f"{topic}: pages repeat after the same key")
            params["after"] = last_key

    async def read(self, topic: str, offset: int, *, wait_s: float) -> Page:
        """Return the records starting at an offset.

        :param wait_s: seconds to wait for a record before returning an empty page
        :raises ExpiredError: if the offset is no longer retained
        :raises PlatformError: if the service does not respond
        """
        params: dict[str, str | int] = {
            "topic": KEYED_TOPIC_PREFIX + topic,
            "part": 0,
            "from": offset,
        }
        if wait_s:
            params["wait-ms"] = round(wait_s * MS_PER_S)
        response = await self._send("GET", "/log-read", params=params, wait_s=wait_s)
        if response.status == HTTP_GONE:
            raise ExpiredError(f"{topic} is not retained from {offset}")
        data = _require_ok(response)
        if len(data) < PAGE_HEADER_BYTES:
            raise PlatformError(f"{topic}: page of {len(data)} bytes is too short")
        changes = tuple(_decode_records(data[PAGE_HEADER_BYTES:], offset))
        return Page(changes, offset + len(changes))

    async def append(
        self, topic: str, changes: Sequence[Change], *, expected_end: int | None = None
    ) -> int:
        """Append records, all or none, and return the end of the topic.

        :param expected_end: end offset that the topic must have, None to append
            unconditionally
        :raises ConflictError: if the end offset is another one
        :raises AppendUncertainError: if the records may have been appended
        :raises PlatformError: if nothing was appended
        """
        params: dict[str, str | int] = {"topic": KEYED_TOPIC_PREFIX + topic, "part": 0}
        if expected_end is not None:
            params["at"] = expected_end
        body = b"".join(map(_encode_record, changes))
        try:
            response = await self._send("POST", "/log-append", params=params, body=body)
        except LostResponseError as error:
            raise AppendUncertainError(str(error)) from error
        if response.status == HTTP_PRECONDITION_FAILED:
            raise ConflictError(_decode(response.body, _Appended).end)
        end: int = _decode(_require_ok(response), _Appended).end
        return end

    async def close(self) -> None:
        """Close every connection to the service."""
        await self._client.close()

    async def _send(
        self,
        method: str,
        path: str,
        *,
        params: Mapping[str, str | int],
        body: bytes | None = None,
        wait_s: float = 0.0,
    ) -> Response:
        """Send a request and record the era given in the response."""
        response = await self._client.send(
            method, path, params=params, body=body, wait_s=wait_s
        )
        self._era.observe_header(response.headers.get(ERA_HEADER))
        return response


def _require_ok(response: Response) -> bytes:
    if response.status in HTTP_BUSY:
        raise BusyError(
            response.status, parse_retry_after(response.headers.get("Retry-After", ""))
        )
    if response.status != HTTP_OK:
        raise PlatformError(f"the store returned status {response.status}")
    return response.body


def _decode(body: bytes, struct_type: type[Any]) -> Any:
    return decode_json(body, struct_type)


def _decode_value(text: str) -> bytes:
    """Return a value, or the text itself if it is not base64.

    Readers of the record then find it unreadable, and the other records of the page are
    used.
    """
    try:
        return base64.b64decode(text, validate=True)
    except ValueError:
        return text.encode(errors="replace")


def _encode_record(change: Change) -> bytes:
    key = change.key.encode()
    record = bytes([len(key)]) + key + change.value
    return len(record).to_bytes(LENGTH_BYTES, "big") + record


def _decode_records(data: bytes, offset: int) -> Iterator[Change]:
    """Yield the complete records of a page; a truncated last record is skipped."""
    start = 0
    while start + LENGTH_BYTES <= len(data):
        first = start + LENGTH_BYTES
        end = first + int.from_bytes(data[start:first], "big")
        if end > len(data):
            return
        record = data[first:end]
        yield _decode_record(record, offset)
        offset += 1
        start = end


def _decode_record(record: bytes, offset: int) -> Change:
    """Decode a record; its key is empty if it is not valid UTF-8."""
    length = record[0] if record else 0
    try:
        key = record[1 : 1 + length].decode()
    except UnicodeDecodeError:
        key = ""
    return Change(key, record[1 + length :], offset)
