"""The platform's log service: keyed topics over HTTP."""

from __future__ import annotations

import base64
from collections.abc import Iterator, Mapping, Sequence
from typing import Any

import msgspec

from ..errors import AppendUncertainError, PlatformError
from ..external.client import Answer, Client, LostAnswerError
from ..store import (
    Change,
    ConflictError,
    EraTracker,
    ExpiredError,
    NewestRecords,
    Page,
    Store,
)

ERA = "Store-Era"
"""Header that rises by one each time that the store comes back from an older copy."""
KEYED = "keyed."
"""Prefix of the topics that keep the newest record of each key."""
MS_PER_S = 1000
SILENCE_S = 1.0
"""Five times an answer of a slow store; what it got while silent it never answers."""
PAGE_BYTES = 4_194_304
"""Longest page: 1 MB of records, a third more in base64, and the last one whole."""
LENGTH_BYTES = 4
OFFSETS_BYTES = 16
"""Two offsets of eight bytes before the records: the end and the first retained."""
OK, CONFLICT, GONE, PRECONDITION = 200, 409, 410, 412


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
    """The log service behind an address.

    :param address: IP number and port
    """

    def __init__(self, address: str) -> None:
        self._era = EraTracker()
        self._client = Client(
            f"http://{address}", silence_s=SILENCE_S, most_bytes=PAGE_BYTES
        )

    @property
    def era(self) -> EraTracker:
        """Return the era of the log, as its answers have told it so far."""
        return self._era

    async def newest(self, topic: str) -> NewestRecords:
        """Return the newest record of each key of a topic.

        :raises PlatformError: if the service does not answer
        """
        changes: list[Change] = []
        params: dict[str, str | int] = {"topic": KEYED + topic, "part": 0}
        end: int | None = None
        while True:
            answer = await self._send("GET", "/log-newest", params=params)
            page = _decode(_checked(answer), _Items)
            end = page.end if end is None else end
            changes += [
                Change(item.key, base64.b64decode(item.value), item.offset)
                for item in page.items
            ]
            if not page.has_more or not page.items:
                return NewestRecords(tuple(changes), end)
            params["after"] = page.items[-1].key

    async def read(self, topic: str, offset: int, *, wait_s: float) -> Page:
        """Return the records from an offset on.

        :param wait_s: seconds to wait for a record before an empty page
        :raises ExpiredError: if the offset is no longer retained
        :raises PlatformError: if the service does not answer
        """
        params: dict[str, str | int] = {
            "topic": KEYED + topic,
            "part": 0,
            "from": offset,
        }
        if wait_s:
            params["wait-ms"] = round(wait_s * MS_PER_S)
        answer = await self._send("GET", "/log-read", params=params, wait_s=wait_s)
        if answer.status == GONE:
            raise ExpiredError(f"{topic} is not retained from {offset}")
        data = _checked(answer)
        if len(data) < OFFSETS_BYTES:
            raise PlatformError(f"{topic}: page of {len(data)} bytes")
        changes = tuple(_changes(data[OFFSETS_BYTES:], offset))
        return Page(changes, offset + len(changes))

    async def append(
        self, topic: str, changes: Sequence[Change], *, expected_end: int | None = None
    ) -> int:
        """Append records, all or none, and return the end of the topic.

        :param expected_end: end that the topic must have, None to append in any case
        :raises ConflictError: if the topic ends elsewhere
        :raises AppendUncertainError: if the records may have been appended
        :raises PlatformError: if nothing was appended
        """
        params: dict[str, str | int] = {"topic": KEYED + topic, "part": 0}
        if expected_end is not None:
            params["at"] = expected_end
        body = b"".join(map(_framed, changes))
        try:
            answer = await self._send("POST", "/log-append", params=params, body=body)
        except LostAnswerError as error:
            raise AppendUncertainError(str(error)) from error
        if answer.status == PRECONDITION:
            raise ConflictError(_decode(answer.body, _Appended).end)
        end: int = _decode(_checked(answer), _Appended).end
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
    ) -> Answer:
        """Send a request and take the era that its answer tells."""
        answer = await self._client.send(
            method, path, params=params, body=body, wait_s=wait_s
        )
        self._era.observe_header(answer.headers.get(ERA))
        return answer


def _checked(answer: Answer) -> bytes:
    if answer.status != OK:
        raise PlatformError(f"the store answered {answer.status}")
    return answer.body


def _decode(body: bytes, kind: type[Any]) -> Any:
    try:
        return msgspec.json.decode(body, type=kind)
    except msgspec.MsgspecError as error:
        raise PlatformError(f"unreadable answer of the store: {error}") from error


def _framed(change: Change) -> bytes:
    key = change.key.encode()
    record = bytes([len(key)]) + key + change.value
    return len(record).to_bytes(LENGTH_BYTES, "big") + record


def _changes(data: bytes, offset: int) -> Iterator[Change]:
    """Yield the whole records of a page."""
    start = 0
    while start + LENGTH_BYTES <= len(data):
        first = start + LENGTH_BYTES
        end = first + int.from_bytes(data[start:first], "big")
        if end > len(data):
            return
        record = data[first:end]
        yield _change(record, offset)
        offset += 1
        start = end


def _change(record: bytes, offset: int) -> Change:
    """Return a record; one that cannot be read has no key."""
    length = record[0] if record else 0
    try:
        key = record[1 : 1 + length].decode()
    except UnicodeDecodeError:
        key = ""
    return Change(key, record[1 + length :], offset)
