"""Parser of server-sent events that keeps each event's bytes as received."""

from __future__ import annotations

import re
from collections.abc import Iterator, Sequence
from typing import NamedTuple

from ..errors import UnreadableError

LONGEST_EVENT_BYTES = 1_048_576
MAX_IDLE_BYTES = 65_536
"""Bytes of comments, blank lines and fields without data that may precede an event."""
MAX_BATCH_BLOCKS = 64
"""Blocks, with or without an event, that are parsed in one step."""
MAX_ID_LENGTH = 256
"""Length of the longest id from which a stream is resumed."""
_LONGEST_SEPARATOR_BYTES = 4
_BLANK_LINES = re.compile(rb"(?>\r\n|\r|\n)[\r\n]+")
"""The end of a line and all blank lines after it, which end a block of lines."""
# The names come before what must precede them, as literal prefixes are searched fast.
_DATA = re.compile(rb"data(?<![^\r\n]data)[:\r\n]")
_ID_FIELD = rb"id(?<![^\r\n]id)(?::[ ]?([^\r\n\0]*))?(?=[\r\n])"
_ID = re.compile(_ID_FIELD)
_LAST_ID = re.compile(rb"(?s:.*)" + _ID_FIELD)


class Event(NamedTuple):
    """One complete event."""

    data: bytes
    """Its bytes as received, with the blank lines after it and what precedes it."""
    id: str
    """Value of its id field; empty if it has none from which a stream can resume."""


class EventReader:
    """Splits the bytes of a stream into complete events.

    As the format says, a block of lines without a data field is no event; a run of
    blank lines is none either. Such bytes become a part of the next event.
    """

    def __init__(self) -> None:
        self._idle = bytearray()
        """Blocks without an event since the last one."""
        self._incomplete = bytearray()
        """Bytes of the block that is not complete yet."""

    @property
    def inside_event(self) -> bool:
        """Return whether the bytes so far end inside a block of lines."""
        return bool(self._incomplete.strip(b"\r\n"))

    def feed(self, chunk: bytes) -> Iterator[list[Event]]:
        """Yield the events that a chunk of the stream completes, in batches.

        The work for a batch is bounded, so that a caller can do other work between two
        of them. A chunk must be exhausted before the next one is fed.

        :param chunk: bytes as received
        :raises UnreadableError: if an event is too long, or too much precedes it
        """
        data, search_start = chunk, 0
        if self._incomplete:
            search_start = max(len(self._incomplete) - _LONGEST_SEPARATOR_BYTES + 1, 0)
            self._incomplete += chunk
            if _BLANK_LINES.search(self._incomplete, search_start) is None:
                self._check_length()
                return
            data = bytes(self._incomplete)
        yield from self._split(data, search_start)
        self._check_length()

    def _check_length(self) -> None:
        if len(self._incomplete) > LONGEST_EVENT_BYTES:
            raise UnreadableError(f"event of more than {LONGEST_EVENT_BYTES} bytes")

    def _split(self, data: bytes, search_start: int) -> Iterator[list[Event]]:
        """Yield the events of some blocks, and keep the incomplete one.

        :raises UnreadableError: if too much precedes an event
        """
        events: list[Event] = []
        block_start, blocks = 0, 0
        for match in _BLANK_LINES.finditer(data, search_start):
            block = data[block_start : match.end()]
            if len(block) > LONGEST_EVENT_BYTES:
                break
            block_start = match.end()
            if _DATA.search(block):
                if self._idle:
                    block = bytes(self._idle) + block
                    self._idle.clear()
                events.append(Event(block, _event_id(block)))
            else:
                self._idle += block
                if len(self._idle) > MAX_IDLE_BYTES:
                    break
            blocks += 1
            if blocks == MAX_BATCH_BLOCKS:
                yield events
                events, blocks = [], 0
        if events:
            yield events
        if len(self._idle) > MAX_IDLE_BYTES:
            raise UnreadableError(f"no event in {len(self._idle)} bytes")
        self._incomplete = bytearray(data[block_start:])


def follows(event_id: str, last_id: str) -> bool:
    """Return whether an event is a valid successor of another in one stream.

    :param event_id: id of the event
    :param last_id: id of the previous event, empty for the first
    """
    if not event_id or not last_id:
        return True
    if _is_number(event_id) and _is_number(last_id):
        return int(event_id) > int(last_id)
    return event_id != last_id


def events_in_order(events: Sequence[Event], last_id: str) -> Sequence[Event]:
    """Return the events before the first one that is not a valid successor.

    :param events: consecutive events of a stream
    :param last_id: id of the event before them, empty if there is none
    """
    for number, event in enumerate(events):
        if not follows(event.id, last_id):
            return events[:number]
        last_id = event.id or last_id
    return events


def last_id(events: Sequence[Event], before: str) -> str:
    """Return the id of the last of some events that has one.

    :param events: consecutive events of a stream
    :param before: id of the event before them
    """
    return next((event.id for event in reversed(events) if event.id), before)


def _is_number(event_id: str) -> bool:
    return event_id.isascii() and event_id.isdecimal()


def _event_id(event: bytes) -> str:
    """Return the id that an event leaves to its stream: the last one that is valid."""
    match = _ID.search(event)
    if match is None:
        return ""
    rest = match.end()
    if event.find(b"\nid", rest) >= 0 or event.find(b"\rid", rest) >= 0:
        match = _LAST_ID.match(event) or match
    value = match.group(1) or b""
    if len(value) > MAX_ID_LENGTH:
        return ""
    try:
        text = value.decode()
    except UnicodeDecodeError:
        return ""
    # Other text can't be sent back in a header as it came.
    return text if text.isprintable() and text == text.strip() else ""
