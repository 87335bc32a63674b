"""Parser of server-sent events that keeps each event's bytes as received."""

from __future__ import annotations

import re
from typing import NamedTuple

SEPARATOR = re.compile(rb"\r?\n\r?\n")
SEPARATOR_BYTES = 4
LONGEST_EVENT_BYTES = 1_048_576
_ID = re.compile(rb"(?:^|\n)id:[ ]?([^\r\n]*)")


class Event(NamedTuple):
    """One complete event."""

    data: bytes
    """Its bytes as received, including the separator."""
    id: str
    """Value of its id field, empty if it has none."""


class EventReader:
    """Splits the bytes of a stream into complete events."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    @property
    def incomplete_event(self) -> bytes:
        """Return the bytes of an incomplete event."""
        return bytes(self._buffer)

    def feed(self, chunk: bytes) -> list[Event]:
        """Return the events that a chunk of the stream completes.

        :param chunk: bytes as received
        :raises ValueError: if an event is too long
        """
        data, start = self._buffer, 0
        search_start = max(len(data) - SEPARATOR_BYTES + 1, 0)
        data += chunk
        events = []
        for match in SEPARATOR.finditer(data, search_start):
            event = bytes(data[start : match.end()])
            start = match.end()
            events.append(Event(event, _event_id(event)))
        self._buffer = data[start:]
        if len(self._buffer) > LONGEST_EVENT_BYTES:
            raise ValueError("event is too long")
        return events


def follows(event_id: str, last_id: str) -> bool:
    """Return whether an event is a valid successor of another in one stream.

    :param event_id: id of the event
    :param last_id: id of the previous event, empty for the first
    """
    if not event_id or not last_id:
        return True
    if event_id.isdigit() and last_id.isdigit():
        return int(event_id) > int(last_id)
    return event_id != last_id


def _event_id(event: bytes) -> str:
    match = _ID.search(event)
    return match.group(1).decode(errors="replace") if match else ""
